"""Tests of replicas in trouble: endless, trickling, late and broken responses."""

import asyncio

import testtools

from snipetrestle.gateway.settings import RetryBudgetSettings
from snipetrestle_standins.gateway_fleet import Caller
from snipetrestle_standins.platform_http import response
from snipetrestle_standins.platform_replica import MAX_ENDLESS_BYTES, Fault
from tests.gateway.running import run_fleet
from tests.memory import assert_bounded_memory
from tests.systems import with_system
from tests.waiting import wait_until

ENDLESS_FAULTS = [fault for fault in Fault if fault.name.startswith("ENDLESS_")]
GOOD_CALLERS = 20


class EndlessResponseTest(testtools.TestCase):
    """A replica may send bytes that are no answer until its connection is closed."""

    def set_shared_fault(self, replicas, fault):
        """The replica that is asked first takes the fault."""
        shared_faults = [fault]
        for replica in replicas:
            replica.faults = shared_faults
            replica.endless_bytes = 0

    def assert_cut_off(self, replicas, fault):
        sent_bytes = sum(replica.endless_bytes for replica in replicas)
        self.assertGreater(sent_bytes, 0, fault)
        self.assertLess(sent_bytes, MAX_ENDLESS_BYTES, fault)

    async def send_with_others(self, fleet, path, **options):
        """Returns the response to one request beside GOOD_CALLERS others.

        All others must be answered.
        """
        with assert_bounded_memory(self, path):
            bad = asyncio.create_task(fleet.send_request(path, **options))
            await asyncio.sleep(0)
            others = await asyncio.gather(
                *(
                    fleet.send_request("/lookup/good", method="GET")
                    for _ in range(GOOD_CALLERS)
                )
            )
            answer = await bad
        self.assertEqual({200}, {answer.status for answer in others})
        return answer

    @with_system(run_fleet)
    async def test_idempotent_call_is_answered_by_another_replica(self, fleet):
        """A host kept each trailer field and read extensions for ever; a look-up
        waited for its deadline while the memory grew by 60 MB a second."""
        for fault in (*ENDLESS_FAULTS, Fault.TRICKLED_BODY):
            self.set_shared_fault(fleet.registers, fault)
            answer = await self.send_with_others(
                fleet,
                "/lookup/a",
                method="GET",
                headers=[("X-Deadline-Ms", "4000")],
            )
            self.assertEqual((200, True), (answer.status, answer.complete), fault)
            self.assertEqual(b"register GET /lookup/a", answer.body, fault)
            if fault in ENDLESS_FAULTS:
                self.assert_cut_off(fleet.registers, fault)

    @with_system(run_fleet)
    async def test_write_fails_with_an_unknown_outcome(self, fleet):
        """The write has run, so neither a repetition nor a 503 would be true."""
        for fault in ENDLESS_FAULTS:
            self.set_shared_fault(fleet.registers, fault)
            runs = sum(len(replica.runs) for replica in fleet.registers)
            answer = await fleet.send_request(
                "/entry/a", headers=[("X-Deadline-Ms", "2000")]
            )
            self.assertIn(answer.status, (502, 504), fault)
            self.assert_cut_off(fleet.registers, fault)
            self.assertEqual(
                runs + 1, sum(len(replica.runs) for replica in fleet.registers)
            )

    @with_system(run_fleet)
    async def test_stream_goes_on_at_another_replica(self, fleet):
        """Bytes that are no event must neither reach the caller nor hold its stream."""
        for fault in ENDLESS_FAULTS:
            self.set_shared_fault(fleet.models, fault)
            answer = await self.send_with_others(fleet, "/draft/a", adapter="")
            self.assertEqual((200, True), (answer.status, answer.complete), fault)
            self.assertEqual([1, 2, 3, 4, 5, 6], answer.event_ids, fault)
            self.assert_cut_off(fleet.models, fault)

    @with_system(run_fleet)
    async def test_failures_count_against_the_replica(self, fleet):
        """A replica in trouble must get fewer requests than a sound one."""
        bad, good = fleet.registers
        bad.faults = [Fault.ENDLESS_TRAILERS] * 30
        for _ in range(30):
            await fleet.send_request("/lookup/a", method="GET")
        self.assertLess(len(bad.arrived_requests), len(good.arrived_requests) / 2)


class SlowStreamTest(testtools.TestCase):
    @with_system(run_fleet)
    async def test_slow_sound_stream_is_not_cut_without_a_retry(self, fleet):
        """A stream with pauses of a second was cancelled as silent, and then aborted
        because no retry was left."""
        for replica in fleet.models:
            replica.events = 3
            replica.event_interval_s = 1.1
        no_retries = RetryBudgetSettings(0.0, 0.0, 10.0)
        fleet.gateways[0].retry_budgets.set_settings(no_retries)
        answer = await fleet.send_request("/draft/a", adapter="")
        self.assertEqual((200, True), (answer.status, answer.complete))
        self.assertEqual([1, 2, 3], answer.event_ids)
        self.assertEqual(1, sum(len(replica.runs) for replica in fleet.models))

    @with_system(run_fleet)
    async def test_slow_caller_is_no_silent_replica(self, fleet):
        """While a caller does not read, its replica must not count as silent."""
        for replica in fleet.models:
            replica.events = 3000
            replica.event_interval_s = 0.0
            replica.event_padding = 1000
        async with Caller(fleet.gateways[0].settings.callers) as caller:
            caller.writer.transport.pause_reading()
            task = asyncio.create_task(caller.send_request("/draft/a", adapter=""))
            await asyncio.sleep(2.5)
            caller.writer.transport.resume_reading()
            answer = await task
        self.assertTrue(answer.complete)
        self.assertEqual(list(range(1, 3001)), answer.event_ids)
        self.assertEqual(1, sum(len(replica.runs) for replica in fleet.models))

    @with_system(run_fleet)
    async def test_trickled_events_are_no_progress(self, fleet):
        """A stalled stream that sent a byte now and then waited for its deadline."""
        shared_faults = [Fault.TRICKLED_BODY]
        for replica in fleet.models:
            replica.faults = shared_faults
        answer = await fleet.send_request("/draft/a", adapter="")
        self.assertEqual((200, True), (answer.status, answer.complete))
        self.assertEqual([1, 2, 3, 4, 5, 6], answer.event_ids)


class LateResponseTest(testtools.TestCase):
    """A second copy of a response may come late, on a connection in use again."""

    @with_system(run_fleet, registers=1)
    async def test_second_copy_is_not_given_to_the_next_caller(self, fleet):
        """A copy without a request id was taken as the response to the next request."""
        (replica,) = fleet.registers
        for fault in (Fault.SECOND_COPY, Fault.SECOND_COPY_WITHOUT_ID):
            for path in ("/lookup/a", "/entry/a"):
                replica.faults = [fault]
                await fleet.send_request(path, headers=[("X-Request-Id", "one")])
                answer = await fleet.send_request(
                    "/entry/b", headers=[("X-Request-Id", "two")]
                )
                self.assertEqual(200, answer.status)
                self.assertEqual(b"register POST /entry/b", answer.body)
                self.assertEqual("two", answer.headers["x-request-id"])

    @with_system(run_fleet, registers=1)
    async def test_copy_on_an_idle_connection_closes_it(self, fleet):
        """Bytes between two requests belong to none of them."""
        (replica,) = fleet.registers
        await fleet.send_request("/entry/a")
        (pool,) = [
            item.pool
            for item in fleet.gateways[0].replicas.by_id.values()
            if item.id == replica.id
        ]
        self.assertEqual(1, pool.open_count)
        (writer,) = replica.open_writers
        writer.write(response(200, [("X-Request-Id", "one")], b"late"))
        await wait_until(lambda: not replica.open_writers)
        answer = await fleet.send_request("/entry/b")
        self.assertEqual(b"register POST /entry/b", answer.body)

    @with_system(run_fleet, models=1)
    async def test_late_response_does_not_answer_an_order(self, fleet):
        """The answer to a caller's request, late on the connection of an order, was
        read as "the replica holds the adapter"."""
        (replica,) = fleet.models
        replica.load_s = 0.2
        await fleet.send_request("/draft/a", adapter="a1")
        late = response(200, [("X-Request-Id", "one")], b"late")
        for writer in replica.open_writers:
            replica._second_copies[writer] = late
        answer = await fleet.send_request("/draft/a", adapter="a2")
        self.assertEqual(200, answer.status)
        # The replica refused a request that came before the end of the load.
        self.assertEqual(2, len(replica.arrived_requests))


class RepeatedRefusalTest(testtools.TestCase):
    """A refusal may be written once more before the response to the same request."""

    def runs_of(self, replicas):
        return sum(len(replica.runs) for replica in replicas)

    async def check_request(self, fleet, replicas, path, **options):
        for replica in replicas:
            replica.faults = [Fault.REFUSED_TWICE]
            replica.runs.clear()
        answer = await fleet.send_request(path, **options)
        if answer.status == 503:
            self.assertEqual(0, self.runs_of(replicas), path)
        else:
            self.assertEqual((200, True), (answer.status, answer.complete), path)
            self.assertEqual(1, self.runs_of(replicas), path)

    def test_request_that_ran_is_not_reported_as_refused(self):
        """The copy carries the id of the request, so it was taken for the response to
        the second attempt on the same connection."""

        async def check(fleet):
            for _ in range(3):
                await self.check_request(fleet, fleet.registers, "/entry/a")
                await self.check_request(fleet, fleet.registers, "/lookup/a")
                await self.check_request(fleet, fleet.models, "/draft/a", adapter="")
                await self.check_request(fleet, fleet.models, "/night/a", adapter="")

        for count in (1, 2):
            run_fleet(check, registers=count, models=count)

    @with_system(run_fleet, registers=1)
    async def test_id_that_a_caller_uses_again_is_sent_on_another_connection(
        self, fleet
    ):
        """A caller may repeat a refused request under its id."""
        (replica,) = fleet.registers
        fleet.gateways[0].retry_budgets.set_settings(
            RetryBudgetSettings(0.0, 0.0, 10.0)
        )
        replica.faults = [Fault.REFUSED_TWICE]
        headers = [("X-Request-Id", "one")]
        refused = await fleet.send_request("/entry/a", headers=headers)
        self.assertEqual(503, refused.status)
        answer = await fleet.send_request("/entry/a", headers=headers)
        self.assertEqual(200, answer.status)
        self.assertEqual(1, len(replica.runs))


class BrokenResponseTest(testtools.TestCase):
    @with_system(run_fleet)
    async def test_head_that_breaks_off_is_no_success(self, fleet):
        """A replica may stop anywhere in its head; the caller must not get a 200."""
        whole = response(
            200, [("X-Request-Id", "r"), ("X-Server-Signature", "s")], b"body"
        )
        for path, replicas, options in (
            ("/entry/a", fleet.registers, {}),
            ("/night/a", fleet.models, {"adapter": ""}),
        ):
            for head_bytes in range(1, len(whole) + 20):
                for replica in replicas:
                    replica.faults = [Fault.CUT_HEAD]
                    replica.head_bytes = head_bytes
                answer = await fleet.send_request(path, **options)
                is_whole = answer.status == 200 and answer.body == b"body"
                if not is_whole:
                    self.assertIn(answer.status, (502, 504), (path, head_bytes))

    @with_system(run_fleet)
    async def test_error_after_the_start_of_a_stream_does_not_reach_it(self, fleet):
        """A stream goes on at a replica that answers with an error: its text must not
        appear among the events, nor the stream look complete."""
        for second in (Fault.SERVER_ERROR, Fault.REFUSED, Fault.CUT_HEAD):
            for replica in fleet.models:
                replica.head_bytes = 40
            shared_faults = [Fault.TRUNCATED, second, second, second]
            for replica in fleet.models:
                replica.faults = shared_faults
            answer = await fleet.send_request("/draft/a", adapter="")
            expected_ids = list(range(1, len(answer.event_ids) + 1))
            self.assertEqual(expected_ids, answer.event_ids, second)
            self.assertLess(len(shared_faults), 3, second)
            self.assertNotIn(b"HTTP/1.1", answer.body)
            # The stand-in's error names the request.
            self.assertNotIn(b"POST /draft", answer.body)
            if answer.complete:
                self.assertEqual(6, len(answer.event_ids), second)

    @with_system(run_fleet)
    async def test_reset_body_without_length_is_not_complete(self, fleet):
        """A body that ends with its connection is incomplete if that is reset."""
        for replica in fleet.registers:
            replica.faults = [Fault.RESET_WITHOUT_LENGTH] * 2
        answer = await fleet.send_request("/entry/a")
        self.assertEqual(502, answer.status)
