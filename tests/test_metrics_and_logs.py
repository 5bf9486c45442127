"""Tests of metrics and log lines."""

import io
import json

import testtools
from loguru import logger

from snipetrestle.events import Event, log_event
from snipetrestle.logs import set_up_logs
from snipetrestle.metrics import MAX_CUSTOMER_LABELS, Metrics
from snipetrestle.settings import LogSettings
from snipetrestle_standins.clock import run_in_virtual_time
from snipetrestle_standins.data_path import MODEL, DataPath
from tests.callers.caller import Caller


class MetricsTest(testtools.TestCase):
    def test_labels_are_bounded(self):
        """Metrics must not grow with the number of customers or adapters."""
        metrics = Metrics()
        for number in range(MAX_CUSTOMER_LABELS + 50):
            metrics.series(f"customer-{number}", "waiting").first_token.observe(0.1)
            metrics.count_request(f"customer-{number}", "waiting", None, 3)
        text = metrics.text().decode()
        names = {
            line.partition('customer="')[2].partition('"')[0]
            for line in text.splitlines()
            if "customer=" in line
        }
        self.assertEqual(MAX_CUSTOMER_LABELS + 1, len(names))
        self.assertIn("other", names)

    def test_a_request_shows_in_each_histogram(self):
        """If no code records into a histogram, it stays empty unnoticed."""

        async def main():
            async with DataPath() as path:
                daemon = path.daemons_by_name["entry-1"]
                await Caller(daemon).complete()
                await Caller(daemon).complete(max_tokens=0)
                return daemon.metrics.text().decode()

        text = run_in_virtual_time(main)
        labels = '{customer="counter",request_class="waiting"}'
        for name, count in (
            ("queue_wait_seconds", 1),
            ("first_token_seconds", 1),
            ("between_tokens_seconds", 7),
            ("load_stall_seconds", 1),
            ("batch_size", 1),
        ):
            self.assertIn(f"snipetrestle_{name}_count{labels} {count}.0", text)
        for code in ("SN-0", "SN-1002"):
            self.assertIn(
                'requests_total{code="' + code + '",customer="counter",'
                'request_class="waiting"} 1.0',
                text,
            )
        self.assertNotIn("workshop-0", text)
        self.assertNotIn(MODEL, text)


class LogsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.addCleanup(logger.remove)

    def test_json_and_text(self):
        """Guards against a log line that cannot be parsed or lacks a field."""
        stream = io.StringIO()
        set_up_logs(LogSettings("json", "INFO"), stream)
        log_event(Event.STREAM_RESUMED, request_id="r1", reason='broken {x} "quoted"')
        log_event(Event.REQUEST_REFUSED, code="SN-1002")
        lines = stream.getvalue().splitlines()
        self.assertEqual(1, len(lines), "the DEBUG event is below the level")
        record = json.loads(lines[0])
        self.assertEqual(
            ("EV-1308", "INFO", "r1", 'broken {x} "quoted"'),
            (record["event"], record["level"], record["request_id"], record["reason"]),
        )
        stream = io.StringIO()
        set_up_logs(LogSettings("text", "INFO"), stream)
        log_event(Event.STREAM_RESUMED, reason="broken {x} <red>")
        self.assertIn(
            "EV-1308 stream resumed reason=broken {x} <red>", stream.getvalue()
        )
