"""Tests of requests that arrive in the moment in which their connection is closed."""

import asyncio
import contextlib
import socket
import time

import anyio
import testtools

from snipetrestle.gateway import transfers
from snipetrestle.gateway.callers import http_listener, http_server
from snipetrestle.gateway.callers.http_server import MIN_IDLE_MARGIN_S, CallerConnection
from snipetrestle.gateway.publication import snapshots
from snipetrestle.platform.calls import StoreSource
from snipetrestle.publication.sources import SourceUnreachable
from snipetrestle_standins.gateway_fleet import HOSTNAME, MODEL, configuration
from tests.gateway.running import run_fleet
from tests.systems import with_system
from tests.waiting import wait_until

IDLE_TIMEOUT_S = 0.5
SMALL_BUFFER_BYTES = 4096
MAX_CONNECTIONS = 8
# More than the sockets of a connection buffer.
SNAPSHOT_BYTES = 16_000_000


def request_bytes(path="/entry/a"):
    return (
        f"POST {path} HTTP/1.1\r\nHost: {HOSTNAME}\r\nX-Request-Id: {path}\r\n"
        "Content-Length: 0\r\n\r\n"
    ).encode()


def stream_request(path="/draft/a"):
    """Returns a request for a stream."""
    return request_bytes(path).replace(
        b"Content-Length", f"X-Model: {MODEL}\r\nContent-Length".encode()
    )


class BlockingCaller:
    """A caller whose bytes are in the gateway's socket as soon as ``send`` returns."""

    @classmethod
    async def connect(cls, gateway, buffer_bytes=None):
        sock = socket.socket()
        if buffer_bytes is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
        sock.connect(gateway.settings.callers)
        sock.setblocking(False)
        await wait_until(lambda: gateway.caller_server.connections)
        return cls(sock)

    def __init__(self, sock):
        self._sock = sock

    def send(self, data):
        self._sock.sendall(data)

    async def _receive(self):
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(5.0):
                return await loop.sock_recv(self._sock, 65_536)
        except ConnectionError:
            return b""

    async def read_status(self):
        """Returns the status of the next response, 0 if the connection ended."""
        data = await self._receive()
        return int(data.split(b" ")[1]) if data else 0

    async def read_to_end(self):
        """Returns all bytes until the connection ends."""
        parts = []
        while data := await self._receive():
            parts.append(data)
        return b"".join(parts)

    def close(self):
        self._sock.close()


class ClosingConnectionTest(testtools.TestCase):
    async def connect_with_idle_limit(self, fleet):
        """Returns a caller that is idle from now on, with the limit IDLE_TIMEOUT_S."""
        fleet.store.put(
            "op/config",
            configuration(version=2, idle_timeout_ms=IDLE_TIMEOUT_S * 1000),
        )
        gateway = fleet.live[0]
        await wait_until(lambda: gateway.state.configuration.version == 2)
        caller = await BlockingCaller.connect(gateway)
        self.addCleanup(caller.close)
        caller.send(request_bytes())
        self.assertEqual(200, await caller.read_status())
        return caller

    @with_system(run_fleet)
    async def test_request_that_has_arrived_as_idle_connections_are_closed_is_answered(
        self, fleet
    ):
        """In a planned stop, a request in the socket of an idle connection was lost."""
        gateway = fleet.live[0]
        caller = await BlockingCaller.connect(gateway)
        self.addCleanup(caller.close)
        caller.send(request_bytes())
        self.assertEqual(200, await caller.read_status())
        caller.send(request_bytes())
        gateway.caller_server.close_idle_connections()
        self.assertEqual(200, await caller.read_status())

    @with_system(run_fleet)
    async def test_request_that_has_arrived_as_the_idle_limit_passes_is_answered(
        self, fleet
    ):
        """A request that arrived in the turn of the event loop in which the limit of its
        connection passed was lost."""
        caller = await self.connect_with_idle_limit(fleet)
        loop = asyncio.get_running_loop()
        started = loop.time()
        # Runs in the same turn as the connection's own timer, and after it.
        kept_s = IDLE_TIMEOUT_S + MIN_IDLE_MARGIN_S
        loop.call_at(started + kept_s, caller.send, request_bytes())
        await asyncio.sleep(kept_s - 0.1)
        time.sleep(0.2)  # noqa: ASYNC251 - a turn that takes long
        self.assertEqual(200, await caller.read_status())

    @with_system(run_fleet)
    async def test_request_that_is_sent_at_the_idle_limit_is_answered(self, fleet):
        """The connection was closed at the limit, so the request crossed the close."""
        caller = await self.connect_with_idle_limit(fleet)
        await asyncio.sleep(IDLE_TIMEOUT_S + 0.01)
        caller.send(request_bytes())
        self.assertEqual(200, await caller.read_status())

    @with_system(run_fleet)
    async def test_request_that_has_arrived_as_a_stream_ends_in_a_stop_is_answered(
        self, fleet
    ):
        """A stream that began before a stop had promised to keep its connection open."""
        gateway = fleet.live[0]
        for replica in fleet.models:
            replica.event_interval_s = 0.05
        caller = await BlockingCaller.connect(gateway)
        self.addCleanup(caller.close)
        end_stream = CallerConnection.end_stream

        def end_stream_and_send(connection):
            end_stream(connection)
            caller.send(request_bytes())

        self.patch(CallerConnection, "end_stream", end_stream_and_send)
        caller.send(stream_request())
        self.assertEqual(200, await caller.read_status())
        gateway.caller_server.start_draining()
        self.assertIn(b"HTTP/1.1 200 OK", await caller.read_to_end())

    @with_system(run_fleet)
    async def test_late_request_does_not_destroy_the_response_before_it(self, fleet):
        """A pipelined request that came behind an announced end caused a reset, which
        discarded what the caller had not read of its response."""
        gateway = fleet.live[0]
        for replica in fleet.models:
            replica.event_padding = 16_000
        caller = await BlockingCaller.connect(gateway, SMALL_BUFFER_BYTES)
        self.addCleanup(caller.close)
        (connection,) = gateway.caller_server.connections
        gateway.caller_server.start_draining()
        caller.send(stream_request())
        await wait_until(lambda: connection.has_response and not connection.busy)
        caller.send(request_bytes())
        await asyncio.sleep(0.1)
        self.assertTrue((await caller.read_to_end()).endswith(b"\r\n0\r\n\r\n"))

    @with_system(run_fleet)
    async def test_idle_connections_are_not_all_ended_in_one_turn(self, fleet):
        """What arrived during the turn that ended a hundred connections was lost."""
        gateway = fleet.live[0]
        callers = [await BlockingCaller.connect(gateway) for _ in range(30)]
        for caller in callers:
            self.addCleanup(caller.close)
            caller.send(request_bytes())
            self.assertEqual(200, await caller.read_status())
        ended = []
        write_end = http_server.write_end

        def write_end_and_send(transport):
            write_end(transport)
            ended.append(transport)
            if len(ended) == 1:
                # Requests arrive while the first connection is being ended.
                for caller in callers:
                    caller.send(request_bytes())

        self.patch(http_server, "write_end", write_end_and_send)
        # Shows nothing that has come since the event loop read the sockets.
        self.patch(http_server, "count_unread_bytes", lambda transport: 0)
        gateway.caller_server.close_idle_connections()
        statuses = [await caller.read_status() for caller in callers]
        self.assertEqual(29, statuses.count(200))

    @with_system(run_fleet)
    async def test_idle_connections_are_not_ended_while_a_configuration_arrives(
        self, fleet
    ):
        """Requests queued behind it on the host's link, and crossed the end."""
        gateway = fleet.live[0]
        caller = await BlockingCaller.connect(gateway)
        self.addCleanup(caller.close)
        caller.send(request_bytes())
        self.assertEqual(200, await caller.read_status())
        with gateway.transfers.in_progress():
            gateway.caller_server.close_idle_connections()
            await asyncio.sleep(0.3)
            self.assertTrue(gateway.caller_server.is_engaged)
            caller.send(request_bytes())
            self.assertEqual(200, await caller.read_status())
            other = await BlockingCaller.connect(gateway)
            self.addCleanup(other.close)
        await wait_until(lambda: not gateway.caller_server.connections)

    @with_system(run_fleet)
    async def test_request_that_comes_before_the_end_of_its_connection_is_served_at_once(
        self, fleet
    ):
        """It waited until the transfer had ended, or for the end of the process."""
        self.patch(http_listener, "MAX_BUSY_IN_STOP_S", 60.0)
        gateway = fleet.live[0]
        caller = await BlockingCaller.connect(gateway)
        self.addCleanup(caller.close)
        caller.send(request_bytes())
        self.assertEqual(200, await caller.read_status())
        with gateway.transfers.in_progress():
            gateway.caller_server.close_idle_connections()
            (connection,) = gateway.caller_server.connections
            await wait_until(lambda: connection.awaits_end)
            caller.send(request_bytes())
            self.assertEqual(200, await caller.read_status())


class TransfersTest(testtools.TestCase):
    @with_system(anyio.run)
    async def test_transfer_without_end_holds_up_nobody_for_long(self):
        tracked = transfers.Transfers()
        with tracked.in_progress():
            async with asyncio.timeout(1.0):
                await tracked.wait_until_quiet(0.1)
                await tracked.wait_until_quiet(0.1)

    @with_system(anyio.run)
    async def test_answer_of_the_store_is_a_transfer_until_its_end(self):
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{")
            await rest_wanted.wait()
            writer.write(b'"items":1234}'[1:])
            writer.close()

        rest_wanted = asyncio.Event()
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        async with server:
            source = StoreSource(*server.sockets[0].getsockname())
            read = asyncio.create_task(source.read("op/"))
            await wait_until(lambda: source.transfers.is_active)
            rest_wanted.set()
            await asyncio.wait({read})
            self.assertIsInstance(read.exception(), SourceUnreachable)
        self.assertFalse(source.transfers.is_active)

    @with_system(anyio.run)
    async def test_snapshot_for_another_host_is_a_transfer_until_it_is_received(self):
        """The end of a connection queues behind it, and its caller learns of it late."""
        content = b"x" * SNAPSHOT_BYTES
        self.patch(snapshots, "pack_content", lambda _: content)
        self.patch(snapshots.Snapshots, "_content", lambda *_: content)
        tracked = transfers.Transfers()
        served = snapshots.Snapshots(None, None, None, tracked)
        server = served.serve(("127.0.0.1", 0), MAX_CONNECTIONS)
        with contextlib.closing(server):
            reader, writer = await asyncio.open_connection(
                *server.sockets[0].getsockname(), limit=SMALL_BUFFER_BYTES
            )
            writer.write(b"op/\n")
            await wait_until(lambda: tracked.is_active)
            await asyncio.sleep(0.1)
            self.assertTrue(tracked.is_active)
            self.assertIn(content, await reader.read())
            await wait_until(lambda: not tracked.is_active)
            writer.close()
