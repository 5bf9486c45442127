"""Replaces the API keys in the operator's configuration by their digests.

This is done where the store is read, so that no other component, log line or message
to another host contains a key.
"""

import hashlib
import typing

import msgspec

from snipetrestle.decoding import decode

CONFIGURATION_KEY = "op/config"
TENANTS = "tenants"
API_KEYS = "api_keys"
API_KEY_DIGESTS = "api_key_digests"
# Replaces a part that cannot be read. The decoder of the configuration rejects it.
_UNREADABLE = None

_document_decoder = msgspec.json.Decoder(dict[str, msgspec.Raw])
_tenants_decoder = msgspec.json.Decoder(list[msgspec.Raw])
_tenant_decoder = msgspec.json.Decoder(dict[str, msgspec.Raw])
_keys_decoder = msgspec.json.Decoder(list[typing.Any])
_encoder = msgspec.json.Encoder()


def key_digest(key):
    """Returns the digest of an API key (bytes) by which its tenant is found."""
    return hashlib.sha256(key).hexdigest()


def without_api_keys(value):
    """Returns the value of the configuration item with digests in place of keys.

    A document without tenants is returned as it is, and one that is not a JSON object
    becomes an empty value.
    """
    try:
        document = decode(_document_decoder, value)
        if TENANTS not in document:
            return value
        document[TENANTS] = _tenants_without_keys(document[TENANTS])
        return _encoder.encode(document)
    except ValueError:
        return b""


def _tenants_without_keys(raw_tenants):
    try:
        tenants = decode(_tenants_decoder, raw_tenants)
    except ValueError:
        return _UNREADABLE
    return [_tenant_without_keys(raw_tenant) for raw_tenant in tenants]


def _tenant_without_keys(raw_tenant):
    try:
        tenant = decode(_tenant_decoder, raw_tenant)
    except ValueError:
        return _UNREADABLE
    tenant[API_KEY_DIGESTS] = _digests(tenant.pop(API_KEYS, b"[]"))
    return tenant


def _digests(raw_keys):
    try:
        keys = decode(_keys_decoder, raw_keys)
    except ValueError:
        return _UNREADABLE
    return [
        key_digest(key.encode()) if isinstance(key, str) else _UNREADABLE
        for key in keys
    ]
