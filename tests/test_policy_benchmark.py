"""Tests of the policy benchmark's short version."""

import contextlib
import io
import json

import testtools

from benchmarks import policy

OPTIONS = ["--quick", "--sites", "consorzio", "--workers", "2"]
CASES = ["--workloads", "overnight", "restart", "--policies", "hash_lru", "product"]


class PolicyBenchmarkTest(testtools.TestCase):
    def run_quick(self):
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            self.assertEqual(0, policy.main(OPTIONS + CASES))
        return json.loads(output.getvalue().splitlines()[-1])

    def test_quick_run_loses_nothing_and_repeats(self):
        """Guards against lost work, and against figures that cannot be repeated."""
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
                    # The processor time of the run is the only figure that varies.
                    del figures["run_s"]
        self.assertEqual(first, second)
