"""Compression of what hosts send each other, bounded when it is unpacked."""

import zlib


def compress(data):
    """Returns bytes in compressed form."""
    return zlib.compress(data)


def decompress(content, max_bytes):
    """Returns the bytes of ``compress``.

    Raises ValueError if they are damaged, incomplete or more than ``max_bytes``.
    """
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(content, max_bytes)
    except zlib.error as error:
        raise ValueError(str(error)) from None
    if not decompressor.eof:
        raise ValueError("the content is incomplete, or too large")
    return data
