"""Tests of the search for a stream's replica: questions to the leader, and demand."""

import contextlib
import random

import anyio
import testtools

from snipetrestle.codes import ResultCode
from snipetrestle.coordination.messaging.messages import AdapterLocation
from snipetrestle.dispatch.replica_search import NO_PLACE_PAUSE_S
from snipetrestle.gateway.backends.replicas import ReplicaDirectory
from snipetrestle.gateway.configuration import AdapterKey, ReplicaEntry, ReplicaState
from snipetrestle.gateway.job import Refused
from snipetrestle.gateway.streams.stream_origin import StreamOrigin
from snipetrestle_standins.clock import run_in_virtual_time
from tests.dispatch import searches
from tests.dispatch.searches import BACKEND, NoLeadership, build_search

KEY = AdapterKey("m0", "a1")
# How long a search goes on: 1.5 target latencies.
SEARCH_S = 0.9
# The same without a known leader: one target latency.
LEADERLESS_SEARCH_S = 0.6
# The same for a stream that is taken up, with and without a leader: 3 target latencies.
TAKE_UP_SEARCH_S = 1.8
ANSWER_S = 0.002


def make_job():
    return searches.make_job(KEY)


class ReplicaSearchTest(testtools.TestCase):
    # The replicas whose entries list the adapter.
    published_ids = ()

    def run_with_search(self, function, holders, replica_count=1, leadership=None):
        """Runs ``function(search, replicas)``; the leader names ``holders``."""

        async def main():
            self.uses = []
            self.holders = holders
            directory = ReplicaDirectory("zone-1", random.Random(1))
            for number in range(replica_count):
                directory.list_replica(
                    ReplicaEntry(
                        f"r{number}",
                        1,
                        BACKEND,
                        "127.0.0.1",
                        1,
                        "zone-1",
                        ReplicaState.READY,
                        slots=8,
                    )
                )
            search, locator = build_search(
                directory, self.locate_here, leadership, self.published_ids
            )
            async with anyio.create_task_group() as group:
                group.start_soon(locator.run)
                await anyio.sleep(0.01)
                await function(search, directory.by_id)
                group.cancel_scope.cancel()

        run_in_virtual_time(main)

    async def locate_here(self, key, uses, avoid, limited, software_version):
        self.uses.append(uses)
        await anyio.sleep(ANSWER_S)
        return tuple(
            AdapterLocation(item, 0.0)
            for item in self.holders
            if item not in avoid and item not in limited
        )

    def assert_questions(self, searched_s):
        """At most one question in each pause, and one use in all of them."""
        self.assertLessEqual(len(self.uses), 1 + searched_s / NO_PLACE_PAUSE_S)
        self.assertEqual(1, sum(self.uses))

    def test_suspected_holder_is_not_asked_for_without_a_pause(self):
        """The leader was asked in a loop while the only holder was suspected."""

        async def check(search, replicas):
            replicas["r0"].suspected_until = anyio.current_time() + 0.5
            replica = await search.find_stream_replica(make_job())
            self.assertIs(replicas["r0"], replica)
            self.assert_questions(0.5 + NO_PLACE_PAUSE_S)

        self.run_with_search(check, ["r0"])

    def test_search_for_a_suspected_holder_ends(self):
        """The same until the request was refused."""

        async def check(search, replicas):
            replicas["r0"].suspected_until = anyio.current_time() + 4.0
            error = await self.refusal(search)
            self.assertIs(ResultCode.LOAD_FAILED, error.code)
            self.assert_questions(SEARCH_S)

        self.run_with_search(check, ["r0"])

    def check_wait(self, expected_s, take_up=None, leadership=None):
        """Checks how long a stream waits for a place before it is refused."""

        async def check(search, replicas):
            started_at = anyio.current_time()
            job = make_job()
            job.take_up = take_up
            with testtools.ExpectedException(Refused):
                await search.find_stream_replica(job)
            waited_s = anyio.current_time() - started_at
            self.assertGreater(waited_s, expected_s)
            # A question without a leader and the pause after it take up to 0.11 s.
            self.assertLess(waited_s, expected_s + 2 * NO_PLACE_PAUSE_S)

        self.run_with_search(check, ["unlisted"], leadership=leadership)

    def test_stream_that_is_taken_up_waits_longer_for_a_place(self):
        """It was refused seconds before its deadline while adapters were loaded, and
        its caller used up its repetitions."""
        self.check_wait(TAKE_UP_SEARCH_S, take_up=object())

    def test_stream_that_is_taken_up_outlasts_an_election(self):
        """Guards against a refusal while the hosts that are left elect a leader."""
        self.check_wait(TAKE_UP_SEARCH_S, object(), NoLeadership())

    def test_new_stream_without_a_leader_is_refused_early(self):
        """Guards against a caller that learns late that nothing is loaded."""
        self.check_wait(LEADERLESS_SEARCH_S, leadership=NoLeadership())

    def test_time_for_the_origin_is_not_taken_from_the_search(self):
        """Guards against a taken-up stream for which the leader is never asked."""

        async def check(search, replicas):
            job = make_job()
            job.take_up = object()
            job.request.received_at -= TAKE_UP_SEARCH_S + 0.1
            replica = await search.find_stream_replica(job)
            self.assertIs(replicas["r0"], replica)

        self.run_with_search(check, ["r0"])

    def test_repeated_search_of_a_taken_up_stream_ends(self):
        """Guards against a wait that starts again with each attempt."""

        async def check(search, replicas):
            job = make_job()
            job.take_up = object()
            await search.find_stream_replica(job)
            self.holders.clear()
            await anyio.sleep(TAKE_UP_SEARCH_S + 0.1)
            started_at = anyio.current_time()
            replicas["r0"].leaving = True
            with testtools.ExpectedException(Refused):
                await search.find_stream_replica(job)
            self.assertEqual(started_at, anyio.current_time())

        self.run_with_search(check, ["r0"])

    def check_published(self, version, expected_id):
        """Checks a search during which the leader is lost; entries list r0."""
        leadership = NoLeadership()
        leadership.has_recent_leader = True

        async def check(search, replicas):
            job = make_job()
            job.origin = version and StreamOrigin(BACKEND, version)
            found = []

            async def find():
                with contextlib.suppress(Refused):
                    found.append(await search.find_stream_replica(job))

            async with anyio.create_task_group() as group:
                group.start_soon(find)
                await anyio.sleep(0.2)
                leadership.has_recent_leader = False
            self.assertEqual(expected_id, found and found[0].id)

        self.published_ids = ["r0"]
        self.run_with_search(check, [], leadership=leadership)

    def test_begun_stream_uses_published_places_without_a_leader(self):
        """Guards against a stream that waits for the next leader beside a place."""
        self.check_published("1.0", "r0")

    def test_new_stream_keeps_to_the_answers_of_leaders(self):
        """Guards against requests by entries older than the last orders."""
        self.check_published(None, [])

    def check_suspected(self, origin, expected_id):
        """Checks which replica a stream gets whose adapter is at a suspected one.

        The leader loads the adapter at r1 if it may not name r0.
        """

        async def check(search, replicas):
            replicas["r0"].suspected_until = anyio.current_time() + 0.5
            job = make_job()
            job.origin = origin
            replica = await search.find_stream_replica(job)
            self.assertIs(replicas[expected_id], replica)

        self.run_with_search(check, ["r0"], replica_count=2)

    async def locate_or_load(self, key, uses, avoid, limited, software_version):
        if "r0" in limited and "r1" not in self.holders:
            self.holders.append("r1")
        return await self.locate_named(key, uses, avoid, limited, software_version)

    def test_begun_stream_gets_a_place_beside_a_suspected_one(self):
        """Guards against a stream whose only place is a replica that has ended."""
        self.locate_named, self.locate_here = self.locate_here, self.locate_or_load
        origin = StreamOrigin(BACKEND, "1.0")
        self.check_suspected(origin, "r1")

    def test_begun_stream_gets_a_place_beside_one_that_it_may_not_use(self):
        """Guards against a place that the leader names again and again in vain."""

        async def check(search, replicas):
            job = make_job()
            job.origin = StreamOrigin(BACKEND, "1.0")
            job.may_be_sent_to = lambda replica: replica is not replicas["r0"]
            started_at = anyio.current_time()
            replica = await search.find_stream_replica(job)
            self.assertIs(replicas["r1"], replica)
            self.assertLess(anyio.current_time() - started_at, 0.5)

        self.locate_named, self.locate_here = self.locate_here, self.locate_or_load
        self.run_with_search(check, ["r0"], replica_count=2)

    def test_new_stream_waits_for_a_suspected_holder(self):
        """Guards against loads at other replicas for each moment of silence."""
        self.locate_named, self.locate_here = self.locate_here, self.locate_or_load
        self.check_suspected(None, "r0")

    def test_nothing_is_loaded_while_all_replicas_are_suspected(self):
        """Guards against a load at one suspected replica after the other."""

        async def check(search, replicas):
            for replica in replicas.values():
                replica.suspected_until = anyio.current_time() + 0.5
            job = make_job()
            job.origin = StreamOrigin(BACKEND, "1.0")
            await search.find_stream_replica(job)
            self.assertEqual(["r0"], self.holders)

        self.locate_named, self.locate_here = self.locate_here, self.locate_or_load
        self.run_with_search(check, ["r0"], replica_count=2)

    def test_holder_on_no_list_is_not_asked_for_without_a_pause(self):
        """The leader may list a replica that this host does not."""

        async def check(search, replicas):
            await self.refusal(search)
            self.assert_questions(SEARCH_S)

        self.run_with_search(check, ["unlisted"])

    def test_limited_holders_are_not_asked_for_in_turn_without_a_pause(self):
        """Each question left out the holder that the one before had named."""

        async def check(search, replicas):
            for replica_id in ("r0", "r1"):
                replicas[replica_id].request_limit.note(1.0, anyio.current_time())
            await self.refusal(search)
            self.assert_questions(SEARCH_S)

        self.run_with_search(check, ["r0", "r1"], replica_count=3)

    def test_place_in_the_second_answer_is_used_at_once(self):
        """A pause after the answer that names a place would delay the stream."""

        async def check(search, replicas):
            started_at = anyio.current_time()
            async with anyio.create_task_group() as group:
                group.start_soon(search.find_stream_replica, make_job())
                await anyio.sleep(0.01)
                self.holders.append("r0")
            took_s = anyio.current_time() - started_at
            self.assertAlmostEqual(NO_PLACE_PAUSE_S + 2 * ANSWER_S, took_s, places=6)

        self.run_with_search(check, [])

    async def refusal(self, search):
        try:
            await search.find_stream_replica(make_job())
        except Refused as error:
            return error
        return self.fail("the request was not refused")
