"""Tests of the adapter to the users' platform: settings, entries and headers."""

import hashlib
import os
import subprocess
import sys
import tempfile

import msgspec
import testtools

from snipetrestle.gateway.configuration import (
    AdapterKey,
    AdapterVersion,
    ReplicaEntry,
    RequestKind,
)
from snipetrestle.gateway.dialect import AttemptMetadata, KeyProblem, TokenCount
from snipetrestle.gateway.publication.published_items import PublishedItem, Unlisted
from snipetrestle.gateway.quarantine.request_fingerprint import prompt_part_key
from snipetrestle.platform.entries import decode_item
from snipetrestle.platform.headers import PlatformDialect
from snipetrestle.platform.settings import InvalidSettings, parse_settings
from snipetrestle_standins.gateway_fleet import configuration

SETTINGS = """\
node=entry-1
zone=zone-1
ip=10.0.0.1
listen.front=10.0.0.1:8149
listen.ready=10.0.0.1:8141
listen.control=10.0.0.1:8144
port_range=7380,7395
seeds=10.0.0.1:8144,10.0.0.2:8144
limits.cpu_share=0.5
limits.cores=2
provider.address=10.9.0.1:8142
heartbeat_ms=1200
bounds.lease_ms=3000
bounds.drain_ms=2000
bounds.config_apply_ms=2000
bounds.grace_s=8
bounds.retry_budget_ratio=0.2
bounds.budget_slack=54
bounds.budget_window_s=10
a.field.that.is=new
"""


class SettingsTest(testtools.TestCase):
    def test_all_fields_are_converted(self):
        """Units could be mixed up (milliseconds as seconds), and addresses read from
        wrong fields."""
        settings = parse_settings(SETTINGS)
        self.assertEqual(("10.0.0.1", 8149), settings.callers)
        self.assertEqual(("10.0.0.1", 7380), settings.peers)
        self.assertEqual((("10.0.0.1", 7380), ("10.0.0.2", 7380)), settings.seeds)
        self.assertEqual(
            (1.0, 3.0, 2.0), (settings.size, settings.lease_s, settings.replica_drain_s)
        )
        self.assertEqual(54.0, settings.retry_budget.slack)
        self.assertAlmostEqual(3.6, settings.entry_expiry_s)

    def test_permits_are_used_only_if_the_settings_say_so(self):
        """Permits made callers wait longer on days with bursts."""
        self.assertFalse(parse_settings(SETTINGS).dispatch_permits)
        settings = parse_settings(f"{SETTINGS}dispatch.permits=true\n")
        self.assertTrue(settings.dispatch_permits)
        with self.assertRaises(InvalidSettings):
            parse_settings(f"{SETTINGS}dispatch.permits=yes\n")

    def test_memory_limit(self):
        """Without the field a host counts as one of the smallest; a limit of nothing
        would refuse all callers."""
        self.assertEqual(152.0, parse_settings(SETTINGS).memory_mb)
        settings = parse_settings(f"{SETTINGS}limits.memory_mb=304.5\n")
        self.assertEqual(304.5, settings.memory_mb)
        for value in ("0", "-1", "nan", "many", ""):
            self.assertRaises(
                InvalidSettings, parse_settings, f"{SETTINGS}limits.memory_mb={value}\n"
            )

    def test_history_of_the_store_is_assumed_only_if_it_is_named(self):
        """A default would claim a past that the store may not have."""
        settings = parse_settings(SETTINGS)
        self.assertEqual((None, 1.2), (settings.history_s, settings.heartbeat_s))
        text = SETTINGS.replace("heartbeat_ms=1200\n", "provider.history_s=45\n")
        settings = parse_settings(text)
        self.assertEqual((45.0, 0.0), (settings.history_s, settings.heartbeat_s))

    def test_errors_list_every_bad_field(self):
        """Incomplete settings must be refused with one error that names every bad
        field, instead of errors that are shown one by one."""
        text = SETTINGS.replace("node=entry-1\n", "")
        text = text.replace("lease_ms=3000", "lease_ms=soon")
        text = text.replace("listen.front=10.0.0.1:8149", "listen.front=8149")
        error = self.assertRaises(InvalidSettings, parse_settings, text)
        named = [problem.partition(":")[0] for problem in error.problems]
        self.assertEqual({"node", "bounds.lease_ms", "listen.front"}, set(named))

    def test_values_that_cannot_be_acted_on_are_refused(self):
        """A reload with a port out of range closed the socket for datagrams between
        hosts for ever, and other values passed each comparison with a bound."""
        for change, name in (
            (("port_range=7380", "port_range=73800"), "port_range"),
            (("port_range=7380", "port_range=0"), "port_range"),
            (("seeds=10.0.0.1", "seeds=10.0.0.1\0"), "seeds"),
            (("seeds=10.0.0.1", "seeds=10.0.0.1 "), "seeds"),
            (("seeds=10.0.0.1:8144", "seeds=10.0.0.1:81440"), "seeds"),
            (("front=10.0.0.1:8149", "front=10.0.0.1:81490"), "listen.front"),
            (("front=10.0.0.1", "front="), "listen.front"),
            (("ip=10.0.0.1\n", "ip=\n"), "ip"),
            (("node=entry-1", "node="), "node"),
            (("node=entry-1", "node=" + "n" * 201), "node"),
            (("zone=zone-1", "zone=" + "z" * 201), "zone"),
            (("lease_ms=3000", "lease_ms=0"), "bounds.lease_ms"),
            (("lease_ms=3000", "lease_ms=nan"), "bounds.lease_ms"),
            (("drain_ms=2000", "drain_ms=-1"), "bounds.drain_ms"),
            (("apply_ms=2000", "apply_ms=inf"), "bounds.config_apply_ms"),
            (("grace_s=8", "grace_s=nan"), "bounds.grace_s"),
            (("slack=54", "slack=-1"), "bounds.budget_slack"),
            (("window_s=10", "window_s=nan"), "bounds.budget_window_s"),
            (("cores=2", "cores=inf"), "limits.cores"),
            (("heartbeat_ms=1200", "heartbeat_ms=nan"), "heartbeat_ms"),
        ):
            text = SETTINGS.replace(*change)
            self.assertNotEqual(SETTINGS, text)
            error = self.assertRaises(InvalidSettings, parse_settings, text)
            named = [problem.partition(":")[0] for problem in error.problems]
            self.assertEqual([name], named, change)

    def test_zeros_that_have_a_meaning_are_accepted(self):
        """An operator may switch off retries, or a time of grace."""
        text = SETTINGS
        for change in (("ratio=0.2", "ratio=0"), ("slack=54", "slack=0")):
            text = text.replace(*change)
        text = text.replace("grace_s=8", "grace_s=0")
        settings = parse_settings(text)
        self.assertEqual(
            (0.0, 0.0, 0.0),
            (
                settings.retry_budget.ratio,
                settings.retry_budget.slack,
                settings.shutdown_grace_s,
            ),
        )


class EntriesTest(testtools.TestCase):
    def item(self, key, content):
        value = content if isinstance(content, bytes) else msgspec.json.encode(content)
        return PublishedItem(key, 1, value)

    def test_configuration_is_decoded(self):
        """Guards against mixed-up fields."""
        decoded = decode_item(self.item("op/config", configuration(4)))
        routes = {route.name: route for route in decoded.routes}
        self.assertEqual(4, decoded.version)
        self.assertEqual(RequestKind.NON_IDEMPOTENT, routes["entry"].kind)
        self.assertFalse(routes["entry"].repeatable)
        self.assertTrue(routes["draft"].repeatable)
        self.assertFalse(routes["night"].repeatable)
        self.assertEqual(5.0, routes["draft"].timeout_s)
        self.assertEqual(0.5, decoded.limits.header_timeout_s)
        self.assertEqual(4, decoded.backends_by_name["models"].adapter_slots)

    def test_declared_version_is_decoded_and_unknown_item_skipped(self):
        """An unknown item is skipped, since it must not make the decoding fail; a
        configuration without its fields is still an error."""
        content = {"model": "m0", "adapter": "a1", "version": 3}
        self.assertEqual(
            AdapterVersion(AdapterKey("m0", "a1"), 3),
            decode_item(self.item("op/version/m0.a1", content)),
        )
        self.assertIsNone(decode_item(self.item("op/news", b"\xff")))
        bad = self.item("op/config", b"{}")
        self.assertRaises(ValueError, decode_item, bad)

    def test_replica_is_decoded_or_unlisted(self):
        """Entries of other writers, with an unknown state or a malformed field, must
        not be taken for replicas."""
        entry = {
            "backend": "b",
            "address": "10.0.0.9:80",
            "zone": "z",
            "state": "draining",
            "born": 5,
            "remaining_ms": 1500,
            "models": [{"name": "m0", "version": 1, "adapters": ["a1@2"]}],
        }
        decoded = decode_item(self.item("servers/i-1", entry))
        self.assertIsInstance(decoded, ReplicaEntry)
        self.assertEqual(
            ("i-1", 5, 1.5), (decoded.id, decoded.boot, decoded.remaining_s)
        )
        self.assertEqual({"a1": 2}, decoded.models[0].versions_by_adapter)
        for change in (
            {"state": "asleep"},
            {"address": "10.0.0.9"},
            {"born": 1.5},
            {"backend": None},
            {"models": [{"name": "m0", "adapters": ["a1@x"]}]},
        ):
            decoded = decode_item(self.item("servers/i-1", {**entry, **change}))
            self.assertIsInstance(decoded, Unlisted, change)
        self.assertEqual(
            Unlisted("i-1"), decode_item(PublishedItem("servers/i-1", 2, None))
        )


class DialectTest(testtools.TestCase):
    def test_request_head_has_reserved_headers_of_the_gateway(self):
        """A caller could set reserved headers itself, and headers could get lost on the
        way to a replica."""
        dialect = PlatformDialect()
        headers = [
            (b"host", b"desk"),
            (b"x-request-id", b"r1"),
            (b"x-model", b"m0/a1"),
            (b"x-token-count", b"100,20"),
            (b"last-event-id", b"4"),
            (b"x-deadline-ms", b"9000"),
            (b"kv-from", b"10.0.0.1:80/h"),
            (b"x-expect-version", b"9"),
            (b"connection", b"close, x-model"),
            (b"content-length", b"3"),
        ]
        facts = dialect.read_request(headers)
        self.assertEqual(AdapterKey("m0", "a1"), facts.adapter)
        self.assertEqual(
            (9.0, 4, 100), (facts.deadline_s, facts.last_event_id, facts.prompt_tokens)
        )
        head = dialect.request_head(
            b"POST", b"/x", headers, 3, AttemptMetadata("i-1", 1.25, 2, 7, 6)
        )
        lines = head.decode().split("\r\n")
        for line in (
            "x-model: m0/a1",
            "x-deadline-ms: 1250",
            "x-expect-instance: i-1",
            "x-expect-version: 7",
            "last-event-id: 6",
            "content-length: 3",
        ):
            self.assertIn(line, lines)
        for name in (
            "kv-from",
            "connection",
            "x-deadline-ms: 9000",
            "last-event-id: 4",
        ):
            self.assertNotIn(name, head.decode())

    def test_tenant_of_the_caller_replaces_what_the_caller_claims(self):
        """A replica could see a key, or take a name that a caller claims."""
        headers = [
            (b"host", b"desk"),
            (b"x-request-id", b"r1"),
            (b"x-credential", b"secret"),
            (b"x-tenant", b"claimed"),
        ]
        for name, expected in (("caf\u00e9", ["x-tenant: caf\u00e9"]), (None, [])):
            attempt = AttemptMetadata("i-1", 1.25, 2, tenant=name)
            head = PlatformDialect().request_head(b"GET", b"/x", headers, 0, attempt)
            lines = head.decode().split("\r\n")
            self.assertEqual(expected, [line for line in lines if "tenant" in line])
            self.assertNotIn(b"secret", head)
            self.assertNotIn(b"claimed", head)

    def test_key_is_kept_as_its_digest_only(self):
        """Whatever shows the metadata of a request would show the key."""
        digest = hashlib.sha256(b"secret").hexdigest()
        for values, expected in (
            ([b"secret"], (digest, None)),
            ([b"\tsecret "], (digest, None)),
            ([], (None, KeyProblem.MISSING)),
            ([b""], (None, KeyProblem.EMPTY)),
            ([b"x" * 257], (None, KeyProblem.TOO_LONG)),
            ([b"secret", b"secret"], (None, KeyProblem.REPEATED)),
            ([b"secret", b""], (None, KeyProblem.REPEATED)),
        ):
            headers = [(b"x-credential", value) for value in values]
            facts = PlatformDialect().read_request([(b"x-request-id", b"r1"), *headers])
            self.assertEqual(expected, (facts.key_digest, facts.key_problem))
            self.assertNotIn("secret", repr(facts))

    def test_token_count_is_valid_malformed_or_absent(self):
        """A request without usable numbers could count as one without tokens."""
        for values, expected, counts in (
            ([], TokenCount.ABSENT, (0, 0)),
            ([b"100,20"], TokenCount.VALID, (100, 20)),
            ([b" 100 , 0 "], TokenCount.VALID, (100, 0)),
            ([b""], TokenCount.MALFORMED, (0, 0)),
            ([b"100"], TokenCount.MALFORMED, (0, 0)),
            ([b"100,"], TokenCount.MALFORMED, (0, 0)),
            ([b"1,2,3"], TokenCount.MALFORMED, (0, 0)),
            ([b"-1,2"], TokenCount.MALFORMED, (0, 0)),
            ([b"1.5,2"], TokenCount.MALFORMED, (0, 0)),
            ([b"+1,2"], TokenCount.MALFORMED, (0, 0)),
            ([b"\xb2,2"], TokenCount.MALFORMED, (0, 0)),
            ([b"9" * 19 + b",2"], TokenCount.MALFORMED, (0, 0)),
            # Placement goes by the last one, as before there were tenants.
            ([b"100,20", b"100,20"], TokenCount.MALFORMED, (100, 20)),
            ([b"1,2", b"none"], TokenCount.MALFORMED, (0, 0)),
        ):
            headers = [(b"x-token-count", value) for value in values]
            facts = PlatformDialect().read_request([(b"x-request-id", b"r1"), *headers])
            self.assertEqual(expected, facts.token_count, values)
            self.assertEqual(counts, (facts.prompt_tokens, facts.output_tokens))

    def test_resumed_stream_is_named_once_with_an_event(self):
        """A request could go on with another stream than the one that its caller has."""
        event = (b"last-event-id", b"4")
        for headers, expected in (
            ([event], (None, False)),
            ([event, (b"resumes", b"r0")], (b"r0", False)),
            ([event, (b"resumes", b"x" * 256)], (b"x" * 256, False)),
            ([event, (b"resumes", b"x" * 257)], (b"x" * 257, True)),
            ([event, (b"resumes", b"")], (b"", True)),
            ([event, (b"resumes", b"r0"), (b"resumes", b"r0")], (b"r0", True)),
            ([(b"resumes", b"r0")], (b"r0", True)),
            ([(b"last-event-id", b"last"), (b"resumes", b"r0")], (b"r0", True)),
        ):
            facts = PlatformDialect().read_request([(b"x-request-id", b"r1"), *headers])
            self.assertEqual(expected, (facts.resumes, facts.has_bad_resumes))

    def test_shared_prompt_parts_leave_out_the_last(self):
        """The last part is the request's own, so nothing can be learned from it."""
        dialect = PlatformDialect()
        for value, expected in (
            (b"5c1e07a2:800,91bd3f06:410,e4402b7d:250", ("5c1e07a2", "91bd3f06")),
            (b"5c1e07a2:800", ()),
            (b"", ()),
            (b"x" * 16 + b":1,y:2", ("x" * 16,)),
            (b"x" * 100 + b":1,y:2", (prompt_part_key("x" * 100),)),
            (b"a:1," * 50 + b"b:1", ("a",) * 32),
        ):
            headers = [(b"x-request-id", b"r1"), (b"x-prompt-prefix", value)]
            self.assertEqual(
                expected, dialect.read_request(headers).shared_prompt_parts
            )
        facts = dialect.read_request([(b"x-request-id", b"r1")])
        self.assertEqual((), facts.shared_prompt_parts)

    def test_long_ids_of_prompt_parts_have_short_keys_of_their_own(self):
        """Long ids made messages between hosts too long, and cut off, they could be
        equal: a sound part would have been refused with one that crashes replicas."""
        keys = {prompt_part_key("x" * 100 + end) for end in ("", "1", "2")}
        self.assertEqual(3, len(keys))
        self.assertEqual({16}, set(map(len, keys)))

    def test_response_facts_and_hop_by_hop_headers(self):
        """Guards against a refusal taken for a response of an executed request, and
        against forwarded hop-by-hop headers."""
        facts = PlatformDialect().read_response(
            503,
            [
                (b"x-not-executed", b"1"),
                (b"x-request-id", b"r1"),
                (b"keep-alive", b"timeout=7, max=3"),
                (b"connection", b"x-hop"),
                (b"x-hop", b"1"),
            ],
        )
        self.assertTrue(facts.not_executed)
        self.assertFalse(facts.signed)
        self.assertEqual(7.0, facts.idle_timeout_s)
        self.assertEqual(
            [b"x-not-executed", b"x-request-id"], [name for name, _ in facts.headers]
        )

    def test_request_limit_is_a_positive_number(self):
        """A limit that cannot be read must neither stop a replica nor a process."""
        dialect = PlatformDialect()
        for value, expected in (
            (b"4.1", 4.1),
            (b"3", 3.0),
            (b"0", None),
            (b"-1", None),
            (b"inf", None),
            (b"nan", None),
            (b"few", None),
            (b"1e308", None),
            (b"1e-320", None),
        ):
            facts = dialect.read_response(200, [(b"server-limit", value)])
            self.assertEqual(expected, facts.request_limit_per_s, value)
        self.assertIsNone(dialect.read_response(200, []).request_limit_per_s)


class ProcessTest(testtools.TestCase):
    def test_invalid_settings_end_the_process_with_every_problem(self):
        """With incomplete settings, neither command may start, nor exit without an
        error message."""
        for command in (["snipetrestle.platform"], ["snipetrestle", "gateway"]):
            with tempfile.NamedTemporaryFile("w", suffix=".conf") as settings:
                settings.write("node=entry-1\n")
                settings.flush()
                result = subprocess.run(
                    [sys.executable, "-m", *command],
                    env={**os.environ, "SNIPETRESTLE_CONFIG": settings.name},
                    capture_output=True,
                    text=True,
                    timeout=60,
                )
            self.assertEqual(3, result.returncode, result.stderr)
            self.assertIn("EV-1006", result.stdout)
            self.assertIn("listen.front: is missing", result.stdout)
