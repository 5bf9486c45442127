"""Tests of the limits of answers: MessageSplitter and ReadBudget."""

import httpcore
import testtools

from snipetrestle import http_responses
from snipetrestle.http_responses import MAX_OVERHEAD_BYTES, MessageSplitter, ReadBudget
from tests.systems import in_virtual_time

END = b"\n\n"
MAX_BYTES = 100_000


class CountingBuffer(bytearray):
    """Buffer that counts the bytes that are searched and copied."""

    handled_bytes = 0

    def find(self, part, start=0):
        type(self).handled_bytes += len(self) - start
        return super().find(part, start)

    def __bytes__(self):
        type(self).handled_bytes += len(self)
        return bytes(memoryview(self))


class MessageSplitterTest(testtools.TestCase):
    def test_messages_do_not_depend_on_the_pieces(self):
        """An end that arrives in two pieces could be missed."""
        content = b"one\n\ntwo\nlines\n\n\nthree\n\n\n\nrest"
        expected = content.split(END)[:-1]
        for size in range(1, len(content) + 1):
            splitter = MessageSplitter(END, MAX_BYTES)
            messages = []
            for start in range(0, len(content), size):
                messages += splitter.feed(content[start : start + size])
            self.assertEqual(expected, messages, size)

    def test_work_is_in_proportion_to_the_bytes(self):
        """An unfinished event was joined and searched again with each piece: a peer
        that sends small pieces held up all others of the event loop."""
        self.patch(http_responses, "bytearray", CountingBuffer)
        self.patch(CountingBuffer, "handled_bytes", 0)
        splitter = MessageSplitter(END, MAX_BYTES)
        for _ in range(MAX_BYTES // 10):
            self.assertEqual([], splitter.feed(b"x" * 10))
        self.assertEqual([b"x" * MAX_BYTES], splitter.feed(END))
        self.assertLess(CountingBuffer.handled_bytes, 3 * MAX_BYTES)

    def test_too_large_message_is_refused(self):
        """Without a limit, an event without end is kept for ever."""
        for pieces in ([b"x" * MAX_BYTES, b"x"], [b"x" * (MAX_BYTES + 1) + END]):
            splitter = MessageSplitter(END, MAX_BYTES)
            with testtools.ExpectedException(httpcore.RemoteProtocolError):
                for piece in pieces:
                    splitter.feed(piece)


class ReadBudgetTest(testtools.TestCase):
    @in_virtual_time
    async def test_nothing_is_read_before_the_start(self):
        """A new way to read a connection must not be one without a bound."""
        budget = ReadBudget()
        self.assertRaises(httpcore.ReadTimeout, budget.remaining_s)
        self.assertRaises(httpcore.RemoteProtocolError, budget.charge, 1)

    @in_virtual_time
    async def test_body_in_chunks_of_one_byte_is_within_the_budget(self):
        """A sound body must not be cut for the size of its chunks."""
        budget = ReadBudget()
        budget.start(1.0)
        for _ in range(MAX_OVERHEAD_BYTES):
            budget.charge(len(b"1\r\nx\r\n"))
            budget.credit_body(1)

    @in_virtual_time
    async def test_sound_bytes_allow_no_overhead_without_end(self):
        """An answer that was long and sound could be followed by endless trailers."""
        budget = ReadBudget()
        budget.start(1.0)
        for _ in range(100):
            budget.charge(1000)
            budget.credit_body(1000)
        self.assertRaises(
            httpcore.RemoteProtocolError, budget.charge, MAX_OVERHEAD_BYTES + 1
        )
