"""The tenants of one version of the configuration, found by their callers' keys."""


class TenantTable:
    """Finds tenants by name and by the digest of an API key.

    A look-up takes the same time for each digest and compares no keys, so its timing
    tells nothing about a key.
    """

    __slots__ = ("by_name", "_by_key_digest")

    def __init__(self, by_name, by_key_digest):
        self.by_name = by_name
        self._by_key_digest = by_key_digest

    @classmethod
    def from_tenants(cls, tenants):
        """Builds the table. Raises ValueError if two tenants share a name or a key."""
        by_name, by_key_digest = {}, {}
        for tenant in tenants:
            if tenant.name in by_name:
                raise ValueError(f"two tenants have the name {tenant.name!r}")
            by_name[tenant.name] = tenant
            for digest in tenant.key_digests:
                other = by_key_digest.setdefault(digest, tenant)
                if other is not tenant:
                    raise ValueError(
                        f"tenants {other.name!r} and {tenant.name!r}: "
                        "both have the same key in api_keys"
                    )
        return cls(by_name, by_key_digest)

    def find(self, key_digest):
        """Returns the Tenant that a key belongs to, or None."""
        return self._by_key_digest.get(key_digest)

    def names_without_keys(self):
        """Returns the names of the tenants that no caller can have."""
        return [
            tenant.name for tenant in self.by_name.values() if not tenant.key_digests
        ]
