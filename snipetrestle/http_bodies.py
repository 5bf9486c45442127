"""Reads bodies of HTTP answers within a limit."""

import httpcore


async def read_body(response, max_bytes):
    """Returns the body of an httpcore response.

    Raises httpcore.RemoteProtocolError if it is larger than ``max_bytes``.
    """
    chunks = []
    size = 0
    async for chunk in response.aiter_stream():
        size += len(chunk)
        if size > max_bytes:
            raise httpcore.RemoteProtocolError("the answer is too large")
        chunks.append(chunk)
    return b"".join(chunks)
