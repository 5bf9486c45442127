"""Tests of the heartbeats between hosts, and of what they cost among many hosts."""

import anyio
import testtools

from snipetrestle.coordination.membership.hosts import (
    MAX_MESH_HOSTS,
    Hosts,
    HostStatus,
    KnownHost,
)
from snipetrestle.coordination.messaging.messages import (
    Heartbeat,
    HostInfo,
    KnownHosts,
    encode,
)
from snipetrestle_standins.clock import run_in_virtual_time
from tests.coordination.test_leadership import System
from tests.systems import in_virtual_time, with_own_system

READERS = {"zone-1": ("h7", "h8")}


class Endpoint:
    """Fake DatagramEndpoint; ``sent`` contains (message, address)."""

    def __init__(self):
        self.sent = []

    def register(self, message_type, handler):
        setattr(self, message_type.__name__, handler)

    def send(self, message, address):
        self.send_all(message, [address])

    def send_all(self, message, addresses):
        self.sent += [(message, address) for address in addresses]


class Content:
    """Fake HeartbeatContent."""

    def __init__(self, status, hosts_read_for):
        self._status = status
        self._hosts_read_for = hosts_read_for

    def status(self):
        return self._status

    def readers_by_domain(self):
        return READERS

    def hosts_read_for(self):
        return self._hosts_read_for


def info(number):
    return HostInfo(f"h{number}", 1, "127.0.0.1", number, "zone-1", 1.0)


def heartbeats_of_one_round(count, read_for=(), **status):
    """Returns the heartbeats of one host to ``count`` others in one round, by name."""
    endpoint = Endpoint()
    content = Content(
        HostStatus(term=7, **status),
        [KnownHost(info(number), 0.0) for number in read_for],
    )
    hosts = Hosts(info(0), (), endpoint, content)
    others = tuple(info(number) for number in range(1, count + 1))
    endpoint.KnownHosts(KnownHosts(others), None)
    endpoint.sent.clear()
    hosts.send_heartbeats()
    return {
        f"h{address[1]}": message
        for message, address in endpoint.sent
        if isinstance(message, Heartbeat)
    }


class HeartbeatTest(testtools.TestCase):
    @in_virtual_time
    async def test_heartbeats_among_many_hosts_go_to_the_leader_and_its_successors(
        self,
    ):
        """Heartbeats could saturate the links between failure domains."""
        heartbeats = heartbeats_of_one_round(
            70, leader="h1", has_leader=True, candidates=("h2", "h3", "h4")
        )
        self.assertEqual({"h1", "h2", "h3", "h4"}, heartbeats.keys())
        for heartbeat in heartbeats.values():
            self.assertLess(len(encode(heartbeat)), 200)
            self.assertEqual(("h1", 7), (heartbeat.leader, heartbeat.term))

    @in_virtual_time
    async def test_few_hosts_send_to_all(self):
        """A host that others do not hear would not count for a majority."""
        heartbeats = heartbeats_of_one_round(6, leader="h1", has_leader=True)
        self.assertEqual(6, len(heartbeats))

    @in_virtual_time
    async def test_leader_sends_to_all_hosts_and_names_the_readers(self):
        """A host that does not hear its leader would elect another one."""
        heartbeats = heartbeats_of_one_round(
            70, leader="h0", leads=True, has_leader=True, candidates=("h2",)
        )
        self.assertEqual(70, len(heartbeats))
        for heartbeat in heartbeats.values():
            self.assertEqual(("h7", "h8"), heartbeat.readers)
            self.assertEqual(("h2",), heartbeat.candidates)

    @in_virtual_time
    async def test_all_hosts_send_to_all_without_a_leader(self):
        """Among 195 hosts a heartbeat came each 6 s, and "reachable" meant "heard by
        chance": no host but the first candidates saw a majority."""
        heartbeats = heartbeats_of_one_round(194)
        self.assertEqual(194, len(heartbeats))
        for heartbeat in heartbeats.values():
            self.assertLess(len(encode(heartbeat)), 200)

    @in_virtual_time
    async def test_reader_sends_to_the_hosts_that_it_reads_for(self):
        """Hosts must hear their readers to know that they need not read the store."""
        heartbeats = heartbeats_of_one_round(
            70, read_for=(5, 6), leader="h1", has_leader=True
        )
        self.assertEqual({"h1", "h5", "h6"}, heartbeats.keys())


class LargeSystemTest(testtools.TestCase):
    """Elections and the cost of membership among many hosts, without loss."""

    # Some seconds of real time each; the larger sizes are in the capacity page.
    SIZE = 100
    WAIT_S = 6.0

    def run_system(self, function):
        async def main():
            system = System(self.SIZE)
            async with anyio.create_task_group() as group:
                system.network.task_group = group
                for number in range(1, self.SIZE + 1):
                    system.start(number)
                await anyio.sleep(self.WAIT_S)
                await function(system)
                group.cancel_scope.cancel()

        run_in_virtual_time(main)

    def assert_one_leader(self, system):
        (leader,) = system.leaders()
        for member in system.members.values():
            self.assertEqual(leader.name, member.leadership.leader)
            self.assertTrue(member.leadership.has_recent_leader)
        return leader

    def datagrams_by_sender(self, system):
        return system.network.datagrams_by_sender

    @with_own_system("run_system")
    async def test_membership_of_a_usual_host_does_not_grow_with_their_number(
        self, system
    ):
        """Each of 195 hosts sent 388 to 3,422 datagrams a second, and a host counted 38
        to 48 of the 194 others as reachable."""
        leader = self.assert_one_leader(system)
        self.assertGreater(self.SIZE, MAX_MESH_HOSTS)
        candidates = set(leader.leadership.next_leaders())
        sent = self.datagrams_by_sender(system)
        sent.clear()
        await anyio.sleep(10.0)
        for member in system.members.values():
            self.assertEqual(self.SIZE, member.hosts.count())
            per_second = sent[member.name] / 10
            if member is leader:
                self.assertLessEqual(per_second, 2.2 * self.SIZE)
            else:
                self.assertLessEqual(per_second, 10)
            if member is leader or member.name in candidates:
                self.assertEqual(self.SIZE - 1, len(member.hosts.reachable()))

    @with_own_system("run_system")
    async def test_killed_leader_and_successors_are_replaced(self, system):
        """If the leader and all of its announced successors die, the others must
        still find a majority."""
        leader = self.assert_one_leader(system)
        names = {leader.name, *leader.leadership.next_leaders()}
        self.assertEqual(4, len(names))
        for number in [n for n, m in system.members.items() if m.name in names]:
            system.kill(number)
        await anyio.sleep(6.0)
        successor = self.assert_one_leader(system)
        self.assertGreater(successor.leadership.term, leader.leadership.term)

    @with_own_system("run_system")
    async def test_killed_leader_is_replaced_soon(self, system):
        """All loads pause until a killed leader is replaced."""
        leader = self.assert_one_leader(system)
        system.kill(leader.endpoint.address[1])
        await anyio.sleep(2.6)
        self.assert_one_leader(system)

    @with_own_system("run_system")
    async def test_all_hosts_restart_at_once(self, system):
        """Hosts that start together told each of the others of each newcomer: 21,025
        datagrams of one seed in the first second, among 195 hosts."""
        self.assert_one_leader(system)
        for number in list(system.members):
            system.kill(number)
        sent = self.datagrams_by_sender(system)
        sent.clear()
        for number in range(1, self.SIZE + 1):
            system.start(number)
        await anyio.sleep(1.0)
        self.assertLess(max(sent.values()), 30 * self.SIZE)
        await anyio.sleep(4.0)
        self.assert_one_leader(system)

    @with_own_system("run_system")
    async def test_hosts_that_join_later_are_known_to_all(self, system):
        """Two thirds more hosts are added at once in a day of the users."""
        leader = self.assert_one_leader(system)
        added = range(self.SIZE + 1, self.SIZE + 34)
        for number in added:
            system.start(number)
        await anyio.sleep(12.0)
        self.assertIs(leader, self.assert_one_leader(system))
        for member in system.members.values():
            self.assertEqual(self.SIZE + 33, member.hosts.count())

    @with_own_system("run_system")
    async def test_stopped_hosts_are_forgotten(self, system):
        """A dead host must not count for the majority of a later election for ever."""
        leader = self.assert_one_leader(system)
        keep = {leader.name, *leader.leadership.next_leaders()}
        victims = [n for n, m in system.members.items() if m.name not in keep][:20]
        for number in victims:
            system.kill(number)
        await anyio.sleep(45.0)
        self.assertIs(leader, self.assert_one_leader(system))
        for member in system.members.values():
            self.assertEqual(self.SIZE - 20, member.hosts.count())
