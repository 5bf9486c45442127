"""Tests of the watch over the orders that replicas take from unknown leaders."""

import math
import random
import types

import anyio
import testtools

from snipetrestle.coordination.placement.order_activity import (
    MAX_WATCHED_REPLICAS,
    UNUSED_TIMEOUT_S,
    OrderActivity,
)
from snipetrestle.gateway.backends.http_client import ExchangeFailed
from snipetrestle_standins.clock import run_in_virtual_time
from tests.systems import with_own_system


class Replica:
    is_willing = True

    def __init__(self, process_id):
        self.process_id = process_id


class System:
    """Replicas of one backend, as the state and as the client of OrderActivity."""

    def __init__(self, count=3):
        self.ready = anyio.Event()
        self.ready.set()
        self.backends_by_name = {"models": types.SimpleNamespace(serves_models=True)}
        self.replicas = self
        self.members = [Replica(f"replica-{number} 1") for number in range(count)]
        self.counts = {}
        self.silent = set()
        self.reports = 0

    def ready_replicas(self, backend):
        return self.members

    async def report(self, replica):
        self.reports += 1
        if replica.process_id in self.silent:
            raise ExchangeFailed("no response")
        return types.SimpleNamespace(order_count=self.counts.get(replica.process_id, 0))


class OrderActivityTest(testtools.TestCase):
    def run_activity(self, check, system_count=3):
        """Runs ``check(system, activity, watch)``; ``watch(s)`` asks all the time."""

        async def main():
            system = System(system_count)
            activity = OrderActivity(system, system, random.Random(1))

            async def watch(duration_s):
                for _ in range(int(duration_s / 0.2)):
                    activity.quiet_s()
                    await anyio.sleep(0.2)

            async with anyio.create_task_group() as group:
                group.start_soon(activity.run)
                await check(system, activity, watch)
                group.cancel_scope.cancel()

        run_in_virtual_time(main)

    @with_own_system("run_activity")
    async def test_quiet_time_begins_with_the_first_report(
        self, system, activity, watch
    ):
        """A host that has just begun to watch knows nothing of earlier orders."""
        self.assertEqual(0.0, activity.quiet_s())
        await watch(4.0)
        self.assertTrue(3.0 < activity.quiet_s() <= 4.0)

    @with_own_system("run_activity")
    async def test_one_order_at_one_replica_begins_the_time_again(
        self, system, activity, watch
    ):
        """A leader behind a cut may order only some of the replicas."""
        await watch(4.0)
        system.counts["replica-2 1"] = 1
        await watch(1.0)
        self.assertLess(activity.quiet_s(), 1.1)

    @with_own_system("run_activity")
    async def test_restarted_replica_is_no_order(self, system, activity, watch):
        """A replica that restarts counts from 0 again."""
        system.counts["replica-2 1"] = 7
        await watch(4.0)
        system.members[2] = Replica("replica-2 2")
        await watch(1.0)
        self.assertGreater(activity.quiet_s(), 4.0)

    @with_own_system("run_activity")
    async def test_replicas_that_do_not_answer_are_not_quiet(
        self, system, activity, watch
    ):
        """A host that reaches no replica cannot tell whether another one orders."""
        await watch(4.0)
        system.silent |= {replica.process_id for replica in system.members}
        await watch(1.0)
        self.assertEqual(0.0, activity.quiet_s())

    @with_own_system("run_activity")
    async def test_unknown_state_is_not_quiet(self, system, activity, watch):
        """A host that starts behind a cut may know the replicas only later."""
        system.ready = anyio.Event()
        await watch(4.0)
        self.assertEqual(0.0, activity.quiet_s())

    @with_own_system("run_activity", 0)
    async def test_system_without_replicas_is_quiet(self, system, activity, watch):
        """Nothing can be ordered, so no election needs to wait."""
        await watch(1.0)
        self.assertEqual(math.inf, activity.quiet_s())

    @with_own_system("run_activity", 500)
    async def test_reports_are_read_only_while_they_are_needed(
        self, system, activity, watch
    ):
        """Each report has a price, and there may be thousands of replicas."""
        await anyio.sleep(5.0)
        self.assertEqual(0, system.reports)
        await watch(5.0)
        self.assertLessEqual(system.reports, 11 * MAX_WATCHED_REPLICAS)
        await anyio.sleep(UNUSED_TIMEOUT_S + 1.0)
        before = system.reports
        await anyio.sleep(10.0)
        self.assertEqual(before, system.reports)
        self.assertEqual(0.0, activity.quiet_s())
