"""Tests of the decoding of tenants in the operator's configuration."""

import hashlib
import json
import sys

import testtools

from snipetrestle.gateway.publication.published_items import PublishedItem
from snipetrestle.platform.documents import without_api_keys
from snipetrestle.platform.entries import decode_item
from snipetrestle.tenants.configuration import Quota, QuotaUnit
from snipetrestle_standins.gateway_fleet import configuration, route, tenant

KEY = "key-of-a-customer"


def decoded(content):
    """Returns a configuration as it is decoded from what the store holds."""
    value = without_api_keys(json.dumps(content).encode())
    return decode_item(PublishedItem("op/config", 1, value))


def decoded_tenants(*tenants):
    return decoded(configuration(tenants=list(tenants))).tenants


def digest(key):
    return hashlib.sha256(key.encode()).hexdigest()


class DecodedTenantsTest(testtools.TestCase):
    def test_all_fields_are_decoded(self):
        """A limit or a priority could be lost, or read from another field."""
        table = decoded_tenants(
            tenant(
                "shop",
                KEY,
                "second",
                priority=2,
                billing_unit="tokens",
                plain_tokens=700,
                rate_per_s=12.5,
                burst=90,
            ),
            tenant("lab", "third", rate_per_s=3),
        )
        shop = table.find(digest("second"))
        self.assertIs(shop, table.find(digest(KEY)))
        self.assertEqual(("shop", 2), (shop.name, shop.priority))
        self.assertEqual(Quota(QuotaUnit.TOKENS, 12.5, 90.0, 700), shop.quota)
        lab = table.find(digest("third"))
        self.assertIsNone(lab.priority)
        self.assertEqual(Quota(QuotaUnit.REQUESTS, 3.0, 0.0), lab.quota)

    def test_no_limit_is_no_quota(self):
        """A rate of 0 could be taken for a limit that rejects every request."""
        table = decoded_tenants(
            tenant("a", "ka"), tenant("b", "kb", rate_per_s=0, burst=0)
        )
        for key in ("ka", "kb"):
            self.assertIsNone(table.find(digest(key)).quota)

    def test_absent_and_empty_tenants_differ(self):
        """An empty list would switch authentication off, or an absent one on."""
        self.assertIsNone(decoded(configuration()).tenants)
        self.assertEqual({}, decoded_tenants().by_name)

    def test_public_routes(self):
        """Routes must be closed unless the operator opens them."""
        routes = [
            route("open", "idempotent", "register", public=True),
            route("closed", "idempotent", "register"),
        ]
        opened, closed = decoded(configuration(routes=routes)).routes
        self.assertEqual((True, False), (opened.public, closed.public))

    def test_tenant_without_keys_is_accepted(self):
        """The last key may be taken away; the document must count nevertheless."""
        table = decoded_tenants(tenant("a"), {"name": "b"}, tenant("c", "kc"))
        self.assertEqual(["a", "b"], table.names_without_keys())

    def test_negative_priority_is_the_highest(self):
        """The priority of a tenant must be read like that of a route."""
        table = decoded_tenants(tenant("a", KEY, priority=-4))
        self.assertEqual(0, table.find(digest(KEY)).priority)

    def test_odd_tenants_are_rejected_by_name_and_field_without_a_key(self):
        """An error could hide which entry is wrong, or show a key in the log."""
        for odd, named in (
            ({"name": "shop", "rate_per_s": -1}, ("'shop'", "rate_per_s")),
            ({"name": "shop", "burst": -0.5}, ("'shop'", "burst")),
            ({"name": "shop", "rate_per_s": "fast"}, ("'shop'", "rate_per_s")),
            ({"name": "shop", "rate_per_s": 1e300}, ("'shop'", "rate_per_s")),
            ({"name": "shop", "plain_tokens": -1}, ("'shop'", "plain_tokens")),
            ({"name": "shop", "plain_tokens": 1.5}, ("'shop'", "plain_tokens")),
            ({"name": "shop", "priority": "high"}, ("'shop'", "priority")),
            ({"name": "shop", "billing_unit": KEY}, ("'shop'", "billing_unit")),
            ({"name": "shop", "billing_unit": 3}, ("'shop'", "billing_unit")),
            ({"name": "shop", "api_keys": KEY}, ("'shop'", "api_key")),
            ({"name": "shop", "api_keys": None}, ("'shop'", "api_key")),
            ({"name": "shop", "api_keys": [3]}, ("'shop'", "api_key")),
            ({"api_keys": [KEY]}, ("tenant 2", "name")),
            ({"name": ""}, ("tenant 2", "name")),
            ({"name": None}, ("tenant 2", "name")),
            ({"name": [KEY]}, ("tenant 2", "name")),
            ({"name": "a\r\nEvil: 1"}, ("tenant 2", "name")),
            ({"name": " a"}, ("tenant 2", "name")),
            ({"name": "ü" * 101}, ("tenant 2", "name")),
            (KEY, ("tenant 2",)),
            (None, ("tenant 2",)),
            ({"name": "first"}, ("'first'", "name")),
            ({"name": "shop", "api_keys": ["k1"]}, ("'first'", "'shop'", "api_key")),
        ):
            first = tenant("first", "k1", KEY)
            content = configuration(tenants=[first, odd])
            error = self.assertRaises(ValueError, decoded, content)
            for text in named:
                self.assertIn(text, str(error))
            for secret in (KEY, digest(KEY), "Evil"):
                self.assertNotIn(secret, str(error))

    def test_tenants_that_are_no_list_are_rejected(self):
        """Such a field could be taken for an absent one, which admits everybody."""
        for odd in (None, {}, KEY, 3, False):
            content = {**configuration(), "tenants": odd}
            error = self.assertRaises(ValueError, decoded, content)
            self.assertIn("tenants", str(error))
            self.assertNotIn(KEY, str(error))

    def test_item_whose_keys_were_not_replaced_is_rejected(self):
        """It would lock out all callers of its tenants."""
        value = json.dumps(configuration(tenants=[tenant("a", KEY)])).encode()
        item = PublishedItem("op/config", 1, value)
        error = self.assertRaises(ValueError, decode_item, item)
        self.assertNotIn(KEY, str(error))

    def test_work_grows_no_faster_than_the_tenants(self):
        """A search among all tenants for each of them would stop the event loop."""

        def content_of(count):
            return configuration(
                routes=[route(f"r{n}", "idempotent", "register") for n in range(1400)],
                tenants=[tenant(f"t{n}", f"a{n}", f"b{n}") for n in range(count)],
            )

        (none, few, many), (*_, content) = zip(
            *(counted_calls(decoded, content_of(count)) for count in (0, 500, 2000)),
            strict=True,
        )
        self.assertEqual(1400, len(content.routes))
        self.assertEqual(2000, len(content.tenants.by_name))
        self.assertEqual("t1999", content.tenants.find(digest("b1999")).name)
        self.assertLessEqual(many - none, 5 * (few - none))


def counted_calls(function, *arguments):
    """Returns the number of calls that a function makes, and its result."""
    count = 0

    def note(frame, event, argument):
        nonlocal count
        count += event in ("call", "c_call")

    sys.setprofile(note)
    try:
        result = function(*arguments)
    finally:
        sys.setprofile(None)
    return count, result
