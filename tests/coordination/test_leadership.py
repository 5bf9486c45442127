"""Tests of the leader election, on a simulated clock and a network with partitions."""

import anyio
import testtools

from snipetrestle.coordination.membership.heartbeat_content import HeartbeatContent
from snipetrestle.coordination.membership.hosts import Hosts
from snipetrestle.coordination.membership.leadership import (
    RETURN_DELAY_S,
    Leadership,
    next_token,
)
from snipetrestle.coordination.messaging.messages import HostInfo
from snipetrestle.coordination.quarantine.shared_quarantine import SharedQuarantine
from snipetrestle.gateway.quarantine.prompt_quarantine import PromptQuarantine
from snipetrestle_standins.clock import run_in_virtual_time
from snipetrestle_standins.datagram_network import DatagramNetwork, LocalEndpoint
from snipetrestle_standins.order_activity import OrdersWhileLeading
from tests.systems import with_system

LEASE_S = 3.0
ELECTION_WAIT_S = 4.0


class Member:
    """One host with its membership and its part in the election."""

    def __init__(self, system, number, boot):
        self.name = f"entry-{number}"
        address = ("127.0.0.1", number)
        self.endpoint = LocalEndpoint(system.network, self.name, address)
        info = HostInfo(self.name, boot, *address, "zone-1", 1.0)
        seeds = tuple(("127.0.0.1", seed) for seed in system.seeds)
        self.content = content = HeartbeatContent()
        self.hosts = Hosts(
            info,
            seeds,
            self.endpoint,
            content,
        )
        self.leadership = Leadership(
            self.hosts, LEASE_S, system.has_ended, system.order_activity
        )
        self.quarantine = PromptQuarantine()
        content.connect(self.leadership)
        self.shared_quarantine = SharedQuarantine(
            self.quarantine, self.hosts, self.endpoint
        )
        self.scope = anyio.CancelScope()

    async def run(self):
        with self.scope:
            async with anyio.create_task_group() as group:
                group.start_soon(self.hosts.run)
                group.start_soon(self.leadership.run)


class System:
    """The running members by number, on one simulated network."""

    def __init__(self, size, seeds=(1, 2, 3)):
        self.network = DatagramNetwork()
        self.seeds = seeds
        self.size = size
        self.members = {}
        self.boots = 0
        self.order_activity = OrdersWhileLeading(self.leaders)

    def start(self, number):
        self.boots += 1
        member = self.create_member(number)
        self.members[number] = member
        self.network.task_group.start_soon(member.run)
        return member

    def create_member(self, number):
        return Member(self, number, self.boots)

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
            system.network.task_group = group
            for number in range(1, size + 1):
                system.start(number)
            await anyio.sleep(ELECTION_WAIT_S)
            await function(system)
            group.cancel_scope.cancel()

    run_in_virtual_time(main)


class LeadershipTest(testtools.TestCase):
    def assert_one_leader(self, system):
        """Returns the only leader, after checking that all members follow it."""
        (leader,) = system.leaders()
        for member in system.members.values():
            self.assertEqual(leader.name, member.leadership.leader)
        return leader

    @with_system(run_system)
    async def test_all_hosts_follow_one_leader(self, system):
        """Guards against two leaders, and hosts without one."""
        self.assert_one_leader(system)

    @with_system(run_system, seeds=(1, 8, 9))
    async def test_stale_seeds_suffice(self, system):
        """While seeds are down, hosts could fail to find each other."""
        self.assert_one_leader(system)
        self.assertEqual(5, system.leaders()[0].hosts.count())

    @with_system(run_system)
    async def test_killed_leader_is_replaced_at_once_with_a_higher_token(self, system):
        """All loads pause until a killed leader is replaced, and its successor must not
        use the same fencing token again."""
        old = self.assert_one_leader(system)
        system.kill(old.endpoint.address[1])
        await anyio.sleep(2.2)
        new = self.assert_one_leader(system)
        self.assertGreater(new.leadership.term, old.leadership.term)

    @with_system(run_system)
    async def test_cut_off_leader_resigns_before_another_is_elected(self, system):
        """A leader that is cut off does not learn of an election: if it leads on, there
        are two leaders within one lease."""
        old = self.assert_one_leader(system)
        system.network.isolate(old.name, system.names())
        resigned_at = elected_at = None
        for _ in range(200):
            await anyio.sleep(0.05)
            now = anyio.current_time()
            if resigned_at is None and not old.leadership.leads:
                resigned_at = now
            others = [m for m in system.leaders() if m is not old]
            if elected_at is None and others:
                elected_at = now
            self.assertLessEqual(len(system.leaders()), 1)
        self.assertIsNotNone(elected_at)
        self.assertGreaterEqual(elected_at - resigned_at, LEASE_S - 0.3)
        system.network.cuts.clear()
        await anyio.sleep(2.0)
        self.assert_one_leader(system)

    @with_system(run_system)
    async def test_suspended_leader_leads_again_soon(self, system):
        """No other host has sent orders while the leader was suspended for a moment, so
        loads must not pause for a whole lease afterwards."""
        leader = self.assert_one_leader(system)
        before = leader.leadership.term
        leader.leadership.resign("this process was suspended")
        await anyio.sleep(1.5)
        self.assertIs(leader, self.assert_one_leader(system))
        self.assertGreater(leader.leadership.term, before)

    @with_system(run_system)
    async def test_replaced_leader_follows_its_successor(self, system):
        """Guards against two leaders after the old one was cut off for long."""
        old = self.assert_one_leader(system)
        system.network.isolate(old.name, system.names())
        await anyio.sleep(8.0)
        new = [m for m in system.leaders() if m is not old]
        system.network.cuts.clear()
        for _ in range(20):
            await anyio.sleep(0.1)
            self.assertLessEqual(len(system.leaders()), 1)
        self.assertEqual(new, [self.assert_one_leader(system)])

    @with_system(run_system, seeds=(1, 8, 9))
    async def test_hosts_that_start_together_find_each_other(self, system):
        """Hosts that start together could elect two leaders that do not know each
        other: both had asked a host that knew neither yet, and alternated for 27 s
        (store-away, taglia-sicilia)."""
        for number in (2, 3, 4, 5):
            system.kill(number)
        for number in (2, 3, 4, 5):
            system.start(number)
        await anyio.sleep(ELECTION_WAIT_S)
        self.assert_one_leader(system)
        for member in system.members.values():
            self.assertEqual(5, member.hosts.count())

    @with_system(run_system)
    async def test_superseded_leader_resigns_on_a_follower_s_heartbeat(self, system):
        """Two leaders that cannot reach each other would both lead on; the heartbeat of
        a follower tells the superseded one."""
        first = self.assert_one_leader(system)
        second = next(m for m in system.members.values() if m is not first)
        system.network.cuts.add(frozenset((first.name, second.name)))
        second.leadership._become_leader()
        await anyio.sleep(1.5)
        for _ in range(60):
            await anyio.sleep(0.1)
            self.assertEqual([second], system.leaders())

    @with_system(run_system)
    async def test_leader_resigns_on_a_refused_token_and_exceeds_it(self, system):
        """Guards against two leaders that raise their tokens in turn, and against a
        leader whose token stays too low because its clock is behind."""
        leader = self.assert_one_leader(system)
        before = leader.leadership.term
        leader.leadership.on_token_refused()
        self.assertFalse(leader.leadership.leads)
        await anyio.sleep(2.0)
        self.assertGreater(self.assert_one_leader(system).leadership.term, before)

    @with_system(run_system)
    async def test_restarted_host_with_an_earlier_clock_is_accepted(self, system):
        """A host whose clock was set back could be ignored by all others."""
        system.kill(2)
        system.boots = -10
        system.start(2)
        await anyio.sleep(ELECTION_WAIT_S)
        self.assert_one_leader(system)
        for member in system.members.values():
            self.assertEqual(5, len(member.hosts.reachable()) + 1)

    @with_system(run_system)
    async def test_leaving_leader_is_replaced_and_learns_its_successor(self, system):
        """Each step of a rolling restart could leave a time without a leader.

        A leaving host still serves requests, so it must know the new leader. Two hosts
        that leave together must not lose their knowledge of the others.
        """
        old = self.assert_one_leader(system)
        followers = [m for m in system.members.values() if m is not old]
        for member in (old, followers[0]):
            member.leadership.resign("this process stops")
            member.hosts.send_leaving()
        await anyio.sleep(1.0)
        new = self.assert_one_leader(system)
        self.assertNotIn(new, (old, followers[0]))
        self.assertEqual(new.name, old.leadership.leader)

    @with_system(run_system)
    async def test_token_rises_after_all_hosts_restarted(self, system):
        """After all hosts were killed, tokens could be reused."""
        old = self.assert_one_leader(system)
        for number in list(system.members):
            system.kill(number)
        for number in range(1, 6):
            system.start(number)
        await anyio.sleep(ELECTION_WAIT_S)
        self.assertGreater(
            self.assert_one_leader(system).leadership.term, old.leadership.term
        )

    @with_system(run_system)
    async def test_host_leads_again_while_the_next_one_hears_nobody(self, system):
        """No host led for 9 s, then two did: the others wait for a host that precedes
        them, is heard and hears nobody."""
        deaf = system.start(6)
        await anyio.sleep(5.0)
        leader = self.assert_one_leader(system)
        deaf.endpoint._handlers_by_type = {}
        handlers = leader.endpoint._handlers_by_type
        leader.endpoint._handlers_by_type = {}
        while leader.leadership.leads:  # noqa: ASYNC110 - virtual time
            await anyio.sleep(0.05)
        await anyio.sleep(0.3)
        leader.endpoint._handlers_by_type = handlers
        await anyio.sleep(RETURN_DELAY_S)
        for _ in range(100):
            self.assertIs(leader, self.assert_one_leader(system))
            await anyio.sleep(0.1)

    def test_tokens_differ_between_hosts(self):
        """One token must never belong to two hosts, also with the clock set back."""
        token = next_token(0, "entry-1", 1000)
        self.assertNotEqual(token, next_token(0, "entry-2", 1000))
        self.assertGreater(next_token(token, "entry-2", 10), token)
