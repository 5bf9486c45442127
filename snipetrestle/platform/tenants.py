"""Decodes the tenants of the operator's configuration.

An error names the tenant and the field, but never a value: an operator may have
written a key into the wrong field.
"""

import typing

import msgspec

from snipetrestle.decoding import decode
from snipetrestle.gateway.configuration import MAX_NAME_LENGTH
from snipetrestle.platform.values import Count, RatePerS, Units
from snipetrestle.tenants.configuration import Quota, QuotaUnit, Tenant
from snipetrestle.tenants.table import TenantTable

# Length of a SHA-256 digest in hexadecimal.
_DIGEST_LENGTH = 64
_UNITS_BY_NAME = {unit.value: unit for unit in QuotaUnit}
_Digest = typing.Annotated[
    str, msgspec.Meta(min_length=_DIGEST_LENGTH, max_length=_DIGEST_LENGTH)
]


class _Tenant(msgspec.Struct):
    name: str
    # Written by the adapter in place of the keys.
    api_key_digests: list[_Digest]
    priority: int | None = None
    # Not the enum: the decoder's error would show the value.
    billing_unit: str = QuotaUnit.REQUESTS
    plain_tokens: Count = 0
    rate_per_s: RatePerS = 0.0
    burst: Units = 0.0


class _Name(msgspec.Struct):
    name: typing.Any = None


_tenants_decoder = msgspec.json.Decoder(list[_Tenant])
_raw_tenants_decoder = msgspec.json.Decoder(list[msgspec.Raw])
_tenant_decoder = msgspec.json.Decoder(_Tenant)
_name_decoder = msgspec.json.Decoder(_Name)


def tenant_table_from(raw_tenants):
    """Returns a TenantTable. Raises ValueError, which names the tenant and the field."""
    try:
        tenants = decode(_tenants_decoder, raw_tenants)
        tenants = [_tenant_from(tenant) for tenant in tenants]
    except ValueError:
        tenants = _decode_one_by_one(raw_tenants)
    return TenantTable.from_tenants(tenants)


def _decode_one_by_one(raw_tenants):
    """Returns the Tenants of a list, or raises a ValueError that names one of them."""
    try:
        raw_tenants = decode(_raw_tenants_decoder, raw_tenants)
    except ValueError as error:
        raise ValueError(f"tenants: {error}") from None
    return [_decode_tenant(raw, number) for number, raw in enumerate(raw_tenants, 1)]


def _decode_tenant(raw_tenant, number):
    try:
        return _tenant_from(decode(_tenant_decoder, raw_tenant))
    except ValueError as error:
        raise ValueError(f"{_description(raw_tenant, number)}: {error}") from None


def _description(raw_tenant, number):
    """Returns how an error names a tenant: by its name if it has a usable one."""
    try:
        name = decode(_name_decoder, raw_tenant).name
        _check_name(name)
    except ValueError:
        return f"tenant {number} of the list"
    return f"tenant {name!r}"


def _check_name(name):
    """Raises ValueError unless a name can be sent in a header field and a datagram."""
    if not isinstance(name, str) or not name:
        raise ValueError("name is missing")
    if len(name.encode(errors="replace")) > MAX_NAME_LENGTH:
        raise ValueError(f"name has more than {MAX_NAME_LENGTH} bytes")
    if not name.isprintable() or name != name.strip():
        raise ValueError("name has control characters or outer spaces")


def _tenant_from(tenant):
    _check_name(tenant.name)
    unit = _UNITS_BY_NAME.get(tenant.billing_unit)
    if unit is None:
        raise ValueError("billing_unit is not known")
    quota = None
    if tenant.rate_per_s:
        quota = Quota(
            unit,
            tenant.rate_per_s,
            tenant.burst,
            tenant.plain_tokens,
        )
    priority = tenant.priority
    return Tenant(
        tenant.name,
        frozenset(tenant.api_key_digests),
        None if priority is None else max(0, priority),
        quota,
    )
