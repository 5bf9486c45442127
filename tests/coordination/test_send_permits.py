"""Tests of the permits to send to replicas with a request limit."""

import random
import types

import anyio
import testtools

from snipetrestle.coordination.loads.send_permits import PermitIssuer, SendPermits
from snipetrestle.coordination.loads.shared_request_limits import SharedRequestLimits
from snipetrestle.gateway.backends.request_limits import RequestLimit, RequestLimits
from tests.coordination.test_leadership import run_system
from tests.systems import in_virtual_time, with_system

WINDOW_S = 4.0
TOLERANCE = 1.5
EXTRA_REQUESTS = 5
LIMIT_PER_S = 3.0
ALLOWED = TOLERANCE * LIMIT_PER_S * WINDOW_S + EXTRA_REQUESTS


def most_in_window(times):
    return max(
        (sum(start <= at < start + WINDOW_S for at in times) for start in times),
        default=0,
    )


class PermitIssuerTest(testtools.TestCase):
    def send(self, issuer, seconds, attempts_per_s, **options):
        """Returns the times at which permitted requests are sent."""

        async def send():
            times = []
            for _ in range(round(seconds * attempts_per_s)):
                replica_id, wait_s = issuer.issue({"r1": LIMIT_PER_S}, **options)
                if replica_id is not None:
                    times.append(anyio.current_time() + wait_s)
                await anyio.sleep(1 / attempts_per_s)
            return times

        return send()

    @in_virtual_time
    async def test_whole_limit_is_used_and_not_exceeded(self):
        """Hosts that each had a fixed part used four fifths of it at most."""
        issuer = PermitIssuer()
        times = await self.send(issuer, 20.0, 50, max_wait_s=0.3, is_optional=False)
        self.assertLessEqual(most_in_window(times), ALLOWED)
        self.assertGreater(len(times), 0.95 * LIMIT_PER_S * 20.0)

    @in_virtual_time
    async def test_unused_permits_do_not_add_up(self):
        """After a quiet minute, a crowd must not get all of that minute's permits."""
        issuer = PermitIssuer()
        issuer.issue({"r1": LIMIT_PER_S}, 0.0, False)
        await anyio.sleep(60.0)
        times = await self.send(issuer, 5.0, 50, max_wait_s=0.0, is_optional=False)
        self.assertLessEqual(most_in_window(times), ALLOWED)

    @in_virtual_time
    async def test_optional_requests_leave_permits_to_others(self):
        """Requests with a choice took the permits of those that had none."""
        issuer = PermitIssuer()
        issuer.issue({"r1": LIMIT_PER_S}, 0.0, True)
        await anyio.sleep(2.0)
        await self.send(issuer, 5.0, 50, max_wait_s=0.0, is_optional=True)
        self.assertEqual(("r1", 0.0), issuer.issue({"r1": LIMIT_PER_S}, 0.0, False))

    @in_virtual_time
    async def test_replica_that_is_free_first_is_chosen(self):
        """A request must not wait for one replica while another is free."""
        issuer = PermitIssuer()
        limits = {"r1": 1.0, "r2": 1.0}
        chosen = [issuer.issue(limits, 10.0, False) for _ in range(4)]
        self.assertEqual(["r1", "r2", "r1", "r2"], [item for item, _ in chosen])
        replica_id, wait_s = issuer.issue(limits, 0.5, False)
        self.assertIsNone(replica_id)
        self.assertGreater(wait_s, 0.5)


class LimitedSender:
    """A member of a system that sends to one replica whenever it may."""

    def __init__(self, system, member, times):
        self._runs = lambda: member in system.members.values()
        self._times = times
        self.limit = RequestLimit("r1")
        self.replica = types.SimpleNamespace(id="r1", request_limit=self.limit)
        self.replicas = types.SimpleNamespace(by_id={"r1": self.replica})
        self.shared = SharedRequestLimits(self.replicas, member.hosts, member.endpoint)
        rng = random.Random(member.name)
        self.permits = SendPermits(
            member.leadership,
            member.endpoint,
            member.name,
            RequestLimits(member.hosts, rng),
        )

    async def run(self):
        while self._runs():
            if self.limit.is_limited:
                replica, wait_s = await self.permits.acquire([self.replica], 0.5)
                if replica is not None:
                    self._times.append(anyio.current_time() + wait_s)
            await anyio.sleep(0.1)


class SharedRequestLimitsTest(testtools.TestCase):
    def share_limits(self, member, count):
        """Gives a member that many replicas, and returns their limits."""
        limits = [
            RequestLimit(f"{number:03}" + "\u8a9e" * 197) for number in range(count)
        ]
        by_id = {
            limit.replica_id: types.SimpleNamespace(request_limit=limit)
            for limit in limits
        }
        SharedRequestLimits(
            types.SimpleNamespace(by_id=by_id), member.hosts, member.endpoint
        )
        return limits

    @with_system(run_system, 4)
    async def test_limits_of_many_replicas_silence_no_host_and_are_all_told(
        self, system
    ):
        """Heartbeats with the limits of 128 replicas with long ids were longer than a
        datagram, so they were not sent. Further limits were not told."""
        members = list(system.members.values())
        limits = {item.name: self.share_limits(item, 140) for item in members}
        for per_s in (2.0, None):
            for limit in limits[members[0].name]:
                limit.note(per_s, anyio.current_time())
            await anyio.sleep(15.0)
            (leader,) = system.leaders()
            for member in members:
                self.assertEqual(leader.name, member.leadership.leader)
                self.assertTrue(member.leadership.has_recent_leader)
                told = {limit.per_s for limit in limits[member.name]}
                self.assertEqual({per_s}, told)


class SendPermitsTest(testtools.TestCase):
    def start_senders(self, system, times):
        senders = []
        for member in system.members.values():
            sender = LimitedSender(system, member, times)
            system.network.task_group.start_soon(sender.run)
            senders.append(sender)
        return senders

    def check_limit(self, size, disturb):
        async def check(system):
            times = []
            senders = self.start_senders(system, times)
            # One host hears of the limit, and the others learn it from its heartbeats.
            senders[0].limit.note(LIMIT_PER_S, anyio.current_time())
            await anyio.sleep(1.5)
            for sender in senders:
                self.assertEqual(LIMIT_PER_S, sender.limit.per_s)
            started = anyio.current_time()
            disturb(system)
            await anyio.sleep(12.0)
            self.assertLessEqual(most_in_window(times), ALLOWED)
            used = sum(at >= started for at in times) / 12.0
            self.assertGreater(used, 0.6 * LIMIT_PER_S)

        run_system(check, size)

    def test_hosts_stay_within_the_limit_together(self):
        """The sum over all hosts was several times the limit."""
        self.check_limit(6, lambda system: None)

    def test_many_hosts_stay_within_the_limit_together(self):
        """The same for many hosts, most of which hear only the leader."""
        self.check_limit(60, lambda system: None)

    def test_limit_holds_while_the_leader_changes(self):
        """Neither may the old and the new leader both issue the whole limit, nor the
        hosts send at will without one."""

        def kill_leader(system):
            (leader,) = system.leaders()
            system.kill(leader.hosts.own.port)

        self.check_limit(6, kill_leader)

    def test_limit_holds_for_hosts_that_are_cut_off_from_the_leader(self):
        """Their own parts come on top of what the leader issues."""

        def cut_off(system):
            (leader,) = system.leaders()
            others = [name for name in system.names() if name != leader.name]
            system.network.isolate(others[0], system.names())
            system.network.isolate(others[1], system.names())

        self.check_limit(6, cut_off)
