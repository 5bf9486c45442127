"""Tests that odd items of the store are refused within bounds, and sound ones taken."""

import contextlib
import json

import hypothesis
import testtools
from hypothesis import strategies

from snipetrestle.gateway.published_items import PublishedItem, Unlisted
from snipetrestle.platform.entries import decode_item

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


def item(key, content):
    value = content if isinstance(content, bytes) else json.dumps(content).encode()
    return PublishedItem(key, 1, value)


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


class OddDocumentTest(testtools.TestCase):
    def test_odd_contents_are_value_errors(self):
        """An operator's item that is nested deeply was logged as an internal error."""
        for key in ("op/config", "op/version/m0.a1"):
            for content in ODD_CONTENTS:
                self.assertRaises(ValueError, decode_item, item(key, content))


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
