"""Messages between daemons about who owns a replica."""

import msgspec

from snipetrestle.peers.members import Incarnation
from snipetrestle.peers.messages import register_message


@register_message
class AskOwner(msgspec.Struct, frozen=True):
    """Asks a daemon for its part in a replica.

    A sender that is ``leaving`` is no candidate any more, whatever the receiver's view.
    """

    replica: str
    leaving: bool = False


@register_message
class OwnerState(msgspec.Struct, frozen=True):
    """A daemon's part in a replica.

    ``wants`` tells that it will own the replica without further notice; ``accepts``
    that it takes a confirmed hand-over. ``suffix`` is that of its term in progress.
    ``pinned`` are the handles that its requests still use, of ended terms too.
    """

    incarnation: Incarnation
    owns: bool = False
    wants: bool = False
    accepts: bool = False
    suffix: str = ""
    pinned: tuple[str, ...] = ()


@register_message
class RequestHandOver(msgspec.Struct, frozen=True):
    """Asks the owner of a replica to hand it over to the sender."""

    replica: str


@register_message
class HandOverReplica(msgspec.Struct, frozen=True):
    """The sender has ended its term; the receiver confirms once it owns the replica.

    ``pinned`` are handles of running streams, which finish at the sender. ``queued``
    requests follow as Forward streams of the sender.
    """

    replica: str
    fencing_number: int
    engine_incarnation: str
    resident: tuple[str, ...] = ()
    pinned: tuple[str, ...] = ()
    queued: int = 0


@register_message
class OwnerSilent(msgspec.Struct, frozen=True):
    """A member did not answer the sender. Its successors probe it themselves."""

    member: str


@register_message
class ReleasePins(msgspec.Struct, frozen=True):
    """The sender's streams no longer use these handles."""

    replica: str
    handles: tuple[str, ...]
