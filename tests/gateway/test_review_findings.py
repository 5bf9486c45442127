"""Tests of faults that a review of the ends of replicas' processes has found."""

import asyncio
import math
import time
import types

import anyio
import testtools

from snipetrestle.codes import ResultCode
from snipetrestle.events import Event
from snipetrestle.gateway.backends.process_end import ProcessEnd
from snipetrestle_standins.datagram_network import DatagramNetwork
from snipetrestle_standins.platform_replica import Fault
from tests.engines.test_owner import OwnerHarness
from tests.gateway.log_recording import LogRecordingTest
from tests.gateway.running import run_fleet
from tests.gateway.test_ended_processes import list_other_id, now_s
from tests.gateway.test_old_lists import Asker
from tests.gateway.test_silent_replicas import (
    busiest,
    slow_down_streams,
    start_requests,
    start_streams,
)
from tests.gateway.test_version_history import run_system
from tests.systems import in_virtual_time, with_system
from tests.waiting import wait_until


def unix_ms(offset_s=0.0):
    return int((time.time() + offset_s) * 1000)


async def list_boot(fleet, replica, boot):
    """Gives a replica a boot, and waits until the host lists it."""
    replica.boot = boot
    fleet.publish(replica)
    by_id = fleet.live[0].replicas.by_id
    await wait_until(lambda: by_id[replica.id].entry.boot == boot)


async def start_write(fleet, write_s):
    """Starts a write of a duration at the only register; returns its task."""
    (replica,) = fleet.registers
    replica.response_delay_s = write_s
    (task,) = await start_requests(fleet, "/entry/a", 1, fleet.registers)
    return task


async def unlist(fleet, replica):
    fleet.store.delete(f"servers/{replica.id}")
    by_id = fleet.live[0].replicas.by_id
    await wait_until(lambda: replica.id not in by_id)


class SoundWriteTest(LogRecordingTest):
    """Writes at a replica that runs and answers them."""

    async def assert_served(self, task):
        answer = await task
        ends = [item["evidence"] for item in self.logged(Event.PROCESS_ENDED)]
        self.assertEqual((200, []), (answer.status, ends))

    @with_system(run_fleet, registers=1)
    async def test_removed_replica_that_is_silent_for_a_second_when_asked(self, fleet):
        """Guards against one report that is late taken for the end of a process."""
        (replica,) = fleet.registers
        task = await start_write(fleet, 4.2)
        await unlist(fleet, replica)
        await asyncio.sleep(2.6)
        await replica.fall_silent(1.0)
        await self.assert_served(task)

    @with_system(run_fleet, registers=1)
    async def test_removed_replica_that_refuses_its_report(self, fleet):
        """Guards against a refusal by the process itself taken for no answer."""
        (replica,) = fleet.registers
        task = await start_write(fleet, 4.2)
        await unlist(fleet, replica)
        replica.refuses_requests = True
        await self.assert_served(task)

    @with_system(run_fleet, registers=1)
    async def test_wrong_entry_at_the_address_of_a_replica_with_a_write(self, fleet):
        """Guards against another writer's entry that ends a write without asking."""
        (replica,) = fleet.registers
        task = await start_write(fleet, 2.0)
        list_other_id(fleet, replica, born=unix_ms())
        await self.assert_served(task)

    @with_system(run_fleet, registers=1)
    async def test_write_at_a_later_process_whose_clock_is_ahead(self, fleet):
        """Guards against a clock that is ahead by 1.5 s and ends a write."""
        (replica,) = fleet.registers
        replica.go_dark()
        successor = await replica.start_successor(replica.id)
        successor.boot = unix_ms(1.5)
        fleet.registers[:] = [successor]
        task = await start_write(fleet, 2.5)
        fleet.publish(successor)
        await self.assert_served(task)

    @with_system(run_fleet, registers=1)
    async def test_write_at_a_later_process_whose_clock_is_behind(self, fleet):
        """Guards against a watch of the replaced process that ends the later one's."""
        (replica,) = fleet.registers
        await list_boot(fleet, replica, unix_ms(1.5))
        replica.go_dark()
        successor = await replica.start_successor(replica.id)
        fleet.registers[:] = [successor]
        task = await start_write(fleet, 4.2)
        fleet.publish(successor)
        await self.assert_served(task)

    @with_system(run_fleet, registers=1)
    async def test_write_at_a_later_process_that_refuses_its_report(self, fleet):
        """Guards against a refusal taken for a process without requests."""
        (replica,) = fleet.registers
        replica.go_dark()
        successor = await replica.start_successor(replica.id)
        fleet.registers[:] = [successor]
        task = await start_write(fleet, 4.2)
        successor.refuses_requests = True
        fleet.publish(successor)
        await self.assert_served(task)


class EndedProcessTest(LogRecordingTest):
    @with_system(run_fleet, registers=1)
    async def test_restart_with_an_earlier_boot_ends_a_write(self, fleet):
        """Guards against a clock set back that lets a write wait to its deadline."""
        (replica,) = fleet.registers
        await list_boot(fleet, replica, unix_ms(1.5))
        replica.faults = [Fault.NO_RESPONSE]
        task = asyncio.create_task(fleet.send_request("/entry/a"))
        await wait_until(lambda: replica.runs)
        replica.go_dark()
        successor = await replica.start_successor(replica.id)
        fleet.registers.append(successor)
        fleet.publish(successor)
        answer = await task
        self.assertEqual((502, b"SN-1302"), (answer.status, answer.body))

    @with_system(run_fleet, registers=1)
    async def test_write_ends_once_the_later_process_has_no_requests(self, fleet):
        """Guards against a later process's write ended with one of the earlier."""
        (replica,) = fleet.registers
        replica.faults = [Fault.NO_RESPONSE]
        lost = asyncio.create_task(fleet.send_request("/entry/a"))
        await wait_until(lambda: replica.runs)
        replica.go_dark()
        successor = await replica.start_successor(replica.id)
        fleet.registers[:] = [successor]
        sound = await start_write(fleet, 2.0)
        fleet.publish(successor)
        answer = await sound
        self.assertEqual((200, False), (answer.status, lost.done()))
        started = now_s()
        answer = await lost
        self.assertEqual((502, b"SN-1302"), (answer.status, answer.body))
        self.assertLess(now_s() - started, 2.0)

    @with_system(run_fleet, models=2, model_versions=("v1", "v2"))
    async def test_stream_does_not_wait_for_a_version_that_has_left(self, fleet):
        """Guards against a wait for a replica that has announced its leaving."""
        slow_down_streams(fleet)
        (task,) = await start_streams(fleet, 1, adapter="")
        replica = busiest(fleet.models)
        fleet.live[0].replicas.by_id[replica.id].note_leaving()
        await unlist(fleet, replica)
        replica.reset_connections()
        started = now_s()
        answer = await task
        self.assertFalse(answer.complete)
        self.assertLess(now_s() - started, 1.0)


class SuspicionTest(LogRecordingTest):
    @with_system(run_fleet, models=1)
    async def test_slow_stream_at_a_replica_that_sends_others(self, fleet):
        """Guards against a replica suspected for one stream while it sends another."""
        (replica,) = fleet.models
        replica.events, replica.event_interval_s = 2, 2.1
        (slow,) = await start_requests(fleet, "/night/a", 1, fleet.models, adapter="")
        replica.events, replica.event_interval_s = 60, 0.05
        (fast,) = await start_requests(fleet, "/night/b", 1, fleet.models, adapter="")
        await asyncio.gather(slow, fast)
        self.assertEqual([], self.logged(Event.REPLICA_SUSPECTED))

    @with_system(run_fleet, models=1)
    async def test_new_stream_after_a_silence_of_the_only_place(self, fleet):
        """Guards against streams that wait for a replica which has gone on."""
        slow_down_streams(fleet)
        (night,) = await start_streams(fleet, 1, "/night/a")
        (replica,) = fleet.models
        await replica.fall_silent(1.2)
        replica.events = 1
        started = now_s()
        answer = await fleet.send_request("/draft/a", adapter="a1")
        waited_s = now_s() - started
        self.assertTrue((await night).complete)
        self.assertEqual(200, answer.status)
        self.assertLess(waited_s, 0.3)


class RestoredStoreTest(testtools.TestCase):
    @with_system(run_system)
    async def test_kept_prompt_by_a_list_of_a_restored_store(self, system):
        """Guards against a new host that reads an older copy and takes it for all."""
        system.put("a")
        copy, revision = dict(system.store.items_by_key), system.store.revision
        system.put("b", "v2")
        system.store.restore(copy, revision)
        host = await system.start_host()
        fleet = types.SimpleNamespace(
            network=DatagramNetwork(), leader="", believed_by_host={}, by_name={}
        )
        asker = Asker(host, fleet, 1)
        fleet.by_name[host.name] = asker
        self.assertIsNone(await asker.ask())


class ProcessEndTest(LogRecordingTest):
    @in_virtual_time
    async def test_only_open_exchange_has_an_answer_of_another_replica(self):
        """Guards against a check that fails on a process never heard of, and stops."""
        ended = []
        exchange = types.SimpleNamespace(
            opened_at=now_s() - 10.0,
            received_at=-math.inf,
            awaits_data=True,
            may_be_replaced=False,
            has_unread_input=False,
            cancel=ended.append,
        )
        replica = types.SimpleNamespace(
            id="a",
            entry=types.SimpleNamespace(boot=1),
            open_exchanges=[exchange],
            pool=types.SimpleNamespace(close=lambda: None),
            last_heard_at=0.0,
        )
        ProcessEnd(replica).note("a later process", is_restarted=True)
        self.assertEqual(1, len(ended))


class EngineTest(testtools.TestCase):
    def test_stream_at_an_engine_that_came_back_after_a_loss_of_power(self):
        """Guards against a stream that waits though a status tells of the restart."""
        harness = OwnerHarness()
        engine = harness.engine

        async def check(requests):
            requests.start_soon(harness.send, "a", "waiting", 500)
            await anyio.sleep(0.6)
            # Nothing ends the streams of the earlier process, as no connection closes.
            engine.restarts += 1
            engine._reset()
            harness.owner.apply_status(await engine.status())
            await anyio.sleep(2.0)
            self.assertEqual({0: ResultCode.STREAM_BROKEN}, harness.results)
            requests.cancel_scope.cancel()

        harness.run(check)
