"""Messages of failure detection. Updates are encoded as arrays to keep pings small."""

import enum

import msgspec

from snipetrestle.peers.messages import register_message


class Health(enum.IntEnum):
    """Health of a member in an update. The higher value wins at equal sequence."""

    ALIVE = 0
    SUSPECTED = 1
    FAILED = 2


class RevisionDigest(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Revisions of the published configuration of a daemon: in effect and highest seen.

    They differ while the highest revision seen is a refused one.
    """

    accepted: int = 0
    seen: int = 0


class MemberMetadata(msgspec.Struct, frozen=True, array_like=True):
    """Address, placement and size of a member.

    It is sent along for receivers whose host list does not show the member yet.
    ``size`` is relative processor capacity.
    """

    address: str
    failure_domain: str
    region: str
    size: float


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True):
    """State of a member as reported by itself or another member.

    ``number`` and ``bits`` are its incarnation. Only the member itself raises
    ``sequence``, with each refutation and when it leaves.
    """

    name: str
    number: int
    bits: int
    sequence: int
    health: Health
    leaving: bool = False
    metadata: MemberMetadata | None = None

    def rank(self):
        """Returns the sort key of updates about a member; the highest one is valid."""
        return self.number, self.bits, self.sequence, self.health


@register_message
class Ping(msgspec.Struct, frozen=True):
    """Direct probe of a member, which also carries updates.

    ``about`` is the sender's update about the receiver unless that is alive, so that
    the receiver can refute it.
    """

    own: MemberUpdate
    digest: RevisionDigest = RevisionDigest()
    about: MemberUpdate | None = None
    updates: tuple[MemberUpdate, ...] = ()


@register_message
class PingReply(msgspec.Struct, frozen=True):
    """Reply to a Ping, with the same fields in the other direction."""

    own: MemberUpdate
    digest: RevisionDigest = RevisionDigest()
    about: MemberUpdate | None = None
    updates: tuple[MemberUpdate, ...] = ()


@register_message
class PingRequest(msgspec.Struct, frozen=True):
    """Indirect probe: asks the receiver to ping a member that did not answer."""

    target: str


@register_message
class PingRequestReply(msgspec.Struct, frozen=True):
    """Reply to a PingRequest. ``own`` is the target's update; None if it is silent."""

    own: MemberUpdate | None = None


@register_message
class Join(msgspec.Struct, frozen=True):
    """Requests the incarnation number known for the sender's name, before it starts."""


@register_message
class JoinReply(msgspec.Struct, frozen=True):
    """Reply to a Join. ``number`` is the highest one known for the sender's name."""

    own: MemberUpdate
    number: int = 0
    digest: RevisionDigest = RevisionDigest()
    updates: tuple[MemberUpdate, ...] = ()
