"""Bounded types and parsers of the values in the platform's documents.

Anything may write to the store. What is accepted here can be compared, added up, used
for a connection and passed on to other hosts.
"""

import ipaddress
import re
import typing

import msgspec

from snipetrestle.gateway.configuration import MAX_NAME_LENGTH
from snipetrestle.gateway.publication.published_items import MAX_VERSION

NonEmptyName = typing.Annotated[
    str, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)
]
Count = typing.Annotated[int, msgspec.Meta(ge=0, le=2**31)]
SizeBytes = typing.Annotated[int, msgspec.Meta(ge=0, le=2**62)]
PositiveBytes = typing.Annotated[int, msgspec.Meta(ge=1, le=2**62)]
# About 30 years.
MAX_MS = 1e12
Milliseconds = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_MS)]
PositiveMs = typing.Annotated[float, msgspec.Meta(gt=0, le=MAX_MS)]
# Time left, which is below 0 shortly after it has run out.
RemainingMs = typing.Annotated[float, msgspec.Meta(ge=-MAX_MS, le=MAX_MS)]

Seconds = typing.Annotated[float, msgspec.Meta(ge=0, le=1e9)]
RatePerS = typing.Annotated[float, msgspec.Meta(ge=0, le=1e9)]
Megabytes = typing.Annotated[float, msgspec.Meta(ge=0, le=1e12)]
# Units of a quota.
Units = typing.Annotated[float, msgspec.Meta(ge=0, le=1e12)]
Weight = typing.Annotated[float, msgspec.Meta(ge=0, le=1e12)]

MAX_PORT = 65_535
_PORT = re.compile(r"[0-9]{1,5}")
_VERSION = re.compile(r"[0-9]{1,16}")
_BROADCAST = ipaddress.IPv4Address("255.255.255.255")
# Maximum length of a value in an error message.
_MAX_SHOWN_LENGTH = 60


def parse_address(text):
    """Returns (ip, port) of ``IP:PORT``.

    Raises ValueError if nothing can be reached at such an address. Names are refused,
    since each connection would look them up.
    """
    ip, _, port = text.rpartition(":")
    if not _PORT.fullmatch(port) or not 1 <= int(port) <= MAX_PORT:
        raise ValueError(f"{text[:_MAX_SHOWN_LENGTH]!r} has no valid port")
    if not _is_host_address(ip):
        raise ValueError(f"{text[:_MAX_SHOWN_LENGTH]!r} has no IP address of a host")
    return ip, int(port)


def _is_host_address(text):
    try:
        address = ipaddress.ip_address(text)
    except ValueError:
        return False
    if address.is_unspecified or address.is_multicast or address == _BROADCAST:
        return False
    # An address with a scope means another host on each host.
    return getattr(address, "scope_id", None) is None


def parse_versioned_name(text):
    """Returns (name, version) of ``NAME@VERSION``; the version is 1 without one.

    Raises ValueError if one of them is out of bounds.
    """
    name, _, version = text.partition("@")
    if len(name) > MAX_NAME_LENGTH:
        raise ValueError(f"{name[:_MAX_SHOWN_LENGTH]!r}... is too long")
    if not version:
        return name, 1
    if not _VERSION.fullmatch(version) or int(version) > MAX_VERSION:
        raise ValueError(f"{text[:_MAX_SHOWN_LENGTH]!r} has no valid version")
    return name, int(version)


def check_id(text):
    """Raises ValueError unless a text can be sent as the id of a replica.

    Ids are sent in header fields, so a line break would add another one.
    """
    if not text or len(text) > MAX_NAME_LENGTH or not text.isprintable():
        raise ValueError(f"{text[:_MAX_SHOWN_LENGTH]!r} cannot be a replica's id")
