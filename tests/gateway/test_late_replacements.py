"""Tests of begun streams that are sent elsewhere while their callers still wait."""

import asyncio
import types

import anyio
import anyio.lowlevel
import testtools

from snipetrestle.events import Event
from snipetrestle.gateway.backends.http_client import ConnectFailed
from snipetrestle.gateway.backends.replicas import ReplicaDirectory
from snipetrestle.gateway.configuration import AdapterKey
from snipetrestle.gateway.exchange import EARLY_SILENCE_S, REPLICA_SILENCE_S, Exchange
from snipetrestle.gateway.streams.process_check import REPORT_TIMEOUT_S, ProcessCheck
from snipetrestle.gateway.streams.stream_origin import StreamOrigin
from tests.dispatch.searches import build_search, make_job
from tests.gateway.log_recording import LogRecordingTest
from tests.gateway.running import run_fleet
from tests.gateway.test_silent_replicas import (
    busiest,
    slow_down_streams,
    start_streams,
)
from tests.systems import in_virtual_time, with_system

BACKEND = "models"
BOOT = 1000
ADAPTER = AdapterKey("m0", "a1")


class FakeReplica:
    """A listed replica with what Exchange and ProcessCheck ask of it."""

    def __init__(self, replica_id):
        self.id = replica_id
        self.entry = types.SimpleNamespace(boot=BOOT, software_version="v1")
        self.pause = types.SimpleNamespace(is_active=False)
        self.open_exchanges = set()
        self.last_heard_at = 0.0
        self.may_be_replaced = False

    def note_may_be_replaced(self):
        self.may_be_replaced = True

    def note_heard(self, received_at):
        self.last_heard_at = anyio.current_time()


class OriginCheckTest(testtools.TestCase):
    """A stream goes on at "sound"; the process that began it at "dark" is gone."""

    def setUp(self):
        super().setUp()
        self.asked = []
        self.by_id = {name: FakeReplica(name) for name in ("dark", "sound")}
        self.sound = self.by_id["sound"]
        replicas = types.SimpleNamespace(by_id=self.by_id)
        self.check = ProcessCheck(replicas, self.report, fresh_reads=None)
        self.job = types.SimpleNamespace(
            origin=StreamOrigin(BACKEND, "v1", "dark", BOOT),
            backend=types.SimpleNamespace(serves_models=True),
            origin_check=None,
        )

    async def report(self, replica):
        self.asked.append(replica.id)
        if replica.id == "dark":
            await anyio.sleep_forever()
        return types.SimpleNamespace(boot=BOOT)

    @in_virtual_time
    async def test_process_that_is_gone_is_not_waited_for_after_the_search(self):
        """Guards against a wait for its report that adds to that for a place."""
        self.check.begin(self.job)
        await anyio.sleep(REPORT_TIMEOUT_S)
        started = anyio.current_time()
        await self.check.check(self.job, self.sound)
        self.assertEqual(0.0, anyio.current_time() - started)
        self.assertEqual(["dark", "sound"], self.asked)

    @in_virtual_time
    async def test_replica_without_an_answer_is_not_taken_for_replaced(self):
        """Guards against streams that may go on nowhere after a report that is late."""
        dark = self.by_id["dark"]
        with testtools.ExpectedException(ConnectFailed):
            await self.check.check(self.job, dark)
        self.assertFalse(dark.may_be_replaced)

    @in_virtual_time
    async def test_later_search_asks_the_process_again(self):
        """Guards against an answer from before a restart that counts for ever."""
        for _ in range(2):
            await self.check.check(self.job, self.sound)
        self.assertEqual(2, self.asked.count("dark"))

    @in_virtual_time
    async def test_ended_preparation_leaves_no_task(self):
        """Guards against questions that outlive their request."""
        self.check.begin(self.job)
        task = self.job.origin_check
        self.check.end(self.job)
        await asyncio.wait({task})
        self.assertTrue(task.cancelled())
        self.assertIsNone(self.job.origin_check)


class SilenceTest(testtools.TestCase):
    def watch(self):
        """Returns an Exchange that has sent its request, and what its watch calls."""
        job = types.SimpleNamespace(take_permit=lambda replica_id: None)
        exchange = Exchange(None, job, FakeReplica("a"), None)
        exchange._connection = types.SimpleNamespace(
            is_complete=False, has_unread_body=False, received_at=0.0
        )
        calls = []

        def record(name):
            return lambda *values: calls.append((name, round(anyio.current_time(), 6)))

        exchange.watch(1.9, record("silent"), lambda: None, record("early"))
        return exchange, calls

    @in_virtual_time
    async def test_silence_is_noted_when_it_is_due(self):
        """Guards against a part of the time of the callers that passes unnoticed."""
        _, calls = self.watch()
        started = anyio.current_time()
        await anyio.sleep(REPLICA_SILENCE_S + 0.01)
        expected = [
            ("early", round(started + EARLY_SILENCE_S, 6)),
            ("silent", round(started + REPLICA_SILENCE_S, 6)),
        ]
        self.assertEqual(expected, calls)

    @in_virtual_time
    async def test_silence_after_progress_is_noted_when_it_is_due(self):
        """Guards against times that are rounded up to those of the checks."""
        exchange, calls = self.watch()
        started = anyio.current_time()
        await anyio.sleep(0.11)
        exchange.note_progress()
        await anyio.sleep(REPLICA_SILENCE_S + 0.01)
        expected = [
            ("early", round(started + 0.11 + EARLY_SILENCE_S, 6)),
            ("silent", round(started + 0.11 + REPLICA_SILENCE_S, 6)),
        ]
        self.assertEqual(expected, calls)

    @in_virtual_time
    async def test_each_silence_is_told_early_once(self):
        """Guards against a question to the replica at each check of one silence."""
        exchange, calls = self.watch()
        await anyio.sleep(EARLY_SILENCE_S + 0.25)
        exchange.note_progress()
        await anyio.sleep(EARLY_SILENCE_S + 0.25)
        self.assertEqual(["early", "early"], [name for name, _ in calls])


class PlaceTest(testtools.TestCase):
    @in_virtual_time
    async def test_place_elsewhere_is_sought_before_the_replica_counts_as_silent(self):
        """Guards against a wait for the load of an adapter that adds to the silence."""
        lookups = []

        async def locate(key, uses, avoid, limited, software_version):
            lookups.append((key, avoid, limited, software_version))
            return ()

        search, locator = build_search(ReplicaDirectory("zone-1", None), locate)
        silent = types.SimpleNamespace(replica=FakeReplica("silent"))
        job = make_job(
            ADAPTER,
            origin=StreamOrigin(BACKEND, "v1", "silent", BOOT),
            open_exchanges=[silent],
        )
        async with anyio.create_task_group() as group:
            group.start_soon(locator.run)
            await anyio.lowlevel.checkpoint()
            await search.look_up_other_place(job)
            group.cancel_scope.cancel()
        # The replica has not failed, so nothing is to be avoided or confirmed there.
        self.assertEqual([(ADAPTER, (), ("silent",), "v1")], lookups)


class BegunStreamPriorityTest(LogRecordingTest):
    @with_system(run_fleet, models=2)
    async def test_begun_stream_is_ahead_of_new_requests_elsewhere(self, fleet):
        """Guards against a caller that leaves while new requests are served first."""
        slow_down_streams(fleet)
        (task,) = await start_streams(fleet, 1, adapter="")
        silent = busiest(fleet.models)
        silent.go_dark()
        answer = await task
        self.assertTrue(answer.complete)
        (other,) = (replica for replica in fleet.models if replica is not silent)
        first, again = (
            replica.arrived_requests[-1].headers["x-request-priority"]
            for replica in (silent, other)
        )
        self.assertLess(int(again), int(first))
        (line,) = [
            item
            for item in self.logged(Event.REQUEST_REPEATED)
            if "next_replica" in item
        ]
        self.assertEqual(other.id, line["next_replica"])
