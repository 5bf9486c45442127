"""Tests of the owner's queue, pins, loads and pauses on the advanced clock."""

import contextlib
import random

import anyio
import testtools

from snipetrestle.codes import ResultCode, ServingError
from snipetrestle.engines.forward import Finished, Forward, RequestClass, Tokens
from snipetrestle.engines.owner import ReplicaOwner
from snipetrestle.placement.permits import UnlimitedPermits
from snipetrestle.published import BackendServer
from snipetrestle_standins.clock import run_advanced
from snipetrestle_standins.engine import EngineCore, expected_text
from snipetrestle_standins.store import WeightStoreCore

SEEDS = 8


class Bench:
    """One owner with its stand-in engine."""

    def __init__(self, slots=3, max_batch=4, rate=20.0, queue_limit=512):
        self.engine = EngineCore(
            "e",
            WeightStoreCore(rate, 4, 0.25, 16),
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

    async def send(self, adapter, request_class="waiting", tokens=20, left=600.0):
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
            left,
        )
        text = []
        try:
            async with self.owner.submit(forward) as messages:
                async for message in messages:
                    if isinstance(message, Tokens):
                        text.extend(message.tokens)
                    elif isinstance(message, Finished):
                        right = expected_text(adapter, "1", "p", tokens)
                        self.results[number] = "".join(text) == right
        except ServingError as error:
            self.results[number] = error.code

    def run(self, function):
        async def main():
            async with anyio.create_task_group() as group:
                group.start_soon(self.engine.run)
                self.owner.take_status(await self.engine.status())
                with anyio.move_on_after(3_600):
                    async with anyio.create_task_group() as requests:
                        await function(requests)
                group.cancel_scope.cancel()

        run_advanced(main)


class PinTest(testtools.TestCase):
    def test_copy_in_use_is_never_evicted(self):
        """Guards against P2's failure under many orders of loads and cancellations."""
        for seed in range(SEEDS):
            bench = Bench()
            rng = random.Random(seed)

            async def check(requests, bench=bench, rng=rng):
                for number in range(120):
                    kind = rng.choice(("waiting", "batch"))
                    adapter = f"a{rng.randrange(9)}"
                    if number % 10 == 0:
                        requests.start_soon(self.send_briefly, bench, adapter, rng)
                    requests.start_soon(bench.send, adapter, kind)
                    if number == 60:
                        bench.engine.fail_loads = 2
                    await anyio.sleep(rng.random() * 0.1)

            bench.run(check)
            self.assertEqual([], bench.engine.in_use_evictions)
            self.assertEqual({}, bench.owner.pins_by_handle())
            answers = [value for value in bench.results.values() if value is not True]
            self.assertEqual(set(), set(answers) - {ResultCode.LOAD_FAILED})

    async def send_briefly(self, bench, adapter, rng):
        with anyio.move_on_after(rng.random()):
            await bench.send(adapter)

    def test_pin_survives_a_restart_of_the_engine(self):
        """Guards against an old request that unpins a copy loaded after a restart."""
        bench = Bench(slots=1)

        async def check(requests):
            requests.start_soon(bench.send, "a", "waiting", 50)
            await anyio.sleep(0.6)
            bench.engine.restart()
            requests.start_soon(bench.send, "a", "waiting", 50)
            await anyio.sleep(0.4)
            requests.start_soon(bench.send, "b")

        bench.run(check)
        self.assertEqual([], bench.engine.in_use_evictions)
        self.assertEqual(ResultCode.STREAM_BROKEN, bench.results[0])
        self.assertTrue(bench.results[1])
        self.assertTrue(bench.results[2])


class LoadTest(testtools.TestCase):
    def test_one_load_serves_many(self):
        """Guards against a load for each request of a flash crowd."""
        bench = Bench()

        async def check(requests):
            for _ in range(30):
                requests.start_soon(bench.send, "a")

        bench.run(check)
        self.assertEqual({"a@1": 1}, bench.engine.loads_by_handle)
        self.assertEqual([True] * 30, list(bench.results.values()))

    def test_failed_load_refuses_and_backs_off(self):
        """Guards against requests that wait on a load which keeps failing."""
        bench = Bench()
        bench.engine.fail_loads = 1

        async def check(requests):
            await bench.send("a")
            await bench.send("a")
            await anyio.sleep(5.0)
            await bench.send("a")

        bench.run(check)
        failed = ResultCode.LOAD_FAILED
        self.assertEqual([failed, failed, True], list(bench.results.values()))
        self.assertEqual(2, bench.engine.store.loads)

    def test_cancelled_leader_leaves_the_load_to_the_next(self):
        """Guards against requests that wait for a load which nobody leads."""
        bench = Bench()

        async def check(requests):
            async with anyio.create_task_group() as group:
                group.start_soon(bench.send, "a")
                await anyio.sleep(0.01)
                requests.start_soon(bench.send, "a")
                await anyio.sleep(0.01)
                group.cancel_scope.cancel()

        bench.run(check)
        self.assertEqual({1: True}, bench.results)


class QueueTest(testtools.TestCase):
    def test_waiting_request_pauses_batch_which_resumes(self):
        """Guards against waiting behind batch, and against batch lost by a pause."""
        bench = Bench(max_batch=2)
        finished = []

        async def check(requests):
            for _ in range(4):
                requests.start_soon(bench.send, "a", "batch", 200)
            await anyio.sleep(1.0)
            await bench.send("a", "waiting", 5)
            finished.append(dict(bench.results))

        bench.run(check)
        self.assertEqual([{4: True}], finished)
        self.assertEqual([True] * 5, list(bench.results.values()))

    def test_accepted_work_is_never_dropped(self):
        """Guards against a full queue that makes room by dropping accepted work."""
        bench = Bench(queue_limit=20)

        async def check(requests):
            for number in range(60):
                kind = "batch" if number % 2 else "waiting"
                requests.start_soon(bench.send, f"a{number % 5}", kind)

        bench.run(check)
        self.assertEqual(60, len(bench.results))
        full = [
            value for value in bench.results.values() if value is ResultCode.QUEUE_FULL
        ]
        served = [value for value in bench.results.values() if value is True]
        self.assertEqual(60, len(full) + len(served))
        self.assertTrue(full)

    def test_released_queue_is_answered_as_not_owned(self):
        """Guards against queued work that a hand-over forgets."""
        bench = Bench(max_batch=1)

        async def check(requests):
            for _ in range(3):
                requests.start_soon(bench.send, "a")
            await anyio.sleep(0.4)
            bench.owner.stop_dispatch()
            self.assertEqual(2, len(bench.owner.queued_forwards()))
            bench.owner.release_queue()
            with contextlib.suppress(ServingError):
                await bench.send("a")

        bench.run(check)
        refused = ResultCode.NOT_OWNER
        self.assertEqual([True] + [refused] * 3, [bench.results[n] for n in range(4)])

    def test_passed_deadline_is_answered_before_dispatch(self):
        """Guards against work that runs although nobody can use it any more."""
        bench = Bench(rate=0.5)

        async def check(requests):
            requests.start_soon(bench.send, "a")
            await anyio.sleep(0.01)
            requests.start_soon(bench.send, "b", "waiting", 20, 1.0)

        bench.run(check)
        self.assertEqual({0: True, 1: ResultCode.DEADLINE_UNREACHABLE}, bench.results)
