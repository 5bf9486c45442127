"""Tests of the bound of the connections that all pools of a process may open."""

import asyncio

import anyio
import testtools

from snipetrestle.http_connections import (
    CONNECT_ERRORS,
    ConnectionPool,
    ServerConnections,
    TooManyConnections,
)

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
CALL_TIMEOUT_S = 5.0


class Server:
    """A server that answers each request once ``may_answer`` is set."""

    def __init__(self):
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        self.open_count = 0
        self._server = None

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self

    async def __aexit__(self, *details):
        self._server.close()

    @property
    def url(self):
        ip, port = self._server.sockets[0].getsockname()
        return f"http://{ip}:{port}"

    async def _serve(self, reader, writer):
        self.open_count += 1
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                await self.may_answer.wait()
                writer.write(ANSWER)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.open_count -= 1
            writer.close()


class ServerConnectionsTest(testtools.TestCase):
    def run_with(self, function, max_open):
        async def main():
            async with Server() as server:
                await function(server, ServerConnections(max_open))

        anyio.run(main)

    async def call(self, pool, reuse=False):
        status, _, _ = await pool.request(
            "GET", "/", timeout=CALL_TIMEOUT_S, reuse=reuse
        )
        self.assertEqual(200, status)

    def test_idle_connection_gives_way(self):
        """Idle connections of one server must not keep calls from another."""

        async def check(server, connections):
            first = ConnectionPool(server.url, connections=connections)
            second = ConnectionPool(server.url, connections=connections)
            await self.call(first, reuse=True)
            self.assertEqual(1, connections.count)
            await self.call(second, reuse=True)
            self.assertEqual(1, connections.count)
            self.assertFalse(first.has_idle)

        self.run_with(check, 1)

    def test_call_without_room_is_refused_before_it_is_sent(self):
        """Calls took all descriptors of the process. Those of engines go on."""

        async def check(server, connections):
            pool = ConnectionPool(server.url, connections=connections)
            engine = ConnectionPool(server.url, connections=connections, essential=True)
            server.may_answer.clear()
            async with anyio.create_task_group() as group:
                group.start_soon(self.call, pool)
                while not server.open_count:  # noqa: ASYNC110 - the server is polled
                    await anyio.sleep(0.01)
                error = await self.error_of(pool)
                self.assertIsInstance(error, TooManyConnections)
                self.assertIsInstance(error, CONNECT_ERRORS)
                group.start_soon(self.call, engine)
                while server.open_count < 2:  # noqa: ASYNC110 - the server is polled
                    await anyio.sleep(0.01)
                server.may_answer.set()
            self.assertEqual(0, connections.count)
            await self.call(pool)

        self.run_with(check, 1)

    async def error_of(self, pool):
        try:
            await self.call(pool)
        except CONNECT_ERRORS as error:
            return error
        return None

    def test_failed_connections_count_no_more(self):
        """A server that refuses connections must not use up the bound."""

        async def check(server, connections):
            url = server.url
            server._server.close()
            pool = ConnectionPool(url, connections=connections)
            for _ in range(3):
                self.assertIsInstance(await self.error_of(pool), CONNECT_ERRORS)
            self.assertEqual(0, connections.count)

        self.run_with(check, 1)
