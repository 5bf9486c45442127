"""Agreement of a key's keepers on the final outcome of its write.

Uses single-decree Paxos, in which only the claimant uses the ballot of round 0. A
daemon that learned the outcome from the service's lookup proposes it with a higher
ballot. A daemon that finds an outcome at fewer than a majority of the keepers proposes
it again, so that a majority holds it, before it answers.
"""

import anyio

from snipetrestle.codes import ResultCode, ServingError
from snipetrestle.writes.groups import consistent_replies
from snipetrestle.writes.messages import PrepareOutcome, RecordOutcome
from snipetrestle.writes.records import CLAIMANT_BALLOT, Ballot

# Proposers collide only if several daemons resolve the same key at once.
MAX_BALLOT_ROUNDS = 6
BALLOT_BACKOFF_S = 0.02


class OutcomeRegister:
    """Records outcomes at a majority of a key's keepers."""

    def __init__(self, keeper_client, membership, random):
        self._keeper_client = keeper_client
        self._membership = membership
        self._random = random
        self._last_ballot_number = 0

    async def record_as_claimant(self, group, key_id, request_digest, outcome):
        """Records the outcome of the claimant's own service call.

        Returns the final outcome: the given one, or another that was recorded before.
        Raises ServingError if no majority answers.
        """
        message = RecordOutcome(
            group.group_id,
            group.partition,
            key_id,
            request_digest,
            CLAIMANT_BALLOT,
            outcome,
        )
        if await self._record(group, message):
            return outcome
        return await self.propose(group, key_id, request_digest, outcome)

    async def propose(self, group, key_id, request_digest, proposal):
        """Runs Paxos until a majority of the keepers has accepted an outcome.

        Returns the final outcome: one that the keepers have accepted before, or else
        ``proposal``. Raises ServingError if no majority agrees.
        """
        round_number = 1
        for _ in range(MAX_BALLOT_ROUNDS):
            ballot = self._make_ballot(round_number)
            promises = await self._prepare(group, key_id, ballot)
            agreed = [reply for reply in promises if reply.agreed]
            if len(agreed) >= group.majority:
                outcome = proposal
                latest = _latest_accepted(agreed)
                if latest is not None:
                    outcome = latest.outcome
                    request_digest = latest.request_digest
                message = RecordOutcome(
                    group.group_id,
                    group.partition,
                    key_id,
                    request_digest,
                    ballot,
                    outcome,
                )
                if await self._record(group, message):
                    return outcome
            elif len(promises) < group.majority:
                break
            highest = max((item.promised for item in promises), default=ballot)
            round_number = max(round_number, highest.round) + 1
            await anyio.sleep(
                BALLOT_BACKOFF_S * self._random.uniform(0.5, 1.5) * round_number
            )
        raise ServingError(
            ResultCode.WRITE_UNKNOWN, "no majority of the keepers agreed on an outcome"
        )

    def _make_ballot(self, round_number):
        self._last_ballot_number += 1
        return Ballot(
            round_number,
            self._membership.own_name,
            self._membership.own_incarnation,
            self._last_ballot_number,
        )

    async def _prepare(self, group, key_id, ballot):
        """Returns the keepers' OutcomeReplies, of agreement or refusal."""
        message = PrepareOutcome(group.group_id, group.partition, key_id, ballot)
        replies = await self._keeper_client.call_all(
            group.members,
            message,
            lambda replies_by_name: _has_majority(group, replies_by_name),
        )
        return list(consistent_replies(replies.by_name).values())

    async def _record(self, group, message):
        """Returns whether a majority of the keepers has accepted the outcome."""
        replies = await self._keeper_client.call_all(
            group.members,
            message,
            lambda replies_by_name: _has_majority(group, replies_by_name),
        )
        return _has_majority(group, replies.by_name)


def _has_majority(group, replies_by_name):
    consistent = consistent_replies(replies_by_name)
    return sum(reply.agreed for reply in consistent.values()) >= group.majority


def _latest_accepted(replies):
    """Returns the reply with the highest accepted ballot, or None.

    Prefers a reply that still has the result's body.
    """
    accepted = [reply for reply in replies if reply.accepted is not None]
    if not accepted:
        return None
    return max(
        accepted, key=lambda reply: (reply.accepted, reply.outcome.body is not None)
    )
