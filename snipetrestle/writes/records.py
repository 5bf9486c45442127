"""Records of idempotency keys: claims, outcomes and the accounting of their memory."""

import enum
import functools
import hashlib
from collections import deque

import msgspec

from snipetrestle.peers.members import Incarnation

# 128 bits: two keys collide by chance only after about 2**64 keys.
DIGEST_BYTES = 16
# A larger result is returned once and not kept, so that one caller cannot fill the
# memory of a keeper.
MAX_KEPT_RESULT_BYTES = 65_536
# Memory of a kept result besides its body (242 bytes in benchmarks/writes.py).
RESULT_OVERHEAD_BYTES = 250
_NO_INCARNATION = Incarnation(0, 0)


def digest_of(*parts):
    """Returns a digest of strings or bytes; the length of each part is hashed too."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        data = part.encode() if isinstance(part, str) else part
        digest.update(len(data).to_bytes(8, "big"))
        digest.update(data)
    return digest.digest()


class Claim(msgspec.Struct, frozen=True, order=True):
    """Claim of a daemon incarnation on a key, for the right to run one request."""

    member: str
    incarnation: Incarnation
    number: int
    request_digest: bytes


class Ballot(msgspec.Struct, frozen=True, order=True, gc=False):
    """Paxos ballot of a proposed outcome. Only the claimant that won uses round 0."""

    round: int
    member: str = ""
    incarnation: Incarnation = _NO_INCARNATION
    number: int = 0


CLAIMANT_BALLOT = Ballot(0)


class OutcomeKind(enum.StrEnum):
    """Kinds of the final outcome of a key."""

    DONE = "done"
    DID_NOT_RUN = "did_not_run"


class WriteOutcome(msgspec.Struct, frozen=True, gc=False):
    """Final outcome of a key. ``body`` is None if the result is not kept."""

    kind: OutcomeKind
    status: int = 0
    content_type: str = ""
    body: bytes | None = None

    def without_result(self):
        """Returns the outcome without body and content type.

        Equal outcomes are the same object, to save memory.
        """
        return _outcome_without_result(self.kind, self.status)


@functools.cache
def _outcome_without_result(kind, status):
    return WriteOutcome(kind, status)


class KeyRecord(msgspec.Struct, gc=False):
    """Record of one key at one keeper.

    ``claims`` holds the claim that this incarnation voted for, or the claims found
    during recovery; a record with an outcome needs none. ``voted`` is true only for a
    vote of this incarnation. ``request_digest`` belongs to the outcome.
    """

    claims: tuple[Claim, ...] = ()
    voted: bool = False
    promised: Ballot | None = None
    accepted: Ballot | None = None
    outcome: WriteOutcome | None = None
    request_digest: bytes = b""

    def merge(self, other):
        """Merges another keeper's record of the same key into this one.

        The merged record does not count as a vote of this keeper.
        """
        self.claims = tuple(sorted({*self.claims, *other.claims}))
        self.voted = False
        if other.promised is not None:
            self.promised = max(self.promised or other.promised, other.promised)
        if other.accepted is None:
            return
        is_newer = self.accepted is None or other.accepted > self.accepted
        may_have_body = other.accepted == self.accepted and self.outcome.body is None
        if is_newer or may_have_body:
            self.accepted = other.accepted
            self.outcome = other.outcome
            self.request_digest = other.request_digest
            self.claims = ()


class RecordTable:
    """Bounds the number of records and the bytes of results at one keeper.

    The records are in the partitions' dicts, which callers pass in. A result
    (the body of an outcome) is removed ``retention_s`` seconds after it was recorded,
    or earlier if the results exceed ``max_result_bytes``. The rest of a record is never
    removed, since it protects against a second run of the write.
    """

    def __init__(self, max_records, max_result_bytes, retention_s):
        self.max_records = max_records
        self.max_result_bytes = max_result_bytes
        self.retention_s = retention_s
        self.record_count = 0
        self.result_bytes = 0
        # (removal time, record, outcome) of the results, oldest first.
        self._kept_results = deque()

    def is_full(self):
        return self.record_count >= self.max_records

    def add(self, records, key_id, record):
        """Adds a record. Callers that can refuse a new key check ``is_full`` first."""
        records[key_id] = record
        self.record_count += 1

    def remove(self, records, key_id):
        del records[key_id]
        self.record_count -= 1

    def release_records(self, records):
        """Stops counting all records of a partition, whose caller then drops them."""
        for record in records.values():
            self.drop_result(record)
        self.record_count -= len(records)

    def set_outcome(self, record, ballot, outcome, now):
        """Stores an outcome in a record and schedules the removal of its result."""
        self.drop_result(record)
        if outcome.body is None or len(outcome.body) > MAX_KEPT_RESULT_BYTES:
            outcome = outcome.without_result()
        if ballot == CLAIMANT_BALLOT:
            ballot = record.promised = CLAIMANT_BALLOT
        record.claims = ()
        record.accepted = ballot
        record.outcome = outcome
        self.track_result(record, now)

    def track_result(self, record, now):
        """Counts the result of a record, if it has one, and schedules its removal."""
        if record.outcome is None or record.outcome.body is None:
            return
        self.result_bytes += len(record.outcome.body) + RESULT_OVERHEAD_BYTES
        self._kept_results.append((now + self.retention_s, record, record.outcome))
        self.expire(now)

    def drop_result(self, record):
        """Removes the result of a record, if it has one."""
        if record.outcome is not None and record.outcome.body is not None:
            self.result_bytes -= len(record.outcome.body) + RESULT_OVERHEAD_BYTES
            record.outcome = record.outcome.without_result()

    def expire(self, now):
        """Removes the results that are due or exceed the byte limit, oldest first."""
        while self._kept_results:
            due, record, outcome = self._kept_results[0]
            if due > now and self.result_bytes <= self.max_result_bytes:
                return
            self._kept_results.popleft()
            if record.outcome is outcome:
                self.drop_result(record)
