"""Tests of requests in progress while the configuration changes and replicas pause."""

import asyncio
import contextlib
import json
import time

import anyio
import testtools

from snipetrestle.gateway.callers.http_server import MIN_IDLE_MARGIN_S
from snipetrestle.gateway.publication.published_documents import PublishedDocuments
from snipetrestle.gateway.publication.published_items import PublishedItem
from snipetrestle_standins.gateway_fleet import (
    HOSTNAME,
    MODEL,
    Caller,
    GatewayFleet,
    configuration,
    route,
)
from snipetrestle_standins.platform_replica import Fault
from tests.gateway.running import TEST_TIMEOUT_S, run_fleet
from tests.gateway.test_closing_connections import BlockingCaller
from tests.gateway.test_closing_connections import request_bytes as call_bytes
from tests.waiting import wait_until

EVENT_COUNT = 30
SHORT_EVENT_COUNT = 12
EVENT_INTERVAL_S = 0.05
ALL_EVENT_IDS = list(range(1, EVENT_COUNT + 1))
# A sound replica may fall silent for about a second.
SILENCE_S = 1.1
# A replacement is sent after up to 1.1 s of silence and watched for 0.3 s; the replica
# that gets it is silent for longer than that.
FIRST_SILENCE_S = 1.6
SECOND_SILENCE_S = 1.8
# Deadlines of requests, and the limits of their routes: long, since a busy machine may
# hold up the test for seconds.
DEADLINE_S = 9.0
LONG_LIMITS = {"timeout_ms": 10_000, "target_latency_ms": 3000}
# A turn of the event loop in which a long configuration is applied on a slow host.
LONG_TURN_S = 0.3
# How late a busy machine may wake up a test before the idle limit.
LATENESS_S = 0.6
STREAM_PATHS = ("/draft/a", "/night/a")
CALL_PATHS = ("/entry/a", "/lookup/a")


def routes(**changes):
    """Returns the usual routes with LONG_LIMITS, and with ``changes`` of their fields."""
    fields = {**LONG_LIMITS, **changes}
    return [
        route("draft", "stream", "models", resumable=True, **fields),
        route("night", "stream", "models", attempts=1, **fields),
        route("entry", "non_idempotent", "register", **fields),
        route("lookup", "idempotent", "register", **fields),
    ]


def with_further_routes(count):
    """Returns the usual routes and ``count`` others."""
    others = [route(f"r{number}", "idempotent", "register") for number in range(count)]
    return routes() + others


def split_backends():
    """Returns the usual routes; the streams' other backend has all of the weight."""
    split = [
        {"backend": "models", "weight": 0.0},
        {"backend": "register", "weight": 3.0},
    ]
    streams = [
        route("draft", "stream", "models", resumable=True, split=split),
        route("night", "stream", "models", attempts=1, split=split),
    ]
    return streams + routes()[2:]


def without_backend(version):
    """Returns a configuration that has only the calls and their backend."""
    content = configuration(version, routes()[2:])
    del content["backends"][0]
    return content


def with_fewer_connections(version):
    """Returns a configuration with one connection to each backend."""
    content = configuration(version, routes())
    for backend in content["backends"]:
        backend["max_conns"] = 1
    return content


def request_bytes(path, number):
    """Returns a whole request with a deadline."""
    model = f"X-Model: {MODEL}\r\n" if path in STREAM_PATHS else ""
    return (
        f"POST {path} HTTP/1.1\r\nHost: {HOSTNAME}\r\n"
        f"X-Request-Id: {path}-{number}\r\n{model}"
        f"X-Deadline-Ms: {round(DEADLINE_S * 1000)}\r\nContent-Length: 0\r\n\r\n"
    ).encode()


class KeptConnections:
    """Callers on kept connections, each of which has got an answer before.

    ``tasks`` are the answers awaited, which fail with TimeoutError after their deadline.
    Use as an async context manager.
    """

    def __init__(self, fleet):
        self._fleet = fleet
        self._exits = contextlib.AsyncExitStack()
        self._idle = []
        self._count = 0
        self.tasks = []

    async def __aenter__(self):
        return self

    async def __aexit__(self, *details):
        for task in self.tasks:
            task.cancel()
        await self._exits.aclose()

    async def open(self, count):
        """Opens connections that are idle behind their first answer."""
        for _ in range(count):
            address = self._fleet.live[0].settings.callers
            caller = await self._exits.enter_async_context(Caller(address))
            answer = await caller.send_request("/lookup/first", method="GET")
            assert answer.status == 200
            self._idle.append(caller)

    def send(self, paths, pipelined_count=1):
        """Sends the same request ``pipelined_count`` times on a connection for a path."""
        for path in paths:
            caller = self._idle.pop()
            for _ in range(pipelined_count):
                self._count += 1
                caller.writer.write(request_bytes(path, self._count))
            self.tasks.append(asyncio.create_task(_read(caller, pipelined_count)))

    async def all_read(self):
        """Returns once the gateway is at work on each request, or has answered it."""
        connections = self._fleet.live[0].caller_server.connections
        await wait_until(
            lambda: (
                sum(item.busy for item in connections)
                >= sum(not task.done() for task in self.tasks)
            )
        )

    async def answers(self):
        """Returns all answers, in the order of the requests."""
        return [answer for task in self.tasks for answer in await task]


async def _read(caller, count):
    answers = []
    for _ in range(count):
        async with asyncio.timeout(DEADLINE_S):
            answers.append(await caller.read_response())
    return answers


def slow_down_streams(fleet):
    """Makes streams last longer than a silence."""
    for replica in fleet.models:
        replica.events = EVENT_COUNT
        replica.event_interval_s = EVENT_INTERVAL_S


def results(answers):
    """Returns the status of each answer, and whether it is complete."""
    return [(answer.status, answer.complete) for answer in answers]


async def set_long_limits(fleet):
    """Publishes version 2 of the configuration, with LONG_LIMITS."""
    fleet.store.put("op/config", configuration(2, routes()))
    await applied(fleet, 2)


async def applied(fleet, version):
    """Returns once the first gateway has applied a version of the configuration."""
    state = fleet.live[0].state
    await wait_until(lambda: state.configuration.version == version)


# Configurations of version 3, by what they change.
CHANGES = {
    "shorter time-outs": configuration(3, routes(timeout_ms=400)),
    "longer time-outs": configuration(3, routes(timeout_ms=60_000)),
    "shorter idle limit": configuration(3, routes(), idle_timeout_ms=1),
    "smaller requests": configuration(
        3, routes(), max_body_bytes=1, max_header_bytes=1, header_timeout_ms=1
    ),
    "other weights": configuration(3, split_backends()),
    "removed backend": without_backend(3),
    "fewer connections": with_fewer_connections(3),
    "400 more routes": configuration(3, with_further_routes(400)),
    "2,000 more routes": configuration(3, with_further_routes(2000)),
}


class SilenceBesideChangeTest(testtools.TestCase):
    """Requests whose replicas are silent while the configuration changes."""

    def check_changes(self, silent_count):
        """Checks that requests that were read before a change get their answers.

        So many replicas of each kind fall silent.
        """

        async def main():
            return await asyncio.gather(
                *(self.play(change, silent_count) for change in CHANGES.values())
            )

        calls = [(200, True, [])] * 4
        whole = [(200, True, ALL_EVENT_IDS)] * 6 + calls
        self.assertEqual(
            dict.fromkeys(CHANGES, whole),
            dict(zip(CHANGES, anyio.run(main), strict=True)),
        )

    async def play(self, change, silent_count):
        """Returns the status of each answer, whether it is whole, and its event ids."""
        with anyio.fail_after(TEST_TIMEOUT_S):
            async with GatewayFleet() as fleet, KeptConnections(fleet) as connections:
                slow_down_streams(fleet)
                silent = fleet.models[:silent_count] + fleet.registers[:silent_count]
                await set_long_limits(fleet)
                await connections.open(10)
                connections.send(STREAM_PATHS * 2)
                await asyncio.sleep(5 * EVENT_INTERVAL_S)
                # These streams have begun; what follows has no answer yet.
                silences = asyncio.gather(
                    *(replica.fall_silent(SILENCE_S) for replica in silent)
                )
                connections.send(STREAM_PATHS + CALL_PATHS * 2)
                await connections.all_read()
                fleet.store.put("op/config", change)
                await applied(fleet, 3)
                answers = await connections.answers()
                await silences
        return [(item.status, item.complete, item.event_ids) for item in answers]

    def test_changes_beside_a_silent_replica(self):
        """Guards against requests that a change of settings in use ends unanswered."""
        self.check_changes(silent_count=1)

    def test_changes_while_all_replicas_are_silent(self):
        """The same for requests that no other replica can take."""
        self.check_changes(silent_count=2)


class QueuedRequestTest(testtools.TestCase):
    """Whole requests that wait in a connection while the configuration changes."""

    def check_queued(self, change, expected):
        """Checks the status of requests queued behind one of a silent replica.

        ``expected`` has the status by path.
        """

        async def check(fleet):
            async with KeptConnections(fleet) as connections:
                await set_long_limits(fleet)
                await connections.open(4)
                silences = asyncio.gather(
                    *(replica.fall_silent(SILENCE_S) for replica in fleet.replicas)
                )
                connections.send(expected, pipelined_count=3)
                await connections.all_read()
                fleet.store.put("op/config", change)
                await applied(fleet, 3)
                answers = await connections.answers()
                await silences
            wanted = []
            for status in expected.values():
                wanted += [(200, True), (status, True), (status, True)]
            self.assertEqual(wanted, results(answers))

        run_fleet(check)

    def test_shorter_limits(self):
        """Guards against queued requests that a shorter idle limit ends unread."""
        change = configuration(3, routes(), idle_timeout_ms=1, header_timeout_ms=1)
        self.check_queued(change, dict.fromkeys(STREAM_PATHS + CALL_PATHS, 200))

    def test_removed_routes(self):
        """Guards against queued requests of removed routes without an answer."""
        expected = {"/draft/a": 404, "/night/a": 404, "/entry/a": 200, "/lookup/a": 200}
        self.check_queued(without_backend(3), expected)


class LongTurnTest(testtools.TestCase):
    """Requests that arrive in the turn that applies a configuration."""

    def check_turn(self, change, status=200):
        """Checks requests that arrive while a long turn applies ``change``.

        One of their connections has passed its idle limit at the end of the turn, one
        holds a part of its request before, and one is new.
        """

        async def check(fleet):
            gateway = fleet.live[0]
            callers = [await BlockingCaller.connect(gateway) for _ in range(10)]
            for caller in callers:
                self.addCleanup(caller.close)
            for caller in callers[1:]:
                caller.send(call_bytes())
                self.assertEqual(200, await caller.read_status())
            callers[1].send(call_bytes()[:40])
            await asyncio.sleep(0.05)
            set_configuration = PublishedDocuments._set_configuration

            def set_slowly(documents, content):
                set_configuration(documents, content)
                callers[1].send(call_bytes()[40:])
                for caller in (callers[0], *callers[2:]):
                    caller.send(call_bytes())
                time.sleep(LONG_TURN_S)

            self.patch(PublishedDocuments, "_set_configuration", set_slowly)
            fleet.store.put("op/config", change)
            await applied(fleet, 2)
            statuses = [await caller.read_status() for caller in callers]
            self.assertEqual([status] * 10, statuses)

        run_fleet(check)

    def test_long_configuration(self):
        """Guards against requests that nobody reads in a long turn."""
        self.check_turn(configuration(2, with_further_routes(2000)))

    def test_shorter_limits(self):
        """Guards against new limits that end connections whose request has arrived."""
        self.check_turn(configuration(2, idle_timeout_ms=1, header_timeout_ms=1))

    def test_removed_routes(self):
        """Guards against requests without an answer for routes that are removed."""
        self.check_turn(configuration(2, routes()[3:]), status=404)

    def test_idle_limit_that_passes_in_the_turn(self):
        """Guards against an idle connection that ends with its request in the socket."""

        async def check(fleet):
            gateway = fleet.live[0]
            fleet.store.put("op/config", configuration(2, idle_timeout_ms=100))
            await applied(fleet, 2)
            loop = asyncio.get_running_loop()
            callers = [await BlockingCaller.connect(gateway) for _ in range(5)]
            started = loop.time()
            for caller in callers:
                self.addCleanup(caller.close)
                caller.send(call_bytes())
                self.assertEqual(200, await caller.read_status())
            ends_at = started + 0.1 + MIN_IDLE_MARGIN_S
            await asyncio.sleep(ends_at - loop.time() - LATENESS_S)
            item = PublishedItem(
                "op/config", 1000, json.dumps(configuration(3)).encode()
            )
            for caller in callers:
                caller.send(call_bytes())
            gateway.state.accept_documents([item])
            # A turn that takes long, until after the limit of all of them.
            time.sleep(LATENESS_S + LONG_TURN_S)  # noqa: ASYNC251
            statuses = [await caller.read_status() for caller in callers]
            self.assertEqual([200] * 5, statuses)

        run_fleet(check)


class LateRefusalTest(testtools.TestCase):
    """Replacements whose replica is silent as well, and refuses them after that."""

    def test_stream_outlasts_a_replacement_that_is_refused_late(self):
        """Guards against a stream that is aborted while a replica could go on with it.

        The second replica refuses nothing for longer than a replacement is watched, and
        is full for a moment after its silence.
        """

        async def check(fleet):
            slow_down_streams(fleet)
            for replica in fleet.models:
                # The rest of the stream must end before its deadline.
                replica.events = SHORT_EVENT_COUNT
            async with KeptConnections(fleet) as connections:
                await set_long_limits(fleet)
                await connections.open(1)
                connections.send(["/draft/a"])
                await wait_until(lambda: any(item.running for item in fleet.models))
                await asyncio.sleep(5 * EVENT_INTERVAL_S)
                first, second = sorted(fleet.models, key=lambda item: -item.running)
                second.faults = [Fault.REFUSED] * 3
                silences = asyncio.gather(
                    first.fall_silent(FIRST_SILENCE_S),
                    second.fall_silent(SECOND_SILENCE_S),
                )
                fleet.store.put("op/config", configuration(3, routes(timeout_ms=4000)))
                (answer,) = await connections.answers()
                await silences
            self.assertEqual([(200, True)], results([answer]))
            self.assertEqual(ALL_EVENT_IDS[:SHORT_EVENT_COUNT], answer.event_ids)

        run_fleet(check)
