"""Tests of what a host knows of the only software version that can have begun a stream.

They run in virtual time with a store in memory, but for those of the real store calls.
"""

import json
import random

import anyio
import msgspec
import testtools

from snipetrestle.coordination.membership.pause_watch import PauseWatch
from snipetrestle.coordination.store.store_availability import StoreAvailability
from snipetrestle.gateway.backends.replicas import ReplicaDirectory
from snipetrestle.gateway.configuration import (
    LoadedModel,
    ReplicaEntry,
    ReplicaState,
)
from snipetrestle.gateway.publication.published_items import Feed, Origin, Unlisted, Way
from snipetrestle.gateway.publication.published_state import PublishedState
from snipetrestle.gateway.streams.listed_versions import (
    MAX_LEFT_BACKENDS,
    MAX_LEFT_VERSIONS,
    RETENTION_S,
    UNKNOWN_SOFTWARE,
    ListedVersions,
)
from snipetrestle.gateway.streams.store_history import MAX_CALLS
from snipetrestle.gateway.streams.stream_origin import StreamOrigin
from snipetrestle.gateway.streams.version_history import (
    ANSWER_TIMEOUT_S,
    MIN_INTERVAL_SHARE,
    VersionHistory,
    proven_span_s,
)
from snipetrestle.platform.entries import ALL_ITEMS, decode_item
from snipetrestle.publication.sources import SourceUnreachable
from snipetrestle_standins.clock import run_in_virtual_time
from snipetrestle_standins.store_relay_fleet import Source, Store
from tests.gateway.running import run_fleet
from tests.systems import with_own_system, with_system
from tests.waiting import wait_until

BACKEND = "models"
MARGIN_S = 2.0
HISTORY_S = 60.0
HEARTBEAT_S = 1.0
EXPIRY_S = 3.0
# The age of the oldest stream in most questions.
SINCE_S = 10.0
# A time after which all that was listed at the start of a host has no effect.
LONG_S = SINCE_S + MARGIN_S + 1.0
# Report numbers of processes that have run for longer than all questions ask.
LONG_RUN = 1000
OTHER_KEY = "op/other"
V1 = StreamOrigin(BACKEND, "v1")
V2 = StreamOrigin(BACKEND, "v2")


def entry(version="v1", backend=BACKEND, state="ready", seq=1, born=1000):
    """Returns the value of an entry; it has no version if that is None."""
    fields = {
        "backend": backend,
        "address": "127.0.0.1:9",
        "zone": "zone-1",
        "state": state,
        "slots": 4,
        "born": born,
        "seq": seq,
    }
    if version is not None:
        fields["version"] = version
    return json.dumps(fields).encode()


class Relay:
    """Lets a host watch the store by itself, unless others read for it."""

    def __init__(self):
        self.watches = True

    def pause_s(self, feed):
        return feed.pause_s

    def wait_s(self, feed):
        return feed.wait_s

    def pass_on(self, prefix, base, changes):
        pass

    async def wait_until_needed(self, prefix):
        while not self.watches:  # noqa: ASYNC110 - as in the StoreRelay
            await anyio.sleep(0.05)


class Host:
    """A host that reads the store, and its VersionHistory."""

    def __init__(self, store, name, history_s=None, heartbeat_s=0.0):
        self._store = store
        self.name = name
        feed = Feed(ALL_ITEMS, decode_item, 0.02, 0.5)
        availability = StoreAvailability.from_feeds(
            (feed,), name, EXPIRY_S, PauseWatch()
        )
        rng = random.Random(1)
        self.state = PublishedState(
            Source(store, name),
            (feed,),
            ReplicaDirectory("zone-1", rng),
            rng,
            EXPIRY_S,
            availability,
        )
        self.relay = self.state.relay = Relay()
        self.history = VersionHistory(
            self.state, ALL_ITEMS, MARGIN_S, history_s, heartbeat_s
        )

    @property
    def calls(self):
        return self._store.calls_by_host.get(self.name, 0)

    async def run(self):
        async with anyio.create_task_group() as group:
            group.start_soon(self.state.follow, ALL_ITEMS)
            group.start_soon(self.history.run)

    def apply_snapshot(self):
        """Applies a snapshot of a host that knows the same as this one."""
        items = self.state.snapshot(ALL_ITEMS)
        self.state.replace_items(ALL_ITEMS, items, Origin(Way.SNAPSHOT, "entry-7"))

    async def ask(self, since_s=SINCE_S, backend=BACKEND):
        return await self.history.only_origin(backend, since_s)

    async def stop_watching(self):
        """Lets other hosts read the store for this one."""
        self.relay.watches = False
        await anyio.sleep(1.0)

    async def ask_without_watching(self, since_s=SINCE_S):
        """Asks while other hosts read the store for this one.

        Returns the answer and the number of calls.
        """
        await self.stop_watching()
        before = self.calls
        return await self.ask(since_s), self.calls - before


class System:
    """A store, and the hosts that have been started."""

    def __init__(self, group):
        self.store = Store()
        self._group = group
        self._count = 0

    def put(self, replica, version="v1", **fields):
        self.store.put(f"servers/{replica}", entry(version, **fields))

    def delete(self, replica):
        self.store.delete(f"servers/{replica}")

    async def start_host(self, **options):
        """Returns a Host that has read the store."""
        self._count += 1
        host = Host(self.store, f"entry-{self._count}", **options)
        self._group.start_soon(host.run)
        await wait_until(lambda: host.state.feeds[ALL_ITEMS].loaded)
        return host


def run_system(function):
    """Runs ``function(system)`` in virtual time."""

    async def main():
        async with anyio.create_task_group() as group:
            await function(System(group))
            group.cancel_scope.cancel()

    run_in_virtual_time(main)


def run_long_known(function):
    """Runs ``function(system, host)`` with a Host that has known one replica of v1 for
    LONG_S."""

    async def main(system):
        system.put("a")
        host = await system.start_host()
        await anyio.sleep(LONG_S)
        await function(system, host)

    run_system(main)


class ListedVersionsTest(testtools.TestCase):
    @with_system(run_long_known)
    async def test_one_version_is_known(self, system, host):
        """A stream of the only version was refused although it could go on."""
        system.put("b")
        self.assertEqual(V1, await host.ask())

    @with_system(run_long_known)
    async def test_two_versions_give_no_answer(self, system, host):
        """A stream could go on at a replica of another version."""
        system.put("b", "v2")
        self.assertIsNone(await host.ask())

    @with_system(run_long_known)
    async def test_other_backends_do_not_count(self, system, host):
        """An upgrade of one backend must not stop the streams of all others."""
        system.put("b", "v2", backend="others")
        self.assertEqual(V1, await host.ask())
        self.assertEqual(StreamOrigin("others", "v2"), await host.ask(backend="others"))

    @with_system(run_long_known)
    async def test_backend_without_replicas_gives_no_answer(self, system, host):
        """An answer for a backend that was never listed would be a guess."""
        self.assertIsNone(await host.ask(backend="others"))

    @with_system(run_long_known)
    async def test_version_counts_until_its_last_streams_are_too_old(
        self, system, host
    ):
        """A version that has just left may have begun the stream; one that left before
        the oldest stream must not stop all others for ever."""
        system.put("b", "v2")
        await anyio.sleep(1.0)
        system.delete("b")
        await anyio.sleep(SINCE_S + MARGIN_S - 0.1)
        self.assertIsNone(await host.ask())
        await anyio.sleep(0.2)
        self.assertEqual(V1, await host.ask())

    @with_system(run_long_known)
    async def test_removed_replica_counts_for_the_margin(self, system, host):
        """Hosts that have not learned of a removal may still begin streams there."""
        system.put("b", "v2")
        system.delete("b")
        await anyio.sleep(MARGIN_S - 0.1)
        self.assertIsNone(await host.ask(since_s=0.0))
        await anyio.sleep(0.2)
        self.assertEqual(V1, await host.ask(since_s=0.0))

    @with_system(run_long_known)
    async def test_earlier_version_of_a_restarted_replica_counts(self, system, host):
        """The entry of a restarted replica replaces that of its earlier version."""
        system.put("a", "v2", born=2000)
        self.assertIsNone(await host.ask())
        await anyio.sleep(LONG_S)
        self.assertEqual(V2, await host.ask())

    @with_system(run_long_known)
    async def test_draining_replica_counts(self, system, host):
        """A replica that drains gets no new streams, but may have begun this one."""
        system.put("b", "v2", state="draining")
        await anyio.sleep(LONG_S)
        self.assertIsNone(await host.ask())

    @with_system(run_long_known)
    async def test_missing_version_gives_no_answer(self, system, host):
        """A replica that names no version may have any."""
        system.put("b", None)
        self.assertIsNone(await host.ask())
        self.assertIsNone(await host.ask(backend="others"))
        system.delete("b")
        await anyio.sleep(1.0)
        self.assertIsNone(await host.ask())
        await anyio.sleep(LONG_S)
        self.assertEqual(V1, await host.ask())

    @with_system(run_system)
    async def test_only_replica_without_a_version_gives_no_answer(self, system):
        """An unknown version is none that another replica can have."""
        system.put("a", None)
        host = await system.start_host()
        await anyio.sleep(LONG_S)
        self.assertIsNone(await host.ask())

    @with_system(run_long_known)
    async def test_unreadable_entry_gives_no_answer_for_any_backend(self, system, host):
        """An entry that this host cannot read may be one that others can use."""
        system.store.put("servers/b", b"\xff\xfe")
        self.assertIsNone(await host.ask())
        system.put("b", "v1")
        await anyio.sleep(1.0)
        self.assertIsNone(await host.ask())
        await anyio.sleep(LONG_S)
        self.assertEqual(V1, await host.ask())

    @with_system(run_long_known)
    async def test_entry_that_becomes_unreadable_keeps_its_version(self, system, host):
        """Its replica may have begun streams before."""
        system.put("b", "v2")
        await anyio.sleep(1.0)
        system.store.put("servers/b", b"{}")
        await anyio.sleep(1.0)
        versions = host.history._versions.versions(BACKEND, 0.0)
        self.assertEqual({"v1", "v2", ""}, versions)

    @with_system(run_long_known)
    async def test_deletion_of_an_unknown_entry_gives_no_answer(self, system, host):
        """A deleted entry that was never seen may have had any version."""
        system.delete("b")
        await anyio.sleep(1.0)
        self.assertIsNone(await host.ask())
        await anyio.sleep(LONG_S)
        self.assertEqual(V1, await host.ask())

    @with_system(run_long_known)
    async def test_put_off_removal_counts_from_its_deletion(self, system, host):
        """A replica is kept for a while after an outage. Only the store's deletion may
        end its time, not when this host drops it."""
        system.put("b", "v2")
        await anyio.sleep(1.0)
        system.store.restore(
            {
                key: item
                for key, item in system.store.items_by_key.items()
                if not key.endswith("/b")
            },
            system.store.revision,
        )
        system.store.put(OTHER_KEY)
        await anyio.sleep(1.5)
        self.assertIn("b", host.state.replicas.by_id)
        left_at = host.history._versions._left_at_by_backend[BACKEND]["v2"]
        self.assertLess(left_at, anyio.current_time() - 0.5)


class MemoryBoundTest(testtools.TestCase):
    def run_versions(self, function):
        async def main():
            versions = ListedVersions()
            versions.note_gap()
            await anyio.sleep(1.0)
            await function(versions)

        run_in_virtual_time(main)

    def replica(self, number, backend, version):
        return ReplicaEntry(
            f"r{number}",
            1,
            backend,
            "127.0.0.1",
            9,
            "zone-1",
            ReplicaState.READY,
            software_version=version,
        )

    @with_own_system("run_versions")
    async def test_versions_of_a_backend_are_bounded(self, versions):
        """Replicas that come and go with new versions must not fill the memory, and a
        version that was dropped must not make another one the only one."""
        for number in range(100):
            versions.note_entry(self.replica(0, BACKEND, f"v{number}"))
        versions.note_unlisted(Unlisted("r0"))
        kept = versions._left_at_by_backend[BACKEND]
        self.assertEqual(MAX_LEFT_VERSIONS, len(kept))
        self.assertEqual({"v98", "v99"}, versions.versions(BACKEND, 0.0))

    @with_own_system("run_versions")
    async def test_backends_are_bounded(self, versions):
        """The same for new backends. What was forgotten is not claimed any more."""
        for number in range(MAX_LEFT_BACKENDS + 1):
            versions.note_entry(self.replica(0, f"b{number}", "v1"))
            await anyio.sleep(0.001)
        self.assertTrue(versions.covers(0.5))
        versions.note_unlisted(Unlisted("r0"))
        self.assertEqual(MAX_LEFT_BACKENDS, len(versions._left_at_by_backend))
        self.assertFalse(versions.covers(0.5))
        self.assertTrue(versions.covers(1.5))
        versions.extend(-1000.0)
        self.assertFalse(versions.covers(0.5))

    @with_own_system("run_versions")
    async def test_old_versions_are_forgotten(self, versions):
        """Versions that nobody can ask for must not be kept for the life of a host."""
        versions.note_left(V1)
        await anyio.sleep(RETENTION_S + 1.0)
        versions.note_left(UNKNOWN_SOFTWARE)
        self.assertNotIn(BACKEND, versions._left_at_by_backend)
        self.assertFalse(versions.covers(0.5))
        self.assertTrue(versions.covers(2.0))


class GapTest(testtools.TestCase):
    @with_system(run_system)
    async def test_host_that_has_just_started_gives_no_answer(self, system):
        """It has not seen which versions were listed before it."""
        system.put("a")
        host = await system.start_host()
        self.assertIsNone(await host.ask())
        await anyio.sleep(LONG_S)
        self.assertEqual(V1, await host.ask())

    @with_system(run_system)
    async def test_host_without_a_read_asks_nothing(self, system):
        """Nothing is known before the first full read."""
        host = Host(system.store, "entry-9", HISTORY_S, HEARTBEAT_S)
        self.assertIsNone(await host.ask())
        self.assertEqual(0, host.calls)

    @with_system(run_long_known)
    async def test_discarded_history_is_a_gap(self, system, host):
        """A version could come and go in changes that the store had discarded."""
        system.store.refused.add(host.name)
        await anyio.sleep(3.0)
        system.put("b", "v2")
        system.delete("b")
        system.store.discard_history(system.store.revision)
        system.store.refused.clear()
        await anyio.sleep(3.0)
        self.assertEqual(2, host.history._versions.gap_count)
        self.assertIsNone(await host.ask())
        await anyio.sleep(LONG_S)
        self.assertEqual(V1, await host.ask())

    @with_system(run_long_known)
    async def test_discarded_history_that_a_question_meets(self, system, host):
        """The read for a question can be the first call that finds a gap."""
        await host.stop_watching()
        system.put("b", "v2")
        system.delete("b")
        system.store.discard_history(system.store.revision)
        self.assertIsNone(await host.ask())

    @with_system(run_long_known)
    async def test_versions_before_a_gap_stay_known(self, system, host):
        """A version that left before a gap may still have begun a stream."""
        system.put("b", "v2")
        await anyio.sleep(1.0)
        system.store.refused.add(host.name)
        await anyio.sleep(3.0)
        system.delete("b")
        system.store.discard_history(system.store.revision)
        system.store.refused.clear()
        await anyio.sleep(3.0)
        self.assertEqual(
            {"v1", "v2"},
            host.history._versions.versions(
                BACKEND, anyio.current_time() - SINCE_S - MARGIN_S
            ),
        )

    @with_system(run_long_known)
    async def test_new_epoch_is_a_gap(self, system, host):
        """A store that went back to a copy has lost entries that hosts had used."""
        copy, revision = dict(system.store.items_by_key), system.store.revision
        system.store.restore(copy, revision)
        self.assertIsNone(await host.ask())
        await anyio.sleep(1.0)
        self.assertIsNone(await host.ask())
        await anyio.sleep(LONG_S)
        self.assertEqual(V1, await host.ask())

    @with_system(run_long_known)
    async def test_snapshot_of_another_host_is_a_gap(self, system, host):
        """A snapshot lacks what came and went before it."""
        host.apply_snapshot()
        self.assertIsNone(await host.ask())


class FreshReadTest(testtools.TestCase):
    @with_system(run_long_known)
    async def test_newer_entry_is_read(self, system, host):
        """Another host had used a replica whose entry this host had not seen."""
        await host.stop_watching()
        system.put("b", "v2")
        self.assertIsNone(await host.ask())
        self.assertIn("b", host.state.replicas.by_id)

    @with_system(run_long_known)
    async def test_store_that_refuses_gives_no_answer(self, system, host):
        """Without the store, nobody knows what other hosts have seen in it."""
        system.store.refused.add(host.name)
        self.assertIsNone(await host.ask())
        self.assertTrue(host.state.is_unreachable(ALL_ITEMS))
        system.store.refused.clear()
        await anyio.sleep(1.0)
        self.assertEqual(V1, await host.ask())

    @with_system(run_long_known)
    async def test_host_that_others_read_for_finds_the_store_again(self, system, host):
        """One refused call let it count as cut off until its next question."""
        await host.stop_watching()
        system.store.refused.add(host.name)
        self.assertIsNone(await host.ask())
        before = host.calls
        await anyio.sleep(10.0)
        self.assertLessEqual(host.calls - before, 5)
        self.assertTrue(host.state.is_unreachable(ALL_ITEMS))
        system.store.refused.clear()
        await anyio.sleep(3.0)
        self.assertFalse(host.state.is_unreachable(ALL_ITEMS))
        before = host.calls
        await anyio.sleep(10.0)
        self.assertEqual(before, host.calls)

    @with_system(run_long_known)
    async def test_silent_store_delays_no_answer_for_long(self, system, host):
        """A caller must not wait for a store that is away."""
        system.store.silent.add(host.name)
        asked_at = anyio.current_time()
        self.assertIsNone(await host.ask())
        self.assertAlmostEqual(
            ANSWER_TIMEOUT_S, anyio.current_time() - asked_at, delta=0.01
        )
        self.assertEqual(set(), host.history._questions)

    @with_system(run_long_known)
    async def test_questions_that_were_given_up_are_forgotten(self, system, host):
        """Requests that come while the store is silent must not fill the memory."""
        system.store.silent.add(host.name)
        before = host.calls
        async with anyio.create_task_group() as group:
            for _ in range(5):
                group.start_soon(host.ask)
                await anyio.sleep(0.05)
        self.assertEqual(set(), host.history._questions)
        self.assertLessEqual(host.calls - before, 2)

    @with_system(run_long_known)
    async def test_questions_share_a_read(self, system, host):
        """Calls to the store have a price, and callers may ask in great numbers."""
        await host.stop_watching()
        before = host.calls
        answers = []

        async def ask():
            answers.append(await host.ask())

        async with anyio.create_task_group() as group:
            for _ in range(50):
                group.start_soon(ask)
        self.assertEqual([V1] * 50, answers)
        self.assertEqual(1, host.calls - before)

    @with_system(run_long_known)
    async def test_question_during_a_read_needs_the_next_one(self, system, host):
        """A read that began before a request may lack what was written before it."""
        await host.stop_watching()
        before = host.calls
        answers = []

        async def ask():
            answers.append(await host.ask())

        async with anyio.create_task_group() as group:
            group.start_soon(ask)
            # The store answers after 4 ms, and at that time it has one version.
            await anyio.sleep(0.002)
            group.start_soon(ask)
            await anyio.sleep(0.004)
            system.put("b", "v2")
        self.assertEqual([V1, None], answers)
        self.assertEqual(2, host.calls - before)

    @with_system(run_long_known)
    async def test_reads_are_limited_in_rate(self, system, host):
        """One caller after the other must not use up the calls of all hosts."""
        await host.stop_watching()
        before, began_at = host.calls, anyio.current_time()
        while anyio.current_time() - began_at < 2.0:
            self.assertEqual(V1, await host.ask())
        self.assertLessEqual(host.calls - before, 21)

    @with_system(run_long_known)
    async def test_question_that_cannot_be_answered_costs_no_call(self, system, host):
        """With two known versions, no read changes the answer."""
        system.put("b", "v2")
        await anyio.sleep(1.0)
        answer, calls = await host.ask_without_watching()
        self.assertIsNone(answer)
        self.assertEqual(0, calls)


class StoreHistoryTest(testtools.TestCase):
    def write_others(self, system, count):
        for _ in range(count):
            system.store.put(OTHER_KEY)

    def write_witnesses(self, system, heartbeats, first_seq=LONG_RUN):
        """Changes the entries of two replicas, that many heartbeats apart."""
        for seq in (first_seq, first_seq + heartbeats):
            for replica in ("a", "c"):
                system.put(replica, seq=seq)

    async def start_host(self, system):
        return await system.start_host(history_s=HISTORY_S, heartbeat_s=HEARTBEAT_S)

    @with_system(run_system)
    async def test_young_store_shows_all_of_its_past(self, system):
        """All hosts were killed: a host that had just started knew of no stream."""
        system.put("a")
        self.write_others(system, 20)
        host = await self.start_host(system)
        answer, calls = await host.ask_without_watching(since_s=1000.0)
        self.assertEqual(V1, answer)
        # The fresh read, whether revision 0 is there, and its reading.
        self.assertEqual(3, calls)
        answer, calls = await host.ask_without_watching(since_s=1000.0)
        self.assertEqual((V1, 1), (answer, calls))

    @with_system(run_system)
    async def test_young_store_shows_versions_that_have_left(self, system):
        """A version may have come and gone before this host started."""
        system.put("a")
        system.put("b", "v2")
        system.delete("b")
        host = await self.start_host(system)
        self.assertIsNone(await host.ask())
        self.assertEqual(["a"], list(host.state.replicas.by_id))
        await anyio.sleep(LONG_S)
        self.assertEqual(V1, await host.ask())

    @with_system(run_system)
    async def test_young_store_shows_unreadable_entries(self, system):
        """An entry that could not be read, and has left, may have had any version."""
        system.put("a")
        system.store.put("servers/b", b"{}")
        system.put("b")
        host = await self.start_host(system)
        self.assertIsNone(await host.ask())

    @with_system(run_system)
    async def test_settings_without_history_claim_nothing(self, system):
        """A platform that does not say that it keeps history may have none."""
        system.put("a")
        host = await system.start_host(heartbeat_s=HEARTBEAT_S)
        answer, calls = await host.ask_without_watching()
        self.assertEqual((None, 0), (answer, calls))

    @with_system(run_system)
    async def test_discarded_history_shows_nothing(self, system):
        """The store has nothing of the time before the host's start."""
        system.put("a", seq=LONG_RUN)
        system.store.discard_history(system.store.revision)
        host = await self.start_host(system)
        self.assertIsNone(await host.ask())
        await anyio.sleep(LONG_S)
        self.assertEqual(V1, await host.ask())

    def check_old_store(self, answer, heartbeats=100, since_s=SINCE_S, prepare=None):
        """Asks a host that starts when the store has discarded its first changes.

        ``prepare(system)`` changes the store before the heartbeats in its history.
        """

        async def check(system):
            for replica in ("a", "c"):
                system.put(replica)
            self.write_others(system, 500)
            system.store.discard_history(system.store.revision)
            if prepare is not None:
                prepare(system)
            self.write_witnesses(system, heartbeats)
            host = await self.start_host(system)
            result, calls = await host.ask_without_watching(since_s)
            self.assertEqual(answer, result)
            self.assertLessEqual(calls, MAX_CALLS + 1)

        run_system(check)

    def test_heartbeats_show_how_far_the_history_goes_back(self):
        """A host that had just started refused all streams for minutes."""
        self.check_old_store(V1)

    def test_history_that_was_discarded_early_shows_little(self):
        """The store may discard history sooner than it says: what it has must not
        count for the whole time."""
        self.check_old_store(None, heartbeats=5)

    def test_no_more_is_claimed_than_the_store_says(self):
        """Report numbers may jump; the time that the store names is the limit."""
        self.check_old_store(V1, heartbeats=5000, since_s=HISTORY_S - MARGIN_S - 2.0)
        self.check_old_store(None, heartbeats=5000, since_s=HISTORY_S)

    def test_second_version_in_the_history(self):
        """A version may have left just before all hosts were killed."""

        def prepare(system):
            system.put("b", "v2")
            system.delete("b")

        self.check_old_store(None, prepare=prepare)

    def test_new_replica_of_the_same_version(self):
        """A replica that is new in the history has no earlier version."""
        self.check_old_store(V1, prepare=lambda system: system.put("b"))

    @with_system(run_system)
    async def test_deletion_of_an_entry_from_before_the_history(self, system):
        """Its version is not known."""
        for replica in ("a", "b", "c"):
            system.put(replica)
        system.store.discard_history(system.store.revision)
        self.write_witnesses(system, 50)
        system.delete("b")
        self.write_witnesses(system, 50, LONG_RUN + 50)
        host = await self.start_host(system)
        self.assertIsNone(await host.ask())

    @with_system(run_system)
    async def test_restart_over_an_entry_from_before_the_history(self, system):
        """The entry of a process that has just started replaces one that may have had
        another version, which is not in the history any more."""
        for replica in ("a", "c"):
            system.put(replica)
        system.put("b", "v2")
        system.store.discard_history(system.store.revision)
        self.write_witnesses(system, 50)
        system.put("b", "v1", seq=2, born=2000)
        self.write_witnesses(system, 50, LONG_RUN + 50)
        host = await self.start_host(system)
        self.assertIsNone(await host.ask())

    @with_system(run_system)
    async def test_store_that_went_back_to_a_copy_shows_nothing(self, system):
        """Its history lacks the entries that were lost with the changes."""
        system.put("a")
        copy, revision = dict(system.store.items_by_key), system.store.revision
        system.put("b", "v2")
        system.store.restore(copy, revision)
        host = await self.start_host(system)
        answer, calls = await host.ask_without_watching()
        self.assertEqual((None, 0), (answer, calls))

    @with_system(run_system)
    async def test_answer_that_lacks_changes_shows_nothing(self, system):
        """The store may answer a watch from 0 with its newest changes only."""
        system.put("a")
        system.put("b")
        host = await self.start_host(system)
        del system.store.history[0]
        self.assertIsNone(await host.ask())

    @with_system(run_system)
    async def test_search_is_not_exact(self, system):
        """Calls that would show a few changes more are not worth their price."""
        system.put("a")
        system.store.revision = 100_000
        self.write_others(system, 5000)
        system.store.discard_history(101_111)
        host = await self.start_host(system)
        _, calls = await host.ask_without_watching()
        self.assertLessEqual(calls, 12)

    @with_system(run_system)
    async def test_long_history_takes_a_bounded_number_of_calls(self, system):
        """A search by bisection takes more calls the longer the store has run."""
        system.put("a")
        system.store.revision = 2**40
        self.write_others(system, 50)
        system.store.discard_history(2**40 + 3)
        host = await self.start_host(system)
        answer, calls = await host.ask_without_watching()
        self.assertIsNone(answer)
        self.assertLessEqual(calls, MAX_CALLS + 1)
        answer, calls = await host.ask_without_watching()
        self.assertEqual((None, 0), (answer, calls))

    @with_system(run_system)
    async def test_search_that_runs_out_of_calls(self, system):
        """The calls that are left must be enough to read what was found."""
        system.put("a")
        system.put("c")
        # Found by trying many: with these revisions the search takes 25 calls.
        system.store.discard_history(1_743_447_714_580_787_598)
        system.store.revision = 2_567_293_234_398_438_396
        self.write_witnesses(system, 100)
        host = await self.start_host(system)
        answer, calls = await host.ask_without_watching()
        self.assertEqual(V1, answer)
        self.assertLessEqual(calls, MAX_CALLS + 1)

    @with_system(run_system)
    async def test_history_that_is_discarded_while_it_is_read(self, system):
        """The oldest revision that was found may be gone when it is read."""
        for replica in ("a", "c"):
            system.put(replica)
        self.write_others(system, 500)
        system.store.discard_history(system.store.revision)
        self.write_others(system, 200)
        self.write_witnesses(system, 100)
        host = await self.start_host(system)
        store, read, lost = system.store, host.state.read_history, []

        async def read_after_discarding(feed_prefix, prefix, revision):
            if prefix == ALL_ITEMS and not lost:
                store.discard_history(revision + 1)
                lost.append(revision)
            return await read(feed_prefix, prefix, revision)

        host.state.read_history = read_after_discarding

        self.assertEqual(V1, await host.ask())
        self.assertEqual(1, len(lost))

    @with_system(run_system)
    async def test_gap_while_the_history_is_read(self, system):
        """The history ends where it was read, and says nothing of a later gap."""
        system.put("a")
        host = await self.start_host(system)
        read = host.state.read_history

        async def read_before_gap(*arguments):
            items = await read(*arguments)
            host.apply_snapshot()
            return items

        host.state.read_history = read_before_gap
        self.assertIsNone(await host.ask())

    @with_system(run_system)
    async def test_new_epoch_while_the_history_is_read(self, system):
        """The history of a store that went back to a copy lacks lost entries."""
        system.put("a")
        host = await self.start_host(system)
        host.relay.watches = False
        await anyio.sleep(1.0)
        read = host.state.read_history

        async def read_after_restore(*arguments):
            system.store.epoch = 2
            return await read(*arguments)

        host.state.read_history = read_after_restore
        self.assertIsNone(await host.ask())

    @with_system(run_system)
    async def test_history_that_shows_nothing_does_no_harm(self, system):
        """A version in a history that is too short must not delay the time from which
        the host's own knowledge is enough."""
        system.put("a", seq=LONG_RUN)
        system.store.discard_history(system.store.revision)
        system.put("b", "v2")
        system.delete("b")
        host = await self.start_host(system)
        await anyio.sleep(5.0)
        self.assertIsNone(await host.ask())
        await anyio.sleep(LONG_S - 5.0)
        self.assertEqual(V1, await host.ask())

    @with_system(run_system)
    async def test_history_is_read_again_if_that_has_failed(self, system):
        """One lost answer must not cost the knowledge of the past for long, and a
        store that never answers must not be asked for ever."""
        system.put("a")
        host = await self.start_host(system)
        read, attempts = host.state.read_history, []

        async def fail(*arguments):
            attempts.append(arguments)
            raise SourceUnreachable("refused")

        host.state.read_history = fail
        self.assertIsNone(await host.ask())
        host.state.read_history = read
        self.assertEqual(V1, await host.ask())
        host.apply_snapshot()
        host.state.read_history = fail
        for _ in range(5):
            self.assertIsNone(await host.ask())
        self.assertEqual(3, len(attempts))

    @with_system(run_system)
    async def test_history_is_read_again_after_a_gap(self, system):
        """A host that has lost the store's changes once must not refuse for long."""
        system.put("a")
        host = await self.start_host(system)
        self.assertEqual(V1, await host.ask())
        host.apply_snapshot()
        self.assertEqual(V1, await host.ask())
        self.assertEqual(2, host.history._versions.gap_count)


class ProvenSpanTest(testtools.TestCase):
    def entries(self, replica, numbers, boot=1):
        return [
            ReplicaEntry(
                replica,
                boot,
                BACKEND,
                "127.0.0.1",
                9,
                "zone-1",
                ReplicaState.READY,
                report_number=number,
            )
            for number in numbers
        ]

    def test_unchanged_heartbeats_count(self):
        """Heartbeats that changed an entry may come at any rate, so that they show no
        time."""
        both = self.entries("a", (10, 31)) + self.entries("b", (10, 31))
        self.assertAlmostEqual(
            19 * MIN_INTERVAL_SHARE * HEARTBEAT_S, proven_span_s(both, HEARTBEAT_S)
        )
        numbers = range(10, 100)
        both = self.entries("a", numbers) + self.entries("b", numbers)
        self.assertEqual(0.0, proven_span_s(both, HEARTBEAT_S))

    def test_heartbeats_that_changed_adapters_only_count(self):
        """Entries of busy replicas change with almost each heartbeat, and would show no
        time."""

        def loaded(entry, model="m0"):
            adapters = {f"a{entry.report_number}": 1}
            models = (LoadedModel(model, 1, adapters),)
            return msgspec.structs.replace(entry, models=models)

        numbers = range(10, 31)
        entries = self.entries("a", numbers) + self.entries("b", numbers)
        self.assertAlmostEqual(
            19 * MIN_INTERVAL_SHARE * HEARTBEAT_S,
            proven_span_s(list(map(loaded, entries)), HEARTBEAT_S),
        )
        other_models = [
            loaded(entry, f"m{entry.report_number % 2}") for entry in entries
        ]
        self.assertEqual(0.0, proven_span_s(other_models, HEARTBEAT_S))

    def test_one_replica_alone_proves_nothing(self):
        """Another writer may have written an entry with any number."""
        entries = self.entries("a", (10, 10**9)) + self.entries("b", (10, 15))
        self.assertAlmostEqual(
            3 * MIN_INTERVAL_SHARE * HEARTBEAT_S, proven_span_s(entries, HEARTBEAT_S)
        )
        self.assertEqual(
            0.0, proven_span_s(self.entries("a", (10, 10**9)), HEARTBEAT_S)
        )

    def test_numbers_of_two_processes_are_not_compared(self):
        """Report numbers start anew with each process of a replica."""
        entries = []
        for replica in ("a", "b"):
            entries += self.entries(replica, (10,))
            entries += self.entries(replica, (500,), boot=2)
        self.assertEqual(0.0, proven_span_s(entries, HEARTBEAT_S))

    def test_unknown_interval_proves_nothing(self):
        """Settings without the interval must not lead to a claim."""
        both = self.entries("a", (1, 90)) + self.entries("b", (1, 90))
        self.assertEqual(0.0, proven_span_s(both, 0.0))


class GatewayTest(testtools.TestCase):
    """With real calls to the store."""

    @with_system(run_fleet, history_s=HISTORY_S)
    async def test_gateway_that_has_just_started(self, fleet):
        """The parts of a gateway could be connected wrongly."""
        fleet.store.claim_complete_history()
        history = fleet.live[0].version_history
        origin = StreamOrigin("register", "v1")
        self.assertEqual(origin, await history.only_origin("register", 100.0))
        self.assertIsNone(await history.only_origin("none", 100.0))
        fleet.registers[0].software_version = "v2"
        fleet.publish(fleet.registers[0])
        self.assertIsNone(await history.only_origin("register", 100.0))

    @with_system(run_fleet, history_s=HISTORY_S)
    async def test_gateway_whose_store_has_discarded_its_history(self, fleet):
        """Status 410 must not count as an answer without changes."""
        fleet.store.compact_history()
        history = fleet.live[0].version_history
        self.assertIsNone(await history.only_origin("register", 100.0))

    @with_system(run_fleet)
    async def test_calls_name_the_changes_that_created_a_key(self, fleet):
        """A replica that is new in the history has no earlier version."""
        source = fleet.live[0].state._source
        before = fleet.store.revision
        fleet.store.put("servers/new", b"{}")
        fleet.store.put("servers/new", b"{}")
        changes = await source.watch("servers/new", before, 0.001)
        self.assertEqual(
            [before + 1, before + 2], [item.revision for item in changes.items]
        )
        self.assertEqual({before + 1}, changes.created_revisions)
