"""Tests of the policy benchmark with the option ``--quick``."""

import contextlib
import io
import json

import testtools

from benchmarks import policy

SITE_OPTIONS = ["--quick", "--sites", "consorzio", "--workers", "2"]
CASE_OPTIONS = [
    "--workloads",
    "overnight",
    "restart",
    "--policies",
    "hash_lru",
    "product",
]


class PolicyBenchmarkTest(testtools.TestCase):
    def run_quick(self):
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            self.assertEqual(0, policy.main(SITE_OPTIONS + CASE_OPTIONS))
        return json.loads(output.getvalue().splitlines()[-1])

    def test_quick_run_loses_no_work_and_is_reproducible(self):
        """Guards against lost requests and results that are not reproducible."""
        first = self.run_quick()
        for policies in first["consorzio"].values():
            for figures in policies.values():
                self.assertEqual(0, figures["accepted_lost"])
                self.assertEqual(0, figures["never_accepted"])
                self.assertEqual(0, figures["in_use_evictions"])
            stalls = {name: item["stall_s_total"] for name, item in policies.items()}
            self.assertLess(stalls["product"], stalls["hash_lru"])
        second = self.run_quick()
        for result in (first, second):
            for policies in result["consorzio"].values():
                for figures in policies.values():
                    # The processor time of the run is the only value that varies.
                    del figures["run_s"]
        self.assertEqual(first, second)
