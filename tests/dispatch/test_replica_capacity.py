"""Tests of what is learned of the capacity of a replica."""

import random

import anyio
import testtools

from snipetrestle.dispatch.replica_capacity import (
    FIRST_RISE_S,
    LONGEST_RISE_S,
    MIN_LEVEL_SAMPLES,
    ReplicaCapacity,
)
from tests.systems import in_virtual_time

SERVICE_S = 0.09


async def serve(capacity, level, service_s, count=2 * MIN_LEVEL_SAMPLES):
    """Notes requests of about the same service time at a level."""
    rng = random.Random(level)
    for _ in range(count):
        await anyio.sleep(0.01)
        capacity.note_served(level, service_s * rng.uniform(0.75, 1.25))


class ReplicaCapacityTest(testtools.TestCase):
    @in_virtual_time
    async def test_limit_starts_at_the_published_slots(self):
        """A replica that publishes none would get no request."""
        self.assertEqual(6, ReplicaCapacity(6).limit)
        self.assertEqual(1, ReplicaCapacity(0).limit)

    @in_virtual_time
    async def test_limit_falls_to_what_was_under_way(self):
        """A replica with fewer places than it publishes would turn away for ever."""
        capacity = ReplicaCapacity(12)
        capacity.note_turned_away(11, anyio.current_time())
        self.assertEqual(10, capacity.limit)
        # With what others may have sent there.
        capacity.note_turned_away(5, anyio.current_time())
        self.assertEqual(6, capacity.limit)
        capacity.note_turned_away(5, anyio.current_time())
        self.assertEqual(4, capacity.limit)
        for _ in range(4):
            capacity.note_turned_away(1, anyio.current_time())
        self.assertEqual(1, capacity.limit)

    @in_virtual_time
    async def test_requests_that_were_sent_before_a_fall_do_not_lower_the_limit(self):
        """One burst that a replica turned away would take its limit down to 1."""
        capacity = ReplicaCapacity(12)
        sent_at = anyio.current_time()
        await anyio.sleep(0.01)
        capacity.note_turned_away(9, anyio.current_time())
        for level in (8, 7, 6):
            capacity.note_turned_away(level, sent_at)
        self.assertEqual(8, capacity.limit)

    @in_virtual_time
    async def test_refusal_does_not_lower_the_limit_below_what_was_just_served(self):
        """What hosts send without permits fills a replica for moments, and a limit that
        falls to 1 with each of them leaves it idle."""
        capacity = ReplicaCapacity(6)
        capacity.note_served(5, SERVICE_S)
        capacity.note_turned_away(2, anyio.current_time())
        self.assertEqual(5, capacity.limit)
        await anyio.sleep(1.0)
        capacity.note_turned_away(2, anyio.current_time())
        self.assertEqual(3, capacity.limit)

    @in_virtual_time
    async def test_limit_rises_only_while_it_is_used(self):
        """A limit must not grow in a quiet hour, to be tried by a crowd."""
        capacity = ReplicaCapacity(2)
        await anyio.sleep(3600.0)
        self.assertEqual(2, capacity.limit)
        capacity.note_full()
        capacity.note_full()
        self.assertEqual(3, capacity.limit)
        await anyio.sleep(FIRST_RISE_S)
        capacity.note_full()
        self.assertEqual(4, capacity.limit)

    @in_virtual_time
    async def test_full_replica_is_tried_ever_more_rarely(self):
        """Each rise above what a replica can run costs a refusal: with one in a second,
        three replicas would turn away nearly a tenth of the present way's share."""
        capacity = ReplicaCapacity(6)
        refusals = 0
        for _ in range(10_000):
            await anyio.sleep(0.05)
            capacity.note_full()
            if capacity.limit > 6:
                refusals += 1
                capacity.note_turned_away(7, anyio.current_time())
            self.assertEqual(6, capacity.limit)
        self.assertLess(refusals, 500 / LONGEST_RISE_S + 10)

    @in_virtual_time
    async def test_replica_that_slows_down_before_it_is_full_gets_less(self):
        """With 8 at a time, this replica serves no more than with 4, only later."""
        capacity = ReplicaCapacity(8)
        await serve(capacity, 4, SERVICE_S)
        await serve(capacity, 8, 2.2 * SERVICE_S)
        self.assertEqual(4, capacity.limit)

    @in_virtual_time
    async def test_usual_variation_is_no_slowdown(self):
        """Service times that vary by a quarter would lower the limit by chance."""
        capacity = ReplicaCapacity(6)
        for _ in range(20):
            for level in range(1, 7):
                await serve(capacity, level, SERVICE_S * (1 + 0.02 * level), 10)
        self.assertEqual(6, capacity.limit)

    @in_virtual_time
    async def test_replica_that_is_slower_at_each_level_recovers_its_limit(self):
        """A slow replica does not run more by running less at a time, so a limit that
        fell for it would halve what it serves."""
        capacity = ReplicaCapacity(6)
        await serve(capacity, 3, SERVICE_S)
        await serve(capacity, 6, SERVICE_S)
        for _ in range(60):
            await serve(capacity, capacity.limit, 3 * SERVICE_S, 20)
            capacity.note_full()
        self.assertGreaterEqual(capacity.limit, 6)

    @in_virtual_time
    async def test_replica_that_accepts_no_connection_is_passed_over_for_a_while(self):
        """It always has room, so it would get all requests."""
        capacity = ReplicaCapacity(6)
        capacity.note_failed()
        self.assertTrue(capacity.has_failed)
        await anyio.sleep(0.6)
        self.assertFalse(capacity.has_failed)
        capacity.note_failed()
        await anyio.sleep(0.6)
        self.assertTrue(capacity.has_failed)
        capacity.note_served(1, SERVICE_S)
        self.assertFalse(capacity.has_failed)
