"""Tests that several daemons together keep a customer's limits."""

import contextlib
import random

import anyio
import msgspec
import testtools

from snipetrestle.codes import ResultCode, ServingError
from snipetrestle.limits import LimitShares, ShareCoordinator
from snipetrestle.limits.shares import RETRY_BURST, admission_bound
from snipetrestle.peers.transport import MessageRouter
from snipetrestle.published import Contract
from snipetrestle_standins.clock import run_in_virtual_time
from snipetrestle_standins.network import InMemoryNetwork

CONTRACT = Contract(
    requests_per_second=30.0,
    concurrency=60,
    tokens_per_minute=60_000,
    waiting_first_token_s=1.0,
)
HOSTS = 6
TOKENS_PER_REQUEST = 10


class ShareFleet:
    """Daemons with shares of one customer; each of them can coordinate it."""

    def __init__(self, contract=CONTRACT):
        self.contract = contract
        self.network = InMemoryNetwork()
        self.coordinator_by_name = {f"d{n}": "d0" for n in range(HOSTS)}
        self.shares_by_name = {}
        # Number of members that each coordinator can reach by its membership view.
        self.reachable_count = HOSTS
        self.admitted = []
        self.in_progress = 0
        self.max_in_progress = 0

    def build(self, group):
        for name in self.coordinator_by_name:
            router = MessageRouter()
            ShareCoordinator(
                router, lambda customer: self.contract, lambda: self.reachable_count
            )
            shares = LimitShares(
                self.network.attach(name, router),
                random.Random(name),
                lambda customer: self.contract,
                lambda customer, name=name: self.coordinator_by_name[name],
                lambda: HOSTS,
            )
            self.shares_by_name[name] = shares
            group.start_soon(shares.run)

    async def send_requests(self, name, rate, seconds, hold_s=0.0):
        end = anyio.current_time() + seconds
        async with anyio.create_task_group() as group:
            while anyio.current_time() < end:
                group.start_soon(self.send_one, name, hold_s)
                await anyio.sleep(1.0 / rate)

    async def send_one(self, name, hold_s):
        shares = self.shares_by_name[name]
        with (
            contextlib.suppress(ServingError),
            shares.admit("c", "waiting", TOKENS_PER_REQUEST),
        ):
            self.admitted.append((anyio.current_time(), name))
            self.in_progress += 1
            self.max_in_progress = max(self.max_in_progress, self.in_progress)
            await anyio.sleep(hold_s)
            self.in_progress -= 1

    def run(self, function):
        async def main():
            async with self.network, anyio.create_task_group() as group:
                self.build(group)
                await function()
                group.cancel_scope.cancel()

        run_in_virtual_time(main)

    def count(self, since, until, names=None):
        return sum(
            1
            for at_s, name in self.admitted
            if since <= at_s < until and (names is None or name in names)
        )


class SharesTest(testtools.TestCase):
    def assert_within_bound(self, fleet, end):
        for window in (1, 5, 20, int(end)):
            bound, _ = admission_bound(
                fleet.contract, HOSTS, window, TOKENS_PER_REQUEST
            )
            for since in range(int(end) - window + 1):
                self.assertLessEqual(fleet.count(since, since + window), bound)

    def test_limit_holds_in_sum_and_follows_demand(self):
        """Moving demand must neither overrun the limit nor leave shares unused."""
        fleet = ShareFleet()

        async def check():
            await fleet.send_requests("d1", 100, 40)
            await fleet.send_requests("d2", 100, 40)

        fleet.run(check)
        self.assert_within_bound(fleet, 80)
        # One busy daemon gets its fixed share and nearly the whole granted half.
        self.assertGreater(fleet.count(20, 40, {"d1"}), 20 * 15)
        self.assertGreater(fleet.count(60, 80, {"d2"}), 20 * 15)

    def test_limit_holds_during_a_partition(self):
        """In a partition, two coordinators could grant the same part of the limit."""
        fleet = ShareFleet()

        async def check():
            async with anyio.create_task_group() as group:
                for name in ("d1", "d4", "d5"):
                    group.start_soon(fleet.send_requests, name, 60, 60)
                await anyio.sleep(20)
                fleet.network.partition(("d0", "d1", "d2"), ("d3", "d4", "d5"))
                # The views change once the failure detector has noticed the partition.
                await anyio.sleep(2)
                fleet.reachable_count = HOSTS // 2
                for name in ("d3", "d4", "d5"):
                    fleet.coordinator_by_name[name] = "d3"

        fleet.run(check)
        self.assert_within_bound(fleet, 60)
        for side in ({"d1"}, {"d4", "d5"}):
            self.assertGreater(fleet.count(40, 60, side), 20 * 2.5)

    def test_concurrency_holds_in_sum(self):
        """Guards against more requests in progress than the contract allows."""
        contract = msgspec.structs.replace(CONTRACT, requests_per_second=1e4)
        fleet = ShareFleet(contract)

        async def check():
            async with anyio.create_task_group() as group:
                for name in fleet.coordinator_by_name:
                    group.start_soon(fleet.send_requests, name, 50, 20, 1.0)

        fleet.run(check)
        self.assertLessEqual(fleet.max_in_progress, CONTRACT.concurrency)
        self.assertGreater(fleet.max_in_progress, CONTRACT.concurrency // 3)

    def test_retries_are_bounded_by_the_budget(self):
        """Without a budget, a retry storm displaces first attempts."""
        fleet = ShareFleet()
        refused = []

        async def check():
            shares = fleet.shares_by_name["d1"]
            for _ in range(100):
                try:
                    with shares.admit("c", "waiting", TOKENS_PER_REQUEST, True):
                        pass
                except ServingError as error:
                    refused.append(error)
                await anyio.sleep(1.0)

        fleet.run(check)
        self.assertEqual(100 - RETRY_BURST, len(refused))
        for error in refused:
            self.assertIs(ResultCode.RETRY_BUDGET, error.code)
            self.assertGreater(error.retry_after, 0.0)

    def test_batch_does_not_use_the_waiting_limits(self):
        """An overnight batch must not use up the customer's own rate."""
        fleet = ShareFleet()

        async def check():
            shares = fleet.shares_by_name["d1"]
            with contextlib.ExitStack() as stack:
                for _ in range(500):
                    stack.enter_context(shares.admit("c", "batch", TOKENS_PER_REQUEST))
                stack.enter_context(shares.admit("c", "waiting", TOKENS_PER_REQUEST))

        fleet.run(check)
