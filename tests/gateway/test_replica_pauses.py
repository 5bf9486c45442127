"""Tests of replicas that turn requests away and ask for a pause (Retry-After)."""

import asyncio
import contextlib
import functools

import testtools

from snipetrestle.gateway.backends.replica_pause import MAX_PAUSE_S
from snipetrestle.platform.calls import OrderClient
from snipetrestle.platform.headers import PlatformDialect
from snipetrestle_standins.clock import StallFreeLoop
from snipetrestle_standins.platform_replica import Fault
from tests.gateway.running import run_fleet
from tests.systems import with_system
from tests.waiting import wait_until

# A replica may get this many requests from a host in its pause, but for the first
# half second.
ALLOWED_REQUESTS = 2
ALLOWED_TIME_S = 0.5
PAUSE_S = 2.0


class PauseTest(testtools.TestCase):
    async def ask_for_pause(self, fleet, replica, path, pause_s=PAUSE_S, **options):
        """Sends requests until ``replica`` has turned one away.

        ``asked_at`` is when that request arrived. Its answer may come much later, from
        another replica, and the pause has begun long before.
        """
        replica.retry_after = pause_s
        replica.faults = [Fault.REFUSED]
        before = len(replica.arrived_requests)
        while len(replica.arrived_requests) == before:
            answer = await fleet.send_request(path, **options)
        self.asked_at = replica.arrival_times[before]
        return answer

    def assert_paused(self, replica, pause_s=PAUSE_S):
        start, end = self.asked_at + ALLOWED_TIME_S, self.asked_at + pause_s
        arrived = [at for at in replica.arrival_times if start <= at < end]
        self.assertLessEqual(len(arrived), ALLOWED_REQUESTS)

    async def send_during_pause(self, fleet, path, **options):
        """Returns the statuses of requests that are sent for PAUSE_S."""
        statuses = []
        while asyncio.get_running_loop().time() < self.asked_at + PAUSE_S:
            statuses.append((await fleet.send_request(path, **options)).status)
            await asyncio.sleep(0.03)
        return statuses

    def test_calls_go_to_other_replicas(self):
        """A replica got requests all through the pause that it had asked for."""

        async def check(fleet, path):
            replica, _ = fleet.registers
            answer = await self.ask_for_pause(fleet, replica, path)
            self.assertEqual(200, answer.status)
            self.assertEqual({200}, set(await self.send_during_pause(fleet, path)))
            self.assert_paused(replica)
            # The pause has ended.
            known = fleet.gateways[0].replicas.by_id[replica.id]
            await wait_until(lambda: known.is_available)
            before = len(replica.arrived_requests)
            await asyncio.gather(*(fleet.send_request(path) for _ in range(60)))
            self.assertGreater(len(replica.arrived_requests), before)

        for path in ("/lookup/a", "/entry/a"):
            run_fleet(functools.partial(check, path=path))

    @with_system(run_fleet)
    async def test_streams_go_to_other_replicas(self, fleet):
        """The same for streams of a base model, which all replicas hold."""
        replica, _ = fleet.models
        await self.ask_for_pause(fleet, replica, "/draft/a", adapter="")
        statuses = await self.send_during_pause(fleet, "/draft/a", adapter="")
        self.assertEqual({200}, set(statuses))
        self.assert_paused(replica)

    @with_system(run_fleet)
    async def test_adapter_of_a_paused_holder_is_loaded_elsewhere(self, fleet):
        """The only holder of an adapter was asked again until its pause ended."""
        await fleet.send_request("/draft/a", adapter="a1")
        (holder,) = [item for item in fleet.models if "a1" in item.versions_by_adapter]
        answer = await self.ask_for_pause(fleet, holder, "/draft/a", adapter="a1")
        self.assertEqual(200, answer.status)
        statuses = await self.send_during_pause(fleet, "/draft/a", adapter="a1")
        self.assertEqual({200}, set(statuses))
        self.assert_paused(holder)

    @with_system(run_fleet)
    async def test_leader_sends_no_orders(self, fleet):
        """A load was ordered from a replica that wanted nothing from the leader."""
        paused, other = fleet.models
        await self.ask_for_pause(fleet, paused, "/draft/a", adapter="")
        orders = len(paused.orders)
        # Waits until the leader's view of its replicas is renewed.
        await asyncio.sleep(0.3)
        for number in range(3):
            answer = await fleet.send_request("/draft/a", adapter=f"a{number}")
            self.assertEqual(200, answer.status)
        self.assertEqual(orders, len(paused.orders))
        self.assertEqual(3, len(other.versions_by_adapter))

    @with_system(run_fleet, loop_factory=StallFreeLoop, registers=1, models=1)
    async def test_requests_are_refused_at_once_while_all_replicas_pause(self, fleet):
        """Callers waited, or were told to come back long before the pause ended."""
        for path, replicas, options in (
            ("/entry/a", fleet.registers, {}),
            ("/draft/a", fleet.models, {"adapter": ""}),
            ("/draft/a", fleet.models, {"adapter": "a1"}),
        ):
            (replica,) = replicas
            answer = await self.ask_for_pause(fleet, replica, path, **options)
            self.assertEqual(503, answer.status, options)
            before = len(replica.arrived_requests)
            for _ in range(20):
                started = asyncio.get_running_loop().time()
                answer = await fleet.send_request(path, **options)
                took_s = asyncio.get_running_loop().time() - started
                self.assertEqual(503, answer.status)
                self.assertLess(took_s, 0.2)
                left_s = self.asked_at + PAUSE_S - started
                retry_after_s = float(answer.headers["retry-after"])
                self.assertGreater(retry_after_s, left_s - 0.2)
                self.assertLess(retry_after_s, left_s + 1.2)
            self.assertEqual(before, len(replica.arrived_requests))
            known = fleet.gateways[0].replicas.by_id[replica.id]
            await wait_until(lambda known=known: known.is_available)

    @with_system(run_fleet, registers=1)
    async def test_request_waits_for_a_pause_that_ends_soon(self, fleet):
        """A refusal costs the caller more than a wait within its target."""
        (replica,) = fleet.registers
        answer = await self.ask_for_pause(fleet, replica, "/entry/a", 0.2)
        self.assertEqual(200, answer.status)
        self.assertEqual(2, len(replica.arrived_requests))
        first, second = replica.arrival_times
        self.assertGreaterEqual(second - first, 0.2)

    @with_system(run_fleet, registers=1)
    async def test_request_that_may_have_run_waits_longer(self, fleet):
        """It cannot be refused as not run, so a pause of a second cost the caller its
        answer."""
        (replica,) = fleet.registers
        replica.faults = [Fault.NO_RESPONSE]
        request = asyncio.create_task(fleet.send_request("/lookup/a", method="GET"))
        await wait_until(lambda: replica.arrival_times)
        fleet.gateways[0].replicas.by_id[replica.id].pause.note(1.0)
        answer = await request
        self.assertEqual(200, answer.status)
        first, second = replica.arrival_times
        self.assertGreaterEqual(second - first, 1.0)

    @with_system(run_fleet)
    async def test_suspected_replica_is_preferred_to_a_paused_one(self, fleet):
        """A suspected replica may serve; a paused one does not."""
        replica, suspected = fleet.registers
        await self.ask_for_pause(fleet, replica, "/lookup/a", method="GET")
        fleet.gateways[0].replicas.by_id[suspected.id].note_silence()
        answer = await fleet.send_request("/lookup/a", method="GET")
        self.assertEqual(200, answer.status)
        self.assert_paused(replica)
        self.assertEqual("/lookup/a", suspected.arrived_requests[-1].target)

    @with_system(run_fleet, registers=1)
    async def test_request_that_waits_for_a_limit_goes_elsewhere(self, fleet):
        """A request chose its replica, and was sent after the pause began."""
        (replica,) = fleet.registers
        replica.request_limit = 4.0
        for _ in range(3):
            await fleet.send_request("/lookup/a", method="GET")
        waiting = [
            asyncio.create_task(fleet.send_request("/lookup/a", method="GET"))
            for _ in range(4)
        ]
        await asyncio.sleep(0.02)
        known = fleet.gateways[0].replicas.by_id[replica.id]
        known.pause.note(PAUSE_S)
        before = len(replica.arrived_requests)
        answers = await asyncio.gather(*waiting)
        self.assertIn(503, {answer.status for answer in answers})
        self.assertEqual(before, len(replica.arrived_requests))

    @with_system(run_fleet, registers=1)
    async def test_restart_ends_the_pause(self, fleet):
        """A new process has asked for nothing."""
        (replica,) = fleet.registers
        await self.ask_for_pause(fleet, replica, "/entry/a", 100.0)
        replica.boot = 2
        fleet.publish(replica)
        known = fleet.gateways[0].replicas
        await wait_until(lambda: known.by_id[replica.id].entry.boot == 2)
        answer = await fleet.send_request("/entry/a")
        self.assertEqual(200, answer.status)

    @with_system(run_fleet, registers=1)
    async def test_refused_report_is_a_pause_too(self, fleet):
        """The leader's reports may be turned away as well."""
        (replica,) = fleet.registers
        known = fleet.gateways[0].replicas.by_id[replica.id]
        replica.refuses_requests = True
        replica.retry_after = PAUSE_S
        with contextlib.suppress(Exception):
            await OrderClient().report(known)
        self.assertTrue(known.pause.is_active)


class PauseValueTest(testtools.TestCase):
    def pause_s(self, value, status=503):
        headers = [(b"x-request-id", b"one"), (b"retry-after", value)]
        return PlatformDialect().read_response(status, headers).pause_s

    def test_only_refusals_with_seconds_ask_for_a_pause(self):
        """A malformed value must be no pause, and an absurd one no ban."""
        self.assertEqual(2.0, self.pause_s(b"2"))
        self.assertEqual(0.25, self.pause_s(b" 0.25 "))
        for value in (
            b"",
            b"-1",
            b"nan",
            b"inf",
            b"1e9",
            b"1_0",
            b"soon",
            b"Sat, 05 Dec 2026 07:28:00 GMT",
            b"9" * 5000,
        ):
            self.assertIsNone(self.pause_s(value), value)
        self.assertIsNone(self.pause_s(b"2", status=200))
        self.assertIsNone(self.pause_s(b"2", status=429))

    @with_system(run_fleet)
    async def test_longest_pause_is_bounded(self, fleet):
        """A wrong unit or a damaged value must not ban a replica for hours."""
        known = fleet.gateways[0].replicas.by_id["register-0"]
        known.pause.note(86_400.0)
        self.assertLess(known.pause.left_s(), 1.1 * MAX_PAUSE_S)

    def test_pause_of_a_replica_is_not_the_callers(self):
        """It counts for this host; other replicas may serve the caller at once."""
        headers = [(b"x-request-id", b"one"), (b"retry-after", b"60")]
        metadata = PlatformDialect().read_response(503, headers)
        self.assertNotIn(b"retry-after", dict(metadata.headers))
        metadata = PlatformDialect().read_response(429, headers)
        self.assertIn(b"retry-after", dict(metadata.headers))

    @with_system(run_fleet, gateways=3)
    async def test_hosts_do_not_all_return_at_once(self, fleet):
        """Many hosts are asked for the same pause at nearly the same time."""
        ends = []
        for gateway in fleet.gateways:
            known = gateway.replicas.by_id["register-0"]
            known.pause.note(10.0)
            self.assertGreaterEqual(known.pause.left_s(), 9.9)
            ends.append(known.pause.left_s())
        self.assertGreater(max(ends) - min(ends), 0.1)
