"""Tests of the operator interface."""

import json

import testtools

from snipetrestle.operators.interface import OperatorInterface
from snipetrestle.operators.reports import DaemonReport
from snipetrestle.published import PublishedConfiguration
from snipetrestle_standins.clock import run_in_virtual_time
from snipetrestle_standins.samples import SAMPLES, published_text, sample_api_key


class FakeSource:
    """OperatorSource that records drains and confirmed daemons."""

    def __init__(self, configuration):
        self._configuration = configuration
        self.drain_count = 0
        self.confirmed_names = []

    def configuration(self):
        return self._configuration

    def daemon_report(self):
        return DaemonReport("entry-1", "1-2", True, False, 7)

    def replica_reports(self):
        return []

    def metrics_text(self):
        return b"metric 1\n"

    def start_drain(self):
        self.drain_count += 1

    def confirm_stopped(self, name):
        self.confirmed_names.append(name)


class OperatorInterfaceTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        text = published_text(SAMPLES[0])
        self.source = FakeSource(PublishedConfiguration.parse(text))

    def request(self, method, path, key=None):
        sent = []
        headers = [] if key is None else [(b"authorization", f"Bearer {key}".encode())]
        path, _, query = path.partition("?")
        scope = {
            "type": "http",
            "method": method,
            "path": path,
            "query_string": query.encode(),
            "headers": headers,
        }

        async def call():
            async def send(message):
                sent.append(message)

            await OperatorInterface(self.source)(scope, None, send)

        run_in_virtual_time(call)
        return sent[0]["status"], sent[1]["body"]

    def test_customer_keys_and_missing_keys_are_refused(self):
        """No customer may drain a daemon with its own key."""
        for key in (None, "", sample_api_key("shop-counters"), "x"):
            status, body = self.request("POST", "/v1/drain", key)
            self.assertEqual((401, "SN-1001"), (status, json.loads(body)["code"]))
            self.assertEqual(401, self.request("GET", "/metrics", key)[0])
        self.assertEqual(0, self.source.drain_count)

    def test_an_operator_reads_reports_and_drains(self):
        key = sample_api_key("operator")
        status, body = self.request("GET", "/v1/status", key)
        self.assertEqual((200, 7), (status, json.loads(body)["configuration_revision"]))
        status, body = self.request("GET", "/v1/adapters?name=workshop-001*", key)
        self.assertEqual(10, len(json.loads(body)))
        self.assertEqual(
            3, len(json.loads(self.request("GET", "/v1/contracts", key)[1]))
        )
        self.assertEqual(202, self.request("POST", "/v1/drain", key)[0])
        self.assertEqual(1, self.source.drain_count)
        self.assertEqual(404, self.request("GET", "/v1/none", key)[0])

    def test_only_a_known_daemon_can_be_confirmed_as_stopped(self):
        """A mistyped name could confirm the wrong host as stopped."""
        key = sample_api_key("operator")
        path = "/v1/confirm-stopped?name="
        self.assertEqual(401, self.request("POST", path + "entry-3", "x")[0])
        self.assertEqual(404, self.request("POST", path + "entry-33", key)[0])
        self.assertEqual(404, self.request("POST", path, key)[0])
        self.assertEqual([], self.source.confirmed_names)
        self.assertEqual(202, self.request("POST", path + "entry-3", key)[0])
        self.assertEqual(["entry-3"], self.source.confirmed_names)
