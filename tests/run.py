"""Runs tests with testtools and prints a last line with counts.

Without arguments it runs all tests, else those of the named modules. A failure of a
test listed in KNOWN-RED.txt is printed but does not fail the run. A listed test that
passes fails the run, so that the list stays up to date.
"""

import pathlib
import sys
import unittest

import testtools

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


def main(argv):
    """Runs the tests and returns the exit status."""
    names = argv[1:]
    loader = unittest.TestLoader()
    if names:
        suite = loader.loadTestsFromNames(names)
    else:
        suite = loader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT))
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
