"""Messages between daemons about the ownership of replicas."""

import msgspec

from snipetrestle.peers.members import Incarnation
from snipetrestle.peers.messages import register_message


@register_message
class AskOwner(msgspec.Struct, frozen=True):
    """Asks a daemon for its ownership state of a replica.

    A sender that is ``leaving`` is no longer a candidate, whatever the membership view
    of the receiver says.
    """

    replica: str
    leaving: bool = False


@register_message
class OwnerState(msgspec.Struct, frozen=True):
    """Ownership state of a replica at one daemon.

    ``wants`` tells that the daemon is going to claim the replica by itself; ``accepts``
    that it accepts a hand-over. ``suffix`` is the handle suffix of its term in
    progress. ``pinned`` are the handles that its requests still use, including ended
    terms.
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
    """Hands a replica over to the receiver, which confirms once it owns the replica.

    The sender has ended its term. ``pinned`` are the handles of its running streams,
    which finish at the sender. The ``queued`` requests follow as Forward streams.
    """

    replica: str
    fencing_number: int
    engine_incarnation: str
    resident: tuple[str, ...] = ()
    pinned: tuple[str, ...] = ()
    queued: int = 0


@register_message
class OwnerSilent(msgspec.Struct, frozen=True):
    """Reports that ``member`` did not answer the sender.

    The receiver checks that itself before it takes any replica over.
    """

    member: str


@register_message
class ReleasePins(msgspec.Struct, frozen=True):
    """Tells the new owner that the sender's streams no longer use these handles."""

    replica: str
    handles: tuple[str, ...]
