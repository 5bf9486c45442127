"""Reading and checking of the PEM files that the settings name."""

import pathlib
import ssl

import msgspec


class PemFiles(msgspec.Struct, frozen=True):
    """Contents of the PEM files of one listener. ``authority`` may be empty."""

    certificate: bytes
    key: bytes
    authority: bytes = b""


def read_pem_files(files):
    """Reads the files of a ``TlsFiles``. Raises OSError or ssl.SSLError.

    Loading them into an SSL context checks that key and certificate match. That fails
    while only one of the files has been replaced; the next reload reads both.
    """
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(files.certificate, files.key)
    authority = b""
    if files.authority is not None:
        context.load_verify_locations(files.authority)
        authority = pathlib.Path(files.authority).read_bytes()
    return PemFiles(
        certificate=pathlib.Path(files.certificate).read_bytes(),
        key=pathlib.Path(files.key).read_bytes(),
        authority=authority,
    )
