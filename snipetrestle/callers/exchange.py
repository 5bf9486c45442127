"""One HTTP request of a caller and its response, over ASGI."""

import anyio
import msgspec

from snipetrestle.callers.arrival import RequestArrival
from snipetrestle.callers.refusals import error_body, error_headers
from snipetrestle.codes import ResultCode, ServingError

_encoder = msgspec.json.Encoder()
JSON_TYPE = (b"content-type", b"application/json")


class Exchange:
    """Reads a request within the intake limits and writes its response."""

    __slots__ = (
        "method",
        "path",
        "headers",
        "response_started",
        "_receive",
        "_send",
        "_intake",
        "_arrival",
    )

    def __init__(self, scope, receive, send, intake):
        self.method = scope["method"]
        self.path = scope["path"]
        self.headers = dict(scope["headers"])
        self.response_started = False
        self._receive = receive
        self._send = send
        self._intake = intake
        self._arrival = RequestArrival.from_scope(scope)

    def header(self, name):
        """Returns a header's text, or None."""
        value = self.headers.get(name)
        return None if value is None else value.decode("latin-1").strip()

    async def read_body(self):
        """Returns the complete body. Raises ServingError or CallerDisconnected."""
        limit = self._intake.max_body_bytes
        length = self.header(b"content-length")
        if length is not None and length.isdigit() and int(length) > limit:
            raise _too_large(length, limit)
        body = bytearray()
        with anyio.move_on_after(self._intake.body_timeout_s):
            while True:
                message = await self._receive()
                if self._arrival.is_refused:
                    # The traceback of the error would keep it.
                    body.clear()
                self._arrival.raise_if_refused()
                if message["type"] == "http.disconnect":
                    raise CallerDisconnected
                body += message["body"]
                if len(body) > limit:
                    raise _too_large(f"more than {limit}", limit)
                if not message["more_body"]:
                    return bytes(body)
        raise ServingError(
            ResultCode.REQUEST_TIMEOUT,
            f"the body did not arrive within {self._intake.body_timeout_s:g} s",
        )

    async def wait_disconnected(self):
        """Returns once the caller has closed the connection."""
        while (await self._receive())["type"] != "http.disconnect":
            pass

    async def start_response(self, status, headers):
        """Sends the status and headers."""
        self.response_started = True
        await self._send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )

    async def write(self, data):
        """Sends a part of the body."""
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    async def end_response(self, data=b""):
        """Sends the last part of the body."""
        await self._send({"type": "http.response.body", "body": data})

    async def respond(self, status, body, headers):
        """Sends a complete response."""
        length = (b"content-length", b"%d" % len(body))
        await self.start_response(status, [*headers, length])
        await self.end_response(body)

    async def respond_json(self, item, status=200, headers=()):
        """Sends a struct or plain data as a complete JSON response."""
        await self.respond(status, _encoder.encode(item), [JSON_TYPE, *headers])

    async def respond_error(self, error, headers=()):
        """Sends a ServingError as the complete response."""
        extra_headers = [*headers]
        is_unread = error.code in (
            ResultCode.BODY_TOO_LARGE,
            ResultCode.REQUEST_TIMEOUT,
        )
        if is_unread or self._arrival.is_refused:
            # The unread rest of the body would be parsed as the next request.
            extra_headers.append((b"connection", b"close"))
        await self.respond(
            error.code.http_status,
            error_body(error),
            error_headers(error) + extra_headers,
        )


class CallerDisconnected(Exception):
    """The caller closed the connection."""


def _too_large(size, limit):
    return ServingError(
        ResultCode.BODY_TOO_LARGE,
        field="body",
        value=f"{size} bytes",
        rule=f"must have at most {limit} bytes",
    )
