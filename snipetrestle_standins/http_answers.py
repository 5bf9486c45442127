"""Plain ASGI helpers shared by the stand-ins of the platform."""

import urllib.parse


async def answer(send, status, body=b"", headers=()):
    await send(
        {"type": "http.response.start", "status": status, "headers": list(headers)}
    )
    await send({"type": "http.response.body", "body": body})


async def run_lifespan(receive, send):
    """Accepts the start and stop messages of an ASGI server."""
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return


def query_of(scope):
    pairs = urllib.parse.parse_qsl(scope["query_string"].decode())
    return dict(pairs)


def revision_header(revision):
    return (b"etag", b'"%d"' % revision)
