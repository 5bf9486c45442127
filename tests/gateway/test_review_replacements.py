"""Tests of faults that a review found where begun streams are sent elsewhere."""

import contextlib
import random
import types

import anyio
import testtools

from snipetrestle.coordination.messages import AdapterLocation
from snipetrestle.gateway.backends.replicas import ReplicaDirectory
from snipetrestle.gateway.configuration import AdapterKey, ReplicaEntry, ReplicaState
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
