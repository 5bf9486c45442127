"""Tests of streams that go on elsewhere, or again, after their replica has failed."""

import asyncio
import collections

import testtools

from snipetrestle.dispatch.replica_search import MAX_ABSENCE_WAIT_S, MAX_RETURNS
from snipetrestle.gateway.backends.connection_pool import ConnectionPool
from snipetrestle.gateway.retries import MAX_BEGUN_STREAM_SENDS
from snipetrestle_standins.gateway_fleet import GatewayFleet
from tests.gateway.running import run_fleet
from tests.gateway.test_configuration_changes import set_long_limits
from tests.gateway.test_replacements import (
    abort,
    answer_after,
    refuse_after,
    reset_after,
    script,
    stream_events,
)
from tests.waiting import wait_until

ALL_EVENT_IDS = [1, 2, 3, 4, 5, 6]
# How long a replica is away in the tests: less than a begun stream waits for one.
ABSENCE_S = 0.5
# How late the end of a wait may be on a busy machine.
MAX_LATENESS_S = 2.0
# Time to the first event. The last pause leaves as much time for another one, so it is
# long: a busy machine may be late.
FIRST_EVENT_S = 0.5


def break_when(event):
    """Returns a behaviour that sends three events, and breaks off after ``event``."""

    async def serve(replica, request, writer):
        await stream_events(1, 3, then=lambda _: None)(replica, request, writer)
        await event.wait()
        abort(writer)

    return serve


def drain(fleet, replica):
    fleet.publish(replica, state="draining")


def expire(fleet, replica):
    """Lets the store remove a replica's entry, as that of a silent one."""
    fleet.store.delete(f"servers/{replica.id}")


def start_again(fleet, replica):
    """Starts a replica again under its id, empty and at the same version."""
    replica.boot += 1
    replica.restart()
    fleet.publish(replica)


async def start_stream(fleet, deadline_s=None, adapter=""):
    """Returns the task of a stream."""
    headers = [] if deadline_s is None else [("X-Deadline-Ms", round(deadline_s * 1e3))]
    return asyncio.create_task(
        fleet.send_request("/draft/a", adapter=adapter, headers=headers)
    )


class BegunStreamTest(testtools.TestCase):
    def assert_whole(self, answer):
        self.assertEqual(
            (200, True, ALL_EVENT_IDS),
            (answer.status, answer.complete, answer.event_ids),
        )

    def test_refused_streams_leave_other_requests_their_retries(self):
        """Guards against a retry budget that streams without a place use up."""

        async def check(fleet):
            begun_ids, arrivals = set(), collections.Counter()
            all_begun = asyncio.Event()

            async def serve(replica, request, writer):
                request_id = request.headers["x-request-id"]
                arrivals[request_id] += 1
                if len(begun_ids) < 12:
                    begun_ids.add(request_id)
                    if len(begun_ids) == 12:
                        all_begun.set()
                    await break_when(all_begun)(replica, request, writer)
                elif request_id in begun_ids or arrivals[request_id] == 1:
                    await refuse_after(0)(replica, request, writer)
                else:
                    await stream_events(1, 6)(replica, request, writer)

            script(fleet.models, [serve])
            streams = [await start_stream(fleet) for _ in range(12)]
            for answer in await asyncio.gather(*streams):
                self.assertEqual((200, False), (answer.status, answer.complete))
            fresh = [await (await start_stream(fleet)) for _ in range(10)]
            statuses = collections.Counter(answer.status for answer in fresh)
            # Their ordinary sends leave 9 of 45 retries.
            self.assertGreaterEqual(statuses[200], 9, statuses)

        run_fleet(check)

    def test_last_pause_ends_before_the_deadline(self):
        """Guards against a stream that is not sent again in the time that is left."""

        async def check(fleet):
            refusals = [refuse_after(0)] * 5
            script(
                fleet.models,
                [
                    stream_events(1, 3, {1: FIRST_EVENT_S}, abort),
                    *refusals,
                    stream_events(1, 6, dict.fromkeys(ALL_EVENT_IDS, 0)),
                ],
            )
            # The sixth refusal comes some 2 s after the start; the pause takes 1.9 s.
            self.assert_whole(await (await start_stream(fleet, deadline_s=3.5)))

        run_fleet(check)

    def test_no_send_is_too_late_for_an_event(self):
        """Guards against a run that can give no event before the deadline."""

        async def check(fleet):
            # The connection is reset 0.06 s before the deadline, or later.
            pauses_s = dict.fromkeys((1, 2, 3), 0.463)
            first = stream_events(1, 3, pauses_s, abort)
            arrivals = script(fleet.models, [first, stream_events(1, 6)])
            answer = await (await start_stream(fleet, deadline_s=1.5))
            self.assertEqual((200, False), (answer.status, answer.complete))
            self.assertEqual(1, len(arrivals))

        run_fleet(check)

    def test_refusals_by_an_only_replica_do_not_count_as_returns(self):
        """Guards against a stream with fewer sends than one with two replicas."""

        async def check(fleet):
            await set_long_limits(fleet)
            first = stream_events(1, 3, then=abort)
            refusals = [refuse_after(0)] * (MAX_BEGUN_STREAM_SENDS - 2)
            arrivals = script(fleet.models, [first, *refusals, stream_events(1, 6)])
            self.assert_whole(await (await start_stream(fleet)))
            self.assertEqual(MAX_BEGUN_STREAM_SENDS, len(arrivals))

        run_fleet(check, models=1)

    def test_failures_of_an_only_replica_are_bounded(self):
        """Guards against a stream that returns to a failing replica without end."""

        async def check(fleet):
            await set_long_limits(fleet)
            arrivals = script(
                fleet.models, [stream_events(1, 3, then=abort), reset_after(0.05)]
            )
            answer = await (await start_stream(fleet))
            self.assertEqual((200, False), (answer.status, answer.complete))
            self.assertEqual(1 + MAX_RETURNS, len(arrivals))

        run_fleet(check, models=1)

    def check_absence(self, adapter, leave, come_back=GatewayFleet.publish):
        """Checks that a stream outlasts a moment in which its only replica is away.

        ``leave(fleet, replica)`` begins it, and ``come_back(fleet, replica)`` ends it.
        """

        async def check(fleet):
            await set_long_limits(fleet)
            if adapter:
                await fleet.send_request("/draft/a", adapter=adapter)
            (replica,) = fleet.models
            must_break = asyncio.Event()
            arrivals = script(
                fleet.models, [break_when(must_break), stream_events(1, 6)]
            )
            stream = await start_stream(fleet, adapter=adapter)
            await wait_until(lambda: arrivals)
            known = fleet.live[0].replicas.by_id[replica.id]
            await wait_until(lambda: known.measured_latency_s is not None)
            await asyncio.sleep(0.1)
            leave(fleet, replica)
            await wait_until(lambda: not known.takes_requests)
            must_break.set()
            await asyncio.sleep(ABSENCE_S)
            self.assertEqual(1, len(arrivals))
            come_back(fleet, replica)
            self.assert_whole(await stream)

        run_fleet(check, models=1)

    def test_stream_outlasts_a_drain_of_its_only_replica(self):
        """Guards against a stream that is aborted while its replica drains."""
        self.check_absence("", drain)

    def test_stream_of_an_adapter_outlasts_a_drain_of_its_only_replica(self):
        """The same for a stream that needs a place of its adapter."""
        self.check_absence("a1", drain)

    def test_stream_outlasts_an_expired_entry_of_its_only_replica(self):
        """Guards against a stream that is aborted though its replica is back soon."""
        self.check_absence("", expire)

    def test_stream_of_an_adapter_outlasts_an_expired_entry(self):
        """The same for a stream that needs a place of its adapter."""
        self.check_absence("a1", expire)

    def test_stream_outlasts_a_restart_of_its_only_replica(self):
        """Guards against a stream that is aborted between a replica's two entries."""
        self.check_absence("", expire, start_again)

    def test_stream_of_an_adapter_outlasts_a_restart(self):
        """The same for a stream that needs a place of its adapter."""
        self.check_absence("a1", expire, start_again)

    def test_stream_whose_version_is_gone_does_not_wait_until_its_deadline(self):
        """Guards against a caller that learns late that nobody goes on."""

        async def check(fleet):
            await set_long_limits(fleet)
            (replica,) = fleet.models
            must_break = asyncio.Event()
            script(fleet.models, [break_when(must_break)])
            stream = await start_stream(fleet)
            known = fleet.live[0].replicas.by_id[replica.id]
            await wait_until(lambda: known.measured_latency_s is not None)
            expire(fleet, replica)
            await wait_until(lambda: not known.takes_requests)
            broken_at = asyncio.get_running_loop().time()
            must_break.set()
            answer = await stream
            waited_s = asyncio.get_running_loop().time() - broken_at
            self.assertEqual((200, False), (answer.status, answer.complete))
            self.assertLess(waited_s, MAX_ABSENCE_WAIT_S + MAX_LATENESS_S)

        run_fleet(check, models=1)

    def check_refused_connections(self, absence_s):
        """Returns the answer to a stream whose only replica closes its port.

        Also returns how often a connection was asked for after that.
        """
        attempts = []
        acquire = ConnectionPool.acquire

        async def acquire_counted(pool, request_id=None):
            if request_id is not None:
                attempts.append(request_id)
            return await acquire(pool, request_id)

        async def check(fleet):
            await set_long_limits(fleet)
            (replica,) = fleet.models
            must_break = asyncio.Event()
            arrivals = script(
                fleet.models, [break_when(must_break), stream_events(1, 6)]
            )
            stream = await start_stream(fleet)
            known = fleet.live[0].replicas.by_id[replica.id]
            await wait_until(lambda: arrivals and known.measured_latency_s is not None)
            await asyncio.sleep(0.1)
            self.patch(ConnectionPool, "acquire", acquire_counted)
            replica._server.close()
            replica.reset_connections()
            if absence_s is not None:
                await asyncio.sleep(absence_s)
                await replica.start(replica.port)
            return await stream, len(attempts)

        return run_fleet(check, models=1)

    def test_stream_outlasts_a_port_that_is_closed_for_a_moment(self):
        """Guards against a stream whose attempts are used up within milliseconds."""
        answer, _ = self.check_refused_connections(ABSENCE_S)
        self.assert_whole(answer)

    def test_closed_port_is_not_tried_without_end(self):
        """Guards against a busy loop of connections that are refused."""
        answer, attempts = self.check_refused_connections(None)
        self.assertEqual((200, False), (answer.status, answer.complete))
        self.assertLessEqual(attempts, MAX_BEGUN_STREAM_SENDS)


class LateFailureTest(testtools.TestCase):
    """Replacements that fail after the exchange with the silent replica was ended."""

    def check_return(self, first, failure, adapter="", refusals=0):
        """Checks that a stream goes back to the replica that was silent.

        That replica refuses it ``refusals`` times then.
        """

        async def check(fleet):
            in_flight = []
            known = fleet.live[0].replicas.by_id

            async def finish(replica, request, writer):
                in_flight.append(sum(item.in_flight for item in known.values()))
                await stream_events(1, 6)(replica, request, writer)

            await set_long_limits(fleet)
            if adapter:
                await fleet.send_request("/draft/a", adapter=adapter)
                for replica in fleet.models:
                    replica.versions_by_adapter[adapter] = 1
                    fleet.publish(replica)
            # Replicas that are heard of are not silent.
            await asyncio.sleep(0.5)
            refused = [refuse_after(0)] * refusals
            arrivals = script(fleet.models, [first, failure, *refused, finish])
            answer = await (await start_stream(fleet, adapter=adapter))
            self.assertEqual(
                (200, True, ALL_EVENT_IDS),
                (answer.status, answer.complete, answer.event_ids),
            )
            returns = [arrivals[0]] * (1 + refusals)
            self.assertEqual([arrivals[0], arrivals[1], *returns], arrivals)
            self.assertNotEqual(arrivals[0], arrivals[1])
            # No other replica is at work on the stream then.
            self.assertEqual([1], in_flight)

        run_fleet(check)

    def test_stream_without_an_event_gets_no_late_error(self):
        """Guards against a 500 of a replacement while the first replica goes on."""
        self.check_return(answer_after(1.6), answer_after(0.8, 500))

    def test_stream_without_an_event_outlasts_a_late_reset(self):
        """Guards against a 502 for a connection that the second replica closes."""
        self.check_return(answer_after(1.6), reset_after(0.8))

    def test_stream_of_an_adapter_gets_no_late_error(self):
        """The same for a stream that needs a place of its adapter."""
        self.check_return(answer_after(1.6), answer_after(0.8, 500), "a1")

    def test_begun_stream_outlasts_a_late_reset(self):
        """Guards against a stream aborted for a replacement that fails late."""
        self.check_return(stream_events(1, 6, {4: 3.0}), reset_after(0.8))

    def test_stream_without_an_event_outlasts_a_refused_return(self):
        """Guards against a 502 for one refusal by the replica that was silent."""
        self.check_return(answer_after(1.6), answer_after(0.8, 500), refusals=1)

    def test_begun_stream_outlasts_refused_returns(self):
        """The same for a stream whose caller has events."""
        self.check_return(
            stream_events(1, 6, {4: 3.0}), reset_after(0.8), "a1", refusals=2
        )
