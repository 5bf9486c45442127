"""Tests that ``snipetrestle story`` finds the cause of a failed request in the log."""

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
        """Returns a request's log lines, as the sub-command reads them from a file."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "log"
            path.write_text("not JSON\n" + self.stream.getvalue())
            return select_lines(request, read_lines(path))

    def run_request(self, path, fault, adapter=None, name="r1"):
        """Sends a request with the id ``name`` to replicas with a fault."""

        async def check(fleet):
            for replica in fleet.replicas:
                replica.faults = [fault] * 4
            headers = [("X-Request-Id", name), ("X-Deadline-Ms", "900")]
            await fleet.send_request(path, adapter=adapter, headers=headers)

        run_fleet(check)

    def test_refusal_is_logged_with_its_reason(self):
        """Every refusal must be logged with its reason."""
        self.run_request("/entry/a", Fault.REFUSED)
        (failure_line,) = [
            line for line in self.story("r1") if line["event"] == "EV-1404"
        ]
        self.assertEqual(
            ("SN-1105", "did_not_run"), (failure_line["code"], failure_line["outcome"])
        )
        self.assertIn("503", failure_line["reason"])

    def test_broken_stream_is_logged_with_its_last_event(self):
        """When a stream breaks, its log must show where it broke."""
        self.run_request("/draft/a", Fault.RESET_IN_RESPONSE, adapter="")
        story = self.story("r1")
        failure_line = [line for line in story if line["event"] == "EV-1404"][-1]
        self.assertEqual("outcome_unknown", failure_line["outcome"])
        self.assertEqual(4, failure_line["last_event_id"])
        self.assertEqual(2, len(failure_line["sent_to"]))
        self.assertIn("EV-1405", [line["event"] for line in story])

    def test_write_with_unknown_outcome_is_logged_with_its_replica(self):
        """Guards against a write whose log does not show where it may have run."""
        self.run_request("/entry/a", Fault.RESET)
        (failure_line,) = [
            line for line in self.story("r1") if line["event"] == "EV-1404"
        ]
        self.assertEqual(
            ("SN-1302", "outcome_unknown"),
            (failure_line["code"], failure_line["outcome"]),
        )
        self.assertEqual(1, len(failure_line["sent_to"]))

    def test_unknown_request_has_no_lines(self):
        """Lines of other requests must not appear in the result."""
        self.assertEqual([], self.story("nobody"))
