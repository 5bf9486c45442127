"""Tests of the owner's queue, pins, loads and pauses on the simulated clock."""

import contextlib
import random

import anyio
import testtools

from snipetrestle.codes import ResultCode, ServingError
from snipetrestle.engines.forward import Finished, Forward, RequestClass, Tokens
from snipetrestle.engines.owner import ReplicaOwner
from snipetrestle.events import Event
from snipetrestle.placement.permits import UnlimitedPermits
from snipetrestle.published import BackendServer
from snipetrestle_standins.clock import run_in_virtual_time
from snipetrestle_standins.engine import StandInEngine, expected_text
from snipetrestle_standins.store import StandInWeightStore
from tests.gateway.log_recording import LogRecordingTest

SEED_COUNT = 8


class OwnerHarness:
    """An owner with its stand-in engine. ``results`` has True or an error code."""

    def __init__(self, slots=3, max_batch=4, loads_per_second=20.0, queue_limit=512):
        self.engine = StandInEngine(
            "e",
            StandInWeightStore(loads_per_second, 4, 0.25, 16),
            adapter_slots=slots,
            max_batch=max_batch,
        )
        server = BackendServer(
            name="e",
            address="127.0.0.1:1",
            failure_domain="d",
            region="r",
            model="m",
            adapter_slots=slots,
            max_batch=max_batch,
            weight_store="s",
        )
        self.owner = ReplicaOwner(
            server, self.engine, UnlimitedPermits(), queue_limit=queue_limit
        )
        self.results = {}
        self.number = 0

    async def send(
        self, adapter, request_class="waiting", tokens=20, time_left_s=600.0
    ):
        number = self.number
        self.number += 1
        forward = Forward(
            f"r{number}",
            "e",
            "c",
            RequestClass(request_class),
            "m",
            adapter,
            "1",
            "p",
            50,
            tokens,
            time_left_s,
        )
        text = []
        try:
            async with self.owner.submit(forward) as messages:
                async for message in messages:
                    if isinstance(message, Tokens):
                        text.extend(message.tokens)
                    elif isinstance(message, Finished):
                        expected = expected_text(adapter, "1", "p", tokens)
                        self.results[number] = "".join(text) == expected
        except ServingError as error:
            self.results[number] = error.code

    def run(self, function):
        async def main():
            async with anyio.create_task_group() as group:
                group.start_soon(self.engine.run)
                self.owner.apply_status(await self.engine.status())
                with anyio.move_on_after(3_600):
                    async with anyio.create_task_group() as requests:
                        await function(requests)
                group.cancel_scope.cancel()

        run_in_virtual_time(main)


class PinTest(testtools.TestCase):
    def test_copy_in_use_is_never_evicted(self):
        """Random loads and cancellations must not evict a copy in use (P2)."""
        for seed in range(SEED_COUNT):
            harness = OwnerHarness()
            rng = random.Random(seed)

            async def check(requests, harness=harness, rng=rng):
                for number in range(120):
                    request_class = rng.choice(("waiting", "batch"))
                    adapter = f"a{rng.randrange(9)}"
                    if number % 10 == 0:
                        requests.start_soon(self.send_and_cancel, harness, adapter, rng)
                    requests.start_soon(harness.send, adapter, request_class)
                    if number == 60:
                        harness.engine.loads_to_fail = 2
                    await anyio.sleep(rng.random() * 0.1)

            harness.run(check)
            self.assertEqual([], harness.engine.in_use_evictions)
            self.assertEqual({}, harness.owner.pins_by_handle())
            answers = [value for value in harness.results.values() if value is not True]
            self.assertEqual(set(), set(answers) - {ResultCode.LOAD_FAILED})

    async def send_and_cancel(self, harness, adapter, rng):
        with anyio.move_on_after(rng.random()):
            await harness.send(adapter)

    def test_pin_survives_a_restart_of_the_engine(self):
        """An old request could unpin a copy that was loaded after a restart."""
        harness = OwnerHarness(slots=1)

        async def check(requests):
            requests.start_soon(harness.send, "a", "waiting", 50)
            await anyio.sleep(0.6)
            harness.engine.restart()
            requests.start_soon(harness.send, "a", "waiting", 50)
            await anyio.sleep(0.4)
            requests.start_soon(harness.send, "b")

        harness.run(check)
        self.assertEqual([], harness.engine.in_use_evictions)
        self.assertEqual(ResultCode.STREAM_BROKEN, harness.results[0])
        self.assertTrue(harness.results[1])
        self.assertTrue(harness.results[2])


class LostPowerTest(LogRecordingTest):
    """Engines that restart without closing connections."""

    def lose_power(self, harness):
        harness.engine.restarts += 1
        harness.engine._reset()

    def test_stream_of_the_later_process_goes_on(self):
        """Guards against a stream that is ended with those of the earlier process."""
        harness = OwnerHarness()

        async def check(requests):
            requests.start_soon(harness.send, "a", "waiting", 500)
            await anyio.sleep(0.6)
            self.lose_power(harness)
            # The owner loads another copy before it knows of the restart.
            requests.start_soon(harness.send, "b", "waiting", 50)
            await anyio.sleep(0.3)
            self.assertTrue(harness.engine._running_count("b@1"))
            harness.owner.apply_status(await harness.engine.status())

        harness.run(check)
        self.assertEqual({0: ResultCode.STREAM_BROKEN, 1: True}, harness.results)
        (line,) = self.logged(Event.ENGINE_RESTARTED)
        self.assertEqual(("e", 1), (line["replica"], line["ended"]))

    def test_stream_that_began_after_the_question_goes_on(self):
        """Guards against a status that is older than the load of a stream's copy."""
        harness = OwnerHarness()

        async def check(requests):
            self.lose_power(harness)
            asked_at = anyio.current_time()
            status = await harness.engine.status()
            requests.start_soon(harness.send, "a", "waiting", 50)
            await anyio.sleep(0.3)
            self.assertTrue(harness.engine._running_count("a@1"))
            harness.owner.apply_status(status, asked_at)

        harness.run(check)
        self.assertEqual({0: True}, harness.results)

    def test_pause_without_an_answer_ends(self):
        """Guards against a request held by the pause of another at an ended process."""
        harness = OwnerHarness(max_batch=1)
        # The time-out of a transfer.
        harness.engine.export_kv = lambda request_id: anyio.sleep(120.0)

        async def check(requests):
            requests.start_soon(harness.send, "a", "batch", 2000)
            await anyio.sleep(12.0)
            requests.start_soon(harness.send, "a", "waiting", 5)
            await anyio.sleep(1.0)
            self.assertEqual({}, harness.results)
            self.lose_power(harness)
            harness.owner.apply_status(await harness.engine.status())
            await anyio.sleep(2.0)
            self.assertEqual({0: ResultCode.STREAM_BROKEN, 1: True}, harness.results)

        harness.run(check)

    def test_call_without_an_answer_ends(self):
        """Guards against a request that waits until the engine has accepted it."""
        harness = OwnerHarness()

        @contextlib.asynccontextmanager
        async def generate(request):
            await anyio.sleep_forever()
            yield

        harness.engine.generate = generate

        async def check(requests):
            requests.start_soon(harness.send, "a")
            await anyio.sleep(0.6)
            self.lose_power(harness)
            harness.owner.apply_status(await harness.engine.status())
            await anyio.sleep(1.5)
            self.assertEqual({0: ResultCode.STREAM_BROKEN}, harness.results)

        harness.run(check)


class SilentStatusTest(testtools.TestCase):
    def test_broken_stream_does_not_wait_for_a_status(self):
        """Guards against a stream held by an engine that accepts calls only."""
        harness = OwnerHarness()

        async def check(requests):
            requests.start_soon(harness.send, "a", "waiting", 500)
            await anyio.sleep(0.6)
            harness.engine.status = anyio.sleep_forever
            harness.engine.restart()
            await anyio.sleep(1.5)
            self.assertEqual({0: ResultCode.STREAM_BROKEN}, harness.results)

        harness.run(check)


class LoadTest(testtools.TestCase):
    def test_one_load_serves_many(self):
        """Guards against one load per request when many requests arrive at once."""
        harness = OwnerHarness()

        async def check(requests):
            for _ in range(30):
                requests.start_soon(harness.send, "a")

        harness.run(check)
        self.assertEqual({"a@1": 1}, harness.engine.loads_by_handle)
        self.assertEqual([True] * 30, list(harness.results.values()))

    def test_failed_load_refuses_and_backs_off(self):
        """When a load keeps failing, requests are refused instead of waiting for it."""
        harness = OwnerHarness()
        harness.engine.loads_to_fail = 1

        async def check(requests):
            await harness.send("a")
            await harness.send("a")
            await anyio.sleep(5.0)
            await harness.send("a")

        harness.run(check)
        failed = ResultCode.LOAD_FAILED
        self.assertEqual([failed, failed, True], list(harness.results.values()))
        self.assertEqual(2, harness.engine.store.loads)

    def test_next_request_takes_over_the_load_of_a_cancelled_one(self):
        """If the task of a load is cancelled, others could wait for it in vain."""
        harness = OwnerHarness()

        async def check(requests):
            async with anyio.create_task_group() as group:
                group.start_soon(harness.send, "a")
                await anyio.sleep(0.01)
                requests.start_soon(harness.send, "a")
                await anyio.sleep(0.01)
                group.cancel_scope.cancel()

        harness.run(check)
        self.assertEqual({1: True}, harness.results)


class QueueTest(testtools.TestCase):
    def test_waiting_request_pauses_batch_which_resumes(self):
        """Waiting requests must not wait behind batch.

        The pause that lets them pass must not lose the batch requests.
        """
        harness = OwnerHarness(max_batch=2)
        finished = []

        async def check(requests):
            for _ in range(4):
                requests.start_soon(harness.send, "a", "batch", 200)
            await anyio.sleep(1.0)
            await harness.send("a", "waiting", 5)
            finished.append(dict(harness.results))

        harness.run(check)
        self.assertEqual([{4: True}], finished)
        self.assertEqual([True] * 5, list(harness.results.values()))

    def run_with_pause(self, restarts):
        """Pauses a long batch stream; the engine may restart before it goes on.

        Returns the sizes of the KV caches that the engine imported.
        """
        harness = OwnerHarness(max_batch=1)
        imported = []
        import_kv = harness.engine.import_kv

        async def note_import(request_id, data):
            imported.append(len(data))
            await import_kv(request_id, data)

        harness.engine.import_kv = note_import

        async def check(requests):
            requests.start_soon(harness.send, "a", "batch", 2000)
            await anyio.sleep(12.0)
            requests.start_soon(harness.send, "a", "waiting", 200)
            await anyio.sleep(1.0)
            self.assertEqual({}, harness.results)
            if restarts:
                harness.engine.restart()

        harness.run(check)
        self.assertIs(True, harness.results[0])
        return imported

    def test_kv_cache_goes_back_to_the_engine_process_that_exported_it(self):
        """An engine that had restarted, perhaps as another version of its software, got
        the KV cache that a paused stream had in the process before."""
        self.assertEqual(1, len(self.run_with_pause(restarts=False)))
        self.assertEqual([], self.run_with_pause(restarts=True))

    def test_accepted_work_is_never_dropped(self):
        """A full queue may refuse new requests but not drop accepted ones."""
        harness = OwnerHarness(queue_limit=20)

        async def check(requests):
            for number in range(60):
                request_class = "batch" if number % 2 else "waiting"
                requests.start_soon(harness.send, f"a{number % 5}", request_class)

        harness.run(check)
        self.assertEqual(60, len(harness.results))
        refused = [
            value
            for value in harness.results.values()
            if value is ResultCode.QUEUE_FULL
        ]
        served = [value for value in harness.results.values() if value is True]
        self.assertEqual(60, len(refused) + len(served))
        self.assertTrue(refused)

    def test_rejected_queue_is_answered_as_not_owned(self):
        """Guards against queued requests that a hand-over loses."""
        harness = OwnerHarness(max_batch=1)

        async def check(requests):
            for _ in range(3):
                requests.start_soon(harness.send, "a")
            await anyio.sleep(0.4)
            harness.owner.stop_dispatch()
            self.assertEqual(2, len(harness.owner.queued_forwards()))
            harness.owner.reject_queued_requests()
            with contextlib.suppress(ServingError):
                await harness.send("a")

        harness.run(check)
        refused = ResultCode.NOT_OWNER
        self.assertEqual([True] + [refused] * 3, [harness.results[n] for n in range(4)])

    def test_passed_deadline_is_answered_before_dispatch(self):
        """After the deadline nobody can use a result, so nothing is dispatched."""
        harness = OwnerHarness(loads_per_second=0.5)

        async def check(requests):
            requests.start_soon(harness.send, "a")
            await anyio.sleep(0.01)
            requests.start_soon(harness.send, "b", "waiting", 20, 1.0)

        harness.run(check)
        self.assertEqual({0: True, 1: ResultCode.DEADLINE_UNREACHABLE}, harness.results)
