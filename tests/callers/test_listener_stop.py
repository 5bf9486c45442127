"""Tests of what a listener answers while it stops, over loopback."""

import asyncio
import socket
import time

import anyio
import testtools

from snipetrestle.callers.listener import (
    CLOSE_TIMEOUT_S,
    FIRST_REQUEST_WAIT_S,
    _Server,
    make_uvicorn_config,
)
from tests.systems import with_own_system
from tests.waiting import wait_until

REQUEST = b"GET /healthz HTTP/1.1\r\nHost: entry\r\n\r\n"
BODY = b"x" * 200_000
SMALL_BUFFER_BYTES = 4096
TEST_TIMEOUT_S = 20.0
IDLE_TIMEOUT_S = 0.5


async def answer_slowly(scope, receive, send):
    """Answers each request after a short time, with a long body."""
    await anyio.sleep(0.2)
    headers = [(b"content-length", b"%d" % len(BODY))]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body", "body": BODY})


async def start_server(**changes):
    config = make_uvicorn_config(answer_slowly)
    for name, value in changes.items():
        setattr(config, name, value)
    config.load()
    server = _Server(config)
    server.lifespan = config.lifespan_class(config)
    await server.startup()
    return server


def connect(server, buffer_bytes=None):
    """Returns a connected socket; nothing is awaited, so it waits in the kernel."""
    sock = socket.socket()
    if buffer_bytes:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
    sock.connect(server.servers[0].sockets[0].getsockname())
    sock.setblocking(False)
    return sock


async def read_response(sock):
    """Reads one complete response."""
    content = b""
    while content.count(b"x") < len(BODY):
        content += await asyncio.get_running_loop().sock_recv(sock, 65_536)


async def read_responses(sock):
    """Returns how many complete responses come until the connection ends."""
    content = b""
    while data := await asyncio.get_running_loop().sock_recv(sock, 65_536):
        content += data
    sock.close()
    heads = content.count(b"HTTP/1.1 200")
    return heads if content.count(b"x") == heads * len(BODY) else 0


class ListenerStopTest(testtools.TestCase):
    def run_with_server(self, function, **changes):
        async def main():
            with anyio.fail_after(TEST_TIMEOUT_S):
                server = await start_server(**changes)
                await function(server)

        anyio.run(main)

    @with_own_system("run_with_server")
    async def test_connections_that_only_the_kernel_has_accepted_are_answered(
        self, server
    ):
        """They were reset, unread, when the listener closed its port."""
        sockets = [connect(server) for _ in range(3)]
        for sock in sockets:
            sock.send(REQUEST)
        stop_task = asyncio.create_task(server.shutdown())
        for sock in sockets:
            self.assertEqual(1, await read_responses(sock))
        await stop_task

    @with_own_system("run_with_server")
    async def test_first_request_of_a_new_connection_is_answered(self, server):
        """A connection was closed if its request came just after the port's close."""
        sock = connect(server)
        await anyio.sleep(0.05)
        stop_task = asyncio.create_task(server.shutdown())
        await anyio.sleep(0.05)
        sock.send(REQUEST)
        self.assertEqual(1, await read_responses(sock))
        await stop_task

    @with_own_system("run_with_server")
    async def test_silent_connections_hold_up_the_stop_briefly(self, server):
        """A stop must not wait for connections that send nothing."""
        sock = connect(server)
        await anyio.sleep(FIRST_REQUEST_WAIT_S)
        started = anyio.current_time()
        await server.shutdown()
        self.assertLess(anyio.current_time() - started, FIRST_REQUEST_WAIT_S)
        self.assertEqual(0, await read_responses(sock))

    @with_own_system("run_with_server")
    async def test_pipelined_requests_are_answered(self, server):
        """Guards against a close after the first of two requests."""
        sock = connect(server)
        sock.send(REQUEST + REQUEST)
        await anyio.sleep(0.1)
        stop_task = asyncio.create_task(server.shutdown())
        self.assertEqual(2, await read_responses(sock))
        await stop_task

    @with_own_system("run_with_server")
    async def test_unsent_rest_of_a_response_is_sent(self, server):
        """Guards against a stop that drops what a slow caller has not yet read."""
        sock = connect(server, SMALL_BUFFER_BYTES)
        sock.send(REQUEST)
        await anyio.sleep(0.1)
        stop_task = asyncio.create_task(server.shutdown())
        await anyio.sleep(1.0)
        self.assertEqual(1, await read_responses(sock))
        await stop_task

    @with_own_system("run_with_server")
    async def test_request_that_has_arrived_as_idle_connections_are_closed_is_answered(
        self, server
    ):
        """A request in the socket of an idle connection was reset, unread."""
        sock = connect(server)
        sock.send(REQUEST)
        await read_response(sock)
        sock.send(REQUEST)
        stop_task = asyncio.create_task(server.shutdown())
        self.assertEqual(1, await read_responses(sock))
        await stop_task

    @with_own_system("run_with_server", timeout_keep_alive=IDLE_TIMEOUT_S)
    async def test_request_that_has_arrived_as_the_idle_limit_passes_is_answered(
        self, server
    ):
        """A request that arrived in the turn of the event loop in which the limit of its
        connection passed was reset, unread."""
        sock = connect(server)
        sock.send(REQUEST)
        await read_response(sock)
        loop = asyncio.get_running_loop()
        # Both timers run in one turn of the event loop, this one first.
        loop.call_later(IDLE_TIMEOUT_S - 0.05, sock.send, REQUEST)
        await asyncio.sleep(IDLE_TIMEOUT_S - 0.2)
        time.sleep(0.3)  # noqa: ASYNC251 - a turn that takes long
        await read_response(sock)
        sock.close()
        await server.shutdown()

    @with_own_system("run_with_server")
    async def test_late_request_does_not_destroy_the_response_before_it(self, server):
        """A pipelined request behind the last response of a stop caused a reset, which
        discarded what the caller had not read."""
        sock = connect(server, SMALL_BUFFER_BYTES)
        sock.send(REQUEST)
        await wait_until(lambda: server.server_state.tasks)
        stop_task = asyncio.create_task(server.shutdown())
        await stop_task
        sock.send(REQUEST)
        await asyncio.sleep(0.1)
        try:
            count = await read_responses(sock)
        except ConnectionError:
            count = 0
        self.assertEqual(1, count)
        sock.close()

    @with_own_system("run_with_server")
    async def test_line_end_in_the_socket_does_not_hold_up_the_stop(self, server):
        """Bytes that begin no request kept an idle connection open in a stop, until
        CLOSE_TIMEOUT_S was over."""
        sock = connect(server)
        sock.send(REQUEST)
        await read_response(sock)
        sock.send(b"\r\n")
        started = anyio.current_time()
        await server.shutdown()
        self.assertLess(anyio.current_time() - started, CLOSE_TIMEOUT_S / 2)
        sock.close()

    @with_own_system("run_with_server")
    async def test_idle_connection_is_ended_before_a_later_request_can_arrive(
        self, server
    ):
        """The caller was told of the close only in a later turn of the event loop, so
        what it sent until then was reset, unread."""
        sock = connect(server)
        await wait_until(lambda: server.server_state.connections)
        (connection,) = server.server_state.connections
        connection.shutdown()
        # Still in the turn in which the connection was found to be idle.
        try:
            end = sock.recv(1000)
        except BlockingIOError:
            end = None
        self.assertEqual(b"", end)
        sock.close()
