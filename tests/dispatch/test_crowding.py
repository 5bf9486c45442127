"""Tests of when permits are asked for, and of what is logged about it."""

import anyio

from snipetrestle.dispatch.crowding import CROWDED_S, LOG_INTERVAL_S, Crowding
from snipetrestle.events import Event
from tests.gateway.log_recording import LogRecordingTest
from tests.systems import in_virtual_time


class CrowdingTest(LogRecordingTest):
    @in_virtual_time
    async def test_nothing_is_asked_for_before_a_replica_is_full(self):
        """Deployments with enough replicas would pay for messages they do not need."""
        crowding = Crowding()
        self.assertFalse(crowding.is_crowded("desk"))
        crowding.note_group("desk", 0, 12, 0.3)
        self.assertFalse(crowding.is_crowded("desk"))
        crowding.note_turned_away("desk")
        self.assertTrue(crowding.is_crowded("desk"))
        self.assertFalse(crowding.is_crowded("other"))

    @in_virtual_time
    async def test_crowded_time_ends_without_refusals_and_use(self):
        """One refusal in the morning would cost messages for the whole day."""
        crowding = Crowding()
        crowding.note_turned_away("desk")
        await anyio.sleep(CROWDED_S - 1)
        crowding.note_group("desk", 0, 3, 0.8)
        crowding.note_group("desk", 1, 12, 0.1)
        await anyio.sleep(CROWDED_S - 1)
        self.assertTrue(crowding.is_crowded("desk"))
        crowding.note_group("desk", 0, 12, 0.4)
        self.assertFalse(crowding.is_crowded("desk"))

    @in_virtual_time
    async def test_begin_and_end_are_logged_within_bounds(self):
        """A backend at the edge would log each few seconds, for days."""
        crowding = Crowding()
        crowding.note_turned_away("desk")
        await anyio.sleep(CROWDED_S + 1)
        crowding.update_all()
        self.assertEqual(1, len(self.logged(Event.BACKEND_CROWDED)))
        self.assertEqual(1, len(self.logged(Event.BACKEND_CROWDED_ENDED)))
        for _ in range(600):
            crowding.note_group("desk", 0, 1, 0.9)
            crowding.note_group("desk", 0, 9, 0.1)
            await anyio.sleep(1.0)
        begins = len(self.logged(Event.BACKEND_CROWDED))
        self.assertLessEqual(begins, 2 + 600 / LOG_INTERVAL_S)
        ends = len(self.logged(Event.BACKEND_CROWDED_ENDED))
        self.assertEqual(begins, ends)

    @in_virtual_time
    async def test_backends_that_were_crowded_once_are_forgotten(self):
        """The memory of the host would grow with the names of removed backends."""
        crowding = Crowding()
        crowding.note_turned_away("desk")
        await anyio.sleep(LOG_INTERVAL_S + CROWDED_S)
        self.assertFalse(crowding.update_all())
        self.assertIsNone(crowding.free("desk", 0))
