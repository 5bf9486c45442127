"""Tests of the start of the real program."""

import os
import pathlib
import subprocess
import sys

import testtools

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
EXIT_INVALID_SETTINGS = 3
# Runs the program and sends SIGHUP to it when it imports its first library.
PROGRAM = """
import os, runpy, signal, sys

class SignalOnImport:
    def find_spec(self, name, path=None, target=None):
        if name == "anyio":
            os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, SignalOnImport())
runpy.run_module("snipetrestle.platform", run_name="__main__")
"""


class StartTest(testtools.TestCase):
    def test_reload_signal_does_not_end_a_starting_process(self):
        """The platform may signal changed settings while a process starts. The signal
        ended it until its imports were done."""
        environment = {
            **os.environ,
            "PYTHONPATH": str(ROOT),
            "SNIPETRESTLE_CONFIG": os.devnull,
        }
        result = subprocess.run(
            [sys.executable, "-c", PROGRAM],
            cwd=ROOT,
            env=environment,
            stdout=subprocess.DEVNULL,
            check=False,
        )
        # Without settings it ends by itself, with the exit code for these.
        self.assertEqual(EXIT_INVALID_SETTINGS, result.returncode)
