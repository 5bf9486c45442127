"""Tests that the counts on the capacity page match a measurement."""

import testtools
from loguru import logger

from benchmarks.capacity_page import PAGE, block_of, counts_table
from benchmarks.control_counts import measure_counts


class CapacityPageTest(testtools.TestCase):
    def test_counts_match_a_run(self):
        """Guards against a page with outdated or too low message counts."""
        logger.disable("snipetrestle")
        self.addCleanup(logger.enable, "snipetrestle")
        page = block_of(PAGE.read_text(), "counts")
        self.assertEqual(counts_table(measure_counts()), page)
