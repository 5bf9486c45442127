"""Tests of the durations that are expected of single streams."""

import testtools

from snipetrestle.gateway.stream_durations import StreamDurations


class MeasuredReplica:
    def __init__(self, event_interval_s):
        self.event_interval_s = event_interval_s


class StreamDurationsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.durations = StreamDurations()

    def note(self, events, interval_s, replica_interval_s=None):
        self.durations.note(
            "models",
            3 * events,
            events,
            0.2,
            (events - 1) * interval_s,
            MeasuredReplica(replica_interval_s),
        )

    def test_nothing_is_expected_without_measurements_or_token_counts(self):
        """The usual duration of the route counts then; 0 s would let all pass."""
        self.assertIsNone(self.durations.expected_s("models", 30))
        self.note(1, 0.0)
        self.assertIsNone(self.durations.expected_s("models", 30))
        self.note(10, 0.1)
        self.assertIsNone(self.durations.expected_s("models", 0))
        self.assertIsNone(self.durations.expected_s("others", 30))

    def test_duration_grows_with_the_tokens(self):
        """The mean of a route was expected of its long streams."""
        for _ in range(30):
            self.note(11, 0.1)
        self.assertAlmostEqual(1.2, self.durations.expected_s("models", 33))
        self.assertAlmostEqual(10.2, self.durations.expected_s("models", 303))

    def test_events_that_the_caller_has_are_not_counted(self):
        """A resumed stream must not be refused for what it has already sent."""
        self.note(11, 0.1)
        self.assertAlmostEqual(0.7, self.durations.expected_s("models", 33, 5))
        self.assertAlmostEqual(0.2, self.durations.expected_s("models", 33, 50))

    def test_speed_of_the_replica_counts_if_it_is_known(self):
        """The mean of all replicas is too short for a slow one."""
        for _ in range(30):
            self.note(11, 0.12, replica_interval_s=0.1)
        slow, unmeasured = MeasuredReplica(0.2), MeasuredReplica(None)
        self.assertAlmostEqual(
            2.6, self.durations.expected_s("models", 33, replica=slow)
        )
        self.assertAlmostEqual(
            1.4, self.durations.expected_s("models", 33, replica=unmeasured)
        )

    def test_single_short_stream_hardly_changes_the_interval(self):
        """One delayed event of a short stream would make all streams look slow."""
        for _ in range(30):
            self.note(101, 0.1)
        self.note(2, 2.0)
        self.assertLess(self.durations.expected_s("models", 303), 10.5)
