"""Tests that odd items of the store are refused within bounds, and sound ones taken."""

import contextlib
import json
import random

import hypothesis
import testtools
from hypothesis import strategies

from snipetrestle.coordination.messaging import messages
from snipetrestle.coordination.placement import orders
from snipetrestle.gateway.backends.replicas import Replica
from snipetrestle.gateway.configuration import (
    AdapterVersion,
    ReplicaEntry,
    RoutingConfiguration,
)
from snipetrestle.gateway.publication.published_items import PublishedItem, Unlisted
from snipetrestle.platform.entries import decode_item
from snipetrestle_standins.gateway_fleet import configuration

INFO = messages.HostInfo("entry-9", 1, "127.0.0.1", 9, "zone-1", 1.0)
ENTRY = {
    "backend": "models",
    "address": "10.0.0.9:80",
    "zone": "zone-1",
    "state": "ready",
    "slots": 8,
    "born": 1_790_000_000_000,
    "seq": 12,
    "models": [{"name": "m0", "version": 3, "adapters": ["a1@2", "a2"]}],
}
DEEP = b'{"new": ' + b"[" * 100_000 + b"]" * 100_000 + b"}"
# Fields of a replica's entry that no replica can mean.
ODD_FIELDS = [
    ("address", "10.0.0.9:70000"),
    ("address", "10.0.0.9:0"),
    ("address", "10.0.0.9:-1"),
    ("address", "10.0.0.9:+80"),
    ("address", "10.0.0.9: 80"),
    ("address", "10.0.0.9:8_0"),
    ("address", "10.0.0.9:\u0668\u0660"),
    ("address", "10.0.0.9:" + "9" * 5000),
    ("address", ":80"),
    ("address", "host.example:80"),
    ("address", "10.0.0.9\r\nEvil: 1:80"),
    ("address", "fe80::1%a\r\nEvil: 1:80"),
    ("address", "0.0.0.0:80"),
    ("address", "224.0.0.1:80"),
    ("address", "255.255.255.255:80"),
    ("born", -1),
    ("born", 2**63),
    ("born", 10**30),
    ("seq", -1),
    ("seq", 10**30),
    ("slots", -1),
    ("slots", 10**30),
    ("slots", "8"),
    ("remaining_ms", 1e300),
    ("remaining_ms", "soon"),
    ("backend", ""),
    ("backend", "b" * 201),
    ("zone", "z" * 201),
    ("models", [{"name": "m" * 201}]),
    ("models", [{"name": "m0", "version": 10**30}]),
    ("models", [{"name": "m0", "adapters": ["a" * 201]}]),
    ("models", [{"name": "m0", "adapters": ["a1@-1"]}]),
    ("models", [{"name": "m0", "adapters": ["a1@" + "9" * 30]}]),
    ("models", [{"name": "m0", "adapters": ["a1@" + "9" * 5000]}]),
    ("models", [{"name": "m0", "adapters": ["a1@1_0"]}]),
]
ODD_CONTENTS = [
    b"",
    b"\xff\xfe",
    b"null",
    b"[]",
    b"{}",
    DEEP,
    DEEP[:100],
    json.dumps(ENTRY)[:-1].encode() + b', "remaining_ms": 1e999}',
    json.dumps(ENTRY)[:-1].encode() + b', "remaining_ms": NaN}',
]


ODD_IDS = ["", "i-1\r\nEvil: 1", "i\x00", "i\x7f", "i" * 201]
# Fields of a sound entry: other writers of the same fields, and fields of the future.
SOUND_FIELDS = [
    ("born", 0),
    ("remaining_ms", 1500),
    ("remaining_ms", 0.5),
    ("remaining_ms", None),
    ("slots", 0),
    ("models", []),
    ("new", {"deep": [[[[1e300]]]]}),
    ("version", "2026.1"),
    ("cold_remaining_ms", 250.5),
    ("address", "127.0.0.1:65535"),
    ("address", "fd00::9:80"),
]


CONFIGURATION = configuration(4)
_RUNTIME = ("backends", 0, "runtime")
ODD_CONFIGURATION_VALUES = [
    (("version",), -1),
    (("version",), 10**30),
    (("routes", 0, "timeout_ms"), 0),
    (("routes", 0, "timeout_ms"), -1),
    (("routes", 0, "timeout_ms"), 1e300),
    (("routes", 0, "target_latency_ms"), -1),
    (("routes", 0, "target_latency_ms"), 1e300),
    (("routes", 0, "attempts"), -1),
    (("routes", 0, "attempts"), 10**30),
    (("routes", 0, "backend"), None),
    (("routes", 0, "gap_aim_ms"), -1),
    (("routes", 0, "split"), [{"backend": "models", "weight": -1}]),
    (("routes", 0, "split"), [{"backend": "models", "weight": 0}] * 2),
    (("routes", 0, "split"), [{"backend": "models", "weight": 1e308}] * 2),
    (("limits", "max_header_bytes"), 0),
    (("limits", "max_body_bytes"), -1),
    (("limits", "header_timeout_ms"), 0),
    (("limits", "idle_timeout_ms"), -1),
    ((*_RUNTIME, "slots"), -1),
    ((*_RUNTIME, "adapter_slots"), -1),
    ((*_RUNTIME, "weights_mb"), -1),
    ((*_RUNTIME, "loads_per_s"), -1),
    ((*_RUNTIME, "models", 0, "load_s"), -1),
    ((*_RUNTIME, "models", 0, "load_s"), 1e300),
]
SOUND_CONFIGURATION_VALUES = [
    (("new",), {"field": [1, {}]}),
    (("routes", 0, "new"), "field"),
    (("routes", 0, "timeout_ms"), 0.5),
    (("routes", 0, "timeout_ms"), 86_400_000),
    (("routes", 0, "target_latency_ms"), 0),
    (("routes", 0, "priority"), 10**30),
    (("routes", 0, "gap_aim_ms"), 0),
    (("routes", 0, "gap_aim_ms"), None),
    (("routes", 0, "split"), [{"backend": "models", "weight": 0}]),
    (("routes", 0, "backend"), "not-described"),
    (("routes",), []),
    (("limits",), {}),
    (("limits", "max_body_bytes"), 0),
    (("limits", "max_body_bytes"), 2**40),
    (("backends", 0, "max_conns"), 0),
    ((*_RUNTIME, "loads_per_s"), 0),
    ((*_RUNTIME, "models"), []),
    ((*_RUNTIME, "models", 0, "adapter_mb"), 0),
    ((*_RUNTIME, "models", 0, "adapter_mb"), 1e-320),
]


def item(key, content):
    value = content if isinstance(content, bytes) else json.dumps(content).encode()
    return PublishedItem(key, 1, value)


def paths_of(content, path=()):
    """Yields the paths of all values in a document."""
    yield path
    steps = ()
    if isinstance(content, dict):
        steps = content.items()
    elif isinstance(content, list):
        steps = enumerate(content)
    for step, value in steps:
        yield from paths_of(value, (*path, step))


def replace_at(content, path, value):
    """Returns a copy of a document with the value at a path replaced or added."""
    if not path:
        return value
    copy = content.copy()
    is_new = isinstance(content, dict) and path[0] not in content
    part = None if is_new else content[path[0]]
    copy[path[0]] = replace_at(part, path[1:], value)
    return copy


class OddReplicaEntryTest(testtools.TestCase):
    def assert_unlisted(self, replica_id, content, name):
        decoded = decode_item(item(f"servers/{replica_id}", content))
        self.assertIsInstance(decoded, Unlisted, name)
        self.assertEqual(replica_id, decoded.replica_id)
        self.assertNotEqual("", decoded.reason, name)

    def test_odd_contents_name_no_replica(self):
        """Deep nesting raised an error that is no ValueError, so that the entry known
        before stayed in force."""
        for content in ODD_CONTENTS:
            self.assert_unlisted("i-1", content, content[:40])

    def test_odd_fields_name_no_replica(self):
        """An impossible port raised where the replica was used, and other fields were
        passed on in messages that no host could read."""
        for field, value in ODD_FIELDS:
            name = f"{field} {value!r:.60}"
            self.assert_unlisted("i-1", {**ENTRY, field: value}, name)

    def test_odd_ids_name_no_replica(self):
        """An id with a line break added header fields to requests and orders."""
        for replica_id in ODD_IDS:
            self.assert_unlisted(replica_id, ENTRY, repr(replica_id))

    def test_sound_entries_are_taken(self):
        """The checks must not refuse what replicas publish now or later."""
        for replica_id in ("i-7f3a91c2", "a b/c", "i" * 192):
            decoded = decode_item(item(f"servers/{replica_id}", ENTRY))
            self.assertIsInstance(decoded, ReplicaEntry, replica_id)
        for field, value in SOUND_FIELDS:
            decoded = decode_item(item("servers/i-1", {**ENTRY, field: value}))
            self.assertIsInstance(decoded, ReplicaEntry, f"{field} {value!r}")


class OddDocumentTest(testtools.TestCase):
    def test_odd_contents_are_value_errors(self):
        """An operator's item that is nested deeply was logged as an internal error."""
        for key in ("op/config", "op/version/m0.a1"):
            for content in ODD_CONTENTS:
                self.assertRaises(ValueError, decode_item, item(key, content))

    def test_odd_declared_versions_are_value_errors(self):
        """A version that is too large for the messages between hosts stopped them."""
        sound = {"model": "m0", "adapter": "a1", "version": 2**53}
        self.assertEqual(2**53, decode_item(item("op/version/m0.a1", sound)).version)
        for field, value in (
            ("version", 2**53 + 1),
            ("version", -1),
            ("version", "3"),
            ("model", "m" * 201),
            ("adapter", "a" * 201),
            ("adapter", ""),
        ):
            odd = item("op/version/m0.a1", {**sound, field: value})
            self.assertRaises(ValueError, decode_item, odd)

    def decode_changed(self, path, value):
        changed = replace_at(CONFIGURATION, path, value)
        return decode_item(item("op/config", changed))

    def test_odd_configurations_are_value_errors(self):
        """Such a configuration was accepted, and requests or orders failed with errors
        that nothing expects, or could not be served at all."""
        for path, value in ODD_CONFIGURATION_VALUES:
            error = self.assertRaises(ValueError, self.decode_changed, path, value)
            self.assertNotEqual("", str(error))

    def test_sound_configurations_are_accepted(self):
        """A configuration that can be acted on must not be refused."""
        for path, value in SOUND_CONFIGURATION_VALUES:
            self.decode_changed(path, value)
        split = [{"backend": "models", "weight": 0}, {"backend": "b2", "weight": 3}]
        decoded = self.decode_changed(("routes", 0, "split"), split)
        self.assertIn("b2", decoded.backends_by_name)
        attempts = self.decode_changed(("routes", 0, "attempts"), 0)
        self.assertEqual(1, attempts.routes[0].attempts)
        priority = self.decode_changed(("routes", 0, "priority"), -3)
        self.assertEqual(0, priority.routes[0].priority)


# Values that often meet the bound of a type, and others of all types.
ODD_VALUES = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(),
    strategies.sampled_from(
        [2**31, 2**53, 2**62, 2**63, 2**64, 10**400, 1e308, 1e-320]
    ),
    strategies.floats(allow_nan=False, allow_infinity=False),
    strategies.text(max_size=300),
    strategies.from_regex(r"[0-9a-z.:\[\]]{1,20}:[0-9]{1,7}", fullmatch=True),
    strategies.lists(strategies.text(max_size=20), max_size=3),
    strategies.fixed_dictionaries({"name": strategies.text(max_size=9)}),
)
SOUND_ITEMS = [
    ("servers/i-1", ENTRY),
    ("op/config", CONFIGURATION),
    ("op/version/m0.a1", {"model": "m0", "adapter": "a1", "version": 3}),
]


class DecodedBoundsTest(testtools.TestCase):
    @hypothesis.given(
        strategies.sampled_from(["servers/i-1", "op/config", "op/version/m0.a1"]),
        strategies.binary(max_size=200),
    )
    @hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
    def test_random_bytes_raise_only_value_errors(self, key, value):
        """No content of the store may raise an error that nothing expects."""
        with contextlib.suppress(ValueError):
            decode_item(PublishedItem(key, 1, value))

    @hypothesis.given(strategies.sampled_from(SOUND_ITEMS), strategies.data())
    @hypothesis.settings(max_examples=1000, derandomize=True, deadline=None)
    def test_odd_values_are_refused_or_within_bounds(self, sound, data):
        """No value of a field may pass the decoding and fail in a later step."""
        key, content = sound
        path = data.draw(strategies.sampled_from(list(paths_of(content))))
        value = data.draw(ODD_VALUES)
        try:
            decoded = decode_item(item(key, replace_at(content, path, value)))
        except ValueError:
            return
        self.assert_usable(decoded)

    def assert_usable(self, decoded):
        """Asserts that other parts of the program can work with a decoded item."""
        if isinstance(decoded, ReplicaEntry):
            self.assert_usable_replica(decoded)
        elif isinstance(decoded, AdapterVersion):
            self.assertTrue(0 <= decoded.version <= 2**53)
        elif isinstance(decoded, RoutingConfiguration):
            self.assert_usable_configuration(decoded)

    def assert_usable_configuration(self, decoded):
        self.assertTrue(0 <= decoded.version <= 2**53)
        rng = random.Random(1)
        for each in decoded.routes:
            self.assertTrue(0 < each.timeout_s <= 1e9)
            self.assertTrue(0 <= each.target_latency_s <= 1e9)
            self.assertTrue(each.attempts >= 1 and each.priority >= 0)
            if len(each.backends) > 1:
                rng.choices(each.backends, [item.weight for item in each.backends])
            for backend in each.backends:
                self.assertIn(backend.name, decoded.backends_by_name)
        for backend in decoded.backends_by_name.values():
            if backend.models:
                for models in ({backend.models[0].name}, {"unknown"}):
                    slots = orders.adapter_slots(backend, models)
                    self.assertTrue(0 <= slots <= backend.adapter_slots)

    def assert_usable_replica(self, entry):
        self.assertTrue(1 <= entry.port <= 65_535)
        self.assertTrue(0 <= entry.slots <= 2**31)
        self.assertTrue(0 <= entry.report_number <= 2**62)
        self.assertTrue(entry.remaining_s is None or 0 <= entry.remaining_s <= 1e9)
        replica = Replica(entry, random.Random(1), lambda replica: None)
        load = {replica.id: messages.ReplicaLoad(1, 0)}
        part = messages.ReplicaLoadPart(replica.id, 1, messages.ReplicaLoad(0, 0))
        loads = messages.ReplicaLoads("entry-1", 1, False, 1, 1, load, (part,))
        reports = (messages.LostPromptReport(replica.process_id, (), 0.0),)
        for message in (loads, messages.LostPrompts(reports)):
            self.assertEqual(message, messages.decode(messages.encode(message)))
