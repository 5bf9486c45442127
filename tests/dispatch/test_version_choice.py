"""Tests of where streams begin while the replicas of a backend run several versions."""

import random
import types

import anyio
import msgspec
import testtools

from snipetrestle.coordination.messaging.messages import AdapterLocation
from snipetrestle.dispatch.version_choice import leaving_versions, prefer_staying
from snipetrestle.gateway.backends.replicas import VERSION_LEFT_S, ReplicaDirectory
from snipetrestle.gateway.configuration import (
    AdapterKey,
    ReplicaEntry,
    ReplicaState,
    RequestKind,
)
from snipetrestle_standins.clock import run_in_virtual_time
from tests.dispatch.searches import (
    BACKEND,
    TARGET_LATENCY_S,
    build_search,
    make_job,
)
from tests.systems import with_own_system

KEY = AdapterKey("m0", "a1")
OLD, NEW = "1.0", "1.1"
SLOTS = 4
# Choices of a search; a replica that may be chosen is, in all of them together.
CHOICES = 60


class ReleaseTestCase(testtools.TestCase):
    """Has a directory of replicas that a release replaces in place."""

    def setUp(self):
        super().setUp()
        self.directory = ReplicaDirectory("zone-1", random.Random(1))

    def run_with(self, function, versions):
        """Lists replicas ``r0``, ``r1`` ... of some versions and runs ``function()``."""

        async def main():
            for number, version in enumerate(versions):
                self.list_replica(number, version)
            await function()

        run_in_virtual_time(main)

    def list_replica(self, number, version, boot=1, slots=SLOTS):
        self.directory.list_replica(
            ReplicaEntry(
                f"r{number}",
                boot,
                BACKEND,
                "127.0.0.1",
                1000 + number,
                "zone-1",
                ReplicaState.READY,
                slots=slots,
                software_version=version,
            )
        )

    def drain(self, number):
        entry = self.directory.by_id[f"r{number}"].entry
        self.directory.list_replica(
            msgspec.structs.replace(entry, state=ReplicaState.DRAINING)
        )

    def replace(self, number, version=NEW):
        """Lists a replica that has restarted with another version."""
        self.list_replica(number, version, boot=2)

    def leaving(self):
        return leaving_versions(
            self.directory.listed_replicas(BACKEND),
            self.directory.versions_left(BACKEND),
        )

    def preferred(self):
        """Returns the ids of the replicas at which a stream should begin."""
        preferred = prefer_staying(
            self.directory.ready_replicas(BACKEND),
            self.directory.listed_replicas(BACKEND),
            self.directory.versions_left(BACKEND),
            anyio.current_time(),
        )
        return {replica.id for replica in preferred}


class LeavingVersionsTest(ReleaseTestCase):
    @with_own_system("run_with", [OLD] * 4)
    async def test_first_replica_of_a_release_gets_streams(self):
        """A new version has one replica at first, but none of it leaves."""
        self.drain(0)
        self.assertEqual({"r1", "r2", "r3"}, self.preferred())
        self.replace(0)
        self.assertEqual({"r0", "r1", "r2", "r3"}, self.preferred())
        self.assertEqual(set(), self.leaving())

    @with_own_system("run_with", [OLD] * 6)
    async def test_both_versions_get_streams_half_way(self):
        """Without the old version, half of the replicas would get all streams."""
        for number in range(3):
            self.drain(number)
            self.replace(number)
        self.assertEqual({f"r{number}" for number in range(6)}, self.preferred())
        self.drain(3)
        self.assertEqual({f"r{n}" for n in (0, 1, 2, 4, 5)}, self.preferred())

    @with_own_system("run_with", [OLD] * 4)
    async def test_last_replica_of_a_release_gets_no_streams(self):
        """Its streams go on nowhere once it leaves."""
        for number in range(2):
            self.replace(number)
        self.drain(2)
        self.assertEqual({OLD}, self.leaving())
        self.assertEqual({"r0", "r1"}, self.preferred())
        self.replace(2)
        self.assertEqual({OLD}, self.leaving())
        self.assertEqual({"r0", "r1", "r2"}, self.preferred())

    @with_own_system("run_with", [OLD] * 4)
    async def test_announced_leaving_counts(self):
        """A replica announces its leaving before its entry says so."""
        self.replace(0)
        self.replace(1)
        await anyio.sleep(VERSION_LEFT_S + 0.1)
        self.assertEqual(set(), self.leaving())
        self.directory.by_id["r2"].note_leaving()
        self.assertEqual({OLD}, self.leaving())
        self.assertEqual({"r0", "r1"}, self.preferred())

    @with_own_system("run_with", [NEW, NEW, OLD, OLD])
    async def test_replica_that_left_the_list_counts_for_a_while(self):
        """Between two steps of a release no replica is listed that leaves; a version
        that keeps one replica must get streams again."""
        await anyio.sleep(1.0)
        self.directory.unlist("r2")
        await anyio.sleep(VERSION_LEFT_S - 0.1)
        self.assertEqual({"r0", "r1"}, self.preferred())
        await anyio.sleep(0.2)
        self.assertEqual({"r0", "r1", "r3"}, self.preferred())

    @with_own_system("run_with", [OLD, OLD, NEW])
    async def test_canary_gets_streams(self):
        """One replica of another version shows nothing if it gets no streams."""
        self.assertEqual({"r0", "r1", "r2"}, self.preferred())
        self.drain(0)
        self.assertEqual({"r1", "r2"}, self.preferred())

    @with_own_system("run_with", [OLD, OLD, NEW, NEW])
    async def test_canary_that_is_rolled_back_leaves(self):
        """The last replica of the newer version may leave as well."""
        self.drain(2)
        self.assertEqual({NEW}, self.leaving())
        self.assertEqual({"r0", "r1"}, self.preferred())

    @with_own_system("run_with", [OLD] * 3)
    async def test_version_leaves_only_for_one_of_two_replicas(self):
        """Streams at a single replica of the other version are as easily stranded."""
        self.replace(0)
        self.drain(1)
        self.assertEqual(set(), self.leaving())
        self.assertEqual({"r0", "r2"}, self.preferred())

    @with_own_system("run_with", [OLD, OLD, "", "", ""])
    async def test_unknown_versions_neither_leave_nor_make_others_leave(self):
        """Nothing is known of them: they may all be the same or none."""
        self.drain(0)
        self.drain(2)
        self.assertEqual(set(), self.leaving())
        self.assertEqual({"r1", "r3", "r4"}, self.preferred())
        for number in (5, 6):
            self.list_replica(number, NEW)
        self.assertEqual({OLD}, self.leaving())
        self.assertEqual({"r3", "r4", "r5", "r6"}, self.preferred())

    @with_own_system("run_with", [OLD] * 3)
    async def test_only_version_does_not_leave(self):
        """Nothing takes its streams while its last replica remains."""
        self.drain(0)
        self.drain(1)
        self.assertEqual(set(), self.leaving())
        self.assertEqual({"r2"}, self.preferred())

    @with_own_system("run_with", [OLD, NEW])
    async def test_other_backends_do_not_count(self):
        """A release of one backend would move the streams of another."""
        self.drain(0)
        self.assertEqual([], self.directory.versions_left("other"))
        self.assertFalse(self.directory.mixes_versions("other"))
        self.directory.unlist("r0")
        self.assertEqual([], self.directory.versions_left("other"))
        self.assertEqual([OLD], self.directory.versions_left(BACKEND))


class RoomTest(ReleaseTestCase):
    """The old version leaves: r2 drains, r3 is its last replica."""

    VERSIONS = (NEW, NEW, OLD, OLD)

    def check(self, expected, disturb):
        """Checks the preferred replicas after ``disturb(replica)`` at the new ones."""

        async def check():
            self.drain(2)
            self.assertEqual({"r0", "r1"}, self.preferred())
            for replica_id in ("r0", "r1"):
                self.assertIn("r0", self.preferred())
                disturb(self.directory.by_id[replica_id])
            self.assertEqual(expected, self.preferred())

        self.run_with(check, self.VERSIONS)

    def test_without_room_elsewhere_all_replicas_get_streams(self):
        """A stream would be refused or wait, though a replica has room for it."""

        def fill(replica):
            replica.others_in_flight = SLOTS - 1
            replica.note_sent(None)

        self.check({"r0", "r1", "r3"}, fill)

    def test_replicas_with_the_last_free_slot_have_room(self):
        """Guards against moving streams back too early."""

        def fill(replica):
            replica.others_in_flight = SLOTS - 1

        self.check({"r0", "r1"}, fill)

    def test_unknown_slots_count_as_room(self):
        """Replicas that name no slots would never get the streams."""

        async def check():
            for number in range(2):
                self.list_replica(number, NEW, slots=0)
                self.directory.by_id[f"r{number}"].others_in_flight = 100
            self.drain(2)
            self.assertEqual({"r0", "r1"}, self.preferred())

        self.run_with(check, self.VERSIONS)

    def test_suspected_replicas_have_no_room(self):
        """Streams would begin at replicas that do not answer."""

        def suspect(replica):
            replica.note_silence()

        self.check({"r0", "r1", "r3"}, suspect)

    def test_pausing_replicas_have_no_room(self):
        """Streams would wait until the pause ends."""

        def pause(replica):
            replica.pause.note(1.0)

        self.check({"r0", "r1", "r3"}, pause)

    def test_limited_replicas_have_no_room(self):
        """Streams would wait for a permit, or be refused."""

        def limit(replica):
            replica.request_limit.note(1.0, anyio.current_time())

        self.check({"r0", "r1", "r3"}, limit)


class VersionCountsTest(ReleaseTestCase):
    @with_own_system("run_with", [OLD] * 3)
    async def test_versions_mix_as_long_as_two_are_listed(self):
        """A count that misses a change costs each stream a search, or ends the
        preference in the middle of a release."""
        self.assertFalse(self.directory.mixes_versions(BACKEND))
        self.list_replica(3, "")
        self.assertFalse(self.directory.mixes_versions(BACKEND))
        for number in range(2):
            self.replace(number)
            self.drain(number)
            self.assertTrue(self.directory.mixes_versions(BACKEND))
        self.directory.unlist("r2")
        self.assertFalse(self.directory.mixes_versions(BACKEND))
        for replica_id in ("r0", "r1", "r3", "r3"):
            self.directory.unlist(replica_id)
        self.assertFalse(self.directory.mixes_versions(BACKEND))

    @with_own_system("run_with", [])
    async def test_versions_of_many_releases_are_not_kept(self):
        """A list of all versions that ever left would grow with each release."""
        for number in range(100):
            self.list_replica(0, f"1.{number}", boot=number)
            await anyio.sleep(1.0)
        held = self.directory._version_left_at_by_backend[BACKEND]
        self.assertLessEqual(len(held), VERSION_LEFT_S + 1)
        counts = self.directory._version_counts_by_backend[BACKEND]
        self.assertEqual({"1.99": 1}, dict(counts))


class StreamSearchTest(ReleaseTestCase):
    """Searches for the replicas of streams while the old version leaves: r2 drains."""

    def make_search(self):
        self.lookups = []
        return build_search(self.directory, self.locate_here)

    async def locate_here(self, key, uses, avoid, limited, software_version):
        self.lookups.append(software_version)
        return tuple(AdapterLocation(item, 0.0) for item in self.holders)

    def chosen(self, make_one, holders=("r0", "r1", "r3")):
        """Returns the ids of the replicas that searches for jobs choose."""
        self.holders = holders
        chosen = set()

        async def check():
            self.drain(2)
            search, locator = self.make_search()
            async with anyio.create_task_group() as group:
                group.start_soon(locator.run)
                await anyio.sleep(0.01)
                for _ in range(CHOICES):
                    replica = await search.find_stream_replica(make_one())
                    chosen.add(replica.id)
                group.cancel_scope.cancel()

        self.run_with(check, [NEW, NEW, OLD, OLD])
        return chosen

    def test_new_stream_begins_at_the_version_that_stays(self):
        """Streams that began at the last replica of a version were stranded."""
        self.assertEqual({"r0", "r1"}, self.chosen(make_job))

    def test_new_stream_with_an_adapter_does_so_as_well(self):
        """Its replica is found in another way."""
        chosen = self.chosen(lambda: make_job(KEY))
        self.assertEqual({"r0", "r1"}, chosen)
        self.assertEqual({""}, set(self.lookups))

    def test_stream_begins_at_the_only_holder_of_its_adapter(self):
        """A stream would be refused for a version that leaves."""
        chosen = self.chosen(lambda: make_job(KEY), ["r3"])
        self.assertEqual({"r3"}, chosen)

    def test_replica_that_was_tried_is_not_preferred(self):
        """A retry would go to the replicas that have failed the request."""
        chosen = self.chosen(lambda: make_job(sent_to=["r0", "r1"]))
        self.assertEqual({"r3"}, chosen)

    def test_streams_that_have_begun_may_go_on_there(self):
        """They go on at no other version."""
        for attributes in ({"streaming": True}, {"last_event_id": b"7"}):
            self.directory = ReplicaDirectory("zone-1", random.Random(1))
            chosen = self.chosen(lambda given=attributes: make_job(**given))
            self.assertEqual({"r0", "r1", "r3"}, chosen)

    def test_jobs_that_are_never_taken_up_go_anywhere(self):
        """The replicas of the old version would idle for no reason."""
        for kind, resumable in (
            (RequestKind.STREAM, False),
            (RequestKind.IDEMPOTENT, True),
        ):
            self.directory = ReplicaDirectory("zone-1", random.Random(1))
            route = types.SimpleNamespace(
                target_latency_s=TARGET_LATENCY_S, kind=kind, resumable=resumable
            )
            chosen = self.chosen(lambda given=route: make_job(route=given))
            self.assertEqual({"r0", "r1", "r3"}, chosen)

    def test_replicas_are_not_counted_while_one_version_is_listed(self):
        """Each stream would cost a search through all replicas of the backend."""
        self.patch(self.directory, "listed_replicas", None)
        self.patch(self.directory, "versions_left", None)

        async def check():
            search, _ = self.make_search()
            self.drain(0)
            replica = await search.find_stream_replica(make_job())
            self.assertIn(replica.id, ("r1", "r2"))

        self.run_with(check, [OLD, OLD, OLD, ""])
