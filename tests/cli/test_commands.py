"""Tests of the sub-commands' output and exit codes."""

import contextlib
import io
import json
import os
import pathlib
import tempfile
import unittest.mock

import cappa
import testtools

from snipetrestle.cli.check import Check
from snipetrestle.cli.explain import Explain
from snipetrestle.cli.remote import KEY_VARIABLE
from snipetrestle.cli.reports import Status

SAMPLES = pathlib.Path(__file__).resolve().parent.parent.parent / "samples"


class CommandTest(testtools.TestCase):
    def invoke(self, command, *argv):
        """Returns (exit code, standard output)."""
        output = io.StringIO()
        try:
            with contextlib.redirect_stdout(output):
                cappa.invoke(command, argv=list(argv), output=cappa.Output())
        except cappa.Exit as error:
            return error.code or 0, output.getvalue()
        return 0, output.getvalue()

    def set_key(self, key):
        patched = unittest.mock.patch.dict(os.environ, {KEY_VARIABLE: key})
        patched.start()
        self.addCleanup(patched.stop)

    def write_document(self, text):
        """Returns the path of a temporary file with the text."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name) / "document.yaml"
        path.write_text(text)
        return str(path)

    def test_check_lists_every_error_with_path_value_and_rule(self):
        """A check that stops at the first error would hide the others."""
        path = self.write_document("models: 3\ncolour: red\n")
        code, output = self.invoke(Check, "--published", path, "--json")
        self.assertEqual(3, code)
        problems = {item["path"]: item for item in json.loads(output)["problems"]}
        self.assertEqual("must be a list", problems["models"]["rule"])
        self.assertEqual("3", problems["models"]["value"])
        self.assertIn("unknown field", problems["colour"]["rule"])
        self.assertEqual({"SN-1602"}, {item["code"] for item in problems.values()})

    def test_check_accepts_the_samples(self):
        code, output = self.invoke(
            Check,
            "--settings",
            str(SAMPLES / "kitami" / "entry-1.yaml"),
            "--published",
            str(SAMPLES / "kitami" / "published.yaml"),
        )
        self.assertEqual((0, "valid\n"), (code, output))

    def test_check_reports_a_missing_file(self):
        """Guards against a traceback for a mistyped path."""
        code, output = self.invoke(Check, "--settings", "/nonexistent/settings.yaml")
        self.assertEqual(3, code)
        self.assertIn("must be a readable text file", output)

    def test_explain_knows_codes_and_events(self):
        code, output = self.invoke(Explain, "sn-1105", "--json")
        self.assertEqual(0, code)
        self.assertEqual("did_not_run", json.loads(output)["outcome"])
        self.assertEqual(0, self.invoke(Explain, "EV-1101")[0])
        self.assertEqual(3, self.invoke(Explain, "SN-9999")[0])

    def test_status_of_an_unreachable_daemon_exits_with_4(self):
        """Scripts could mistake an unreachable daemon for success."""
        self.set_key("key")
        code, _ = self.invoke(Status, "--url", "http://127.0.0.1:1")
        self.assertEqual(4, code)

    def test_status_without_a_key_is_a_usage_error(self):
        self.set_key("")
        self.assertEqual(2, self.invoke(Status)[0])
