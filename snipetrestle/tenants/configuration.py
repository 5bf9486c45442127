"""Types of the published tenants. The platform's package decodes documents into them."""

import enum

import msgspec


class QuotaUnit(enum.StrEnum):
    """What a quota counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


class Quota(msgspec.Struct, frozen=True):
    """Limit on what all hosts together serve for one tenant.

    ``rate_per_s`` and ``burst`` are in units. A request without a token count counts as
    ``plain_tokens`` tokens.
    """

    unit: QuotaUnit
    rate_per_s: float
    burst: float
    plain_tokens: int = 0


class Tenant(msgspec.Struct, frozen=True):
    """A customer of the platform, whose callers are known by their API keys.

    ``key_digests`` are the SHA-256 digests of the keys, in hexadecimal. ``priority``
    replaces that of the route; 0 is the most urgent, and None leaves the route's.
    ``quota`` is None without a limit.
    """

    name: str
    key_digests: frozenset[str]
    priority: int | None = None
    quota: Quota | None = None
