"""Random sequences of requests on one connection, and the answer that each must get."""

import dataclasses

from snipetrestle_standins.gateway_fleet import HOSTNAME, MODEL

MAX_REQUESTS = 6
MAX_BODY_BYTES = 3000
CALL_PATHS = ("lookup", "entry")
STREAM_PATHS = ("draft", "night")
METHODS = ("GET", "HEAD", "POST", "PUT", "OPTIONS", "DELETE")
OFFERS = (
    ["Connection: Upgrade, HTTP2-Settings", "Upgrade: h2c", "HTTP2-Settings: AAMA"],
    ["Connection: keep-alive, Upgrade", "Upgrade: websocket"],
    ["Connection: upgrade", "Upgrade: TLS/1.0, another/2"],
    ["Upgrade: h2c"],
)
# Larger than the limits of the stand-ins' configuration.
HUGE_FIELD = "X-Filler: " + "x" * 20_000
HUGE_LENGTH = 100_000_000


@dataclasses.dataclass
class SequenceRequest:
    """A request as it is sent, and what must come of it.

    ``blank_lines`` are sent before ``content``, which follows late if ``is_late``.
    ``held_body`` is sent only after an interim response; ``may_continue`` tells whether
    one may come. ``status`` is None for bytes that must get no answer, and ``id`` is
    None if the answer has none. ``path`` is None for a request that reaches no replica.
    """

    method: str
    content: bytes
    status: int | None
    id: str | None = None
    path: str | None = None
    body: bytes = b""
    held_body: bytes = b""
    may_continue: bool = False
    is_stream: bool = False
    closes: bool = False
    blank_lines: bytes = b""
    is_late: bool = False


def _encode(start, *lines):
    return "\r\n".join([start, *lines]).encode("latin-1") + b"\r\n\r\n"


class SequenceMaker:
    """Makes the requests of one sequence. ``rng`` decides, ``name`` begins their ids."""

    def __init__(self, rng, name):
        self._rng = rng
        self._name = name
        self._count = 0

    def make(self):
        """Returns a list of SequenceRequests.

        After one that ends the connection, more may follow, which must get no answer.
        """
        rng = self._rng
        requests = [self._sound() for _ in range(rng.randint(0, MAX_REQUESTS))]
        followers = [self._sound() for _ in range(rng.randint(0, 2))]
        if rng.random() < 0.02:
            # What follows would belong to its head.
            return self._silence_after_end([*requests, self._unfinished()])
        if not requests or rng.random() < 0.4:
            requests.append(self._malformed())
        return self._silence_after_end(requests + followers)

    def _silence_after_end(self, requests):
        """Marks what follows the end of the connection as unanswered."""
        has_ended = False
        for request in requests:
            if has_ended:
                request.status = request.path = None
                request.content += request.held_body
                request.held_body = b""
            has_ended = has_ended or request.closes
        return requests

    def _next_id(self):
        self._count += 1
        return f"{self._name}r{self._count}"

    def _sound(self):
        rng = self._rng
        make = rng.choices(
            (self._call, self._stream, self._unknown, self._for_server), (8, 2, 1, 1)
        )[0]
        request = make()
        if rng.random() < 0.1:
            request.blank_lines = b"\r\n" * rng.randint(1, 2)
            request.is_late = rng.random() < 0.05
        return request

    def _call(self):
        request_id = self._next_id()
        method = self._rng.choice(METHODS)
        path = f"/{self._rng.choice(CALL_PATHS)}/{request_id}"
        return self._request(method, path, request_id, 200, path)

    def _stream(self):
        request_id = self._next_id()
        method = self._rng.choice(("POST", "POST", "HEAD"))
        path = f"/{self._rng.choice(STREAM_PATHS)}/{request_id}"
        return self._request(
            method, path, request_id, 200, path, [f"X-Model: {MODEL}"], is_stream=True
        )

    def _unknown(self):
        request_id = self._next_id()
        method = self._rng.choice(METHODS)
        return self._request(method, f"/unknown/{request_id}", request_id, 404)

    def _for_server(self):
        return self._request("OPTIONS", "*", self._next_id(), 404)

    def _request(
        self, method, target, request_id, status, path=None, lines=(), **fields
    ):
        """Returns a sound request with random framing, offers and expectations."""
        rng = self._rng
        # A stream's chunks cannot be read by callers of HTTP/1.0.
        is_old = rng.random() < 0.05 and not fields
        version = "1.0" if is_old else "1.1"
        lines = [f"Host: {HOSTNAME}", f"X-Request-Id: {request_id}", *lines]
        if rng.random() < 0.25:
            lines += rng.choice(OFFERS)
        closes = is_old and not any("keep-alive" in line for line in lines)
        if rng.random() < 0.08:
            lines.append("Connection: close")
            closes = True
        body, framing, encoded = self._body(version)
        lines += framing
        held_body = b""
        may_continue = False
        if rng.random() < 0.2:
            expectation = rng.choice(("100-continue", "100-Continue", "other"))
            lines.append(f"Expect: {expectation}")
            is_known = expectation != "other" and version == "1.1"
            may_continue = is_known and bool(encoded)
            if may_continue and rng.random() < 0.5:
                held_body, encoded = encoded, b""
        rng.shuffle(lines)
        return SequenceRequest(
            method,
            _encode(f"{method} {target} HTTP/{version}", *lines) + encoded,
            status,
            request_id,
            path,
            body,
            held_body=held_body,
            may_continue=may_continue,
            closes=closes,
            **fields,
        )

    def _body(self, version):
        """Returns (body, lines of the head, encoded body)."""
        rng = self._rng
        kinds = ("none", "length", "chunks") if version == "1.1" else ("none", "length")
        kind = rng.choice(kinds)
        if kind == "none":
            return b"", [], b""
        # Looks like another request, so that wrong framing shows.
        decoy = f"GET /entry/{self._name}decoy HTTP/1.1\r\nHost: {HOSTNAME}\r\n\r\n"
        body = rng.choice(
            (b"", b"x", decoy.encode(), rng.randbytes(rng.randint(2, MAX_BODY_BYTES)))
        )
        if kind == "length":
            return body, [f"Content-Length: {len(body)}"], body
        encoded = b""
        position = 0
        while position < len(body):
            chunk = body[position : position + rng.choice((1, 10, 500, 5000))]
            extension = b";a=b" if rng.random() < 0.1 else b""
            encoded += b"%x%b\r\n%b\r\n" % (len(chunk), extension, chunk)
            position += len(chunk)
        trailer = b"X-Request-Id: trailer\r\n" if rng.random() < 0.2 else b""
        return (
            body,
            ["Transfer-Encoding: chunked"],
            encoded + b"0\r\n" + trailer + b"\r\n",
        )

    def _malformed(self):
        """Returns a request that must be refused once, at the end of the connection."""
        rng = self._rng
        request_id = self._next_id()
        method = rng.choice(("GET", "HEAD", "POST"))
        path = f"/entry/{request_id}"
        start = f"{method} {path} HTTP/1.1"
        lines = [f"Host: {HOSTNAME}", f"X-Request-Id: {request_id}"]
        if rng.random() < 0.2:
            lines += rng.choice(OFFERS)
        if rng.random() < 0.2:
            lines.append("Expect: 100-continue")
        # Method as far as the answer is concerned, status, bytes.
        method, status, content = rng.choice(
            (
                (None, 400, _encode(f"BOGUS {path} HTTP/1.1", *lines)),
                (None, 400, b"\x00\x01\x02\r\n\r\n"),
                (None, 400, b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"),
                ("CONNECT", 400, _encode(f"CONNECT {path} HTTP/1.1", *lines)),
                ("CONNECT", 400, _encode("CONNECT example:443 HTTP/1.1", *lines)),
                (method, 400, _encode(f"{method} http://a{path} HTTP/1.1", *lines)),
                (method, 400, _encode(f"{method} * HTTP/1.1", *lines)),
                (method, 400, _encode(start, *lines, "No colon")),
                (method, 400, _encode(start, *lines, "Host: other")),
                (method, 400, _encode(start, *lines[1:])),
                (method, 400, _encode(start, lines[0])),
                (method, 400, _encode(start, *lines, "Content-Length: 1x")),
                (
                    method,
                    400,
                    _encode(
                        start,
                        *lines,
                        "Content-Length: 3",
                        "Transfer-Encoding: chunked",
                    )
                    + b"0\r\n\r\n",
                ),
                (
                    method,
                    400,
                    _encode(start, *lines, "Transfer-Encoding: chunked") + b"zz\r\n",
                ),
                (method, 400, _encode(f"{method} {path} HTTP/1.2", *lines)),
                (method, 413, _encode(start, *lines, f"Content-Length: {HUGE_LENGTH}")),
                (method, 431, _encode(start, *lines, HUGE_FIELD)),
            )
        )
        return SequenceRequest(method, content, status, closes=True, may_continue=True)

    def _unfinished(self):
        """Returns a head that breaks off, whose time will run out."""
        method = self._rng.choice(("GET", "HEAD"))
        content = f"{method} /entry/a HTTP/1.1\r\nHost: {HOSTNAME}\r\n".encode()
        return SequenceRequest(method, content, 408, closes=True)
