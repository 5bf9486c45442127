"""Tests of planned stops: what a gateway answers until its process ends."""

import asyncio
import socket

import msgspec
import testtools

from snipetrestle.gateway.backends.drain_times import LOAD_BALANCER_DELAY_S, DrainTimes
from snipetrestle_standins.clock import StallFreeLoop
from snipetrestle_standins.gateway_fleet import HOSTNAME, MODEL, Caller
from snipetrestle_standins.platform_replica import Fault
from tests.gateway.running import run_fleet
from tests.systems import with_system
from tests.waiting import wait_until

SMALL_BUFFER_BYTES = 4096


def set_grace(fleet, gateway, grace_s):
    """Changes the grace period of a gateway that already runs."""
    settings = msgspec.structs.replace(gateway.settings, shutdown_grace_s=grace_s)
    gateway.settings = fleet.settings_by_name[settings.name] = settings


async def stop(fleet, gateway):
    """Drains a gateway and ends it, as SIGTERM does with its process."""
    await gateway.drain()
    await fleet.kill(gateway)


def request_bytes(request_id, path, lines=""):
    return (
        f"POST {path} HTTP/1.1\r\nHost: {HOSTNAME}\r\nX-Request-Id: {request_id}\r\n"
        f"{lines}Content-Length: 0\r\n\r\n"
    ).encode()


class DrainTimesTest(testtools.TestCase):
    def test_requests_are_given_up_in_the_last_sixth_of_any_grace_period(self):
        """Margins of fixed length took most of a short grace period."""
        for grace_s in (0.5, 1.0, 2.0, 3.0, 4.0, 5.0, 5.4, 6.0, 8.0, 30.0):
            times = DrainTimes.from_grace(grace_s)
            self.assertLess(0.0, times.bound_new_s)
            self.assertLess(times.bound_new_s, times.give_up_s)
            self.assertLessEqual(grace_s * 5 / 6, times.give_up_s)
            self.assertLess(times.give_up_s, times.end_s)
            self.assertLess(times.end_s, grace_s)


class PlannedStopTest(testtools.TestCase):
    def test_requests_get_most_of_a_short_grace_period(self):
        """With a grace period of 1 s, requests were given up after a third of it."""

        async def measure(fleet, gateway, grace_s):
            set_grace(fleet, gateway, grace_s)
            started = asyncio.get_running_loop().time()
            request_task = asyncio.create_task(fleet.send_request("/entry/a", gateway))
            await wait_until(lambda: gateway.caller_server.connections)
            await asyncio.sleep(0.05)
            await gateway.drain()
            drained_after_s = asyncio.get_running_loop().time() - started - 0.05
            answer = await request_task
            self.assertEqual(502, answer.status)
            self.assertLess(grace_s * 5 / 6, drained_after_s)
            self.assertLess(drained_after_s, grace_s)

        async def check(fleet):
            for replica in fleet.registers:
                replica.faults = [Fault.NO_RESPONSE] * 20
            await asyncio.gather(
                *(
                    measure(fleet, gateway, grace_s)
                    for gateway, grace_s in zip(
                        fleet.live, (1.0, 2.0, 3.0, 4.0), strict=True
                    )
                )
            )

        run_fleet(check, loop_factory=StallFreeLoop, gateways=4)

    @with_system(run_fleet, gateways=2)
    async def test_unsent_rest_of_a_response_is_sent_before_the_process_ends(
        self, fleet
    ):
        """The rest of a finished stream was dropped if its caller read slowly."""
        gateway = fleet.live[0]
        for replica in fleet.models:
            replica.event_padding = 16_000
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, gateway.settings.callers)
        caller = Caller(None)
        await wait_until(lambda: gateway.caller_server.connections)
        (connection,) = gateway.caller_server.connections
        connection._transport.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES
        )
        await asyncio.get_running_loop().sock_sendall(
            sock, request_bytes("slow", "/draft/a", f"X-Model: {MODEL}\r\n")
        )
        await wait_until(lambda: any(item.runs for item in fleet.models))
        await wait_until(lambda: not connection.busy)
        self.assertGreater(connection._transport.get_write_buffer_size(), 0)
        stop_task = asyncio.create_task(stop(fleet, gateway))
        await asyncio.sleep(2.0)
        caller.reader, caller.writer = await asyncio.open_connection(sock=sock)
        answer = await caller.read_response()
        self.assertEqual((200, True), (answer.status, answer.complete))
        await stop_task
        caller.writer.close()

    @with_system(run_fleet)
    async def test_pipelined_requests_are_answered_in_a_stop(self, fleet):
        """The connection was closed after the response to the first of them."""
        gateway = fleet.live[0]
        for replica in fleet.models:
            replica.event_interval_s = 0.1
        for wait_for_head in (True, False):
            async with Caller(gateway.settings.callers) as caller:
                caller.writer.write(
                    request_bytes("first", "/night/a", f"X-Model: {MODEL}\r\n")
                    + request_bytes("second", "/entry/a")
                )
                await wait_until(lambda: any(item.running for item in fleet.models))
                await asyncio.sleep(0.15 * wait_for_head)
                gateway.caller_server.start_draining()
                first = await caller.read_response()
                second = await caller.read_response()
                third = await caller.read_response()
            self.assertEqual((200, True), (first.status, first.complete))
            self.assertEqual(200, second.status)
            self.assertEqual("close", second.headers["connection"])
            self.assertEqual(0, third.status)
            gateway.caller_server.close_after_response = False

    @with_system(run_fleet)
    async def test_connections_that_only_the_kernel_has_accepted_are_answered(
        self, fleet
    ):
        """They were reset, unread, when the listening socket was closed."""
        gateway = fleet.live[0]
        loop = asyncio.get_running_loop()
        sockets = []
        # Nothing is awaited here, so the gateway cannot accept them before.
        for number in range(3):
            sock = socket.create_connection(gateway.settings.callers)
            sock.sendall(request_bytes(f"queued-{number}", "/entry/a"))
            sockets.append(sock)
        gateway.caller_server.stop_listening()
        is_engaged = gateway.caller_server.is_engaged
        for sock in sockets:
            sock.setblocking(False)
            content = await loop.sock_recv(sock, 1000)
            self.assertIn(b"HTTP/1.1 200", content)
            sock.close()
        # Else the process could end before it has answered them.
        self.assertTrue(is_engaged)
        with self.assertRaises(ConnectionRefusedError):
            socket.create_connection(gateway.settings.callers)

    @with_system(run_fleet)
    async def test_connection_that_arrives_as_the_port_closes_is_answered(self, fleet):
        """It was lost if the event loop had accepted it in the same turn."""
        gateway = fleet.live[0]
        loop = asyncio.get_running_loop()
        with socket.create_connection(gateway.settings.callers) as sock:
            sock.sendall(request_bytes("last", "/entry/a"))
            sock.setblocking(False)
            stopped = loop.create_future()
            # Due timers run after the events of a turn, here that of the connection.
            loop.call_later(0, gateway.caller_server.stop_listening)
            loop.call_later(0, stopped.set_result, None)
            await stopped
            content = await loop.sock_recv(sock, 1000)
        self.assertIn(b"HTTP/1.1 200", content)

    @with_system(run_fleet, gateways=2)
    async def test_write_whose_caller_has_left_ends_before_the_process(self, fleet):
        """A stop did not wait for it, and cut it off at its replica."""
        gateway = fleet.live[0]
        for replica in fleet.registers:
            replica.response_delay_s = 2.0
        async with Caller(gateway.settings.callers) as caller:
            caller.writer.write(request_bytes("left", "/entry/a"))
            await wait_until(lambda: any(item.running for item in fleet.registers))
        await wait_until(lambda: not gateway.caller_server.connections)
        await gateway.drain()
        self.assertEqual([0, 0], [item.running for item in fleet.registers])

    @with_system(run_fleet, gateways=2)
    async def test_stream_is_not_passed_on_when_it_cannot_end(self, fleet):
        """A stream that a replica had refused was passed on to another one late in the
        grace period, and cut off at its end."""
        gateway = fleet.live[0]
        for replica in fleet.models:
            replica.event_interval_s = 0.3
        # The gateway measures how long such streams take.
        answer = await fleet.send_request("/night/a", gateway, adapter="")
        self.assertEqual(200, answer.status)
        for replica in fleet.models:
            replica.response_delay_s = 1.0
            replica.faults = [Fault.REFUSED] * 4
        drain_task = asyncio.create_task(gateway.drain())
        await asyncio.sleep(1.2)
        answer = await fleet.send_request("/night/a", gateway, adapter="")
        self.assertEqual((503, True), (answer.status, answer.complete))
        arrived = sum(len(item.arrived_requests) for item in fleet.models)
        self.assertEqual(2, arrived)
        await drain_task

    @with_system(run_fleet, gateways=2)
    async def test_write_is_not_repeated_when_it_cannot_end(self, fleet):
        """A refused write was passed on anew at the end of the grace period."""
        gateway = fleet.live[0]
        for replica in fleet.registers:
            replica.response_delay_s = 1.8
            replica.faults = [Fault.REFUSED] * 4
        drain_task = asyncio.create_task(gateway.drain())
        await asyncio.sleep(1.2)
        answer = await fleet.send_request("/entry/a", gateway)
        self.assertEqual(503, answer.status)
        arrived = sum(len(item.arrived_requests) for item in fleet.registers)
        self.assertEqual(1, arrived)
        await drain_task

    @with_system(run_fleet, gateways=2)
    async def test_request_that_surely_ends_is_served_late_in_a_stop(self, fleet):
        """All requests were refused from 2.5 s after the signal on."""
        gateway = fleet.live[0]
        set_grace(fleet, gateway, 8.0)
        for replica in fleet.models:
            replica.event_interval_s = 0.8
        stream_task = asyncio.create_task(
            fleet.send_request("/night/a", gateway, adapter="")
        )
        await wait_until(lambda: any(item.running for item in fleet.models))
        drain_task = asyncio.create_task(gateway.drain())
        await asyncio.sleep(LOAD_BALANCER_DELAY_S + 0.2)
        for deadline_ms, status in ((1000, 200), (6000, 503)):
            answer = await fleet.send_request(
                "/entry/a", gateway, headers=[("X-Deadline-Ms", deadline_ms)]
            )
            self.assertEqual(status, answer.status)
            self.assertEqual("close", answer.headers["connection"])
        self.assertTrue((await stream_task).complete)
        await drain_task

    @with_system(run_fleet)
    async def test_request_that_arrives_in_part_is_refused_at_the_end_of_a_stop(
        self, fleet
    ):
        """Its connection was closed by the end of the process, with no answer."""
        gateway = fleet.live[0]
        set_grace(fleet, gateway, 1.0)
        whole = request_bytes("part", "/entry/a", "Expect: 100-continue\r\n")
        head = whole.replace(b"Length: 0", b"Length: 6")

        async def send_part(part, after_s):
            await asyncio.sleep(after_s)
            async with Caller(gateway.settings.callers) as caller:
                caller.writer.write(part)
                return await self.read_final_response(caller)

        # A part of a head is sent late, since the time for a head is short.
        _, *answers = await asyncio.gather(
            gateway.drain(),
            send_part(head, 0.0),
            send_part(head + b"abc", 0.0),
            send_part(head[:30], 0.6),
        )
        for answer in answers:
            self.assertEqual((503, True), (answer.status, answer.complete))
            self.assertEqual("close", answer.headers["connection"])
            self.assertIn("retry-after", answer.headers)
        self.assertEqual([], [run for item in fleet.replicas for run in item.runs])

    async def read_final_response(self, caller):
        """Returns the next response that is not an interim one."""
        while (answer := await caller.read_response()).status == 100:
            pass
        return answer

    @with_system(run_fleet)
    async def test_stop_before_the_first_configuration(self, fleet):
        """A process that has read nothing from the store must stop as any other, and
        refuse what it is sent."""
        name = fleet.live[0].settings.name
        await fleet.kill(fleet.live[0])
        fleet.cut_off_from_store.add(name)
        gateway = fleet.start_gateway(0)
        await wait_until(lambda: gateway.is_listening)
        set_grace(fleet, gateway, 1.0)
        drain_task = asyncio.create_task(gateway.drain())
        await wait_until(lambda: gateway.draining)
        answer = await fleet.send_request("/entry/a", gateway)
        self.assertEqual((503, True), (answer.status, answer.complete))
        async with asyncio.timeout(1.0):
            await drain_task

    @with_system(run_fleet, gateways=2)
    async def test_failed_announcement_does_not_prevent_the_drain(self, fleet):
        """The stop signal was lost, and the process ran until it was killed."""
        gateway = fleet.live[0]
        gateway.hosts.send_leaving = lambda: int("no number")
        await gateway.drain()
        self.assertTrue(gateway.draining)
