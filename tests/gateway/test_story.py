"""Tests that the log lines lead from a failed request's id to its cause."""

import io
import pathlib
import tempfile

import testtools
from loguru import logger

from snipetrestle.cli.story import read_lines, select_lines
from snipetrestle.logs import LogSettings, set_up_logs
from snipetrestle_standins.platform_replica import Fault
from tests.gateway.running import run_fleet


class StoryTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.stream = io.StringIO()
        set_up_logs(LogSettings(), self.stream)
        self.addCleanup(logger.remove)

    def story(self, request):
        """Returns the story as the sub-command finds it in a file."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "log"
            path.write_text("not JSON\n" + self.stream.getvalue())
            return select_lines(request, read_lines(path))

    def play(self, path, fault, adapter=None, name="r1"):
        async def check(fleet):
            for replica in fleet.replicas:
                replica.faults = [fault] * 4
            headers = [("X-Request-Id", name), ("X-Deadline-Ms", "900")]
            await fleet.ask(path, adapter=adapter, headers=headers)

        run_fleet(check)

    def test_refused_at_the_door(self):
        """Guards against a refusal without its reason."""
        self.play("/entry/a", Fault.FULL)
        (last,) = [line for line in self.story("r1") if line["event"] == "EV-1404"]
        self.assertEqual(("SN-1105", "did_not_run"), (last["code"], last["outcome"]))
        self.assertIn("503", last["reason"])

    def test_broken_midway(self):
        """Guards against a broken stream that cannot be told from another."""
        self.play("/draft/a", Fault.RESET_IN_ANSWER, adapter="")
        story = self.story("r1")
        last = [line for line in story if line["event"] == "EV-1404"][-1]
        self.assertEqual("outcome_unknown", last["outcome"])
        self.assertEqual(4, last["last_event_id"])
        self.assertEqual(2, len(last["sent_to"]))
        self.assertIn("EV-1405", [line["event"] for line in story])

    def test_write_with_unknown_outcome(self):
        """Guards against a write of which nobody knows where it may have run."""
        self.play("/entry/a", Fault.RESET)
        (last,) = [line for line in self.story("r1") if line["event"] == "EV-1404"]
        self.assertEqual(
            ("SN-1302", "outcome_unknown"), (last["code"], last["outcome"])
        )
        self.assertEqual(1, len(last["sent_to"]))

    def test_unknown_request(self):
        """Guards against a story made of other requests' lines."""
        self.assertEqual([], self.story("nobody"))
