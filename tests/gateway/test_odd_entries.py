"""Tests that odd items among sound ones in the store affect nothing else."""

import json

import anyio
import testtools

from snipetrestle.coordination.hosts import REACHABLE_TIMEOUT_S
from snipetrestle.gateway import app, supervision
from snipetrestle_standins.gateway_fleet import configuration
from snipetrestle_standins.platform_replica import Fault, PlatformReplica
from tests.gateway.running import run_fleet
from tests.waiting import wait_until

APPLY_TIME_S = 2.0


class OddItemTestCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.unexpected = []
        for module in (supervision, app):
            self.patch(
                module,
                "log_unexpected",
                lambda source, error: self.unexpected.append((source, repr(error))),
            )

    async def assert_followed(self, fleet, version):
        """Asserts that all hosts follow the store and hear each other."""
        fleet.store.put("op/config", configuration(version))
        with anyio.fail_after(APPLY_TIME_S):
            await wait_until(
                lambda: all(
                    gateway.state.configuration.version == version
                    for gateway in fleet.live
                )
            )
        count = len(fleet.live)
        for gateway in fleet.live:
            self.assertEqual(count, gateway.hosts.count())
            self.assertEqual(count - 1, len(gateway.hosts.reachable()))
            answer = await fleet.send_request("/draft/a", gateway, adapter="a1")
            self.assertEqual((200, True), (answer.status, answer.complete))
        self.assertEqual([], self.unexpected)


class OddModelNameTest(OddItemTestCase):
    def test_long_model_names_of_callers_do_not_stop_heartbeats(self):
        """Heartbeats named the models of the requests in progress, and were too long
        for a datagram."""

        # Replicas of this service do not look at the model.
        self.patch(PlatformReplica, "_holds", lambda replica, request: True)

        async def send(fleet, gateway, name):
            headers = [("X-Model", name * 15_000)]
            await fleet.send_request("/entry/a", gateway, headers=headers)

        async def check(fleet):
            for replica in fleet.registers:
                replica.faults += [Fault.NO_RESPONSE] * 10
            terms = [gateway.leadership.term for gateway in fleet.live]
            (follower,) = set(fleet.live) - set(fleet.leaders())
            async with anyio.create_task_group() as group:
                for name in "abcdefgh":
                    group.start_soon(send, fleet, follower, name)
                await anyio.sleep(REACHABLE_TIMEOUT_S + 0.4)
                in_flight = [
                    replica.in_flight for replica in follower.replicas.by_id.values()
                ]
                self.assertEqual(8, sum(in_flight))
                group.cancel_scope.cancel()
            self.assertEqual(terms, [gateway.leadership.term for gateway in fleet.live])
            self.assertEqual([], self.unexpected)

        run_fleet(check, gateways=2)


class OddRequestLimitTest(OddItemTestCase):
    def test_huge_request_limits_do_not_stop_heartbeats(self):
        """Heartbeats name the limits of replicas, and no host could read such a one."""

        async def check(fleet):
            for replica in fleet.registers:
                replica.request_limit = 1e300
            for gateway in fleet.live:
                answer = await fleet.send_request("/entry/a", gateway)
                self.assertEqual(200, answer.status)
            await anyio.sleep(REACHABLE_TIMEOUT_S + 0.4)
            await self.assert_followed(fleet, 7)

        run_fleet(check, gateways=2)


class OddVersionTest(OddItemTestCase):
    def test_huge_versions_do_not_stop_heartbeats(self):
        """Their sum was more than a heartbeat can hold, so that none was sent."""

        async def check(fleet):
            for number, version in enumerate((2**53 + 1, 2**62, 2**64, 10**30)):
                declared = {"model": "m0", "adapter": f"b{number}", "version": version}
                content = json.dumps(declared).encode()
                fleet.store.put(f"op/version/m0.b{number}", content)
            await anyio.sleep(REACHABLE_TIMEOUT_S + 0.4)
            await self.assert_followed(fleet, 7)

        run_fleet(check, gateways=2)
