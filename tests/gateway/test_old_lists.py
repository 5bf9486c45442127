"""Tests of evidence of a stream's version at a host whose list of replicas is old.

The host stood still or was cut off while a replica of another version joined.
"""

import types

import anyio
import testtools

from snipetrestle.coordination.streams.kept_prompt_answers import KeptPromptAnswers
from snipetrestle.coordination.streams.kept_prompt_questions import KeptPromptQuestions
from snipetrestle.gateway.configuration import AdapterKey
from snipetrestle.gateway.exchange import ReplicaLeft
from snipetrestle.gateway.job import Refused
from snipetrestle.gateway.publication.fresh_reads import FreshReads
from snipetrestle.gateway.publication.replica_entries import STORE_RETURN_GRACE_S
from snipetrestle.gateway.streams.kept_prompts import KeptPrompts
from snipetrestle.gateway.streams.process_check import ProcessCheck
from snipetrestle.gateway.streams.stream_origin import StreamOrigin
from snipetrestle.platform.entries import ALL_ITEMS
from snipetrestle_standins.datagram_network import DatagramNetwork, LocalEndpoint
from tests.coordination.test_kept_prompt_questions import DUE_S, Follower
from tests.gateway.test_kept_prompts import MODEL, Log
from tests.gateway.test_version_history import BACKEND, V1, run_long_known, run_system
from tests.systems import with_system
from tests.waiting import wait_until

ADAPTER = AdapterKey(MODEL, "a1")
PART = "own"


async def list_part(replica):
    """Lists the parts of a replica; all of them keep the same."""
    return {(MODEL, PART)}


class Asker:
    """A host of a system that asks for kept prompts, and answers if it leads."""

    def __init__(self, host, fleet, number):
        self.host = host
        self.endpoint = LocalEndpoint(fleet.network, host.name, ("127.0.0.1", number))
        leadership = Follower(fleet, host.name)
        reads = FreshReads(host.state, ALL_ITEMS)
        replicas = host.state.replicas
        kept_prompts = KeptPrompts(replicas, list_part, reads, Log())
        answers = KeptPromptAnswers(
            leadership, kept_prompts, self.endpoint, lambda: True
        )
        self._questions = KeptPromptQuestions(
            types.SimpleNamespace(own=types.SimpleNamespace(boot=number)),
            leadership,
            self.endpoint,
            answers,
            kept_prompts,
            replicas,
            reads,
        )

    async def ask(self):
        due_at = anyio.current_time() + DUE_S
        return await self._questions.only_origin(BACKEND, ADAPTER, PART, due_at)


class KeptPromptTest(testtools.TestCase):
    async def start(self, system, leader):
        """Returns two Askers that know a replica of v1; the first one lags behind."""
        system.put("a")
        fleet = types.SimpleNamespace(
            network=DatagramNetwork(), leader=leader, believed_by_host={}, by_name={}
        )
        fleet.network.task_group = system._group
        for number in (1, 2):
            host = await system.start_host()
            fleet.by_name[host.name] = Asker(host, fleet, number)
        first, second = fleet.by_name.values()
        await first.host.stop_watching()
        return first, second

    @with_system(run_system)
    async def test_host_without_a_leader_lists_with_an_old_list(self, system):
        """Guards against a stream that goes on at the only version that a host knows,
        though a replica that joined meanwhile keeps its prompt too."""
        asker, _ = await self.start(system, leader="")
        self.assertEqual(V1, await asker.ask())
        system.put("b", "v2")
        self.assertIsNone(await asker.ask())
        self.assertIn("b", asker.host.state.replicas.by_id)

    @with_system(run_system)
    async def test_leader_lists_with_an_old_list(self, system):
        """Guards against a leader that answers others by replicas of some seconds ago."""
        _, asker = await self.start(system, leader="entry-1")
        self.assertEqual(V1, await asker.ask())
        system.put("b", "v2")
        self.assertIsNone(await asker.ask())

    @with_system(run_system)
    async def test_questions_share_a_read(self, system):
        """Guards against a call to the store for each stream that broke off."""
        leader, asker = await self.start(system, leader="entry-1")
        before = leader.host.calls
        async with anyio.create_task_group() as group:
            for _ in range(20):
                group.start_soon(asker.ask)
                group.start_soon(leader.ask)
        self.assertEqual(1, leader.host.calls - before)

    @with_system(run_system)
    async def test_store_out_of_reach(self, system):
        """Guards against a host that is cut off and answers by what it knew before."""
        for leader in ("", "entry-1"):
            first, second = await self.start(system, leader)
            system.store.refused.add(first.host.name)
            system.put("b", "v2")
            asker = second if leader else first
            self.assertIsNone(await asker.ask())
            system.store.refused.clear()
            system.delete("b")
            system.store.silent.add(first.host.name)
            system.put("b", "v2")
            self.assertIsNone(await asker.ask())

    @with_system(run_system)
    async def test_replica_that_left_and_came_back_in_a_round(self, system):
        """Guards against the answer of a new process that counts for the version of the
        deleted entry under its id."""
        system.put("a")
        host = await system.start_host()

        async def list_new_process(replica):
            system.delete("a")
            await wait_until(lambda: "a" not in host.state.replicas.by_id)
            system.put("a", "v2", born=2000)
            await wait_until(lambda: "a" in host.state.replicas.by_id)
            return {(MODEL, PART)}

        reads = FreshReads(host.state, ALL_ITEMS)
        kept_prompts = KeptPrompts(host.state.replicas, list_new_process, reads, Log())
        self.assertEqual("", await kept_prompts.only_version(BACKEND, MODEL, PART))


class RestoredStoreTest(testtools.TestCase):
    """A store that has gone back to a copy which lacks a replica of v2."""

    def restore(self, system):
        """Lists a replica of each version, and restores a copy made in between."""
        system.put("a")
        copy, revision = dict(system.store.items_by_key), system.store.revision
        system.put("b", "v2")
        system.store.restore(copy, revision)

    async def start_askers(self, system, leader, count):
        """Starts hosts at the same time; returns their Askers."""
        fleet = types.SimpleNamespace(
            network=DatagramNetwork(), leader=leader, believed_by_host={}, by_name={}
        )
        fleet.network.task_group = system._group
        for number in range(1, count + 1):
            host = await system.start_host()
            fleet.by_name[host.name] = Asker(host, fleet, number)
        return list(fleet.by_name.values())

    @with_system(run_system)
    async def test_new_host_knows_nothing_until_all_have_written(self, system):
        """Guards against a new host that answers by the copy, or never again."""
        self.restore(system)
        (asker,) = await self.start_askers(system, "", 1)
        self.assertIsNone(await asker.ask())
        await anyio.sleep(STORE_RETURN_GRACE_S)
        self.assertEqual(V1, await asker.ask())
        system.put("b", "v2")
        self.assertIsNone(await asker.ask())

    @with_system(run_system)
    async def test_new_leader_is_asked_until_all_have_written(self, system):
        """Guards against a leader's refusal that ends a question too early, and against
        its answer by the copy."""
        self.restore(system)
        leader, asker = await self.start_askers(system, "entry-1", 2)
        self.assertIsNone(await asker.ask())
        self.restore(system)
        await anyio.sleep(STORE_RETURN_GRACE_S - 1.0)
        self.assertEqual(V1, await asker.ask())
        self.restore(system)
        await anyio.sleep(STORE_RETURN_GRACE_S - 1.0)
        system.put("b", "v2")
        self.assertIsNone(await asker.ask())

    @with_system(run_system)
    async def test_host_that_had_not_seen_a_replica_before_the_restore(self, system):
        """Guards against the list that a host keeps in a restore, which lacks replicas
        that were listed since its last read."""
        system.put("a")
        (asker,) = await self.start_askers(system, "", 1)
        await asker.host.stop_watching()
        self.assertEqual(V1, await asker.ask())
        self.restore(system)
        asker.host.relay.watches = True
        await wait_until(lambda: asker.host.state.feeds[ALL_ITEMS].epoch == 2)
        self.assertNotIn("b", asker.host.state.replicas.by_id)
        self.assertIsNone(await asker.ask())

    @with_system(run_system)
    async def test_store_that_was_never_restored(self, system):
        """Guards against a new host that needs no wait, and refuses streams for it."""
        system.put("a")
        (asker,) = await self.start_askers(system, "", 1)
        self.assertEqual(V1, await asker.ask())


class OnlyVersionTest(testtools.TestCase):
    @with_system(run_long_known)
    async def test_host_that_was_cut_off(self, system, host):
        """Guards against the only version that a host knew before it was cut off."""
        system.store.cut_off(host.name)
        system.put("b", "v2")
        self.assertIsNone(await host.ask())
        system.store.heal(host.name)
        self.assertIsNone(await host.ask())
        self.assertIn("b", host.state.replicas.by_id)


class RecordTest(testtools.TestCase):
    """A host with an old list tells that a stream began at version v1 of replica a."""

    async def check(self, host, replica_id, began_at="a"):
        """Checks the processes before the stream goes on at a replica."""

        async def report(replica):
            return types.SimpleNamespace(
                boot=self.running[replica.id], request_count=None
            )

        job = types.SimpleNamespace(
            origin=StreamOrigin(BACKEND, "v1", began_at, 1000),
            backend=types.SimpleNamespace(serves_models=True),
            may_have_run=False,
            origin_check=None,
        )
        replicas = host.state.replicas
        process_check = ProcessCheck(
            replicas, report, FreshReads(host.state, ALL_ITEMS)
        )
        await process_check.check(job, replicas.by_id[replica_id])

    @with_system(run_system)
    async def test_record_of_a_host_with_an_old_list(self, system):
        """Guards against a record of the version that the replica ran before."""
        for replica in ("a", "c"):
            system.put(replica)
        host = await system.start_host()
        self.running = {"a": 1000, "c": 1000}
        await self.check(host, "c")
        # The process is newer than all entries of it, then its entry arrives.
        self.running["a"] = 2000
        with testtools.ExpectedException(Refused):
            await self.check(host, "c")
        with testtools.ExpectedException(ReplicaLeft):
            await self.check(host, "a", began_at="c")
        system.put("a", "v2", born=2000)
        await anyio.sleep(1.0)
        with testtools.ExpectedException(Refused):
            await self.check(host, "c")

    @with_system(run_system)
    async def test_record_of_a_process_whose_successor_has_left(self, system):
        """Guards against a record that counts again once the later process has left."""
        for replica in ("a", "c"):
            system.put(replica)
        host = await system.start_host()
        self.running = {"a": 1000, "c": 1000}
        system.put("a", "v2", born=2000)
        await anyio.sleep(1.0)
        system.delete("a")
        await anyio.sleep(1.0)
        self.assertNotIn("a", host.state.replicas.by_id)
        with testtools.ExpectedException(Refused):
            await self.check(host, "c")

    @with_system(run_system)
    async def test_replaced_entry_has_no_version(self, system):
        """Guards against a request in progress that goes on at a replica by the entry
        of its earlier process."""
        system.put("a")
        host = await system.start_host()
        before = host.state.replicas.by_id["a"]
        self.assertTrue(V1.allows(before))
        system.put("a", "v2", born=2000)
        await anyio.sleep(1.0)
        self.assertEqual("", before.software_version)
