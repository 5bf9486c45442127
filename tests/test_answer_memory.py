"""Tests of the bound on what answers hold that are arriving from replicas."""

import testtools

from snipetrestle.answer_memory import SMALL_ANSWER_BYTES, AnswerMemory
from snipetrestle.caller_memory import CallerMemory
from snipetrestle.gateway.configuration import CallerLimits
from snipetrestle.process_limits import ProcessLimits

NO_LIMITS = CallerLimits(max_body_bytes=0)


class AnswerMemoryTest(testtools.TestCase):
    """The bound for callers is 1 MB here, half of which is for answers."""

    def setUp(self):
        super().setUp()
        self.callers = CallerMemory(ProcessLimits(0.001), lambda: NO_LIMITS)
        self.memory = AnswerMemory(self.callers)

    def begin(self, size):
        answer = self.memory.begin()
        answer.note_body(size)
        return answer

    def test_large_answers_wait_while_all_hold_too_much(self):
        """Each took up to 2 MB, however many others did."""
        first, second = self.begin(300_000), self.begin(150_000)
        self.assertFalse(second.must_wait)
        second.note_buffered(100_000)
        self.assertTrue(second.must_wait)
        self.assertEqual(550_000, self.callers.held_bytes)
        # Otherwise all would wait for ever.
        self.assertFalse(first.must_wait)

    def test_small_answers_never_wait(self):
        """Most answers are small, and must not wait behind one without end."""
        self.begin(600_000)
        self.assertFalse(self.begin(SMALL_ANSWER_BYTES).must_wait)

    def test_end_of_an_answer_lets_the_next_ones_go_on(self):
        """Nothing else would wake them before the deadline of their request."""
        woken = set()
        first, second, third = (self.begin(300_000) for _ in range(3))
        second.on_room = lambda: woken.add("second")
        third.on_room = lambda: woken.add("third")
        first.end()
        self.assertEqual({"second"}, woken)
        self.assertTrue(third.must_wait)
        second.end()
        self.assertEqual({"second", "third"}, woken)
        third.end()
        self.assertEqual(0, self.callers.held_bytes)
