"""Tests of requests at replicas whose process ends without closing its connections."""

import asyncio
import time

from snipetrestle.events import Event
from snipetrestle_standins.gateway_fleet import configuration
from snipetrestle_standins.platform_replica import Fault
from tests.gateway.log_recording import LogRecordingTest
from tests.gateway.running import run_fleet
from tests.gateway.test_silent_replicas import (
    ALL_EVENT_IDS,
    busiest,
    slow_down_streams,
    start_requests,
    start_streams,
    use_up_retries,
)
from tests.systems import with_system
from tests.waiting import wait_until

# The deadline of the routes is 5 s.
SOON_S = 2.5
SILENCE_S = 1.2


def now_s():
    return asyncio.get_running_loop().time()


def list_other_id(fleet, replica, born):
    """Lists a replica of another id at the address of one; it takes no requests."""
    entry = replica.entry(state="draining", born=born)
    fleet.store.put("servers/other", entry)


class EndedProcessTest(LogRecordingTest):
    async def start_unanswered(self, fleet, path, replicas, **options):
        """Starts a request that gets no response; returns its task and its replica."""
        for replica in replicas:
            replica.faults = [Fault.NO_RESPONSE]
        task = asyncio.create_task(fleet.send_request(path, **options))
        await wait_until(lambda: any(item.runs for item in replicas))
        for replica in replicas:
            replica.faults.clear()
        return task, next(item for item in replicas if item.runs)

    async def start_write(self, fleet):
        """Starts a write that gets no response; returns its task and its replica."""
        return await self.start_unanswered(fleet, "/entry/a", fleet.registers)

    async def start_stream(self, fleet, path):
        """Starts a stream; returns its task and its replica once it has events."""
        slow_down_streams(fleet)
        (task,) = await start_streams(fleet, 1, path, adapter="")
        return task, busiest(fleet.models)

    async def end_process(self, fleet, task, replica, successor_id="new"):
        """Ends a process, lists its successor, and returns the answer to a request."""
        # A process under the same id starts later than the request, by both clocks.
        await asyncio.sleep(0.6)
        replica.go_dark()
        successor = await replica.start_successor(successor_id)
        fleet.registers.append(successor)
        fleet.publish(successor)
        return await self.answer_soon(task)

    async def answer_soon(self, task, soon_s=SOON_S):
        started = now_s()
        answer = await task
        self.assertLess(now_s() - started, soon_s)
        return answer

    def assert_logged(self, replica, evidence):
        (line,) = self.logged(Event.PROCESS_ENDED)
        found = (line["replica"], line["boot"], line["evidence"], line["ended"])
        self.assertEqual((replica.id, 1, evidence, 1), found)
        self.assertGreaterEqual(line["silent_ms"], 900)

    @with_system(run_fleet)
    async def test_begun_stream_is_aborted_once_a_new_process_is_listed(self, fleet):
        """Guards against a begun stream that waits at a lost machine to its deadline."""
        task, replica = await self.start_stream(fleet, "/night/a")
        answer = await self.end_process(fleet, task, replica)
        self.assertEqual((200, False), (answer.status, answer.complete))
        self.assert_logged(replica, "another replica is listed at its address")

    @with_system(run_fleet)
    async def test_stream_without_an_event_gets_502(self, fleet):
        """Guards against a stream that waits at a lost machine for its first event."""
        task, replica = await self.start_unanswered(
            fleet, "/night/a", fleet.models, adapter=""
        )
        answer = await self.end_process(fleet, task, replica)
        self.assertEqual((502, b"SN-1301"), (answer.status, answer.body))

    @with_system(run_fleet)
    async def test_stream_waits_for_room_in_the_retry_budget(self, fleet):
        """Guards against a stream that is aborted while its replacement is sought."""
        task, replica = await self.start_stream(fleet, "/draft/a")
        use_up_retries(fleet, "models")
        replica.go_dark()
        list_other_id(fleet, replica, born=2)
        await asyncio.sleep(1.4)
        budget = fleet.live[0].retry_budgets.for_backend("models")
        while not budget.has_room(1):
            budget.note_request()
        answer = await task
        self.assertEqual((True, ALL_EVENT_IDS), (answer.complete, answer.event_ids))

    @with_system(run_fleet, models=3)
    async def test_lost_replicas_do_not_use_up_the_attempts_of_a_stream(self, fleet):
        """Guards against a stream that ends though none of its replicas runs it."""
        task, first = await self.start_stream(fleet, "/draft/a")
        first.go_dark()
        list_other_id(fleet, first, born=2)
        others = [item for item in fleet.models if item is not first]
        await wait_until(lambda: any(item.running for item in others))
        second = busiest(others)
        await asyncio.sleep(0.3)
        second.go_dark()
        list_other_id(fleet, second, born=2)
        answer = await task
        self.assertEqual((True, ALL_EVENT_IDS), (answer.complete, answer.event_ids))

    @with_system(run_fleet)
    async def test_write_gets_502_once_a_new_process_is_listed(self, fleet):
        """Guards against a write that waits at a lost machine to its deadline."""
        task, replica = await self.start_write(fleet)
        answer = await self.end_process(fleet, task, replica)
        self.assertEqual((502, b"SN-1302"), (answer.status, answer.body))

    @with_system(run_fleet)
    async def test_write_gets_502_once_its_replica_is_listed_as_restarted(self, fleet):
        """Guards against a restart under the same id that ends no silent request."""
        task, replica = await self.start_write(fleet)
        answer = await self.end_process(fleet, task, replica, replica.id)
        self.assertEqual((502, b"SN-1302"), (answer.status, answer.body))
        self.assert_logged(replica, "a later process is listed under its id")

    @with_system(run_fleet)
    async def test_successor_of_a_removed_replica_ends_its_requests(self, fleet):
        """Guards against evidence about a process that is listed no more."""
        task, replica = await self.start_write(fleet)
        fleet.store.delete(f"servers/{replica.id}")
        by_id = fleet.live[0].replicas.by_id
        await wait_until(lambda: replica.id not in by_id)
        answer = await self.end_process(fleet, task, replica)
        self.assertEqual((502, b"SN-1302"), (answer.status, answer.body))

    @with_system(run_fleet, registers=1)
    async def test_refusal_by_another_process_ends_requests(self, fleet):
        """Guards against an answer of another id that tells nothing before its entry."""
        task, replica = await self.start_write(fleet)
        replica.go_dark()
        fleet.registers.append(await replica.start_successor("new"))
        await fleet.send_request("/lookup/a")
        answer = await self.answer_soon(task)
        self.assertEqual((502, b"SN-1302"), (answer.status, answer.body))
        self.assert_logged(replica, "another replica answers at its address")

    @with_system(run_fleet)
    async def test_report_of_a_later_process_ends_requests(self, fleet):
        """Guards against a report that tells nothing of other requests at a replica."""
        resumed, replica = await self.start_stream(fleet, "/draft/a")
        (other,) = [item for item in fleet.models if item is not replica]
        other.refuses_requests = True
        (task,) = await start_streams(fleet, 1, "/night/a", adapter="")
        other.refuses_requests = False
        # The later process starts later than the requests, by both clocks.
        await asyncio.sleep(0.6)
        replica.go_dark()
        fleet.live[0].replicas.by_id[replica.id].pool.close()
        successor = await replica.start_successor("new")
        successor.checks_reports = False
        fleet.models.append(successor)
        answer = await self.answer_soon(task)
        self.assertEqual((200, False), (answer.status, answer.complete))
        (line,) = self.logged(Event.PROCESS_ENDED)
        self.assertEqual("a later process answers at its address", line["evidence"])
        await resumed

    @with_system(run_fleet)
    async def test_resumable_stream_goes_on_elsewhere(self, fleet):
        """Guards against a stream that ends though another replica can go on with it."""
        task, replica = await self.start_stream(fleet, "/draft/a")
        answer = await self.end_process(fleet, task, replica)
        self.assertEqual((True, ALL_EVENT_IDS), (answer.complete, answer.event_ids))

    @with_system(run_fleet)
    async def test_idempotent_call_is_answered_by_another_replica(self, fleet):
        """Guards against a call that is lost with the process of its replica."""
        for replica in fleet.registers:
            replica.response_delay_s = 0.8
        (task,) = await start_requests(fleet, "/lookup/a", 1, fleet.registers)
        replica = busiest(fleet.registers)
        replica.response_delay_s = 0.0
        replica.go_dark()
        answer = await self.end_process(fleet, task, replica)
        self.assertEqual(200, answer.status)

    @with_system(run_fleet)
    async def test_removed_replica_without_an_answer_has_ended(self, fleet):
        """Guards against requests that wait at a lost machine nobody replaces."""
        task, replica = await self.start_stream(fleet, "/night/a")
        replica.go_dark()
        await asyncio.sleep(0.5)
        fleet.store.delete(f"servers/{replica.id}")
        answer = await self.answer_soon(task, 3.5)
        self.assertEqual((200, False), (answer.status, answer.complete))
        self.assert_logged(replica, "its entry is gone, and it does not answer")


class SoundProcessTest(LogRecordingTest):
    """Requests at replicas of which there is no evidence, or a wrong one."""

    def check_unharmed(self, disturb, silence_s=SILENCE_S, write_s=2.0, **options):
        """Checks that streams and a write get their answers beside a disturbance.

        ``disturb(fleet, replica)`` is called with the replica of each. It may return a
        task, which is cancelled at the end.
        """

        async def check(fleet):
            slow_down_streams(fleet)
            for replica in fleet.replicas:
                replica.response_delay_s = write_s
                replica.boot = 5
                fleet.publish(replica)
            by_id = fleet.live[0].replicas.by_id
            await wait_until(
                lambda: all(item.entry.boot == 5 for item in by_id.values())
            )
            streams = await start_streams(fleet, 2, "/night/a", adapter="")
            writes = await start_requests(fleet, "/entry/a", 1, fleet.registers)
            replicas = [busiest(fleet.models), busiest(fleet.registers)]
            tasks = [disturb(fleet, replica) for replica in replicas]
            silences = [item.fall_silent(silence_s) for item in replicas if silence_s]
            await asyncio.gather(*silences)
            for stream in await asyncio.gather(*streams):
                self.assertEqual(ALL_EVENT_IDS, stream.event_ids)
                self.assertTrue(stream.complete)
            (write,) = await asyncio.gather(*writes)
            self.assertEqual(200, write.status)
            for task in filter(None, tasks):
                task.cancel()
            self.assertEqual([], self.logged(Event.PROCESS_ENDED))

        run_fleet(check, **options)

    def remove(self, fleet, replica):
        fleet.store.delete(f"servers/{replica.id}")

    def test_silence_beside_a_change_of_the_configuration(self):
        """Guards against a configuration taken for evidence."""

        def change(fleet, replica):
            fleet.store.put("op/config", configuration(2))

        self.check_unharmed(change)

    def test_removed_replica_that_goes_on(self):
        """Guards against a write that is ended since a running replica is silent."""
        self.check_unharmed(self.remove, silence_s=0.0, write_s=4.0)

    def test_removed_replica_that_is_silent_for_a_while(self):
        """Guards against a removal that alone ends requests."""
        self.check_unharmed(self.remove)

    def test_old_entry_at_the_address(self):
        """Guards against an entry that is listed late taken for that of a successor."""
        self.check_unharmed(lambda *args: list_other_id(*args, born=3))

    def test_wrong_entry_at_the_address_of_a_replica_that_is_not_silent(self):
        """Guards against another writer's entry that ends requests."""

        def list_and_call(fleet, replica):
            list_other_id(fleet, replica, born=int(time.time() * 1000))
            replica.response_delay_s = 0.05
            return asyncio.create_task(self.call_on(fleet))

        # With two replicas, calls could all go to the other one.
        self.check_unharmed(list_and_call, silence_s=0.0, registers=1)

    async def call_on(self, fleet):
        """Lets replicas answer calls, with pauses, until it is cancelled."""
        while True:
            await fleet.send_request("/lookup/a")
            await asyncio.sleep(0.3)


class VerdictTest(LogRecordingTest):
    """What logs and metrics tell of verdicts, so that a wrong one is seen."""

    def count(self, fleet, verdict):
        registry = fleet.live[0].metrics.registry
        name = "snipetrestle_gateway_process_ends_total"
        return registry.get_sample_value(name, {"verdict": verdict})

    def assert_refuted(self, fleet, replica, sign):
        (line,) = self.logged(Event.PROCESS_END_REFUTED)
        self.assertEqual((replica.id, 1, sign), self.fields(line))
        self.assertEqual(1, self.count(fleet, "ended"))
        self.assertEqual(1, self.count(fleet, "refuted"))

    def fields(self, line):
        return line["replica"], line["boot"], line["sign"]

    @with_system(run_fleet, registers=1)
    async def test_renewed_entry_refutes_a_verdict(self, fleet):
        """Guards against a cut from the store and from this host that no line tells."""
        (replica,) = fleet.registers
        replica.response_delay_s = 4.5
        (task,) = await start_requests(fleet, "/entry/a", 1, fleet.registers)
        replica.go_dark()
        fleet.store.delete(f"servers/{replica.id}")
        answer = await task
        self.assertEqual((502, b"SN-1302"), (answer.status, answer.body))
        self.assertEqual([], self.logged(Event.PROCESS_END_REFUTED))
        replica.report_count += 1
        fleet.publish(replica)
        by_id = fleet.live[0].replicas.by_id
        await wait_until(lambda: replica.id in by_id)
        self.assert_refuted(fleet, replica, "it has renewed its entry")

    @with_system(run_fleet, registers=1)
    async def test_answer_refutes_a_verdict(self, fleet):
        """Guards against a wrong entry and a silence that no line tells."""
        (replica,) = fleet.registers
        replica.response_delay_s = 3.0
        (task,) = await start_requests(fleet, "/entry/a", 1, fleet.registers)
        list_other_id(fleet, replica, born=int(time.time() * 1000))
        silence = asyncio.create_task(replica.fall_silent(2.5))
        answer = await task
        self.assertEqual((502, b"SN-1302"), (answer.status, answer.body))
        await silence
        replica.response_delay_s = 0.0
        for _ in range(2):
            answer = await fleet.send_request("/lookup/a")
            self.assertEqual(200, answer.status)
        self.assert_refuted(fleet, replica, "it has sent data")

    @with_system(run_fleet, registers=1)
    async def test_dropped_evidence_is_counted(self, fleet):
        """Guards against wrong entries of which no metric tells."""
        (replica,) = fleet.registers
        replica.response_delay_s = 2.0
        (task,) = await start_requests(fleet, "/entry/a", 1, fleet.registers)
        list_other_id(fleet, replica, born=int(time.time() * 1000))
        self.assertEqual(200, (await task).status)
        self.assertEqual(1, self.count(fleet, "dropped"))
        self.assertEqual(None, self.count(fleet, "ended"))
