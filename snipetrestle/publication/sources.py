"""Interfaces towards the platform: configuration service and host list."""

import enum
import typing

import msgspec


class HostState(enum.StrEnum):
    """State of a host as the platform's list shows it."""

    LIVE = "live"
    LEAVING = "leaving"


class Host(msgspec.Struct, frozen=True):
    """One host of the list. ``role`` is ``daemon`` or ``backend``.

    ``address`` is ``IP:PORT``; that of a daemon is the one for peers. ``size`` is
    relative processor capacity.
    """

    name: str
    address: str
    failure_domain: str
    region: str = ""
    size: float = 1.0
    role: str = "daemon"
    state: HostState = HostState.LIVE


class HostList(msgspec.Struct, frozen=True):
    """The host list at one revision, which rises with each change."""

    revision: int
    hosts: tuple[Host, ...]


class Reading(typing.NamedTuple):
    """A value of the configuration service at one revision."""

    revision: int
    document: bytes


class SourceUnreachable(Exception):
    """The platform did not answer, or answered with something unusable."""


class ConfigurationSource(typing.Protocol):
    """Read-only access to the published configuration. Raises SourceUnreachable."""

    async def read(self, part: str = "") -> Reading:
        """Returns a value; ``part`` names one of a document in several values."""

    async def watch(self, after_revision: int) -> Reading | None:
        """Returns the document once it is newer; None when the watch ran out."""


class HostListSource(typing.Protocol):
    """Read-only access to the host list. Raises SourceUnreachable."""

    async def read(self, known_revision: int = 0) -> HostList | None:
        """Returns the list; None if it still has ``known_revision``."""
