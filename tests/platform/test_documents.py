"""Tests that API keys are replaced by digests where the store is read."""

import hashlib
import json

import hypothesis
import testtools
from hypothesis import strategies

from snipetrestle.platform.calls import _published_items
from snipetrestle.platform.documents import without_api_keys
from tests.platform.store_items import raw_item

KEY = "key-of-a-customer"
JSON_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.text(),
    lambda children: (
        strategies.lists(children, max_size=3)
        | strategies.dictionaries(strategies.text(), children, max_size=3)
    ),
    max_leaves=8,
)


def digest(key):
    return hashlib.sha256(key.encode()).hexdigest()


class WithoutApiKeysTest(testtools.TestCase):
    def test_keys_become_digests_and_the_rest_stays(self):
        """Callers could not be found if the digests or other fields were changed."""
        document = {
            "version": 3,
            "tenants": [
                {"name": "a", "api_keys": [KEY, "schlüssel"], "new": {"x": [1.5]}},
                {"name": "b"},
            ],
            "routes": [{"name": "r", "note": "api_keys"}],
        }
        changed = json.loads(without_api_keys(json.dumps(document).encode()))
        first, second = changed["tenants"]
        self.assertEqual([digest(KEY), digest("schlüssel")], first["api_key_digests"])
        self.assertEqual({"x": [1.5]}, first["new"])
        self.assertEqual({"name": "b", "api_key_digests": []}, second)
        self.assertEqual(document["routes"], changed["routes"])
        self.assertEqual(3, changed["version"])

    def test_document_without_tenants_stays_as_it_is(self):
        """Other spacing would be another content for hosts of an older release."""
        for value in (b"{}", b' {"version" : 1,\n "routes":[] , "a\\u0062": 1.0} '):
            self.assertEqual(value, without_api_keys(value))

    def test_what_is_no_object_becomes_empty(self):
        """A document that is cut off could still contain keys."""
        for value in (
            b"",
            b"null",
            b"[]",
            b"7",
            b'"text"',
            b"\xff\xfe",
            b'{"tenants": [{"api_keys": ["' + KEY.encode(),
            b'{"tenants": ' + b"[" * 100_000,
            b'{"a": ' + b"[" * 100_000 + b"]" * 100_000 + b"}",
        ):
            self.assertEqual(b"", without_api_keys(value))

    def test_unusual_documents_have_no_keys_either(self):
        """Keys in repeated, escaped or malformed fields could stay in the document."""
        for text in (
            '{"tenants": [{"name": "a", "api_keys": ["%s"], "api_keys": []}]}',
            '{"tenants": [{"name": "a", "api_keys": ["%s"]}], "tenants": []}',
            '{"t\\u0065nants": [{"name": "a", "api_\\u006beys": ["%s"]}]}',
            '{"tenants": [{"name": "a", "api_keys": "%s"}]}',
            '{"tenants": [{"name": "a", "api_keys": {"%s": 1}}]}',
            '{"tenants": [{"name": "a", "api_keys": [["%s"], 3]}]}',
            '{"tenants": [{"name": "a", "api_key_digests": ["%s"]}]}',
            '{"tenants": ["%s"]}',
            '{"tenants": {"api_keys": ["%s"]}}',
            '{"tenants": "%s"}',
        ):
            value = without_api_keys((text % KEY).encode())
            self.assertNotEqual(b"", value, text)
            self.assertNotIn(KEY.encode(), value, text)

    @hypothesis.given(JSON_VALUES)
    @hypothesis.settings(deadline=None, max_examples=200)
    def test_any_tenants_give_json(self, tenants):
        """An odd field could end the reading of the store."""
        value = json.dumps({"version": 1, "tenants": tenants}).encode()
        self.assertIn("tenants", json.loads(without_api_keys(value)))


class StoreItemsTest(testtools.TestCase):
    def test_only_the_configuration_is_changed(self):
        """Another item with a field of this name must not change, and a deleted
        configuration must stay deleted."""
        content = {"tenants": [{"name": "a", "api_keys": [KEY]}]}
        value = json.dumps(content).encode()
        configuration, other, deleted = _published_items(
            [
                raw_item("op/config", value),
                raw_item("op/other", value),
                raw_item("op/config", None),
            ],
            "",
        )
        self.assertNotIn(KEY.encode(), configuration.value)
        self.assertEqual(value, other.value)
        self.assertIsNone(deleted.value)
