"""Tests of faults that a review found where begun streams are sent elsewhere."""

import contextlib
import random
import types

import anyio
import anyio.lowlevel
import testtools

from snipetrestle.coordination.messaging.messages import AdapterLocation
from snipetrestle.gateway.backends.http_client import ExchangeFailed
from snipetrestle.gateway.backends.replicas import ReplicaDirectory
from snipetrestle.gateway.configuration import (
    AdapterKey,
    ReplicaEntry,
    ReplicaState,
    RequestKind,
)
from snipetrestle.gateway.failover import Failover
from snipetrestle.gateway.forwarding import Forwarder
from snipetrestle.gateway.job import Refused
from snipetrestle.gateway.streams.process_check import REPORT_TIMEOUT_S, ProcessCheck
from snipetrestle.gateway.streams.stream_origin import StreamOrigin
from tests.dispatch.searches import BACKEND, build_search, make_job
from tests.systems import in_virtual_time

ADAPTER = AdapterKey("m0", "a1")
VERSION = "v1"
ANSWER_S = 0.002


def entry(replica_id, boot=1, software_version=VERSION):
    return ReplicaEntry(
        replica_id,
        boot,
        BACKEND,
        "127.0.0.1",
        1,
        "zone-1",
        ReplicaState.READY,
        slots=8,
        software_version=software_version,
    )


class Leader:
    """Answers lookups, and loads the adapter at the next replica if none may be named.

    ``named`` has the ids that each question asks to leave out.
    """

    def __init__(self, replica_ids, holders):
        self.replica_ids = replica_ids
        self.holders = holders
        self.named = []

    async def locate(self, key, uses, avoid, limited, software_version):
        await anyio.sleep(ANSWER_S)
        left_out = {*avoid, *limited}
        self.named.append(left_out)
        if not set(self.holders) - left_out:
            others = [item for item in self.replica_ids if item not in left_out]
            self.holders += others[:1]
        return tuple(
            AdapterLocation(item, 0.0) for item in self.holders if item not in left_out
        )


class PlaceTest(testtools.TestCase):
    @contextlib.asynccontextmanager
    async def searching(self, holders, replica_count):
        """Yields the ReplicaSearch of a host, its replicas by id and its Leader."""
        directory = ReplicaDirectory("zone-1", random.Random(1))
        for number in range(replica_count):
            directory.list_replica(entry(f"r{number}"))
        leader = Leader(list(directory.by_id), holders)
        search, locator = build_search(directory, leader.locate)
        async with anyio.create_task_group() as group:
            group.start_soon(locator.run)
            await anyio.sleep(0.01)
            yield search, directory.by_id, leader
            group.cancel_scope.cancel()

    @in_virtual_time
    async def test_stream_gets_a_place_beside_two_that_it_may_not_use(self):
        """Guards against two places that the leader names in turn, both in vain."""
        async with self.searching(["r0"], 3) as (search, by_id, _):
            job = make_job(ADAPTER, origin=StreamOrigin(BACKEND, VERSION))
            job.may_be_sent_to = lambda replica: replica is by_id["r2"]
            with anyio.fail_after(0.5):
                replica = await search.find_stream_replica(job)
            self.assertEqual("r2", replica.id)

    @in_virtual_time
    async def test_place_that_can_be_used_again_is_not_left_out(self):
        """Guards against loads elsewhere once an earlier place takes the stream."""
        async with self.searching(["r0"], 3) as (search, by_id, leader):
            job = make_job(ADAPTER, origin=StreamOrigin(BACKEND, VERSION))
            ends_at = anyio.current_time() + 0.05
            job.may_be_sent_to = lambda replica: (
                replica is by_id["r0"] and anyio.current_time() > ends_at
            )
            with anyio.fail_after(0.5):
                replica = await search.find_stream_replica(job)
            self.assertEqual("r0", replica.id)
            self.assertNotIn("r2", leader.holders)

    @in_virtual_time
    async def test_places_without_a_free_connection_cause_few_loads(self):
        """Guards against loads at one replica after the other while none has room."""
        async with self.searching(["r0"], 6) as (search, by_id, leader):
            for replica in by_id.values():
                replica.pool = types.SimpleNamespace(has_room=False)
            job = make_job(ADAPTER, origin=StreamOrigin(BACKEND, VERSION))
            with testtools.ExpectedException(Refused):
                await search.find_stream_replica(job)
            self.assertLessEqual(len(leader.holders), 2)

    @in_virtual_time
    async def test_place_sought_early_is_at_no_suspected_replica(self):
        """Guards against a load that begins only once the replica counts as silent."""
        async with self.searching(["r0", "r1"], 3) as (search, by_id, leader):
            by_id["r1"].suspected_until = anyio.current_time() + 4.0
            job = make_job(
                ADAPTER,
                origin=StreamOrigin(BACKEND, VERSION),
                open_exchanges=[types.SimpleNamespace(replica=by_id["r0"])],
            )
            await search.look_up_other_place(job)
            self.assertIn("r2", leader.holders)


class OriginCheckTest(testtools.TestCase):
    """A stream began at "origin", whose process is asked while a place is sought."""

    def setUp(self):
        super().setUp()
        self.boots = {"origin": 1, "sound": 1}
        self.directory = ReplicaDirectory("zone-1", random.Random(1))

    async def report(self, replica):
        boot = self.boots[replica.id]
        if boot is None:
            await anyio.sleep_forever()
        return types.SimpleNamespace(boot=boot, request_count=0)

    async def check(self, during_search):
        """Checks a replica after a search in which ``during_search()`` is called."""
        for replica_id in self.boots:
            self.directory.list_replica(entry(replica_id))
        check = ProcessCheck(self.directory, self.report, fresh_reads=None)
        job = make_job(
            ADAPTER,
            origin=StreamOrigin(BACKEND, VERSION, "origin", 1),
            origin_check=None,
        )
        check.begin(job)
        await anyio.sleep(2 * REPORT_TIMEOUT_S)
        during_search()
        await check.check(job, self.directory.by_id["sound"])

    def list_later_process(self):
        self.directory.list_replica(entry("origin", boot=2, software_version="v2"))

    @in_virtual_time
    async def test_entry_that_comes_during_the_search_counts(self):
        """Guards against a stream that goes on at a version which did not begin it.

        The later process may have begun it, and was silent when it was asked.
        """
        self.boots["origin"] = None
        with testtools.ExpectedException(Refused):
            await self.check(self.list_later_process)

    @in_virtual_time
    async def test_entry_of_a_process_that_has_left_during_the_search_counts(self):
        """Guards against the same for a later process that has left again."""

        def list_and_remove():
            self.list_later_process()
            self.directory.unlist("origin")

        self.boots["origin"] = None
        with testtools.ExpectedException(Refused):
            await self.check(list_and_remove)

    @in_virtual_time
    async def test_entry_of_a_process_that_came_after_the_answer_is_no_evidence(self):
        """Guards against lost streams whose replica starts again during the search."""
        await self.check(self.list_later_process)


class PreparingForwarder(Forwarder):
    """A Forwarder that only prepares replacements; ``lookups`` has one for each place."""

    def __init__(self):
        self.lookups = []
        self._process_check = ProcessCheck(None, None, None)
        self._search = types.SimpleNamespace(look_up_other_place=self.look_up)

    async def look_up(self, job):
        self.lookups.append(anyio.current_time())

    async def check_process(self, job, replica):
        pass

    def check_sendable(self, job):
        pass


class WatchedExchange:
    """An exchange that calls what its Failover watches it with."""

    replica = types.SimpleNamespace(id="r0", note_failure=lambda: None)

    async def connect(self):
        pass

    def send(self):
        pass

    def watch(self, silence_s, on_silent, on_progress, on_early_silence):
        self.on_progress = on_progress
        self.on_early_silence = on_early_silence

    def close(self):
        pass


class PreparationTest(testtools.TestCase):
    @staticmethod
    def make_job(version=VERSION, **attributes):
        """Returns a begun stream's job on a backend whose processes are not asked."""
        fields = {
            "route": types.SimpleNamespace(kind=RequestKind.STREAM, repeatable=True),
            "backend": types.SimpleNamespace(serves_models=False),
            "origin": StreamOrigin(BACKEND, version),
            "origin_check": None,
            "place_lookup": None,
            "may_run_on_another": True,
            "has_replacement": False,
        }
        return make_job(ADAPTER, **{**fields, **attributes})

    @in_virtual_time
    async def test_silence_after_another_attempt_is_prepared_for(self):
        """Guards against a load that begins only once the later replica is silent."""
        forwarder, job = PreparingForwarder(), self.make_job()

        async def break_off(exchange):
            exchange.on_early_silence()
            await anyio.lowlevel.checkpoint()
            raise ExchangeFailed("the connection was closed")

        async def go_on(exchange):
            exchange.on_progress()
            exchange.on_early_silence()
            await anyio.lowlevel.checkpoint()

        with testtools.ExpectedException(ExchangeFailed):
            await self.serve(forwarder, job, break_off)
        await self.serve(forwarder, job, go_on)
        self.assertEqual(2, len(forwarder.lookups))

    @staticmethod
    async def serve(forwarder, job, serve_exchange):
        """Serves one attempt, as the Forwarder does for each."""
        await Failover(forwarder, job, 1.9).serve(WatchedExchange(), serve_exchange)

    async def check_no_lookup(self, **attributes):
        forwarder = PreparingForwarder()
        forwarder.prepare_replacement(self.make_job(**attributes))
        await anyio.sleep(0.01)
        self.assertEqual([], forwarder.lookups)

    @in_virtual_time
    async def test_no_place_is_sought_for_a_stream_of_an_unknown_version(self):
        """Guards against loads, at each pause of a replica, that no stream can use."""
        await self.check_no_lookup(version="")

    @in_virtual_time
    async def test_no_place_is_sought_for_a_stream_that_may_only_return(self):
        """Guards against the same for a stream whose attempts are used up."""
        await self.check_no_lookup(may_run_on_another=False)
