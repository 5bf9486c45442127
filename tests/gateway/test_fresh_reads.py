"""Tests of the reads of the store that are shared by all that need fresh changes."""

import anyio
import testtools

from snipetrestle.gateway.publication.fresh_reads import READ_PAUSE_S, FreshReads
from snipetrestle.platform.entries import ALL_ITEMS
from snipetrestle_standins.clock import run_in_virtual_time


class State:
    """Fake PublishedState; the store answers a read of its ``value`` after 10 ms."""

    def __init__(self):
        self.value = 0
        self.known = None
        self.read_at = []

    async def read_changes(self, prefix):
        self.read_at.append(anyio.current_time())
        value = self.value
        await anyio.sleep(0.01)
        self.known = value


class FreshReadsTest(testtools.TestCase):
    def test_call_during_a_read_gets_the_next_one(self):
        """Guards against an answer that lacks what was written before the question."""
        state = State()
        known = []

        async def ask(reads):
            self.assertTrue(await reads.read(1.0))
            known.append(state.known)

        async def main():
            reads = FreshReads(state, ALL_ITEMS)
            async with anyio.create_task_group() as group:
                group.start_soon(ask, reads)
                await anyio.sleep(0.005)
                state.value = 1
                for _ in range(20):
                    group.start_soon(ask, reads)

        run_in_virtual_time(main)
        self.assertEqual([0] + [1] * 20, known)
        self.assertEqual(2, len(state.read_at))
        self.assertGreaterEqual(state.read_at[1] - state.read_at[0], READ_PAUSE_S)

    def test_read_that_is_late_is_no_fresh_one(self):
        """Guards against a list that counts as read though the store has not answered,
        and against a caller that takes the shared read away from others."""
        state = State()

        async def main():
            reads = FreshReads(state, ALL_ITEMS)
            self.assertFalse(await reads.read(0.005))
            self.assertIsNone(state.known)
            await anyio.sleep(0.01)
            self.assertEqual(0, state.known)

        run_in_virtual_time(main)
