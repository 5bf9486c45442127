"""Tests of the validation of settings and published configuration."""

import testtools

from snipetrestle.checking import InvalidDocument
from snipetrestle.published import PublishedConfiguration
from snipetrestle.settings import Settings

SETTINGS = """
daemon: {name: entry-1, failure_domain: palermo, region: sicily}
listen: {callers: "127.0.0.1:1", peers: "127.0.0.1:2", operators: "127.0.0.1:3"}
platform: {configuration_service: "http://127.0.0.1:4", host_list: "http://127.0.0.1:5"}
"""


class PublishedConfigurationTest(testtools.TestCase):
    def problems_of(self, text):
        error = self.assertRaises(InvalidDocument, PublishedConfiguration.parse, text)
        return {problem.path: problem.rule for problem in error.problems}

    def test_all_errors_are_reported_at_once(self):
        """The check must not stop at the first error."""
        problems = self.problems_of(
            "models: [{name: a}, {name: a, x: 1}]\nadapters: 3\ncolour: red\n"
        )
        self.assertEqual("must be a list", problems["adapters"])
        self.assertIn("unknown field", problems["models[1].x"])
        self.assertIn("unknown field", problems["colour"])
        self.assertEqual("is required", problems["customers"])

    def test_malformed_yaml_and_repeated_keys_are_refused(self):
        """By default, YAML keeps only the last of several repeated keys."""
        self.assertIn("not valid YAML", self.problems_of("models: [")[""])
        self.assertIn("is repeated", self.problems_of("models: []\nmodels: []\n")[""])

    def test_numbers_that_are_not_finite_are_refused(self):
        """NaN passes each comparison with a bound, and a rate or a target of NaN or
        infinity stops what is computed from it."""
        contract = (
            "{requests_per_second: 1, concurrency: 1, tokens_per_minute: 1,"
            " waiting_first_token_s: 1, %s}"
        )
        document = (
            "{models: [], adapters: [], backend_servers: [], daemons: [],"
            " customers: [{name: c, api_key_sha256: [], contract: %s}],"
            " policy: {load_stalls: %s}}"
        )
        PublishedConfiguration.parse(document % (contract % "weight: 1", "1.0"))
        for value in (".nan", ".inf", "-.inf", "1.0e400"):
            problems = self.problems_of(
                document % (contract % f"weight: {value}", "1.0")
            )
            self.assertEqual(["customers[0].contract.weight"], list(problems), value)
            problems = self.problems_of(document % (contract % "weight: 1", value))
            self.assertEqual(["policy.load_stalls"], list(problems), value)

    def test_valid_document_has_lookup_dictionaries(self):
        """A valid document must not be refused by the check."""
        configuration = PublishedConfiguration.parse(
            "{models: [{name: a}], adapters: [{name: b, model: a, versions: ['1']}],"
            " customers: [], daemons: [], backend_servers: [{name: e, address: 'x:1',"
            " failure_domain: d, region: r, model: a, adapter_slots: 1, max_batch: 1,"
            " weight_store: s}], weight_stores:"
            " [{name: s, loads_per_second: 1, parallel_loads: 1}]}"
        )
        self.assertEqual("a", configuration.adapters_by_name["b"].model)
        self.assertEqual("e", configuration.replicas_by_model["a"][0].name)


class SettingsTest(testtools.TestCase):
    def test_plain_text_is_refused_except_on_loopback(self):
        """Guards against a daemon that listens in plain text on a network address."""
        text = SETTINGS.replace("127.0.0.1:2", "10.0.0.1:2")
        error = self.assertRaises(InvalidDocument, Settings.from_text, text)
        self.assertEqual(["listen.peers"], [item.path for item in error.problems])

    def test_urls_that_cannot_be_read_are_refused(self):
        """A mistyped URL ended a task of the daemon at its first read."""
        for url in ("", "127.0.0.1:5", "ftp://127.0.0.1:5", "http://", "http://h:x"):
            text = SETTINGS.replace("http://127.0.0.1:5", url)
            error = self.assertRaises(InvalidDocument, Settings.from_text, text)
            self.assertEqual(
                ["platform.host_list"], [item.path for item in error.problems], url
            )

    def test_defaults_are_overridden(self):
        settings = Settings.from_text(SETTINGS + "logs: {level: DEBUG}\n")
        self.assertEqual("DEBUG", settings.logs.level)
        self.assertEqual("json", settings.logs.format)
