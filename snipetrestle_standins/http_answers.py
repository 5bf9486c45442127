"""ASGI helpers that the stand-ins with an HTTP interface share."""

import urllib.parse


async def send_response(send, status, body=b"", headers=()):
    """Sends a whole response."""
    await send(
        {"type": "http.response.start", "status": status, "headers": list(headers)}
    )
    await send({"type": "http.response.body", "body": body})


async def run_lifespan(receive, send):
    """Acknowledges the lifespan messages of an ASGI server until shutdown."""
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return


def query_parameters(scope):
    """Returns the query parameters of a request by name."""
    pairs = urllib.parse.parse_qsl(scope["query_string"].decode())
    return dict(pairs)


def revision_header(revision):
    """Returns the ETag header of a revision."""
    return (b"etag", b'"%d"' % revision)
