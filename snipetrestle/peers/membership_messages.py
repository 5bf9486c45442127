"""Messages of failure detection. Updates are arrays on the wire to keep pings small."""

import enum

import msgspec

from snipetrestle.peers.messages import register_message


class Health(enum.IntEnum):
    """What a member is said to be; the higher wins at equal sequence."""

    ALIVE = 0
    SUSPECTED = 1
    FAILED = 2


class RevisionDigest(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Revisions of the published configuration: in effect, and highest seen.

    They differ while the highest revision seen is a refused one.
    """

    accepted: int = 0
    seen: int = 0


class MemberCard(msgspec.Struct, frozen=True, array_like=True):
    """Where a member is, for receivers whose host list does not show it yet."""

    address: str
    failure_domain: str
    region: str
    size: float


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True):
    """One statement about a member.

    ``number`` and ``bits`` are its incarnation; ``sequence`` is raised by the member
    itself only, with each refutation and when it leaves.
    """

    name: str
    number: int
    bits: int
    sequence: int
    health: Health
    leaving: bool = False
    card: MemberCard | None = None

    def rank(self):
        """Returns the key that orders all statements about a member."""
        return self.number, self.bits, self.sequence, self.health


@register_message
class Ping(msgspec.Struct, frozen=True):
    """``about`` is what the sender holds of the receiver, if that is not plain alive."""

    own: MemberUpdate
    digest: RevisionDigest = RevisionDigest()
    about: MemberUpdate | None = None
    updates: tuple[MemberUpdate, ...] = ()


@register_message
class PingReply(msgspec.Struct, frozen=True):
    """Answer to a ping, with the same content in the other direction."""

    own: MemberUpdate
    digest: RevisionDigest = RevisionDigest()
    about: MemberUpdate | None = None
    updates: tuple[MemberUpdate, ...] = ()


@register_message
class PingRequest(msgspec.Struct, frozen=True):
    """Asks the receiver to ping a member that does not answer the sender."""

    target: str


@register_message
class PingRequestReply(msgspec.Struct, frozen=True):
    """``own`` is the target's statement about itself; None if it did not answer."""

    own: MemberUpdate | None = None


@register_message
class Join(msgspec.Struct, frozen=True):
    """Asks what the receiver knows of the sender's name, before the sender starts."""


@register_message
class JoinReply(msgspec.Struct, frozen=True):
    """``number`` is the highest incarnation number known for the sender's name."""

    own: MemberUpdate
    number: int = 0
    digest: RevisionDigest = RevisionDigest()
    updates: tuple[MemberUpdate, ...] = ()
