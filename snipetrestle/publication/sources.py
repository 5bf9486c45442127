"""Interfaces of the platform's configuration service and host list."""

import enum
import typing

import msgspec

Name = typing.Annotated[str, msgspec.Meta(max_length=1000)]
Size = typing.Annotated[float, msgspec.Meta(ge=0, le=1e6)]
# Revisions are sent in messages, whose integers have 64 bits.
Revision = typing.Annotated[int, msgspec.Meta(ge=0, le=2**62)]


class HostState(enum.StrEnum):
    """State of a host as the platform's list shows it."""

    LIVE = "live"
    LEAVING = "leaving"


class Host(msgspec.Struct, frozen=True):
    """One host of the list. ``role`` is ``daemon`` or ``backend``.

    ``address`` is ``IP:PORT``; for a daemon, the one that its peers connect to.
    ``size`` is the relative processor capacity.
    """

    name: Name
    address: Name
    failure_domain: Name
    region: Name = ""
    size: Size = 1.0
    role: str = "daemon"
    state: HostState = HostState.LIVE


class HostList(msgspec.Struct, frozen=True):
    """The host list at one revision. Revisions increase with each change."""

    revision: Revision
    hosts: tuple[Host, ...]


class Reading(typing.NamedTuple):
    """A value of the configuration service at one revision."""

    revision: int
    document: bytes


class Unchanged(typing.NamedTuple):
    """Result of a watch that timed out, with the current revision if it was named.

    It is lower than the requested one if the service was restored from a copy.
    """

    revision: int | None = None


class SourceUnreachable(Exception):
    """Raised if the platform does not answer, or its answer is invalid."""


class ConfigurationSource(typing.Protocol):
    """Read-only access to the published configuration. Raises SourceUnreachable."""

    async def read(self, part: str = "") -> Reading:
        """Returns a value; ``part`` selects one if the document has several."""

    async def watch(self, after_revision: int) -> Reading | Unchanged:
        """Returns the document once it is newer; Unchanged if the watch timed out."""


class HostListSource(typing.Protocol):
    """Read-only access to the host list. Raises SourceUnreachable."""

    async def read(self, known_revision: int = 0) -> HostList | None:
        """Returns the list; None if it still has ``known_revision``."""
