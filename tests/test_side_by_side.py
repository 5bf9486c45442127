"""Tests of the verdict over test modules that run in processes of their own."""

import contextlib
import io
import pathlib
import tempfile
import textwrap

import testtools

from tests.side_by_side import ModuleRun, run_modules, total_counts

PASSES = """
    import unittest

    class PassingTest(unittest.TestCase):
        def test_passes(self):
            pass
"""
FAILS = """
    import unittest

    class FailingTest(unittest.TestCase):
        def test_fails(self):
            self.fail()
"""
ENDS = """
    import os

    os._exit(0)
"""
RUNNER = pathlib.Path(__file__).with_name("run.py")
SIDE_BY_SIDE = pathlib.Path(__file__).with_name("side_by_side.py")


class SideBySideTest(testtools.TestCase):
    def run_modules(self, **sources):
        """Returns the ModuleRuns, by name, of modules with these sources."""
        with tempfile.TemporaryDirectory() as root:
            folder = pathlib.Path(root, "tests")
            folder.mkdir()
            folder.joinpath("__init__.py").touch()
            for path in (RUNNER, SIDE_BY_SIDE):
                folder.joinpath(path.name).write_text(path.read_text())
            for name, source in sources.items():
                path = folder.joinpath(f"test_{name}.py")
                path.write_text(textwrap.dedent(source))
            with contextlib.redirect_stdout(io.StringIO()):
                runs = run_modules([f"tests.test_{name}" for name in sources], root)
        return {run.name.removeprefix("tests.test_"): run for run in runs}

    def test_failures_of_all_modules_count(self):
        """Guards against a failure that another module's success hides."""
        runs = self.run_modules(first=PASSES, second=FAILS, third=PASSES)
        total = total_counts(runs.values())
        self.assertEqual((2, 1), (total["passed"], total["failed"]))
        self.assertEqual(1, runs["second"].failed)

    def test_module_that_ends_without_counts_has_failed(self):
        """Guards against a process that exits with 0 before its tests have run."""
        runs = self.run_modules(ends=ENDS)
        self.assertEqual((0, 1), (runs["ends"].passed, runs["ends"].failed))

    def test_module_that_cannot_be_imported_has_failed(self):
        """Guards against a module with an error that counts as one without tests."""
        runs = self.run_modules(broken="import no_such_module\n")
        self.assertLessEqual(1, runs["broken"].failed)

    def test_exit_code_counts_beside_the_counts(self):
        """Guards against a process that fails after it has printed its counts."""
        run = ModuleRun.from_output("a", 1, 0.1, "OK\n3 passed, 0 failed, 0 skipped")
        self.assertEqual((3, 1), (run.passed, run.failed))
