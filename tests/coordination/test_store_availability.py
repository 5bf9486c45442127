"""Tests which losses of the store by hosts count as outages of the store itself."""

import anyio
import msgspec
import testtools

from snipetrestle.coordination.membership.pause_watch import PauseWatch
from snipetrestle.coordination.messaging.messages import StoreAccess, encode
from snipetrestle.coordination.store.store_availability import (
    LOSS_RETENTION_S,
    StoreAvailability,
)
from snipetrestle.coordination.store.time_spans import TimeSpans
from snipetrestle_standins.clock import run_in_virtual_time
from tests.systems import in_virtual_time, with_own_system

decode_ages = msgspec.msgpack.Decoder(StoreAccess).decode
ENTRY_EXPIRY_S = 3.6
MAX_PAUSE_S = 2.0
CALL_S = 0.5
# More than the ages in messages may be.
LONG_S = 40 * 24 * 3600.0


class NoPauses:
    """A PauseWatch that costs no steps of virtual time, and notices nothing."""

    def on_pause(self, listener):
        pass

    def check(self):
        pass


class Host:
    """A host's StoreAvailability, whose calls take CALL_S."""

    def __init__(self, name, pause_watch=None):
        self.name = name
        self.pause_watch = pause_watch or PauseWatch()
        self.availability = StoreAvailability(
            name, ENTRY_EXPIRY_S, MAX_PAUSE_S, self.pause_watch
        )

    async def call(self, succeeds=True):
        asked_at = anyio.current_time()
        await anyio.sleep(CALL_S)
        if succeeds:
            self.availability.note_answer(asked_at)
        else:
            self.availability.note_failure(asked_at)

    async def call_until(self, time, succeeds=True):
        while anyio.current_time() < time:
            await self.call(succeeds)

    def tell(self, other):
        """Tells another host what a heartbeat does."""
        other.availability.note_access(self.name, self.availability.own_access())

    @property
    def outage(self):
        return self.availability.latest_outage


class AvailabilityTestCase(testtools.TestCase):
    def run_hosts(self, function, count=2):
        """Runs ``function(*hosts)`` in virtual time."""

        async def main():
            hosts = [Host(f"entry-{number}") for number in range(count)]
            async with anyio.create_task_group() as group:
                for host in hosts:
                    group.start_soon(host.pause_watch.run)
                await anyio.sleep(5.0)
                for host in hosts:
                    await host.call()
                await function(*hosts)
                group.cancel_scope.cancel()

        run_in_virtual_time(main)


class OwnCallsTest(AvailabilityTestCase):
    @with_own_system("run_hosts")
    async def test_long_loss_counts(self, host, other):
        """Entries of sound replicas expire, and were taken for removed."""
        lost_at = anyio.current_time()
        await host.call_until(lost_at + 3.0, succeeds=False)
        self.assertIsNone(host.outage)
        await host.call()
        self.assertEqual(anyio.current_time(), host.outage.ended_at)
        self.assertLessEqual(host.outage.began_at, lost_at)
        self.assertEqual(host.name, host.outage.noted_by)

    @with_own_system("run_hosts")
    async def test_short_loss_does_not_count(self, host, other):
        """A failed call put removals off, though no entry expires so soon."""
        await host.call(succeeds=False)
        await host.call()
        self.assertIsNone(host.outage)

    @with_own_system("run_hosts")
    async def test_time_without_calls_does_not_count(self, host, other):
        """A host that gets changes from others calls the store seldom. One failed call
        must not make an outage of the time before."""
        await anyio.sleep(30.0)
        await host.call(succeeds=False)
        await host.call()
        self.assertIsNone(host.outage)

    @with_own_system("run_hosts")
    async def test_outage_before_the_start_counts(self, host, other):
        """A host that starts in an outage does not know when it began."""
        started = Host("entry-7")
        await started.call(succeeds=False)
        await started.call()
        self.assertIsNotNone(started.outage)

    @with_own_system("run_hosts")
    async def test_outage_is_forgotten(self, host, other):
        """An old outage must not be reported for ever."""
        await host.call_until(anyio.current_time() + 3.0, succeeds=False)
        await host.call()
        await host.call_until(anyio.current_time() + LOSS_RETENTION_S + 1.0)
        self.assertIsNone(host.outage)


class OtherHostsTest(AvailabilityTestCase):
    @with_own_system("run_hosts")
    async def test_answers_of_another_host_deny_an_outage(self, host, other):
        """One host that had lost the store made all hosts keep removed replicas."""
        until = anyio.current_time() + 3.0
        async with anyio.create_task_group() as group:
            group.start_soon(host.call_until, until, False)
            group.start_soon(other.call_until, until)
        await host.call()
        await other.call()
        host.tell(other)
        self.assertIsNone(other.outage)
        self.assertIsNotNone(host.outage)
        other.tell(host)
        self.assertIsNone(host.outage)

    @with_own_system("run_hosts")
    async def test_host_without_answers_learns_of_an_outage(self, host, other):
        """A host that gets changes from others has no own calls that fail."""
        began_at = anyio.current_time()
        await host.call_until(began_at + 3.0, succeeds=False)
        await host.call()
        host.tell(other)
        self.assertAlmostEqual(host.outage.ended_at, other.outage.ended_at, delta=0.01)
        self.assertEqual(host.name, other.outage.noted_by)

    @with_own_system("run_hosts")
    async def test_outage_ends_with_the_first_answer_of_any_host(self, host, other):
        """Each host waited for entries to come back from its own first answer on."""
        began_at = anyio.current_time()
        async with anyio.create_task_group() as group:
            group.start_soon(host.call_until, began_at + 3.0, False)
            group.start_soon(other.call_until, began_at + 5.0, False)
        # The first host has answers from here on, the other one later.
        await host.call()
        returned_at = anyio.current_time()
        await host.call_until(returned_at + 2.0)
        host.tell(other)
        await other.call()
        self.assertAlmostEqual(returned_at, other.outage.ended_at, delta=0.01)

    @with_own_system("run_hosts", 3)
    async def test_two_losses_that_overlap_are_no_outage(self, first, second, third):
        """While each of two hosts had lost the store for a while, the other had it."""
        began_at = anyio.current_time()

        async def lose(host, lost_at, back_at):
            await host.call_until(began_at + lost_at)
            await host.call_until(began_at + back_at, succeeds=False)
            await host.call_until(began_at + 7.0)

        async with anyio.create_task_group() as group:
            group.start_soon(lose, first, 0.0, 3.5)
            group.start_soon(lose, second, 2.5, 6.0)
            while anyio.current_time() < began_at + 7.0:
                await anyio.sleep(CALL_S)
                first.tell(second)
                second.tell(first)
                first.tell(third)
                second.tell(third)
                self.assertIsNone(third.outage)

    @with_own_system("run_hosts")
    async def test_paused_host_denies_no_outage(self, host, other):
        """A host that was paused in an outage took the first answer after it, and one
        that had waited in its socket, for a sign that the store was there."""
        began_at = anyio.current_time()
        await host.call_until(began_at + 3.0, succeeds=False)
        await host.call()
        other.pause_watch._ticked_at -= 4.0
        other.availability.note_answer(began_at)
        await other.call()
        other.tell(host)
        self.assertIsNotNone(host.outage)
        host.tell(other)
        self.assertIsNotNone(other.outage)

    @in_virtual_time
    async def test_long_ages_are_not_told(self):
        """An age above the bound of its field would make heartbeats unreadable."""
        host = Host("entry-0", NoPauses())
        await host.call()
        await anyio.sleep(LONG_S)
        self.assertEqual(StoreAccess(), host.availability.own_access())
        await host.call(succeeds=False)
        await anyio.sleep(LONG_S)
        await host.call()
        access = host.availability.own_access()
        self.assertEqual(access, decode_ages(encode(access)))
        self.assertGreater(access.lost_age_ms, 0)

    @with_own_system("run_hosts")
    async def test_odd_ages_are_ignored(self, host, other):
        """A message of another program must not move the times of answers."""
        for access in (StoreAccess(5, 9, 3), StoreAccess(5, -1, 90_000)):
            host.availability.note_access("entry-7", access)
        self.assertIsNone(host.outage)
        host.availability.note_access("entry-7", StoreAccess(500, 0, 90_000))
        self.assertIsNotNone(host.outage)


class TimeSpansTest(testtools.TestCase):
    def test_gaps_are_what_no_span_covers(self):
        """A span that overlaps others, or is added late, must not hide a gap."""
        spans = TimeSpans()
        for span in ((5, 6), (1, 2), (3, 4), (3.5, 5.5), (8, 8)):
            spans.add(*span)
        self.assertEqual([(0, 1), (2, 3), (6, 8), (8, 9)], spans.gaps(0, 9))
        self.assertEqual([(2.5, 3)], spans.gaps(2.5, 5))
        self.assertEqual([], spans.gaps(3, 6))
        self.assertEqual([(6.5, 7)], spans.gaps(6.5, 7))

    def test_old_spans_are_dropped(self):
        """Spans must not be kept for the life of a process."""
        spans = TimeSpans()
        spans.add(1, 2)
        spans.add(3, 4)
        spans.drop_before(3)
        self.assertEqual([(0, 3)], spans.gaps(0, 4))
