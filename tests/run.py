"""Runs tests with testtools and prints a last line with counts.

Without arguments it runs all modules of tests beside each other, else the named ones in
this process. A failure of a test listed in KNOWN-RED.txt is printed but does not fail the
run. A listed test that passes fails the run, so that the list stays up to date.
"""

import pathlib
import sys
import unittest

import testtools

from tests.side_by_side import run_modules, total_counts

ROOT = pathlib.Path(__file__).resolve().parent.parent


def read_known_red(path):
    """Returns the ids of the tests that are listed as known failures."""
    if not path.exists():
        return frozenset()
    lines = path.read_text().splitlines()
    return frozenset(
        line.removeprefix("test:").strip() for line in lines if line.startswith("test:")
    )


def iterate_tests(suite):
    """Yields the test cases of a suite and its nested suites."""
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from iterate_tests(item)
        else:
            yield item


def find_modules():
    """Returns the names of all modules of tests."""
    paths = (ROOT / "tests").rglob("test_*.py")
    return sorted(
        ".".join(path.relative_to(ROOT).with_suffix("").parts) for path in paths
    )


def main(argv):
    """Runs the tests and returns the exit status."""
    names = argv[1:]
    return run_here(names) if names else run_side_by_side()


def run_side_by_side():
    """Runs all modules and returns the exit status."""
    runs = run_modules(find_modules(), ROOT)
    total = total_counts(runs)
    for run in runs:
        if run.failed:
            print(f"failed: {run.name}")
    print(
        f"{total['passed']} passed, {total['failed']} failed, "
        f"{total['skipped']} skipped"
    )
    return 1 if total["failed"] or not total["passed"] else 0


def run_here(names):
    """Runs the named modules in this process and returns the exit status."""
    suite = unittest.TestLoader().loadTestsFromNames(names)
    tests = sorted(iterate_tests(suite), key=lambda test: test.id())
    known_red = read_known_red(ROOT / "KNOWN-RED.txt")

    result = testtools.TextTestResult(sys.stdout)
    result.startTestRun()
    for test in tests:
        test.run(result)
    result.stopTestRun()

    failed_ids = {test.id() for test, _ in result.errors + result.failures}
    failed_ids |= {test.id() for test in result.unexpectedSuccesses}
    unexpected_failures = failed_ids - known_red
    unexpected_passes = (known_red & {test.id() for test in tests}) - failed_ids
    skipped = sum(len(items) for items in result.skip_reasons.values())
    for name in sorted(failed_ids & known_red):
        print(f"known red: {name}")
    for name in sorted(unexpected_passes):
        print(f"listed in KNOWN-RED.txt but passes: {name}")
    failed = len(unexpected_failures) + len(unexpected_passes)
    passed = len(tests) - len(failed_ids) - skipped - len(unexpected_passes)
    print(f"{passed} passed, {failed} failed, {skipped} skipped")
    return 1 if failed or not tests else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv))
