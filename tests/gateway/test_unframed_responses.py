"""Tests of responses with neither a length nor chunks, which end with the connection.

The end of the connection completes them, unless it is a reset or inside an event.
"""

import asyncio
import re

import testtools

from snipetrestle_standins.platform_replica import Fault
from tests.gateway.running import run_fleet
from tests.systems import with_system
from tests.waiting import wait_until

EVENTS = b"".join(b"id: %d\ndata: token %d\n\n" % (n, n) for n in (1, 2, 3))
EVENT_FORMS = {
    "line feeds": EVENTS,
    "carriage returns": EVENTS.replace(b"\n", b"\r\n"),
    "comments": EVENTS.replace(b"data", b": comment\ndata"),
}
UNFRAMED = "HTTP/1.1 200 OK\r\n"


def complete_ids(content):
    """Returns the ids of the events that the start of a stream contains whole."""
    parts = re.split(rb"\r?\n\r?\n", content)[:-1]
    return [int(re.search(rb"id: (\d)", part)[1]) for part in parts]


def ends_between_events(content):
    return bool(content) and re.search(rb"\r?\n\r?\n\Z", content) is not None


class UnframedStreamTest(testtools.TestCase):
    def prepare(self, replicas, body, fault=Fault.PREPARED, head=UNFRAMED):
        """The replica that is asked first sends the prepared response."""
        shared_faults = [fault]
        for replica in replicas:
            replica.faults = shared_faults
            replica.prepared_head = head
            replica.prepared_body = body

    @with_system(run_fleet, models=1)
    async def test_stream_cut_anywhere_is_complete_only_between_events(self, fleet):
        """A stream that may not run again must break off visibly: inside a line,
        between two lines, and after the first of two line ends."""
        for form, content in EVENT_FORMS.items():
            for size in range(1, len(content) + 1):
                cut = content[:size]
                self.prepare(fleet.models, cut)
                answer = await fleet.send_request("/night/a", adapter="")
                place = (form, cut[-20:])
                if not complete_ids(cut):
                    self.assertEqual(502, answer.status, place)
                    continue
                self.assertEqual(200, answer.status, place)
                self.assertEqual(complete_ids(cut), answer.event_ids, place)
                self.assertEqual(ends_between_events(cut), answer.complete, place)

    @with_system(run_fleet)
    async def test_stream_cut_inside_an_event_is_resumed(self, fleet):
        """A resumable stream must go on at another replica, without a gap, a repeated
        event or the start of the event that was cut."""
        for form, content in EVENT_FORMS.items():
            for size in range(1, len(content), 5):
                cut = content[:size]
                if ends_between_events(cut):
                    continue
                self.prepare(fleet.models, cut)
                answer = await fleet.send_request("/draft/a", adapter="")
                place = (form, cut[-20:])
                self.assertEqual((200, True), (answer.status, answer.complete), place)
                self.assertEqual([1, 2, 3, 4, 5, 6], answer.event_ids, place)

    @with_system(run_fleet)
    async def test_reset_between_events_is_no_end(self, fleet):
        """Only a proper close ends a stream; a reset may have discarded events."""
        self.prepare(fleet.models, EVENTS, Fault.PREPARED_RESET)
        answer = await fleet.send_request("/night/a", adapter="")
        self.assertEqual((200, False), (answer.status, answer.complete))
        self.assertEqual([1, 2, 3], answer.event_ids)
        self.prepare(fleet.models, EVENTS, Fault.PREPARED_RESET)
        answer = await fleet.send_request("/draft/a", adapter="")
        self.assertEqual((200, True), (answer.status, answer.complete))
        self.assertEqual([1, 2, 3, 4, 5, 6], answer.event_ids)

    @with_system(run_fleet)
    async def test_blank_lines_after_the_last_event_are_no_event(self, fleet):
        """A sound stream was broken off for a line end after its last event."""
        for end in (b"\n", b"\r\n"):
            self.prepare(fleet.models, EVENTS.replace(b"\n", end) + end)
            answer = await fleet.send_request("/night/a", adapter="")
            self.assertEqual((200, True), (answer.status, answer.complete), end)
            self.assertEqual([1, 2, 3], answer.event_ids)

    @with_system(run_fleet)
    async def test_bytes_that_are_no_events_do_not_end_as_complete(self, fleet):
        """A stream without events, or with one that has no id, is no answer."""
        for body in (b"", b"\n", b"text", b"data: a\n\n", b"\xef\xbb\xbf" + EVENTS):
            self.prepare(fleet.models, body)
            answer = await fleet.send_request("/night/a", adapter="")
            self.assertEqual(502, answer.status, body)

    @with_system(run_fleet)
    async def test_chunks_cut_between_events_are_no_end(self, fleet):
        """With chunks, only the last chunk ends a stream."""
        head = UNFRAMED + "Transfer-Encoding: chunked\r\n"
        body = b"%x\r\n%b\r\n" % (len(EVENTS), EVENTS)
        self.prepare(fleet.models, body, head=head)
        answer = await fleet.send_request("/night/a", adapter="")
        self.assertEqual((200, False), (answer.status, answer.complete))
        self.prepare(
            fleet.models, EVENTS[:30], head=UNFRAMED + "Content-Length: 99\r\n"
        )
        answer = await fleet.send_request("/night/a", adapter="")
        self.assertEqual((200, False), (answer.status, answer.complete))


class UnframedCallTest(testtools.TestCase):
    async def send(self, fleet, head, body=b"", fault=Fault.PREPARED):
        (replica,) = fleet.registers
        replica.faults = [fault]
        replica.prepared_head = head
        replica.prepared_body = body
        return await fleet.send_request("/entry/a")

    @with_system(run_fleet, registers=1)
    async def test_responses_of_old_or_closing_servers_are_complete(self, fleet):
        """HTTP/1.0, and a length together with the end of the connection."""
        for head in (
            UNFRAMED,
            "HTTP/1.0 200 OK\r\n",
            "HTTP/1.0 200 OK\r\nContent-Length: 4\r\n",
            UNFRAMED + "Connection: close\r\n",
            UNFRAMED + "Connection: close\r\nContent-Length: 4\r\n",
            UNFRAMED + "Connection: keep-alive\r\n",
        ):
            answer = await self.send(fleet, head, b"body")
            self.assertEqual((200, b"body"), (answer.status, answer.body), head)
            self.assertTrue(answer.complete, head)

    @with_system(run_fleet, registers=1)
    async def test_responses_without_a_body_need_no_end(self, fleet):
        """Status 204 and 304 end with their head, whatever the connection does."""
        for status in (204, 304):
            for fault in (Fault.PREPARED, Fault.PREPARED_RESET):
                head = f"HTTP/1.1 {status} None\r\n"
                answer = await self.send(fleet, head, fault=fault)
                self.assertEqual((status, b""), (answer.status, answer.body))
                # The connection is used again until its end is noticed.
                await wait_until(lambda: not fleet.registers[0].open_writers)
                await asyncio.sleep(0.02)

    @with_system(run_fleet, registers=1)
    async def test_cut_and_reset_responses_are_not_complete(self, fleet):
        """The caller must not take the start of a body for all of it."""
        for head, fault in (
            (UNFRAMED, Fault.PREPARED_RESET),
            ("HTTP/1.0 200 OK\r\n", Fault.PREPARED_RESET),
            (UNFRAMED + "Content-Length: 5\r\n", Fault.PREPARED),
            (
                UNFRAMED + "Connection: close\r\nContent-Length: 5\r\n",
                Fault.PREPARED,
            ),
            ("HTTP/1.0 200 OK\r\nContent-Length: 5\r\n", Fault.PREPARED),
            (UNFRAMED + "Transfer-Encoding: chunked\r\n", Fault.PREPARED),
        ):
            body = b"4\r\nbody\r\n" if "chunked" in head else b"body"
            answer = await self.send(fleet, head, body, fault)
            self.assertEqual(502, answer.status, head)
