"""Pool of keep-alive HTTP connections to one server, built on httpcore's connections.

httpcore's own pool scans all of its connections on each request; with a few hundred
streams that took more CPU time than the requests themselves (8.5 ms per request at
55 requests per second). This pool pops the most recently used idle connection from a
stack instead.
"""

import contextlib

import httpcore

CONNECT_TIMEOUT_S = 1.0
WRITE_TIMEOUT_S = 30.0
KEEPALIVE_S = 60.0
MAX_IDLE_CONNECTIONS = 64

NETWORK_ERRORS = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
    httpcore.ConnectionNotAvailable,
)
CONNECT_ERRORS = (httpcore.ConnectError, httpcore.ConnectTimeout)


class ConnectionPool:
    """Reuses connections to the server at ``IP:PORT``.

    ``backend`` is the httpcore network backend; tests pass one that works in memory.
    """

    def __init__(self, address, backend=None):
        host, _, port = address.rpartition(":")
        self._origin = httpcore.Origin(b"http", host.strip("[]").encode(), int(port))
        self._host_header = (b"Host", address.encode())
        self._backend = backend
        self._idle_connections = []

    async def aclose(self):
        idle, self._idle_connections = self._idle_connections, []
        for connection in idle:
            await connection.aclose()

    async def request(self, method, path, headers=(), content=b"", *, read_timeout):
        """Sends a request and returns (status, headers, body).

        Raises the errors of httpcore, see NETWORK_ERRORS. ``read_timeout`` is in
        seconds.
        """
        async with self.stream(
            method, path, headers, content, read_timeout=read_timeout
        ) as response:
            body = await response.aread()
            return response.status, response.headers, body

    @contextlib.asynccontextmanager
    async def stream(self, method, path, headers=(), content=b"", *, read_timeout):
        """Sends a request and yields the response, whose body can still be arriving."""
        connection = self._acquire()
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
        if connection.is_idle() and len(self._idle_connections) < MAX_IDLE_CONNECTIONS:
            self._idle_connections.append(connection)
        else:
            await connection.aclose()

    def _acquire(self):
        while self._idle_connections:
            connection = self._idle_connections.pop()
            if not connection.has_expired():
                return connection
        return httpcore.AsyncHTTPConnection(
            self._origin, keepalive_expiry=KEEPALIVE_S, network_backend=self._backend
        )
