"""Decodes content that other programs wrote, with one type of error for all of it."""

import msgspec


def decode(decoder, content):
    """Returns what a decoder of msgspec makes of ``content``.

    Raises msgspec.DecodeError, which is a ValueError, also for content that is nested
    too deeply; msgspec raises RecursionError for it.
    """
    try:
        return decoder.decode(content)
    except RecursionError:
        raise msgspec.DecodeError("the content is nested too deeply") from None
