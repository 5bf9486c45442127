"""Tests of what a host infers about streams that no record tells of."""

import types

import anyio
import testtools

from snipetrestle.gateway.dialect import RequestMetadata
from snipetrestle.gateway.job import Refused
from snipetrestle.gateway.streams.stream_origin import StreamOrigin
from snipetrestle.gateway.streams.take_ups import MIN_STREAM_LIFE_S, TakeUps

TIMEOUT_S = 10.0


class NoRecords:
    """Fake that knows no stream, and notes the origins that were inferred."""

    def __init__(self):
        self.inferred_origins = []

    async def find(self, key):
        return None

    def note_inferred(self, key, origin, life_s):
        self.inferred_origins.append(origin)


class AskedHistory:
    """Fake that knows the only version, and notes the ages that it is asked about."""

    def __init__(self):
        self.ages_s = []

    async def only_origin(self, backend, since_s):
        self.ages_s.append(since_s)
        return StreamOrigin(backend, "v1")


class Log:
    def log(self, event, **fields):
        pass


def make_job(deadline_s, last_event_id=3):
    return types.SimpleNamespace(
        metadata=RequestMetadata(
            b"r1", deadline_s, last_event_id=last_event_id, resumes=b"r0"
        ),
        route=types.SimpleNamespace(
            name="draft", timeout_s=TIMEOUT_S, backends=("models",)
        ),
        backend=types.SimpleNamespace(name="models"),
        fingerprint="f",
        tenant=None,
        request_id="r1",
        origin=None,
        take_up=None,
    )


class StreamAgeTest(testtools.TestCase):
    def ages(self, *jobs):
        """Resolves jobs; returns the ages that the history was asked about."""
        history = AskedHistory()

        async def main():
            take_ups = TakeUps(NoRecords(), history, None, None, None, Log())
            for job in jobs:
                try:
                    await take_ups.resolve(job)
                except Refused:
                    self.assertIsNone(job.origin)

        anyio.run(main)
        return history.ages_s

    def test_time_that_is_left_bounds_the_age(self):
        """Guards against a history that has to go back further than needed."""
        self.assertEqual([MIN_STREAM_LIFE_S - 9.0], self.ages(make_job(9.0)))

    def test_longest_deadline_of_new_requests_counts(self):
        """Guards against a stream that is older than its route's timeout."""
        new = make_job(30.0, last_event_id=None)
        self.assertEqual([20.0], self.ages(new, make_job(10.0)))

    def test_time_that_is_left_of_an_unknown_deadline_tells_nothing(self):
        """Guards against a stream taken for new since its deadline is longer than any
        that is known."""
        self.assertEqual([], self.ages(make_job(22.0)))
        self.assertEqual([], self.ages(make_job(22.0), make_job(22.0)))

    def test_stream_without_a_deadline_may_be_older_than_its_first_event(self):
        """Guards against a version that left while the first event was awaited."""
        self.assertEqual([MIN_STREAM_LIFE_S + TIMEOUT_S], self.ages(make_job(None)))


class InferredOriginTest(testtools.TestCase):
    def test_inferred_origin_is_noted(self):
        """A stream that a full replica refused was unknown when its caller came again:
        its prompt had been evicted meanwhile."""
        records = NoRecords()
        take_ups = TakeUps(records, AskedHistory(), None, None, None, Log())
        anyio.run(take_ups.resolve, make_job(9.0))
        self.assertEqual([StreamOrigin("models", "v1")], records.inferred_origins)
