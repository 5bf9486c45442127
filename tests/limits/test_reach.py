"""Tests which daemons request grants, and what coordinators grant."""

import random

import anyio
import testtools

from snipetrestle.codes import ServingError
from snipetrestle.limits import LimitShares, ShareCoordinator
from snipetrestle.limits.shares import admission_bound
from snipetrestle.peers.transport import MessageRouter
from snipetrestle.published import Contract
from snipetrestle_standins.clock import run_in_virtual_time
from snipetrestle_standins.network import InMemoryNetwork

CONTRACT = Contract(
    requests_per_second=70.0,
    concurrency=700,
    tokens_per_minute=4_200_000,
    waiting_first_token_s=2.0,
)
DAEMONS = 7
SECONDS = 30


class Daemons:
    """Daemons that share one customer's limits.

    ``reachable_count_by_name`` holds the number of hosts that each daemon can reach,
    and ``coordinator_by_name`` the coordinator that it knows.
    """

    def __init__(self, network):
        self.network = network
        self.names = [f"entry-{number}" for number in range(DAEMONS)]
        self.reachable_count_by_name = dict.fromkeys(self.names, DAEMONS)
        self.coordinator_by_name = dict.fromkeys(self.names, "entry-0")
        self.shares_by_name = {}
        self.admitted_by_name = dict.fromkeys(self.names, 0)

    async def start(self, group):
        for name in self.names:
            router = MessageRouter()
            ShareCoordinator(
                router,
                lambda customer: CONTRACT,
                lambda name=name: self.reachable_count_by_name[name],
                first_start=True,
            )
            self.shares_by_name[name] = LimitShares(
                LocalCallTransport(self.network.attach(name, router), name, router),
                random.Random(name),
                lambda customer: CONTRACT,
                lambda customer, name=name: self.coordinator_by_name[name],
                lambda: DAEMONS,
            )
            group.start_soon(self.shares_by_name[name].run)

    async def offer(self, name, per_second, seconds):
        """Sends requests at a rate for some seconds and counts the admitted ones."""
        for _ in range(int(per_second * seconds)):
            try:
                with self.shares_by_name[name].admit("customer", "waiting", 1):
                    self.admitted_by_name[name] += 1
            except ServingError:
                pass
            await anyio.sleep(1.0 / per_second)


class LocalCallTransport:
    """Passes a daemon's calls to itself to its own router, as the application does."""

    def __init__(self, transport, name, router):
        self.transport = transport
        self.name = name
        self.router = router

    async def call(self, member, message, timeout):
        if member == self.name:
            return await self.router.call(self.name, message)
        return await self.transport.call(member, message, timeout)


def run_daemons(scenario):
    """Runs ``scenario(daemons)`` and returns the daemons."""

    async def run():
        async with InMemoryNetwork() as network, anyio.create_task_group() as group:
            daemons = Daemons(network)
            await daemons.start(group)
            await scenario(daemons)
            group.cancel_scope.cancel()
            return daemons

    return run_in_virtual_time(run)


class ReachTest(testtools.TestCase):
    def test_one_daemon_with_all_the_demand_gets_the_granted_half(self):
        """Daemons that request no grants must also count as reachable.

        With only the requesting daemons counted, a customer whose requests all came to
        one of seven daemons got one seventh of its limit instead of more than half.
        """

        async def scenario(daemons):
            await daemons.offer("entry-3", 200.0, SECONDS)

        daemons = run_daemons(scenario)
        fixed = 0.5 / DAEMONS
        expected = (0.5 + fixed) * CONTRACT.requests_per_second * SECONDS
        self.assertGreater(daemons.admitted_by_name["entry-3"], 0.9 * expected)

    def test_all_daemons_together_keep_the_limit(self):
        """In sum, grants and fixed shares must not exceed the contract."""

        async def scenario(daemons):
            async with anyio.create_task_group() as group:
                for name in daemons.names:
                    group.start_soon(daemons.offer, name, 100.0, SECONDS)

        daemons = run_daemons(scenario)
        bound, _ = admission_bound(CONTRACT, DAEMONS, SECONDS, 1)
        total = sum(daemons.admitted_by_name.values())
        self.assertLessEqual(total, bound)
        self.assertGreater(total, 0.9 * CONTRACT.requests_per_second * SECONDS)

    def test_both_sides_of_a_partition_keep_the_limit_once_they_notice(self):
        """Two coordinators must not each grant the whole granted half."""

        async def scenario(daemons):
            near, far = daemons.names[:4], daemons.names[4:]
            daemons.network.partition(near, far)
            for name in daemons.names:
                side = near if name in near else far
                daemons.reachable_count_by_name[name] = len(side)
                daemons.coordinator_by_name[name] = side[0]
            async with anyio.create_task_group() as group:
                for name in daemons.names:
                    group.start_soon(daemons.offer, name, 100.0, SECONDS)

        daemons = run_daemons(scenario)
        bound, _ = admission_bound(CONTRACT, DAEMONS, SECONDS, 1)
        self.assertLessEqual(sum(daemons.admitted_by_name.values()), bound)

    def test_a_partition_that_nobody_noticed_overruns_by_half_at_most(self):
        """Guards against an overrun beyond the stated bound of 1.5 times the limit.

        This is the time until the membership views show the partition.
        """

        async def scenario(daemons):
            near, far = daemons.names[:4], daemons.names[4:]
            daemons.network.partition(near, far)
            for name in far:
                daemons.coordinator_by_name[name] = far[0]
            async with anyio.create_task_group() as group:
                for name in daemons.names:
                    group.start_soon(daemons.offer, name, 200.0, SECONDS)

        daemons = run_daemons(scenario)
        bound, _ = admission_bound(CONTRACT, DAEMONS, SECONDS, 1)
        total = sum(daemons.admitted_by_name.values())
        self.assertLessEqual(total, 1.5 * bound)
        # The limit itself is exceeded, so the scenario does cause an overrun.
        self.assertGreater(total, bound)

    def test_a_daemon_within_its_fixed_share_asks_for_nothing(self):
        """Each customer at each daemon would otherwise cause control messages."""

        async def scenario(daemons):
            await daemons.offer("entry-3", 1.0, SECONDS)

        daemons = run_daemons(scenario)
        self.assertEqual(SECONDS, daemons.admitted_by_name["entry-3"])
        self.assertEqual(0, daemons.network.sent_messages)
