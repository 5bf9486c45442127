"""Tests of streams that go on elsewhere, or again, after their replica has failed."""

import asyncio
import collections

import testtools

from tests.gateway.running import run_fleet
from tests.gateway.test_replacements import (
    abort,
    refuse_after,
    script,
    stream_events,
)

ALL_EVENT_IDS = [1, 2, 3, 4, 5, 6]
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


async def start_stream(fleet, deadline_s=None):
    """Returns the task of a stream."""
    headers = [] if deadline_s is None else [("X-Deadline-Ms", round(deadline_s * 1e3))]
    return asyncio.create_task(
        fleet.send_request("/draft/a", adapter="", headers=headers)
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
