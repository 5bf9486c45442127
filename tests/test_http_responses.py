"""Tests of the limits of answers."""

import httpcore
import testtools

from snipetrestle.http_responses import MAX_OVERHEAD_BYTES, ReadBudget
from snipetrestle_standins.clock import run_in_virtual_time


class ReadBudgetTest(testtools.TestCase):
    def test_nothing_is_read_before_the_start(self):
        """A new way to read a connection must not be one without a bound."""

        async def main():
            budget = ReadBudget()
            self.assertRaises(httpcore.ReadTimeout, budget.remaining_s)
            self.assertRaises(httpcore.RemoteProtocolError, budget.charge, 1)

        run_in_virtual_time(main)

    def test_body_in_chunks_of_one_byte_is_within_the_budget(self):
        """A sound body must not be cut for the size of its chunks."""

        async def main():
            budget = ReadBudget()
            budget.start(1.0)
            for _ in range(MAX_OVERHEAD_BYTES):
                budget.charge(len(b"1\r\nx\r\n"))
                budget.credit_body(1)

        run_in_virtual_time(main)

    def test_sound_bytes_allow_no_overhead_without_end(self):
        """An answer that was long and sound could be followed by endless trailers."""

        async def main():
            budget = ReadBudget()
            budget.start(1.0)
            for _ in range(100):
                budget.charge(1000)
                budget.credit_body(1000)
            self.assertRaises(
                httpcore.RemoteProtocolError, budget.charge, MAX_OVERHEAD_BYTES + 1
            )

        run_in_virtual_time(main)
