"""Tests of replicas that fall silent for a while and go on with all their requests."""

import asyncio
import collections

import testtools

from snipetrestle_standins.gateway_fleet import Caller, configuration, route
from snipetrestle_standins.platform_replica import Fault
from tests.gateway.running import run_fleet
from tests.waiting import wait_until

EVENT_COUNT = 30
EVENT_INTERVAL_S = 0.05
ALL_EVENT_IDS = list(range(1, EVENT_COUNT + 1))
SILENCES_S = (0.5, 1.0, 1.5, 2.5)


def slow_down_streams(fleet):
    """Makes streams last longer than the gateway waits for a silent replica."""
    for replica in fleet.models:
        replica.events = EVENT_COUNT
        replica.event_interval_s = EVENT_INTERVAL_S


def run_counts(replicas):
    """Returns how often each request ran, by request id."""
    return collections.Counter(
        request_id for replica in replicas for request_id, _ in replica.runs
    )


def use_up_retries(fleet, backend):
    """Spends the retry budget of the first gateway for a backend."""
    budget = fleet.live[0].retry_budgets.for_backend(backend)
    while budget.try_spend(1):
        pass


async def start_requests(fleet, path, count, replicas, **options):
    """Starts requests and returns their tasks once all of them run.

    Raises AssertionError if one ends before.
    """
    before = sum(replica.running for replica in replicas)
    tasks = [
        asyncio.create_task(fleet.send_request(path, **options)) for _ in range(count)
    ]

    def all_run():
        return sum(replica.running for replica in replicas) >= before + count

    await wait_until(lambda: all_run() or any(task.done() for task in tasks))
    if not all_run():
        answers = [task.result() for task in tasks if task.done()]
        ended = [(answer.status, answer.event_ids) for answer in answers]
        raise AssertionError(f"requests ended before all {count} ran: {ended}")
    return tasks


async def start_streams(fleet, count, path="/draft/a", adapter="a1"):
    """Starts streams and returns their tasks once all have sent some events."""
    tasks = await start_requests(fleet, path, count, fleet.models, adapter=adapter)
    await asyncio.sleep(5 * EVENT_INTERVAL_S)
    return tasks


def busiest(replicas):
    return max(replicas, key=lambda replica: replica.running)


class SilentStreamTest(testtools.TestCase):
    def assert_whole(self, answers):
        self.assertEqual(
            [(200, True, ALL_EVENT_IDS)] * len(answers),
            [(item.status, item.complete, item.event_ids) for item in answers],
        )

    def test_streams_outlast_a_silence_while_other_replicas_are_full(self):
        """Guards against streams given up before another replica accepts them."""

        async def check(fleet):
            slow_down_streams(fleet)
            tasks = await start_streams(fleet, 6)
            silent = busiest(fleet.models)
            for replica in fleet.models:
                if replica is not silent:
                    replica.faults = [Fault.REFUSED] * 100
            await silent.fall_silent(1.2)
            self.assert_whole(await asyncio.gather(*tasks))

        run_fleet(check)

    def test_streams_outlast_a_silence_without_a_retry_budget(self):
        """Guards against streams given up for retries that the budget forbids.

        The budget had room when silence was seen, for fewer streams than were ended.
        """

        async def check(fleet):
            slow_down_streams(fleet)
            tasks = await start_streams(fleet, 20)
            budget = fleet.live[0].retry_budgets.for_backend("models")
            use_up_retries(fleet, "models")
            while not budget.has_room(1):
                budget.note_request()
            await busiest(fleet.models).fall_silent(1.2)
            self.assert_whole(await asyncio.gather(*tasks))

        run_fleet(check)

    def test_stream_without_an_event_outlasts_a_silence_of_the_only_place(self):
        """Guards against a refusal while the only replica is at work on the request.

        It was given up after 0.9 s, when the wait for another place was over already.
        """

        async def check(fleet):
            answer = await fleet.send_request("/draft/a", adapter="a1")
            self.assertEqual(200, answer.status)
            slow_down_streams(fleet)
            fleet.models[0].event_interval_s = 1.3
            fleet.models[0].events = 1
            answer = await fleet.send_request("/draft/a", adapter="a1")
            self.assertEqual((200, True), (answer.status, answer.complete))
            self.assertEqual([1], answer.event_ids)

        run_fleet(check, models=1)

    def test_streams_outlast_silences_of_any_length(self):
        """Guards against lost streams when one or all replicas are silent for a while."""

        async def check(fleet):
            slow_down_streams(fleet)
            for silence_s in SILENCES_S:
                for all_are_silent in (False, True):
                    tasks = await start_streams(fleet, 4)
                    tasks += await start_streams(fleet, 2, "/night/a")
                    silent = fleet.models if all_are_silent else [busiest(fleet.models)]
                    await asyncio.gather(
                        *(replica.fall_silent(silence_s) for replica in silent)
                    )
                    self.assert_whole(await asyncio.gather(*tasks))

        run_fleet(check)

    def test_non_resumable_stream_is_not_sent_elsewhere(self):
        """Guards against a second run of a stream whose replica is silent."""

        async def check(fleet):
            slow_down_streams(fleet)
            tasks = await start_streams(fleet, 4, "/night/a")
            await busiest(fleet.models).fall_silent(2.5)
            self.assert_whole(await asyncio.gather(*tasks))
            self.assertEqual({1}, set(run_counts(fleet.models).values()))

        run_fleet(check)

    def test_replica_is_suspected_for_the_silence_of_a_stream_that_stays(self):
        """Guards against requests sent to a lost process on connections kept to it."""

        async def check(fleet):
            (replica,) = fleet.models
            known = fleet.live[0].replicas.by_id[replica.id]
            slow_down_streams(fleet)
            first, second = await start_streams(fleet, 2, "/night/a")
            replica.events = 1
            await fleet.send_request("/night/a", adapter="a1")
            self.assertTrue(known.pool.has_idle_connection)
            await replica.fall_silent(1.3)
            self.assertGreater(known.suspected_until, asyncio.get_running_loop().time())
            self.assertFalse(known.pool.has_idle_connection)
            self.assert_whole(await asyncio.gather(first, second))

        run_fleet(check, models=1)

    def test_replacement_is_dropped_when_the_silent_replica_goes_on(self):
        """Guards against events of two replicas in one stream, and a run for nobody."""

        async def check(fleet):
            slow_down_streams(fleet)
            for adapter in ("a1", "a2"):
                await fleet.send_request("/draft/a", adapter=adapter)
            tasks = await start_streams(fleet, 1)
            first = busiest(fleet.models)
            (second,) = [item for item in fleet.models if item is not first]
            second.versions_by_adapter["a1"] = 1
            second.event_interval_s = 5.0
            second.faults = [Fault.NO_RESPONSE]
            await first.fall_silent(1.05)
            self.assert_whole(await asyncio.gather(*tasks))

        run_fleet(check)

    def test_caller_that_leaves_ends_the_replacement_too(self):
        """Guards against a replacement that goes on for a caller who has left."""

        async def check(fleet):
            slow_down_streams(fleet)
            await fleet.send_request("/draft/a", adapter="")
            async with Caller(fleet.gateways[0].settings.callers) as caller:
                task = asyncio.create_task(caller.send_request("/draft/a", adapter=""))
                await wait_until(lambda: any(item.running for item in fleet.models))
                silence = asyncio.gather(
                    *(replica.fall_silent(3.0) for replica in fleet.models)
                )
                known = fleet.gateways[0].replicas.by_id
                await wait_until(
                    lambda: sum(item.in_flight for item in known.values()) == 2
                )
                task.cancel()
            await wait_until(lambda: not any(item.in_flight for item in known.values()))
            await silence

        run_fleet(check)

    def test_streams_outlast_silences_beside_changes_of_the_configuration(self):
        """Guards against lost streams when settings in use change during a silence."""

        async def check(fleet):
            slow_down_streams(fleet)
            for number, change in enumerate(self.changed_configurations()):
                version = 2 * number + 2
                tasks = await start_streams(fleet, 4)
                silent = asyncio.create_task(busiest(fleet.models).fall_silent(1.2))
                fleet.store.put("op/config", change(version))
                await silent
                self.assert_whole(await asyncio.gather(*tasks))
                fleet.store.put("op/config", configuration(version + 1))
                state = fleet.gateways[0].state
                await wait_until(
                    lambda: state.configuration.version == version + 1  # noqa: B023
                )

        run_fleet(check)

    def test_streams_outlast_a_silence_in_which_their_replica_leaves(self):
        """Guards against lost streams of a replica that drains or is unlisted."""

        async def check(fleet):
            slow_down_streams(fleet)
            tasks = await start_streams(fleet, 4)
            tasks += await start_streams(fleet, 2, "/night/a")
            replica = busiest(fleet.models)
            silence = asyncio.create_task(replica.fall_silent(1.2))
            fleet.publish(replica, state="draining")
            await asyncio.sleep(0.3)
            fleet.store.delete(f"servers/{replica.id}")
            await silence
            self.assert_whole(await asyncio.gather(*tasks))

        run_fleet(check)

    def changed_configurations(self):
        """Returns functions from a version to a configuration, one for each change."""

        def routes(**fields):
            return [
                route("draft", "stream", "models", resumable=True, **fields),
                route("night", "stream", "models", attempts=1),
                route("lookup", "idempotent", "register"),
            ]

        split = [
            {"backend": "models", "weight": 3.0},
            {"backend": "register", "weight": 0.0},
        ]
        return (
            lambda version: configuration(version, routes(timeout_ms=400)),
            lambda version: configuration(version, routes()),
            lambda version: configuration(version, routes(split=split)),
            lambda version: configuration(version, idle_timeout_ms=100),
            lambda version: configuration(version, routes()[1:] + routes()[:1]),
        )


class SilentCallTest(testtools.TestCase):
    def check_calls(self, path, method, silent_count, silence_s, prepare):
        """Checks that calls to replicas that are silent get their answers."""

        async def check(fleet):
            for replica in fleet.registers[silent_count:]:
                prepare(replica)
            silences = asyncio.gather(
                *(
                    replica.fall_silent(silence_s)
                    for replica in fleet.registers[:silent_count]
                )
            )
            answers = await asyncio.gather(
                *(
                    fleet.send_request(f"{path}{number}", method=method)
                    for number in range(8)
                )
            )
            self.assertEqual({200}, {answer.status for answer in answers})
            await silences
            return run_counts(fleet.registers)

        return run_fleet(check)

    def test_idempotent_calls_outlast_a_silence_while_other_replicas_are_full(self):
        """Guards against calls given up before another replica accepts them."""

        def fill(replica):
            replica.faults = [Fault.REFUSED] * 2 + [None] * 4 + [Fault.REFUSED] * 100

        self.check_calls("/lookup/", "GET", 1, 1.0, fill)

    def test_idempotent_calls_outlast_silences_of_any_length(self):
        """Guards against lost calls when one or all replicas are silent for a while."""
        for silence_s in SILENCES_S:
            for silent_count in (1, 2):
                self.check_calls(
                    "/lookup/", "GET", silent_count, silence_s, lambda replica: None
                )

    def test_non_idempotent_calls_outlast_a_silence_and_run_once(self):
        """Guards against writes that are lost or run twice."""
        for silence_s in SILENCES_S:
            counts = self.check_calls(
                "/entry/", "POST", 1, silence_s, lambda replica: None
            )
            self.assertEqual({1}, set(counts.values()))

    def test_error_of_a_replacement_is_passed_on_at_the_deadline(self):
        """Guards against a replica's response that is replaced by a failure."""

        async def check(fleet):
            shared_faults = [Fault.NO_RESPONSE, Fault.SERVER_ERROR]
            for replica in fleet.registers:
                replica.faults = shared_faults
            answer = await fleet.send_request(
                "/lookup/a", method="GET", headers=[("X-Deadline-Ms", "1500")]
            )
            self.assertEqual([], shared_faults)
            self.assertEqual((500, True), (answer.status, answer.complete))
            self.assertIn("x-server-signature", answer.headers)

        run_fleet(check)
