"""Messages of keepers and write coordinators.

``incarnation`` in a reply is the keeper's own; ``known`` holds the incarnations of the
group's keepers that it knows.
"""

import enum

import msgspec

from snipetrestle.peers.members import Incarnation
from snipetrestle.peers.messages import register_message
from snipetrestle.writes.records import Ballot, Claim, KeyRecord, WriteOutcome


@register_message
class RunWrite(msgspec.Struct, frozen=True):
    """Asks the home of a key to run a write; it answers within ``wait_s`` seconds."""

    customer: str
    service: str
    operation: str
    key: str
    body: bytes
    content_type: str
    wait_s: float


@register_message
class WriteAnswer(msgspec.Struct, frozen=True):
    """A final outcome that a majority of the keepers has recorded."""

    outcome: WriteOutcome


class ClaimState(enum.StrEnum):
    """What a claimant says of its claim."""

    IN_PROGRESS = "in_progress"
    UNKNOWN = "unknown"
    WITHDRAWN = "withdrawn"
    REPLACED = "replaced"
    FINISHED = "finished"


@register_message
class AskClaimant(msgspec.Struct, frozen=True):
    """Asks a claimant for the outcome of its claim; it answers within ``wait_s``."""

    key_id: bytes
    claim: Claim
    wait_s: float


@register_message
class ClaimantState(msgspec.Struct, frozen=True):
    """``outcome`` is set when ``state`` is ``finished``."""

    state: ClaimState
    outcome: WriteOutcome | None = None


@register_message
class ClaimWrite(msgspec.Struct, frozen=True):
    """Asks a keeper for its vote. The reply also tells what the keeper has recorded."""

    group_id: bytes
    partition: int
    key_id: bytes
    claim: Claim


@register_message
class ClaimVote(msgspec.Struct, frozen=True):
    """``full`` tells that the keeper has no room for a new key."""

    incarnation: Incarnation
    known: dict[str, Incarnation]
    granted: bool
    full: bool = False
    record: KeyRecord | None = None


@register_message
class WithdrawClaim(msgspec.Struct, frozen=True):
    """A claimant gives up a claim under which it never calls the service."""

    group_id: bytes
    partition: int
    key_id: bytes
    claim: Claim


@register_message
class PrepareOutcome(msgspec.Struct, frozen=True):
    """Asks a keeper to accept no outcome with a lower ballot."""

    group_id: bytes
    partition: int
    key_id: bytes
    ballot: Ballot


@register_message
class RecordOutcome(msgspec.Struct, frozen=True):
    """Asks a keeper to record an outcome."""

    group_id: bytes
    partition: int
    key_id: bytes
    request_digest: bytes
    ballot: Ballot
    outcome: WriteOutcome


@register_message
class OutcomeReply(msgspec.Struct, frozen=True):
    """Reply to PrepareOutcome and RecordOutcome."""

    incarnation: Incarnation
    known: dict[str, Incarnation]
    agreed: bool
    promised: Ballot | None = None
    accepted: Ballot | None = None
    outcome: WriteOutcome | None = None
    request_digest: bytes = b""


class KeeperStage(enum.StrEnum):
    """Stage of a keeper in one group."""

    JOINING = "joining"
    # All records of the previous epoch are copied; only the common start is missing.
    PREPARED = "prepared"
    READY = "ready"
    SEALED = "sealed"
    # A later incarnation of the same name has taken this one's place.
    REPLACED = "replaced"


@register_message
class JoinKeepers(msgspec.Struct, frozen=True):
    """Announces a keeper's incarnation and asks for the records after ``after``."""

    group_id: bytes
    partition: int
    incarnation: Incarnation
    after: bytes = b""


@register_message
class SealKeepers(msgspec.Struct, frozen=True):
    """Ends a previous group at a keeper and asks for its records after ``after``."""

    group_id: bytes
    partition: int
    after: bytes = b""


@register_message
class KeeperState(msgspec.Struct, frozen=True):
    """A keeper's state with one page of its records."""

    incarnation: Incarnation
    known: dict[str, Incarnation]
    stage: KeeperStage
    ever_ready: bool
    origin: bytes | None = None
    certificate: dict[str, Incarnation] | None = None
    records: dict[bytes, KeyRecord] = {}
    more: bool = False


@register_message
class StartKeepers(msgspec.Struct, frozen=True):
    """Proposes the incarnations with which a group starts.

    ``origin`` is the previous layout whose records the group has copied, or empty.
    """

    group_id: bytes
    partition: int
    origin: bytes
    certificate: dict[str, Incarnation]


@register_message
class StartReply(msgspec.Struct, frozen=True):
    """A keeper incarnation accepts one certificate of a group and no other."""

    accepted: bool
