"""Tests of the agreement on a leader, on the advanced clock and a network with cuts."""

import anyio
import testtools

from snipetrestle.coordination.hosts import Hosts
from snipetrestle.coordination.leadership import Leadership, next_token
from snipetrestle.coordination.messages import HostInfo
from snipetrestle_standins.clock import run_advanced
from snipetrestle_standins.datagram_network import DatagramNetwork, LocalEndpoint

LEASE_S = 3.0
SETTLE_S = 4.0


class Member:
    """One host: its membership and its leadership."""

    def __init__(self, system, number, boot):
        self.name = f"entry-{number}"
        address = ("127.0.0.1", number)
        self.endpoint = LocalEndpoint(system.network, self.name, address)
        info = HostInfo(self.name, boot, *address, "zone-1", 1.0)
        seeds = tuple(("127.0.0.1", seed) for seed in system.seeds)
        self.hosts = Hosts(
            info,
            seeds,
            self.endpoint,
            lambda: (
                self.leadership.leader,
                self.leadership.term,
                self.leadership.leader_age_s(),
                {},
                {},
            ),
            lambda: self.leadership.urgent_names(),
        )
        self.leadership = Leadership(self.hosts, LEASE_S, system.has_ended)
        self.scope = anyio.CancelScope()

    async def run(self):
        with self.scope:
            async with anyio.create_task_group() as group:
                group.start_soon(self.hosts.run)
                group.start_soon(self.leadership.run)


class System:
    """Members by number; records who led when."""

    def __init__(self, size, seeds=(1, 2, 3)):
        self.network = DatagramNetwork()
        self.seeds = seeds
        self.size = size
        self.members = {}
        self.boots = 0

    def start(self, number):
        self.boots += 1
        member = Member(self, number, self.boots)
        self.members[number] = member
        self.network.group.start_soon(member.run)
        return member

    def kill(self, number):
        member = self.members.pop(number)
        member.endpoint.up = False
        member.scope.cancel()
        return member

    async def has_ended(self, host):
        return host.info.port not in self.members

    def leaders(self):
        return [m for m in self.members.values() if m.leadership.leads]

    def names(self):
        return [f"entry-{number}" for number in range(1, self.size + 1)]


def run_system(function, size=5, **options):
    async def main():
        system = System(size, **options)
        async with anyio.create_task_group() as group:
            system.network.group = group
            for number in range(1, size + 1):
                system.start(number)
            await anyio.sleep(SETTLE_S)
            await function(system)
            group.cancel_scope.cancel()

    run_advanced(main)


class LeadershipTest(testtools.TestCase):
    def one_leader(self, system):
        (leader,) = system.leaders()
        for member in system.members.values():
            self.assertEqual(leader.name, member.leadership.leader)
        return leader

    def test_all_follow_one(self):
        """Guards against two hosts that order, and hosts that know none."""

        async def check(system):
            self.one_leader(system)

        run_system(check)

    def test_stale_seeds_suffice(self):
        """Guards against a system that does not find itself while seeds are down."""

        async def check(system):
            self.one_leader(system)
            self.assertEqual(5, system.leaders()[0].hosts.count())

        run_system(check, seeds=(1, 8, 9))

    def test_killed_leader_is_replaced_at_once_by_a_higher_token(self):
        """Guards against a stall of all loads, and a token that is used twice."""

        async def check(system):
            old = self.one_leader(system)
            system.kill(old.endpoint.address[1])
            await anyio.sleep(2.2)
            new = self.one_leader(system)
            self.assertGreater(new.leadership.term, old.leadership.term)

        run_system(check)

    def test_cut_off_leader_stops_before_another_starts(self):
        """Guards against two leaders that take turns within the lease."""

        async def check(system):
            old = self.one_leader(system)
            system.network.isolate(old.name, system.names())
            stopped_at = started_at = None
            for _ in range(200):
                await anyio.sleep(0.05)
                now = anyio.current_time()
                if stopped_at is None and not old.leadership.leads:
                    stopped_at = now
                others = [m for m in system.leaders() if m is not old]
                if started_at is None and others:
                    started_at = now
                self.assertLessEqual(len(system.leaders()), 1)
            self.assertIsNotNone(started_at)
            self.assertGreaterEqual(started_at - stopped_at, LEASE_S - 0.3)
            system.network.cuts.clear()
            await anyio.sleep(2.0)
            self.one_leader(system)

        run_system(check)

    def test_leader_that_stood_still_leads_again_soon(self):
        """Guards against a stall of all loads for a whole lease, after a leader stood
        still for a moment: no other host has ordered meanwhile."""

        async def check(system):
            leader = self.one_leader(system)
            before = leader.leadership.term
            leader.leadership.resign("this process stood still")
            await anyio.sleep(1.5)
            self.assertIs(leader, self.one_leader(system))
            self.assertGreater(leader.leadership.term, before)

        run_system(check)

    def test_leader_that_was_replaced_meanwhile_follows(self):
        """Guards against two leaders after a long stand-still."""

        async def check(system):
            old = self.one_leader(system)
            system.network.isolate(old.name, system.names())
            await anyio.sleep(8.0)
            new = [m for m in system.leaders() if m is not old]
            system.network.cuts.clear()
            for _ in range(20):
                await anyio.sleep(0.1)
                self.assertLessEqual(len(system.leaders()), 1)
            self.assertEqual(new, [self.one_leader(system)])

        run_system(check)

    def test_hosts_that_start_together_learn_of_each_other(self):
        """Guards against two leaders that never hear each other: both had asked a host
        that knew neither yet, and took turns for 27 s (store-away, taglia-sicilia)."""

        async def check(system):
            for number in (2, 3, 4, 5):
                system.kill(number)
            for number in (2, 3, 4, 5):
                system.start(number)
            await anyio.sleep(SETTLE_S)
            self.one_leader(system)
            for member in system.members.values():
                self.assertEqual(5, member.hosts.count())

        run_system(check, seeds=(1, 8, 9))

    def test_second_leader_yields_through_a_follower(self):
        """Guards against two leaders whose own link is cut."""

        async def check(system):
            first = self.one_leader(system)
            second = next(m for m in system.members.values() if m is not first)
            system.network.cuts.add(frozenset((first.name, second.name)))
            second.leadership._lead()
            await anyio.sleep(1.5)
            for _ in range(60):
                await anyio.sleep(0.1)
                self.assertEqual([second], system.leaders())

        run_system(check)

    def test_refused_token_ends_the_leadership_and_is_exceeded(self):
        """Guards against tokens that two leaders raise in turn, and against a leader
        whose clock is behind for ever."""

        async def check(system):
            leader = self.one_leader(system)
            before = leader.leadership.term
            leader.leadership.note_token_refused()
            self.assertFalse(leader.leadership.leads)
            await anyio.sleep(2.0)
            self.assertGreater(self.one_leader(system).leadership.term, before)

        run_system(check)

    def test_host_whose_clock_was_set_back_is_heard_again(self):
        """Guards against a restarted host that all others ignore."""

        async def check(system):
            system.kill(2)
            system.boots = -10
            system.start(2)
            await anyio.sleep(SETTLE_S)
            self.one_leader(system)
            for member in system.members.values():
                self.assertEqual(5, len(member.hosts.reachable()) + 1)

        run_system(check)

    def test_stopping_leader_hands_over_and_stays_informed(self):
        """Guards against a leader lost in each step of a rolling restart.

        A host that stops still serves requests, so it must know the new leader; two
        hosts that stop must not make each other forget the rest.
        """

        async def check(system):
            old = self.one_leader(system)
            followers = [m for m in system.members.values() if m is not old]
            for member in (old, followers[0]):
                member.leadership.resign("this process stops")
                member.hosts.send_leaving()
            await anyio.sleep(1.0)
            new = self.one_leader(system)
            self.assertNotIn(new, (old, followers[0]))
            self.assertEqual(new.name, old.leadership.leader)

        run_system(check)

    def test_all_restarted_hosts_find_a_leader_with_a_higher_token(self):
        """Guards against tokens that start anew after all hosts were killed."""

        async def check(system):
            old = self.one_leader(system)
            for number in list(system.members):
                system.kill(number)
            for number in range(1, 6):
                system.start(number)
            await anyio.sleep(SETTLE_S)
            self.assertGreater(
                self.one_leader(system).leadership.term, old.leadership.term
            )

        run_system(check)

    def test_tokens_differ_between_hosts(self):
        """Guards against two hosts with one token, also with the clock set back."""
        token = next_token(0, "entry-1", 1000)
        self.assertNotEqual(token, next_token(0, "entry-2", 1000))
        self.assertGreater(next_token(token, "entry-2", 10), token)
