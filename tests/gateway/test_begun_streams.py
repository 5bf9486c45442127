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


def break_when(event):
    """Returns a behaviour that sends three events, and breaks off after ``event``."""

    async def serve(replica, request, writer):
        await stream_events(1, 3, then=lambda _: None)(replica, request, writer)
        await event.wait()
        abort(writer)

    return serve


async def start_stream(fleet):
    """Returns the task of a stream."""
    return asyncio.create_task(fleet.send_request("/draft/a", adapter=""))


class BegunStreamTest(testtools.TestCase):
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
