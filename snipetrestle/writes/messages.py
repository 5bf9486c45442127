"""Messages of keepers and write coordinators.

In a keeper's reply, ``incarnation`` is its own and ``known`` holds the highest
incarnation that it knows of each keeper of the group, by name. ``group_id`` and
``partition`` identify the keeper group, ``key_id`` is the digest of an idempotency key.
"""

import enum

import msgspec

from snipetrestle.peers.members import Incarnation
from snipetrestle.peers.messages import register_message
from snipetrestle.writes.records import Ballot, Claim, KeyRecord, WriteOutcome


@register_message
class RunWrite(msgspec.Struct, frozen=True):
    """Asks a key's coordinator to run a write; it replies within ``wait_s`` seconds."""

    customer: str
    service: str
    operation: str
    key: str
    body: bytes
    content_type: str
    wait_s: float


@register_message
class WriteAnswer(msgspec.Struct, frozen=True):
    """Reply to RunWrite: the final outcome, recorded by a majority of the keepers."""

    outcome: WriteOutcome


class ClaimState(enum.StrEnum):
    """State of a claim at its claimant."""

    IN_PROGRESS = "in_progress"
    # The claim won and its outcome is unknown, or the claimant did not reply.
    UNKNOWN = "unknown"
    WITHDRAWN = "withdrawn"
    # The claim is from an earlier incarnation of the daemon.
    REPLACED = "replaced"
    FINISHED = "finished"


@register_message
class AskClaimant(msgspec.Struct, frozen=True):
    """Asks a claimant for its claim's outcome; it replies within ``wait_s`` seconds."""

    key_id: bytes
    claim: Claim
    wait_s: float


@register_message
class ClaimantState(msgspec.Struct, frozen=True):
    """Reply to AskClaimant. ``outcome`` is set if ``state`` is ``finished``."""

    state: ClaimState
    outcome: WriteOutcome | None = None


@register_message
class ClaimWrite(msgspec.Struct, frozen=True):
    """Asks a keeper for its vote. The reply also has the keeper's record of the key."""

    group_id: bytes
    partition: int
    key_id: bytes
    claim: Claim


@register_message
class ClaimVote(msgspec.Struct, frozen=True):
    """Reply to ClaimWrite. ``full`` is true if the keeper has no room for a new key."""

    incarnation: Incarnation
    known: dict[str, Incarnation]
    granted: bool
    full: bool = False
    record: KeyRecord | None = None


@register_message
class WithdrawClaim(msgspec.Struct, frozen=True):
    """Withdraws a claim; the claimant never calls the service under it."""

    group_id: bytes
    partition: int
    key_id: bytes
    claim: Claim


@register_message
class PrepareOutcome(msgspec.Struct, frozen=True):
    """Asks a keeper to promise that it accepts no outcome with a lower ballot."""

    group_id: bytes
    partition: int
    key_id: bytes
    ballot: Ballot


@register_message
class RecordOutcome(msgspec.Struct, frozen=True):
    """Asks a keeper to accept and record an outcome."""

    group_id: bytes
    partition: int
    key_id: bytes
    request_digest: bytes
    ballot: Ballot
    outcome: WriteOutcome


@register_message
class OutcomeReply(msgspec.Struct, frozen=True):
    """Reply to PrepareOutcome and RecordOutcome.

    ``promised`` is the highest promised ballot. ``accepted`` is the ballot of
    ``outcome``.
    """

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
    # Has all records with which the group starts; waits for the start of the group.
    PREPARED = "prepared"
    READY = "ready"
    # The group has ended: the keeper only hands its records to the next epoch.
    SEALED = "sealed"
    # A later incarnation of the same name has taken this one's place.
    REPLACED = "replaced"


@register_message
class JoinKeepers(msgspec.Struct, frozen=True):
    """Announces a keeper's incarnation and asks for the records after key ``after``."""

    group_id: bytes
    partition: int
    incarnation: Incarnation
    after: bytes = b""


@register_message
class SealKeepers(msgspec.Struct, frozen=True):
    """Seals a previous group's keeper and asks for its records after key ``after``."""

    group_id: bytes
    partition: int
    after: bytes = b""


@register_message
class KeeperState(msgspec.Struct, frozen=True):
    """State of a keeper in a group, with one page of its records.

    ``ever_ready`` tells whether this incarnation was ready in another layout of this
    epoch or later. ``more`` tells whether another page follows.
    """

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

    ``origin`` is the id of the previous layout whose records the group has copied, or
    empty. ``certificate`` has the incarnation of each keeper by name.
    """

    group_id: bytes
    partition: int
    origin: bytes
    certificate: dict[str, Incarnation]


@register_message
class StartReply(msgspec.Struct, frozen=True):
    """Reply to StartKeepers. An incarnation accepts one certificate of a group only."""

    accepted: bool
