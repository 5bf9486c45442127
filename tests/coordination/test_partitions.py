"""Tests of hosts that a partition divides for longer than they remember each other."""

import itertools

import anyio
import testtools

from snipetrestle.gateway.configuration import AdapterKey
from snipetrestle_standins.clock import run_in_virtual_time
from snipetrestle_standins.datagram_network import DatagramNetwork
from snipetrestle_standins.orders_fleet import (
    MODEL,
    OrdersFleet,
    turns_within_lease,
)
from tests.coordination.test_leadership import System

# Longer than the time after which a silent host is removed, at each size.
LONG_CUT_S = 45.0
# Rules about leaders hold again this long after a partition has healed.
HEALED_WITHIN_S = 3.0
NAMES = tuple(f"entry-{number}" for number in range(1, 7))


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


class OverloadedLeader(DatagramNetwork):
    """Loses most datagrams to a host while it leads, once it ``is_overloaded``."""

    LOSS_RATE = 0.9

    def __init__(self, name, leaders):
        super().__init__()
        self._name = name
        self._leaders = leaders
        self.is_overloaded = False

    def connected(self, first, second):
        if self.is_overloaded and second == self._name:
            leads = any(member.name == second for member in self._leaders())
            if leads and self.rng.random() < self.LOSS_RATE:
                return False
        return super().connected(first, second)


class OverloadedLeaderTest(testtools.TestCase):
    """A host of three behind a cut led all 58 after it had healed. Lookups of the others
    filled its socket, so it heard no majority, resigned, heard all and led again."""

    SIZE = 40
    # The first three hosts by name wait least, and precede the others least.
    MINORITY = tuple(f"entry-{number}" for number in (1, 2, 3))
    LEADER = "entry-3"

    async def start(self, system):
        """Lets a host of the minority lead all hosts."""
        names = set(system.names())
        half = {f"entry-{number}" for number in range(4, 23)}
        for number in range(1, self.SIZE + 1):
            system.start(number)
        await anyio.sleep(6.0)
        network = system.network
        for name in self.MINORITY:
            network.isolate(name, names - set(self.MINORITY))
        await anyio.sleep(11.0)
        for name in half:
            network.isolate(name, names - half)
        await anyio.sleep(11.0)
        self.assertEqual([self.LEADER], [item.name for item in system.leaders()])
        network.cuts.clear()

    def test_no_other_host_leads_before_it_hears_the_leader(self):
        """A host that had got a question of the leader, but no heartbeat, took it for no
        leader of others, and led beside it 2.2 s after the cut had healed."""

        async def main():
            system = System(self.SIZE)
            system.network = OverloadedLeader(self.LEADER, system.leaders)
            system.network.is_overloaded = True
            async with anyio.create_task_group() as group:
                system.network.task_group = group
                await self.start(system)
                for _ in range(400):
                    await anyio.sleep(0.05)
                    leaders = [member.name for member in system.leaders()]
                    self.assertLessEqual(len(leaders), 1, leaders)
                (leader,) = system.leaders()
                self.assertEqual(self.SIZE - 1, len(leader.hosts.reachable()))
                group.cancel_scope.cancel()

        run_in_virtual_time(main)

    def test_leader_without_a_majority_leaves_the_lead_to_those_that_precede_it(self):
        async def main():
            system = System(self.SIZE)
            system.network = OverloadedLeader(self.LEADER, system.leaders)
            led_by = []
            async with anyio.create_task_group() as group:
                system.network.task_group = group
                await self.start(system)
                await anyio.sleep(HEALED_WITHIN_S)
                system.network.is_overloaded = True
                for _ in range(400):
                    await anyio.sleep(0.05)
                    leaders = [member.name for member in system.leaders()]
                    self.assertLessEqual(len(leaders), 1)
                    if leaders and leaders != led_by[-1:]:
                        led_by += leaders
                self.assertEqual(2, len(led_by), led_by)
                (leader,) = system.leaders()
                self.assertEqual(self.SIZE - 1, len(leader.hosts.reachable()))
                group.cancel_scope.cancel()

        run_in_virtual_time(main)


class FleetUnderLoad:
    """Hosts of an OrdersFleet that look up changing adapters all the time."""

    LOOKUP_INTERVAL_S = 0.3

    def __init__(self, names=NAMES):
        self.fleet = OrdersFleet(names)
        self.is_paused = False
        self._numbers = itertools.count()

    async def _look_up(self):
        while True:
            await anyio.sleep(self.LOOKUP_INTERVAL_S)
            if self.is_paused:
                continue
            key = AdapterKey(MODEL, f"a{next(self._numbers) % 40}")
            for host in list(self.fleet.daemons_by_name.values()):
                self._group.start_soon(self._look_up_at, host, key)

    async def _look_up_at(self, host, key):
        with anyio.move_on_after(2.0):
            await host.locator.look_up(key)

    async def play(self, steps):
        """Plays ``steps(load)``, then waits until all must be well."""
        async with self.fleet, anyio.create_task_group() as self._group:
            self._group.start_soon(self._look_up)
            await anyio.sleep(8.0)
            await steps(self)
            await anyio.sleep(HEALED_WITHIN_S)
            self._group.cancel_scope.cancel()

    def turns(self):
        return [
            turn
            for replica in self.fleet.replicas_by_id.values()
            for turn in turns_within_lease(replica.accepted)
        ]

    def leaders(self):
        hosts = self.fleet.daemons_by_name.values()
        return [host for host in hosts if host.leadership.leads]


class OrdersInPartitionTest(testtools.TestCase):
    """Both sides of a cut ordered the same replicas in turns."""

    def check_no_turns(self, steps):
        async def main():
            load = FleetUnderLoad()
            await load.play(steps)
            return load

        load = run_in_virtual_time(main)
        self.assertEqual([], load.turns())
        self.assertEqual(1, len(load.leaders()))

    def test_only_one_side_of_a_cut_orders(self):
        for side in (NAMES[:2], NAMES[4:], NAMES[:3], NAMES[3:], NAMES[:1]):
            for cut_s in (12.0, 60.0):

                async def steps(load, side=side, cut_s=cut_s):
                    fleet = load.fleet
                    fleet.network.partition(side, set(NAMES) - set(side))
                    await anyio.sleep(cut_s)
                    fleet.network.heal()

                with self.subTest(side=side, cut_s=cut_s):
                    self.check_no_turns(steps)

    def test_host_that_restarts_behind_a_cut_does_not_order(self):
        """It knows no host of the other side, so it saw a majority in its own side."""
        for side in (NAMES[:2], NAMES[4:], NAMES[5:]):
            for restarted in (side[:1], side):

                async def steps(load, side=side, restarted=restarted):
                    fleet = load.fleet
                    fleet.network.partition(side, set(NAMES) - set(side))
                    await anyio.sleep(3.0)
                    for name in restarted:
                        fleet.start(name)
                    await anyio.sleep(20.0)
                    fleet.network.heal()

                with self.subTest(side=side, restarted=restarted):
                    self.check_no_turns(steps)

    def test_only_one_of_two_overlapping_cuts_orders(self):
        """The majority that remains of a majority must not lead beside another."""
        for first, second in (
            (NAMES[4:], NAMES[2:4]),
            (NAMES[:2], NAMES[2:4]),
            (NAMES[:3], NAMES[3:4]),
        ):

            async def steps(load, first=first, second=second):
                fleet = load.fleet
                fleet.network.partition(first, set(NAMES) - set(first))
                await anyio.sleep(11.0)
                rest = set(NAMES) - set(first) - set(second)
                fleet.network.partition(second, rest)
                await anyio.sleep(12.0)
                fleet.network.heal()

            with self.subTest(first=first, second=second):
                self.check_no_turns(steps)

    def test_leader_that_replicas_refuse_leaves_them_to_the_other(self):
        """Two leaders that knew nothing of each other raised their tokens in turns."""

        async def steps(load):
            load.is_paused = True
            load.fleet.network.partition(NAMES[:2], set(NAMES[2:]))
            for name in NAMES:
                load.fleet.start(name)
            # Without orders, the replicas do not show one side the leader of the other.
            await anyio.sleep(20.0)
            self.assertEqual(2, len(load.leaders()))
            load.is_paused = False
            await anyio.sleep(20.0)
            for replica in load.fleet.replicas_by_id.values():
                holders = [name for name, _ in itertools.groupby(replica.holders())]
                # The leader before the cut, and each of the others once.
                self.assertLessEqual(len(holders), 3)
            load.fleet.network.heal()

        self.check_no_turns(steps)

    def test_minority_does_not_lead_beside_a_new_leader_of_the_majority(self):
        """Orders of the new leader show only after a while: a host of three led beside
        that of 52 hosts, and its higher token drove the other one out."""
        names = tuple(f"entry-{number}" for number in range(1, 10))
        minority, others = names[:2], set(names[2:])

        async def watch(load):
            while True:
                await anyio.sleep(0.05)
                led_by = {host.name for host in load.leaders()}
                self.assertFalse(led_by & set(minority) and led_by & others, led_by)

        for pause_s in (5.0, 6.0, 7.0, 8.0):

            async def steps(load, pause_s=pause_s):
                network = load.fleet.network
                network.partition(minority, others)
                await anyio.sleep(pause_s)
                (leader,) = load.leaders()
                network.partition((leader.name,), set(names) - {leader.name})
                async with anyio.create_task_group() as group:
                    group.start_soon(watch, load)
                    await anyio.sleep(20.0)
                    group.cancel_scope.cancel()
                network.heal()

            with self.subTest(pause_s=pause_s):
                run_in_virtual_time(FleetUnderLoad(names).play, steps)

    def test_three_groups_do_not_all_lead(self):
        async def steps(load):
            fleet = load.fleet
            for side in (NAMES[:2], NAMES[2:4], NAMES[4:]):
                fleet.network.partition(side, set(NAMES) - set(side))
            await anyio.sleep(40.0)
            fleet.network.heal()

        self.check_no_turns(steps)


class LostMajorityTest(testtools.TestCase):
    """A majority that is gone for good must not leave the others without a leader."""

    def test_remaining_hosts_elect_a_leader(self):
        for gone in (NAMES[:4], NAMES[2:], NAMES[1:], NAMES[:5], NAMES[:3]):

            async def main(gone=gone):
                load = FleetUnderLoad()

                async def steps(load):
                    fleet = load.fleet
                    # Without power, a host refuses no connections.
                    fleet.network.partition(gone, set(NAMES) - set(gone))
                    for name in gone:
                        fleet.kill(name)
                    await anyio.sleep(20.0)

                await load.play(steps)
                return load

            with self.subTest(gone=gone):
                load = run_in_virtual_time(main)
                self.assertEqual(1, len(load.leaders()))
                self.assertEqual([], load.turns())
