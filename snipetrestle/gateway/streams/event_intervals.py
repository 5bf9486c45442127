"""Measures the time between the events of streams, which shows a replica's speed."""

import anyio

# Number of events over which a stream's mean event interval is measured.
EVENTS_PER_INTERVAL_SAMPLE = 5


class EventIntervalMeter:
    """Measures the mean time between the events of one stream, for its replica."""

    __slots__ = ("_replica", "_sample_start_id", "_sample_started_at")

    def __init__(self, replica):
        self._replica = replica
        self._sample_start_id = None
        self._sample_started_at = 0.0

    def note(self, event_id):
        """Records the arrival of an event. Event ids count the events of the stream."""
        if self._sample_start_id is None:
            self._start_sample(event_id)
        elif event_id - self._sample_start_id >= EVENTS_PER_INTERVAL_SAMPLE:
            elapsed_s = anyio.current_time() - self._sample_started_at
            self._replica.note_event_interval(
                elapsed_s / (event_id - self._sample_start_id)
            )
            self._start_sample(event_id)

    def _start_sample(self, event_id):
        self._sample_start_id = event_id
        self._sample_started_at = anyio.current_time()
