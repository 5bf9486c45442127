"""One HTTP request of a caller and its answer, over ASGI."""

import anyio
import msgspec

from snipetrestle.callers.refusals import error_body, error_headers
from snipetrestle.codes import ResultCode, ServingError

_encoder = msgspec.json.Encoder()
JSON_TYPE = (b"content-type", b"application/json")


class Exchange:
    """Reads a request within its bounds and writes its answer."""

    __slots__ = ("method", "path", "headers", "started", "_receive", "_send", "_intake")

    def __init__(self, scope, receive, send, intake):
        self.method = scope["method"]
        self.path = scope["path"]
        self.headers = dict(scope["headers"])
        self.started = False
        self._receive = receive
        self._send = send
        self._intake = intake

    def header(self, name):
        """Returns a header's text, or None."""
        value = self.headers.get(name)
        return None if value is None else value.decode("latin-1").strip()

    async def read_body(self):
        """Returns the whole body. Raises ServingError, or CallerGone."""
        limit = self._intake.max_body_bytes
        length = self.header(b"content-length")
        if length is not None and length.isdigit() and int(length) > limit:
            raise _too_large(length, limit)
        body = bytearray()
        with anyio.move_on_after(self._intake.body_timeout_s):
            while True:
                message = await self._receive()
                if message["type"] == "http.disconnect":
                    raise CallerGone
                body += message["body"]
                if len(body) > limit:
                    raise _too_large(f"more than {limit}", limit)
                if not message["more_body"]:
                    return bytes(body)
        raise ServingError(
            ResultCode.REQUEST_TIMEOUT,
            f"the body did not arrive within {self._intake.body_timeout_s:g} s",
        )

    async def wait_gone(self):
        """Returns once the caller has closed the connection."""
        while (await self._receive())["type"] != "http.disconnect":
            pass

    async def start(self, status, headers):
        self.started = True
        await self._send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )

    async def write(self, data):
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    async def end(self, data=b""):
        await self._send({"type": "http.response.body", "body": data})

    async def answer(self, status, body, headers):
        """Sends a whole answer."""
        length = (b"content-length", b"%d" % len(body))
        await self.start(status, [*headers, length])
        await self.end(body)

    async def answer_json(self, item, status=200, headers=()):
        await self.answer(status, _encoder.encode(item), [JSON_TYPE, *headers])

    async def answer_error(self, error, headers=()):
        """Sends a ServingError as the whole answer."""
        more = [*headers]
        if error.code in (ResultCode.BODY_TOO_LARGE, ResultCode.REQUEST_TIMEOUT):
            # The rest of the body would be taken for the next request.
            more.append((b"connection", b"close"))
        await self.answer(
            error.code.http_status, error_body(error), error_headers(error) + more
        )


class CallerGone(Exception):
    """The caller closed the connection."""


def _too_large(size, limit):
    return ServingError(
        ResultCode.BODY_TOO_LARGE,
        field="body",
        value=f"{size} bytes",
        rule=f"must have at most {limit} bytes",
    )
