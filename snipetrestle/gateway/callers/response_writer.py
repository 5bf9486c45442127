"""Writes responses to a caller's connection."""

from snipetrestle.codes import ResultCode

REASON_PHRASES_BY_STATUS = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    421: b"Misdirected Request",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
# Responses with these codes close the connection.
_CLOSING_CODES = frozenset(
    {
        ResultCode.MALFORMED_REQUEST,
        ResultCode.BODY_TOO_LARGE,
        ResultCode.HEADERS_TOO_LARGE,
        ResultCode.REQUEST_TIMEOUT,
    }
)


class ResponseWriter:
    """Base class of CallerConnection that formats its responses.

    The subclass has ``_write(data)`` and ``_closes_after_response``. ``keep_alive`` tells whether
    the connection stays open, and ``has_response`` whether the response to the current
    request has begun.
    """

    def __init__(self):
        self.keep_alive = True
        self.has_response = False
        # Whether the request that is answered is a HEAD request.
        self._is_head_request = False

    def send_response(self, status, headers, body):
        """Writes a complete response, without ``body`` to a HEAD request."""
        self.has_response = True
        head = self._format_head(status, headers, _length_header(len(body)))
        self._write(head if self._is_head_request else head + body)

    def send_head_response(self, status, headers, content_length):
        """Writes the response to a HEAD request.

        ``content_length`` is the length that a body would have, None if it is unknown.
        """
        self.has_response = True
        framing_header = b""
        if content_length is not None:
            framing_header = _length_header(content_length)
        self._write(self._format_head(status, headers, framing_header))

    def send_result_code(self, code, retry_after_s=None, request_id=None):
        """Writes a response that reports a result code, with the code as its body."""
        body = str(code).encode()
        headers = [(b"content-type", b"text/plain")]
        if request_id:
            headers.append((b"x-request-id", request_id))
        if retry_after_s is not None:
            headers.append((b"retry-after", b"%g" % retry_after_s))
        if code in _CLOSING_CODES:
            self.keep_alive = False
        self.send_response(code.http_status, headers, body)

    def start_stream(self, status, headers):
        """Writes the head of a response with a chunked body."""
        self.has_response = True
        self._write(
            self._format_head(status, headers, b"transfer-encoding: chunked\r\n")
        )

    def end_stream(self):
        """Writes the end of a chunked body."""
        self._write(b"0\r\n\r\n")

    def _format_head(self, status, headers, framing_header):
        stays_open = self.keep_alive and not self._closes_after_response
        if not stays_open:
            self.keep_alive = False
        lines = [
            b"HTTP/1.1 %d %b\r\n"
            % (status, REASON_PHRASES_BY_STATUS.get(status, b"Status"))
        ]
        lines += [b"%b: %b\r\n" % (name, value) for name, value in headers]
        lines.append(framing_header)
        lines.append(b"\r\n" if stays_open else b"connection: close\r\n\r\n")
        return b"".join(lines)


def _length_header(content_length):
    return b"content-length: %d\r\n" % content_length
