"""Kept-alive HTTP connections to one server, over httpcore's connections.

httpcore's pool looks at all of its connections at each request; with a few hundred
streams that took more processor time than the requests themselves (8.5 ms a request at
55 requests per second). Here the latest idle connection is taken from a stack.
"""

import contextlib

import httpcore

CONNECT_TIMEOUT_S = 1.0
WRITE_TIMEOUT_S = 30.0
KEEPALIVE_S = 60.0
MAX_IDLE = 64

NETWORK_ERRORS = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
    httpcore.ConnectionNotAvailable,
)
CONNECT_ERRORS = (httpcore.ConnectError, httpcore.ConnectTimeout)


class Connections:
    """Connections to ``IP:PORT``. ``backend`` is httpcore's network, for tests."""

    def __init__(self, address, backend=None):
        host, _, port = address.rpartition(":")
        self._origin = httpcore.Origin(b"http", host.strip("[]").encode(), int(port))
        self._host_header = (b"Host", address.encode())
        self._backend = backend
        self._idle = []

    async def aclose(self):
        idle, self._idle = self._idle, []
        for connection in idle:
            await connection.aclose()

    async def request(self, method, path, headers=(), content=b"", *, read_timeout):
        """Returns (status, headers, body). Raises httpcore's errors."""
        async with self.stream(
            method, path, headers, content, read_timeout=read_timeout
        ) as response:
            body = await response.aread()
            return response.status, response.headers, body

    @contextlib.asynccontextmanager
    async def stream(self, method, path, headers=(), content=b"", *, read_timeout):
        """Yields the response while its body arrives."""
        connection = self._take()
        request = httpcore.Request(
            method,
            httpcore.URL(
                scheme=b"http",
                host=self._origin.host,
                port=self._origin.port,
                target=path.encode("ascii"),
            ),
            headers=[
                self._host_header,
                *headers,
                (b"Content-Length", b"%d" % len(content)),
            ],
            content=content,
            extensions={
                "timeout": {
                    "connect": min(CONNECT_TIMEOUT_S, read_timeout),
                    "read": read_timeout,
                    "write": WRITE_TIMEOUT_S,
                }
            },
        )
        try:
            response = await connection.handle_async_request(request)
            try:
                yield response
            finally:
                await response.aclose()
        except BaseException:
            with contextlib.suppress(*NETWORK_ERRORS):
                await connection.aclose()
            raise
        if connection.is_idle() and len(self._idle) < MAX_IDLE:
            self._idle.append(connection)
        else:
            await connection.aclose()

    def _take(self):
        while self._idle:
            connection = self._idle.pop()
            if not connection.has_expired():
                return connection
        return httpcore.AsyncHTTPConnection(
            self._origin, keepalive_expiry=KEEPALIVE_S, network_backend=self._backend
        )
