"""Runs the modules of the tests beside each other, each in a process of its own."""

import collections
import concurrent.futures
import os
import re
import subprocess
import sys
import time

# Most tests wait rather than compute, but many start processes that compute.
MAX_JOBS = 4
# A module that takes longer hangs.
MODULE_TIMEOUT_S = 1500
# Modules that take longest begin first, so that none of them runs alone at the end.
LONG_MODULES = (
    "tests.tenants.test_quotas",
    "tests.platform.test_crowds",
    "tests.callers.test_crowds",
    "tests.gateway.test_silent_replicas",
    "tests.dispatch.test_plays",
    "tests.soak.test_soak",
)

COUNTS = re.compile(r"(\d+) passed, (\d+) failed, (\d+) skipped")


class ModuleRun:
    """How the tests of one module ended. ``failed`` is at least 1 if it has no counts."""

    __slots__ = ("name", "passed", "failed", "skipped", "took_s", "output")

    def __init__(self, name, passed, failed, skipped, took_s, output):
        self.name = name
        self.passed = passed
        self.failed = failed
        self.skipped = skipped
        self.took_s = took_s
        self.output = output

    @classmethod
    def from_output(cls, name, returncode, took_s, output):
        """Reads the counts in the last line of a run of one module."""
        *lines, last = output.splitlines() or [""]
        counts = COUNTS.fullmatch(last)
        if counts is None:
            return cls(name, 0, 1, 0, took_s, output)
        passed, failed, skipped = (int(text) for text in counts.groups())
        if returncode != 0:
            failed = max(1, failed)
        return cls(name, passed, failed, skipped, took_s, "\n".join(lines))


def run_modules(names, root):
    """Runs test modules beside each other; returns a ModuleRun for each.

    Prints the output of each module as it ends.
    """
    jobs = max(1, min(MAX_JOBS, (os.cpu_count() or 1) // 2))
    long_first = sorted(names, key=lambda name: (_long_rank(name), name))
    runs = []
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        futures = [pool.submit(_run_module, name, root) for name in long_first]
        for future in concurrent.futures.as_completed(futures):
            run = future.result()
            runs.append(run)
            _print_run(run)
    return runs


def total_counts(runs):
    """Returns a Counter of the tests that passed, failed and were skipped."""
    total = collections.Counter()
    for run in runs:
        total.update(passed=run.passed, failed=run.failed, skipped=run.skipped)
    return total


def _long_rank(name):
    if name in LONG_MODULES:
        return LONG_MODULES.index(name)
    return len(LONG_MODULES)


def _run_module(name, root):
    started_at = time.monotonic()
    process = subprocess.Popen(
        [sys.executable, "-m", "tests.run", name],
        cwd=root,
        stdin=subprocess.DEVNULL,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        errors="replace",
    )
    returncode = None
    try:
        output, _ = process.communicate(timeout=MODULE_TIMEOUT_S)
        returncode = process.returncode
    except subprocess.TimeoutExpired:
        process.kill()
        output, _ = process.communicate()
        output += f"\n{name} was ended after {MODULE_TIMEOUT_S} s\n"
    took_s = time.monotonic() - started_at
    return ModuleRun.from_output(name, returncode, took_s, output)


def _print_run(run):
    verdict = "FAILED" if run.failed else "ok"
    print(f"== {run.name}: {verdict}, {run.passed} passed in {run.took_s:.1f} s")
    print(run.output, flush=True)
