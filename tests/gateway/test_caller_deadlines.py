"""Tests of requests whose callers' deadlines pass before a replica answers."""

import asyncio
import types

import testtools

from snipetrestle.gateway.configuration import RequestKind
from snipetrestle.gateway.job import refusal_due_s
from snipetrestle_standins.gateway_fleet import MODEL, Caller, configuration, route
from snipetrestle_standins.platform_replica import Fault
from tests.gateway.running import run_fleet
from tests.systems import with_system
from tests.waiting import wait_until

DEADLINE_S = 0.8
DEADLINE_HEADERS = [("X-Deadline-Ms", f"{DEADLINE_S * 1000:.0f}")]
# The way of a refusal to its caller.
RETURN_PATH_S = 0.03


async def send_timed_request(fleet, path, headers=DEADLINE_HEADERS, **options):
    """Sends a request and returns its response and the seconds until its end."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    answer = await fleet.send_request(path, headers=headers, **options)
    return answer, loop.time() - started_at


def stop_answering(fleet):
    """Makes replicas run all requests and answer none."""
    for replica in fleet.replicas:
        replica.faults = [Fault.NO_RESPONSE] * 10


class CallerDeadlineTest(testtools.TestCase):
    def assert_told_in_time(self, status, answer, elapsed_s):
        self.assertEqual((status, True), (answer.status, answer.complete))
        self.assertLess(elapsed_s, DEADLINE_S - RETURN_PATH_S)

    @with_system(run_fleet)
    async def test_request_at_a_mute_replica_is_not_refused_after_its_caller_left(
        self, fleet
    ):
        """The refusal was due at the deadline itself, when callers had closed."""
        stop_answering(fleet)
        for path, options in (
            ("/entry/a", {}),
            ("/lookup/a", {"method": "GET"}),
            ("/draft/a", {"adapter": ""}),
            ("/night/a", {"adapter": ""}),
        ):
            answer, elapsed_s = await send_timed_request(fleet, path, **options)
            self.assert_told_in_time(504, answer, elapsed_s)

    @with_system(run_fleet)
    async def test_stream_without_an_event_is_not_refused_after_its_caller_left(
        self, fleet
    ):
        """Callers of streams left long before the deadline that they had named."""
        stop_answering(fleet)
        caller_leaves_after_s = 4 * 0.6
        for path in ("/draft/a", "/night/a"):
            answer, elapsed_s = await send_timed_request(
                fleet, path, [("X-Deadline-Ms", "4500")], adapter=""
            )
            self.assertEqual((504, True), (answer.status, answer.complete))
            self.assertLess(elapsed_s, caller_leaves_after_s - RETURN_PATH_S)

    @with_system(run_fleet)
    async def test_stream_with_a_short_target_outlasts_a_silence_of_its_replica(
        self, fleet
    ):
        """Guards against a refusal because a sound replica is silent for a second."""
        routes = [route("night", "stream", "models", attempts=1, target_latency_ms=100)]
        fleet.store.put("op/config", configuration(2, routes))
        state = fleet.live[0].state
        await wait_until(lambda: state.configuration.version == 2)
        for replica in fleet.models:
            replica.events = 1
            replica.event_interval_s = 1.2
        answer = await fleet.send_request("/night/a", adapter="")
        self.assertEqual((200, True), (answer.status, answer.complete))

    @with_system(run_fleet)
    async def test_request_that_waits_for_a_load_is_not_refused_after_its_caller_left(
        self, fleet
    ):
        """A stream that waited for its adapter's load was refused at the deadline."""
        for replica in fleet.models:
            replica.load_s = 5.0
        answer, elapsed_s = await send_timed_request(fleet, "/draft/a", adapter="a1")
        self.assert_told_in_time(503, answer, elapsed_s)

    @with_system(run_fleet)
    async def test_time_of_a_slow_body_is_not_added_to_the_deadline(self, fleet):
        """The refusal came late by the time that the body had taken."""
        stop_answering(fleet)
        loop = asyncio.get_running_loop()
        async with Caller(fleet.live[0].settings.callers) as caller:
            started_at = loop.time()
            caller.writer.write(
                b"POST /entry/a HTTP/1.1\r\nHost: desk.example\r\n"
                b"X-Request-Id: slow-body\r\nX-Deadline-Ms: 800\r\n"
                b"Content-Length: 2\r\n\r\na"
            )
            await asyncio.sleep(DEADLINE_S / 2)
            caller.writer.write(b"b")
            answer = await caller.read_response()
            self.assert_told_in_time(504, answer, loop.time() - started_at)

    @with_system(run_fleet)
    async def test_stream_is_not_cut_while_its_caller_may_still_wait(self, fleet):
        """A slow body's time was taken off the deadline of a stream that had begun."""
        for replica in fleet.models:
            replica.events = 10
            replica.event_interval_s = 0.07 * DEADLINE_S
        async with Caller(fleet.live[0].settings.callers) as caller:
            caller.writer.write(
                b"POST /draft/a HTTP/1.1\r\nHost: desk.example\r\n"
                b"X-Request-Id: slow-body\r\nX-Deadline-Ms: 800\r\n"
                + f"X-Model: {MODEL}\r\n".encode()
                + b"Content-Length: 2\r\n\r\na"
            )
            await asyncio.sleep(DEADLINE_S / 2)
            caller.writer.write(b"b")
            answer = await caller.read_response()
            self.assertEqual((200, True), (answer.status, answer.complete))

    @with_system(run_fleet, registers=1)
    async def test_time_behind_a_pipelined_request_is_not_added_to_the_deadline(
        self, fleet
    ):
        """The refusal came late by the time that the earlier request had taken."""
        (replica,) = fleet.registers
        replica.response_delay_s = DEADLINE_S / 2
        replica.faults = [None, Fault.NO_RESPONSE]
        loop = asyncio.get_running_loop()
        async with Caller(fleet.live[0].settings.callers) as caller:
            started_at = loop.time()
            for number in range(2):
                caller.writer.write(
                    b"POST /entry/a HTTP/1.1\r\nHost: desk.example\r\n"
                    b"X-Request-Id: pipelined-%d\r\nX-Deadline-Ms: 800\r\n"
                    b"Content-Length: 0\r\n\r\n" % number
                )
                await asyncio.sleep(0.05)
            self.assertEqual(200, (await caller.read_response()).status)
            answer = await caller.read_response()
            elapsed_s = loop.time() - started_at - 0.05
            self.assert_told_in_time(504, answer, elapsed_s)

    @with_system(run_fleet)
    async def test_refusal_at_the_timeout_of_a_route_is_not_early(self, fleet):
        """Guards against answers lost to a margin that no caller's deadline asks for."""
        routes = [route("entry", "non_idempotent", "register", timeout_ms=400)]
        fleet.store.put("op/config", configuration(2, routes))
        state = fleet.live[0].state
        await wait_until(lambda: state.configuration.version == 2)
        stop_answering(fleet)
        answer, elapsed_s = await send_timed_request(fleet, "/entry/a")
        self.assertEqual(504, answer.status)
        self.assertGreaterEqual(elapsed_s, 0.4)

    @with_system(run_fleet)
    async def test_stream_that_has_begun_is_not_cut_before_its_deadline(self, fleet):
        """Guards against streams aborted at the time of a refusal."""
        for replica in fleet.models:
            replica.events = 100
            replica.event_interval_s = 0.02
        answer, elapsed_s = await send_timed_request(fleet, "/draft/a", adapter="")
        self.assertEqual((200, False), (answer.status, answer.complete))
        self.assertGreaterEqual(elapsed_s, DEADLINE_S)


class FirstEventTest(testtools.TestCase):
    def test_stream_with_long_pauses_is_not_refused_before_its_caller_leaves(self):
        """Callers wait for eight of the pauses that their route allows, if longer."""
        for latency_s, max_gap_s, due_s in (
            (0.1, None, 1.9),
            (0.6, None, 2.3),
            (0.6, 0.3, 2.3),
            (0.1, 0.5, 3.9),
        ):
            stream_route = types.SimpleNamespace(
                kind=RequestKind.STREAM, target_latency_s=latency_s, max_gap_s=max_gap_s
            )
            self.assertAlmostEqual(due_s, refusal_due_s(stream_route, 15.0))
            self.assertAlmostEqual(0.9, refusal_due_s(stream_route, 1.0))
