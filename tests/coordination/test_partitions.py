"""Tests of hosts that a partition divides for longer than they remember each other."""

import anyio
import testtools

from snipetrestle_standins.clock import run_in_virtual_time
from tests.coordination.test_leadership import System

# Longer than the time after which a silent host is removed, at each size.
LONG_CUT_S = 45.0
# Rules about leaders hold again this long after a partition has healed.
HEALED_WITHIN_S = 3.0


def run_partition(size, side, check, cut_s=LONG_CUT_S):
    """Cuts the hosts with the numbers ``side`` off, heals the cut and runs a check."""

    async def main():
        system = System(size)
        async with anyio.create_task_group() as group:
            system.network.task_group = group
            for number in range(1, size + 1):
                system.start(number)
            await anyio.sleep(6.0)
            names = {f"entry-{number}" for number in side}
            for name in names:
                system.network.isolate(name, set(system.names()) - names)
            await anyio.sleep(cut_s)
            system.network.cuts.clear()
            await anyio.sleep(HEALED_WITHIN_S)
            await check(system)
            group.cancel_scope.cancel()

    run_in_virtual_time(main)


class HealedPartitionTest(testtools.TestCase):
    """Each side of a long cut had forgotten the hosts of the other one for good."""

    async def check_rejoined(self, system):
        (leader,) = system.leaders()
        for member in system.members.values():
            self.assertEqual(leader.name, member.leadership.leader)
        self.assertEqual(system.size, leader.hosts.count())
        self.assertEqual(system.size - 1, len(leader.hosts.reachable()))

    def test_hosts_cut_off_together_find_the_others_again(self):
        async def check(system):
            await self.check_rejoined(system)
            for member in system.members.values():
                self.assertEqual(system.size, member.hosts.count())

        for side in ((5, 6), (1, 2), (4, 5, 6), (3,)):
            for cut_s in (12.0, 90.0):
                with self.subTest(side=side, cut_s=cut_s):
                    run_partition(6, side, check, cut_s)

    def test_halves_of_many_hosts_find_each_other_again(self):
        for side in (range(1, 21), range(25, 41), (40,)):
            with self.subTest(side=side):
                run_partition(40, side, self.check_rejoined)

    def test_hosts_without_a_common_seed_find_each_other_again(self):
        """Seeds may be gone by the time that a cut heals."""

        async def main():
            system = System(6)
            async with anyio.create_task_group() as group:
                system.network.task_group = group
                for number in range(1, 7):
                    system.start(number)
                await anyio.sleep(4.0)
                for number in system.seeds:
                    system.kill(number)
                await anyio.sleep(20.0)
                system.network.isolate("entry-4", system.names())
                await anyio.sleep(LONG_CUT_S)
                system.network.cuts.clear()
                await anyio.sleep(HEALED_WITHIN_S)
                for member in system.members.values():
                    self.assertEqual(2, len(member.hosts.reachable()))
                group.cancel_scope.cancel()

        run_in_virtual_time(main)
