"""Tests of the look-up of tenants by the digests of their keys."""

import testtools

from snipetrestle.tenants.configuration import Tenant
from snipetrestle.tenants.table import TenantTable


def tenant(name, *digests):
    return Tenant(name, frozenset(digests))


class TenantTableTest(testtools.TestCase):
    def test_each_key_finds_its_tenant(self):
        """A caller could be taken for another tenant's."""
        table = TenantTable.from_tenants([tenant("a", "1", "2"), tenant("b", "3")])
        found = [table.find(digest) for digest in ("1", "2", "3")]
        self.assertEqual(["a", "a", "b"], [item.name for item in found])
        for unknown in ("4", "", None):
            self.assertIsNone(table.find(unknown))

    def test_shared_names_and_keys_are_rejected(self):
        """It would depend on the order of the list who pays for a request."""
        for tenants in (
            [tenant("a", "1"), tenant("a", "2")],
            [tenant("a"), tenant("a")],
            [tenant("a", "1", "2"), tenant("b", "2")],
        ):
            error = self.assertRaises(ValueError, TenantTable.from_tenants, tenants)
            self.assertIn("'a'", str(error))

    def test_tenants_without_keys_are_known(self):
        """A tenant that nobody can call for would not be noticed."""
        table = TenantTable.from_tenants([tenant("a"), tenant("b", "1")])
        self.assertEqual(["a"], table.names_without_keys())
