"""Tests that all hosts learn in time which requests crash replicas."""

import anyio
import testtools

from snipetrestle.coordination.membership.hosts import HEARTBEAT_INTERVAL_S
from snipetrestle.coordination.quarantine.shared_request_quarantine import (
    MAX_REPORTED_REQUESTS,
    SharedRequestQuarantine,
)
from snipetrestle.gateway.quarantine.request_quarantine import RequestQuarantine
from tests.coordination.test_leadership import run_system
from tests.systems import with_own_system

# Among a few hosts, a caller's repetition at another host must find it informed.
NEWS_TIME_S = 0.15
# All hosts must refuse a request this long after it has crashed the third replica.
LEARNING_TIME_S = 3.0
CRASH_INTERVAL_S = 0.3


class SharedRequestQuarantineTest(testtools.TestCase):
    def join(self, member):
        """Gives a member a quarantine that it shares with the others."""
        member.requests = RequestQuarantine()
        SharedRequestQuarantine(
            member.requests, member.hosts, member.leadership, member.endpoint
        )
        return member

    def run_system(self, check, size):
        async def main(system):
            await check(system, [self.join(item) for item in system.members.values()])

        run_system(main, size)

    async def crash_replicas(self, members, count=2, sound_per_host=3):
        """A request crashes replicas at one host after the other, beside sound ones.

        Returns NEWS_TIME_S after the last crash.
        """
        for number in range(count):
            member = members[number % len(members)]
            crash = f"replica-{number} 1"
            member.requests.note_lost(crash, "bad")
            for other in members:
                for index in range(sound_per_host):
                    sound = f"sound {number} {other.name} {index}"
                    other.requests.note_lost(crash, sound)
            await anyio.sleep(CRASH_INTERVAL_S if number < count - 1 else NEWS_TIME_S)

    def assert_all_refuse_only_bad(self, members):
        for member in members:
            self.assertTrue(member.requests.refuses("bad"), member.name)
            self.assertFalse(member.requests.refuses("sound 0 entry-1 0"))

    @with_own_system("run_system", 4)
    async def test_longest_replica_id_leaves_reports_readable(self, system, members):
        """The id of a process is longer than that of its replica: hosts ignored reports
        of crashes of replicas whose ids had over about 185 characters."""
        for number in range(2):
            crash = f"{'r' * 199}{number} 1700000000000"
            members[number].requests.note_lost(crash, "bad")
            await anyio.sleep(CRASH_INTERVAL_S)
        for member in members:
            self.assertTrue(member.requests.refuses("bad"), member.name)

    @with_own_system("run_system", 4)
    async def test_many_refused_requests_are_all_told(self, system, members):
        """Reports of 128 requests that each crashed three replicas with long ids were
        longer than a datagram, so no host heard of the third crash of any of them."""
        requests = [f"{number:016}" for number in range(MAX_REPORTED_REQUESTS)]
        for request in requests:
            members[1].requests.note_served(request)
        for number in range(3):
            await anyio.sleep(CRASH_INTERVAL_S)
            for request in requests:
                crash = f"{'r' * 180}{number}{request} 1700000000000"
                members[1].requests.note_lost(crash, request)
        await anyio.sleep(2 * LEARNING_TIME_S)
        for member in members:
            self.assertTrue(member.leadership.has_recent_leader)
            refused = [item for item in requests if member.requests.refuses(item)]
            self.assertEqual(requests, refused, member.name)

    @with_own_system("run_system", 6)
    async def test_all_of_a_few_hosts_refuse_the_request_at_once(self, system, members):
        """Callers repeat a lost request within milliseconds, at any host."""
        await self.crash_replicas(members[1:])
        self.assert_all_refuse_only_bad(members)

    @with_own_system("run_system", 100)
    async def test_all_of_many_hosts_refuse_the_request_soon(self, system, members):
        """Among many hosts, news reach most of them through the leader only."""
        await self.crash_replicas(members[1:], count=3)
        self.assert_all_refuse_only_bad(members)

    @with_own_system("run_system", 6)
    async def test_hosts_without_a_leader_learn_of_the_request(self, system, members):
        """The crashes may come while the leader is gone."""
        (leader,) = system.leaders()
        system.kill(leader.hosts.own.port)
        members = [item for item in members if item is not leader]
        await self.crash_replicas(members, count=3)
        await anyio.sleep(LEARNING_TIME_S)
        self.assert_all_refuse_only_bad(members)

    @with_own_system("run_system", 6)
    async def test_started_host_refuses_known_requests(self, system, members):
        """Restarted hosts sent what others had long refused."""
        await self.crash_replicas(members)
        await anyio.sleep(30.0)
        started = self.join(system.start(7))
        await anyio.sleep(LEARNING_TIME_S)
        self.assert_all_refuse_only_bad([started])

    @with_own_system("run_system", 6)
    async def test_hosts_that_restart_together_refuse_known_requests_at_once(
        self, system, members
    ):
        """The leader and all seeds sent what the other hosts had long refused."""
        await self.crash_replicas(members)
        for _ in range(5):
            await anyio.sleep(10.3)
            (leader,) = system.leaders()
            numbers = {*system.seeds, leader.hosts.own.port}
            for number in numbers:
                system.kill(number)
            await anyio.sleep(0.8)
            started = [self.join(system.start(number)) for number in numbers]
            await anyio.sleep(HEARTBEAT_INTERVAL_S + NEWS_TIME_S)
            self.assert_all_refuse_only_bad(started)

    @with_own_system("run_system", 6)
    async def test_host_that_was_cut_off_learns_of_the_request(self, system, members):
        """All news came while it was cut off from the other hosts."""
        names = [member.name for member in members]
        system.network.isolate(members[0].name, names)
        await self.crash_replicas(members[1:])
        await anyio.sleep(20.0)
        self.assertFalse(members[0].requests.refuses("bad"))
        system.network.cuts.clear()
        await anyio.sleep(LEARNING_TIME_S)
        self.assert_all_refuse_only_bad(members)

    @with_own_system("run_system", 6)
    async def test_answer_at_one_host_ends_the_refusal_at_all(self, system, members):
        """Sound requests must not stay refused where nobody sends them any more."""
        await self.crash_replicas(members)
        self.assert_all_refuse_only_bad(members)
        members[2].requests.note_served("bad")
        await anyio.sleep(1.0)
        for member in members:
            self.assertFalse(member.requests.refuses("bad"), member.name)

    @with_own_system("run_system", 6)
    async def test_host_that_served_an_equal_request_objects(self, system, members):
        """Equal requests of many callers may be cut off by two unrelated crashes."""
        members[3].requests.note_served("bad")
        await anyio.sleep(1.0)
        await self.crash_replicas(members)
        await anyio.sleep(1.0)
        for member in members:
            self.assertFalse(member.requests.refuses("bad"), member.name)

    @with_own_system("run_system", 6)
    async def test_messages_are_bounded_and_end(self, system, members):
        """A crash loop must not flood the hosts, nor old news be repeated for ever."""
        sent = system.network.datagrams_by_sender
        await anyio.sleep(10.0)
        before = sent.total()
        await anyio.sleep(10.0)
        calm = sent.total() - before
        for number in range(20):
            for member in members:
                for index in range(MAX_REPORTED_REQUESTS):
                    request = f"sound {number} {member.name} {index}"
                    member.requests.note_lost(f"replica-{number} 1", request)
            await anyio.sleep(0.5)
        before = sent.total()
        await anyio.sleep(10.0)
        before, busy = sent.total(), sent.total() - before
        self.assertLess(busy, 3 * calm)
        await anyio.sleep(10.0)
        self.assertLess(sent.total() - before, 1.1 * calm)
