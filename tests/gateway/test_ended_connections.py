"""Tests of callers' connections that end beside late, slow or lost data."""

import asyncio
import os
import signal
import socket
import struct
import time

import anyio
import testtools

from snipetrestle.events import Event
from snipetrestle.gateway.callers import http_server
from snipetrestle.gateway.callers.http_listener import HttpServer
from snipetrestle.gateway.callers.http_server import CallerConnection
from snipetrestle.gateway.configuration import CallerLimits
from snipetrestle.lingering import LINGER_S
from snipetrestle.log_lines import BURST_LINES
from snipetrestle_standins.gateway_fleet import Caller
from snipetrestle_standins.platform_replica import Fault
from tests.gateway.log_recording import LogRecordingTest
from tests.gateway.running import run_fleet
from tests.gateway.test_closing_connections import BlockingCaller, request_bytes
from tests.gateway.test_connection_ends import count_ends
from tests.systems import with_own_system, with_system
from tests.waiting import wait_until

SMALL_BUFFER_BYTES = 4096
LARGE_BODY = b"x" * 6_000_000
HEADER_TIMEOUT_S = 0.5
TEST_TIMEOUT_S = 20.0


def reset(sock):
    """Closes a socket with a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


class ReportedEndTest(LogRecordingTest):
    @with_system(run_fleet)
    async def test_unanswered_end_is_logged_after_many_refusals(self, fleet):
        """Ends were logged within the rate limit of refusals, which a stop causes in
        large numbers."""
        gateway = fleet.live[0]
        for replica in fleet.registers:
            replica.faults = [Fault.NO_RESPONSE] * 3
        async with Caller(gateway.settings.callers) as caller:
            request = asyncio.create_task(caller.send_request("/entry/a"))
            await wait_until(lambda: any(item.runs for item in fleet.registers))
            async with Caller(gateway.settings.callers) as other:
                for _ in range(BURST_LINES + 20):
                    answer = await other.send_request("/unknown/a")
                    self.assertEqual(404, answer.status)
            gateway.caller_server.close()
            self.assertEqual(0, (await request).status)
        self.assertEqual([("process_end", "request")], self.early_ends())

    @with_system(run_fleet)
    async def test_caller_that_resets_an_idle_connection_causes_no_internal_error(
        self, fleet
    ):
        """The end of a connection that its caller had just reset was an EV-1403."""
        gateway = fleet.live[0]
        caller = await BlockingCaller.connect(gateway)
        caller.send(request_bytes())
        self.assertEqual(200, await caller.read_status())
        reset(caller._sock)
        gateway.caller_server.close_idle_connections()
        await wait_until(lambda: not gateway.caller_server.connections)
        self.assertEqual([], self.logged(Event.INTERNAL_ERROR))

    @with_system(run_fleet)
    async def test_refused_head_time_out_is_not_reported_as_unanswered(self, fleet):
        """A caller that had been answered with 408 was logged as unanswered."""
        gateway = fleet.live[0]
        async with Caller(gateway.settings.callers) as caller:
            caller.writer.write(b"POST /entry/a HTTP/1.1\r\nHost: ")
            self.assertEqual(408, (await caller.read_response()).status)
        await wait_until(lambda: not gateway.caller_server.connections)
        self.assertEqual([], self.early_ends())

    @with_system(run_fleet)
    async def test_refused_body_is_not_reported_as_unanswered(self, fleet):
        """A caller that was refused with 413 while it still sent its body was logged as
        unanswered."""
        gateway = fleet.live[0]
        async with Caller(gateway.settings.callers) as caller:
            caller.writer.write(
                request_bytes().replace(b"Length: 0", b"Length: 9000000")
            )
            self.assertEqual(413, (await caller.read_response()).status)
            caller.writer.write(b"x" * 1000)
            await asyncio.sleep(0.1)
        await wait_until(lambda: not gateway.caller_server.connections)
        self.assertEqual([], self.early_ends())

    @with_system(run_fleet)
    async def test_stream_that_this_host_aborts_is_reported_as_partial_response(
        self, fleet
    ):
        """An aborted stream was counted as an end with nothing unanswered."""
        gateway = fleet.live[0]
        for replica in fleet.models:
            replica.faults = [Fault.TRUNCATED] * 5
        async with Caller(gateway.settings.callers) as caller:
            answer = await caller.send_request("/night/a", adapter="")
            self.assertEqual((200, False), (answer.status, answer.complete))
        await wait_until(lambda: not gateway.caller_server.connections)
        self.assertEqual(1, count_ends(gateway, "response_aborted", "partial_response"))

    def test_response_cut_by_an_internal_error_is_reported_as_partial(self):
        """A stream that ended by an error was counted as nothing unanswered."""

        def fail(connection):
            raise KeyError("stream")

        async def check(fleet):
            gateway = fleet.live[0]
            self.patch(CallerConnection, "end_stream", fail)
            async with Caller(gateway.settings.callers) as caller:
                answer = await caller.send_request("/night/a", adapter="")
                self.assertEqual((200, False), (answer.status, answer.complete))
            await wait_until(lambda: not gateway.caller_server.connections)
            self.assertEqual(
                1, count_ends(gateway, "internal_error", "partial_response")
            )

        run_fleet(check)


class LargeResponseTest(testtools.TestCase):
    """Connections whose callers read a large response slowly."""

    def setUp(self):
        super().setUp()
        self.ends = []

    def run_with_connection(self, function):
        """Runs ``function(server, connection, sock)`` after a request was sent."""

        async def handle(request, connection):
            connection.send_response(200, [], LARGE_BODY)

        async def main():
            server = HttpServer(handle, CallerLimits, self.ends.append)
            with anyio.fail_after(TEST_TIMEOUT_S):
                await server.open(("127.0.0.1", 0))
                sock = socket.socket()
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
                try:
                    sock.connect(server._server.sockets[0].getsockname())
                    sock.setblocking(False)
                    await wait_until(lambda: server.connections)
                    (connection,) = server.connections
                    await function(server, connection, sock)
                finally:
                    sock.close()
                    server.close()
                    await asyncio.sleep(0.05)

        anyio.run(main)

    async def read_body_bytes(self, sock, count=None):
        """Returns how many bytes of the body come, up to the end or to ``count``."""
        total = 0
        loop = asyncio.get_running_loop()
        with anyio.move_on_after(5.0):
            try:
                while count is None or total < count:
                    data = await loop.sock_recv(sock, 65_536)
                    if not data:
                        break
                    total += data.count(b"x")
            except ConnectionError:
                pass
        return total

    def test_handler_learns_of_a_lost_caller_if_its_end_cannot_be_reported(self):
        """An error in the report of an end kept the request's handler waiting."""
        learned = asyncio.Event()

        def fail(end):
            raise KeyError("end")

        async def check(server, connection, sock):
            server.on_connection_end = fail
            sock.send(request_bytes())
            await wait_until(lambda: connection.has_response)
            connection.on_disconnect = learned.set
            reset(sock)
            await wait_until(lambda: connection.closed)
            self.assertTrue(learned.is_set())

        self.run_with_connection(check)

    def test_unread_response_is_reported_as_partial(self):
        """A response that its caller did not read was counted as nothing unanswered."""
        self.patch(http_server, "MAX_RESPONSE_PAUSE_S", 0.2)

        async def check(server, connection, sock):
            sock.send(request_bytes())
            await wait_until(lambda: self.ends)
            self.assertEqual(
                ("response_unread", "partial_response"),
                (self.ends[0].reason, self.ends[0].unanswered),
            )

        self.run_with_connection(check)

    @with_own_system("run_with_connection")
    async def test_unsent_rest_that_the_end_of_the_process_cuts_is_reported(
        self, server, connection, sock
    ):
        """A response whose rest was still buffered here at the end of the process was
        counted as nothing unanswered."""
        connection._transport.set_write_buffer_limits(high=2 * len(LARGE_BODY))
        server.start_draining()
        sock.send(request_bytes())
        await wait_until(lambda: connection.has_response and not connection.busy)
        self.assertGreater(connection._transport.get_write_buffer_size(), 0)
        server.close()
        await wait_until(lambda: self.ends)
        self.assertEqual("partial_response", self.ends[0].unanswered)

    @with_own_system("run_with_connection")
    async def test_late_request_does_not_destroy_a_response_that_is_read_for_long(
        self, server, connection, sock
    ):
        """The wait for the caller's end began before the response had been sent, so a
        request that came after LINGER_S caused a reset."""
        server.start_draining()
        sock.send(request_bytes())
        await wait_until(lambda: connection.has_response)
        total = await self.read_body_bytes(sock, len(LARGE_BODY) // 2)
        total += await self.read_body_bytes(sock, len(LARGE_BODY) * 99 // 100 - total)
        await asyncio.sleep(LINGER_S + 0.3)
        sock.send(request_bytes())
        await asyncio.sleep(0.1)
        total += await self.read_body_bytes(sock)
        self.assertEqual(len(LARGE_BODY), total)

    @with_own_system("run_with_connection")
    async def test_close_of_idle_connections_does_not_end_the_wait_for_the_caller(
        self, server, connection, sock
    ):
        """A planned stop woke connections that waited for their caller's end; a late
        request then caused a reset."""
        server.start_draining()
        sock.send(request_bytes())
        total = 0
        loop = asyncio.get_running_loop()
        while not connection._lingering:
            total += (await loop.sock_recv(sock, 65_536)).count(b"x")
        server.close_idle_connections()
        await asyncio.sleep(0.05)
        sock.send(request_bytes())
        await asyncio.sleep(0.1)
        total += await self.read_body_bytes(sock)
        self.assertEqual(len(LARGE_BODY), total)

    @with_own_system("run_with_connection")
    async def test_stop_waits_for_the_end_of_a_caller(self, server, connection, sock):
        """The process ended meanwhile, so a late request reset the rest."""
        server.start_draining()
        sock.send(request_bytes())
        total = 0
        loop = asyncio.get_running_loop()
        while not connection._lingering:
            total += (await loop.sock_recv(sock, 65_536)).count(b"x")
        self.assertTrue(server.is_engaged)
        total += await self.read_body_bytes(sock)
        self.assertEqual(len(LARGE_BODY), total)
        sock.close()
        await wait_until(lambda: not server.is_engaged)

    @with_own_system("run_with_connection")
    async def test_late_request_on_an_idle_connection_is_reset_at_once(
        self, server, connection, sock
    ):
        """It was read for half a second with no hope of an answer."""
        server.close_idle_connections()
        connection._opened_at -= http_server.FIRST_REQUEST_WAIT_S
        await wait_until(lambda: connection._lingering)
        sock.send(request_bytes())
        for _ in range(5):
            await asyncio.sleep(0)
        self.assertTrue(connection.closed)
        self.assertEqual("unread_bytes", self.ends[0].unanswered)

    @with_own_system("run_with_connection")
    async def test_late_request_is_told_from_one_that_waited_in_the_socket(
        self, server, connection, sock
    ):
        """A report did not tell whether a request had come before or after the end."""
        server.close_idle_connections()
        connection._opened_at -= http_server.FIRST_REQUEST_WAIT_S
        connection._received_at -= 3.0
        await wait_until(lambda: connection._lingering)
        sock.send(request_bytes())
        await wait_until(lambda: connection.closed)
        (end,) = self.ends
        self.assertEqual(len(request_bytes()), end.late_bytes)
        self.assertEqual(end.late_bytes, end.unread_bytes)
        self.assertEqual(3, int(end.quiet_s))

    @with_own_system("run_with_connection")
    async def test_end_in_a_planned_stop_is_reported_as_drain_while_bytes_are_unsent(
        self, server, connection, sock
    ):
        """A stop that ended a connection with unsent bytes was counted as idle."""
        connection._transport.set_write_buffer_limits(high=2 * len(LARGE_BODY))
        sock.send(request_bytes())
        await wait_until(lambda: connection.has_response and not connection.busy)
        server.start_draining()
        server.close_idle_connections()
        await wait_until(lambda: connection._lingering)
        self.assertEqual("drain", connection._end.reason)


class ArrivedRequestTest(LogRecordingTest):
    @with_system(run_fleet)
    async def test_request_whose_rest_has_arrived_as_the_head_times_out_is_answered(
        self, fleet
    ):
        """A request was refused with 408 though all of it was in the socket."""
        gateway = fleet.live[0]
        caller = await BlockingCaller.connect(gateway)
        self.addCleanup(caller.close)
        (connection,) = gateway.caller_server.connections
        data = request_bytes()
        caller.send(data[:10])
        await wait_until(lambda: connection._head_started_at is not None)
        loop = asyncio.get_running_loop()
        # Runs in the same turn as the connection's own timer, and after it.
        timeout_at = connection._head_started_at + HEADER_TIMEOUT_S
        loop.call_at(timeout_at + 0.01, caller.send, data[10:])
        await asyncio.sleep(HEADER_TIMEOUT_S - 0.1)
        time.sleep(0.2)  # noqa: ASYNC251 - a turn that takes long
        self.assertEqual(200, await caller.read_status())

    @with_system(run_fleet)
    async def test_large_request_that_arrives_as_the_drain_ends_is_answered(
        self, fleet
    ):
        """A planned stop did not wait for a request whose bytes were in a socket, and
        ended the process before it had read all of them."""
        gateway = fleet.live[0]
        caller = await BlockingCaller.connect(gateway)
        self.addCleanup(caller.close)
        (connection,) = gateway.caller_server.connections
        receiver = connection._transport.get_extra_info("socket")
        receiver.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_000_000)
        caller._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_000_000)
        caller.send(request_bytes())
        self.assertEqual(200, await caller.read_status())
        data = request_bytes().replace(b"Length: 0", b"Length: 1600000")
        data += bytes(1_600_000)
        close_idle_connections = HttpServer.close_idle_connections

        def send_and_close(server):
            caller.send(data)
            close_idle_connections(server)

        self.patch(HttpServer, "close_idle_connections", send_and_close)
        os.kill(os.getpid(), signal.SIGTERM)
        self.assertIn(await caller.read_status(), (200, 503))
