"""Test case that records the events that the process logs."""

import testtools
from loguru import logger

from snipetrestle.events import Event


class LogRecordingTest(testtools.TestCase):
    """Records the events that the process logs."""

    def setUp(self):
        super().setUp()
        self.events = []
        handler = logger.add(self._note_record)
        self.addCleanup(logger.remove, handler)

    def _note_record(self, message):
        self.events.append(message.record["extra"])

    def logged(self, event):
        """Returns the fields of the logged lines of an event."""
        return [item for item in self.events if item.get("event") == str(event)]

    def early_ends(self):
        """Returns the reason and what was unanswered of each end that was logged."""
        return [
            (item["reason"], item["unanswered"])
            for item in self.logged(Event.CONNECTION_ENDED_EARLY)
        ]
