"""Agreement on the final outcome of a key among its keepers.

Single-decree Paxos with one round-0 ballot that only the claimant uses. A daemon that
learned the outcome from the service's lookup proposes it with a higher ballot, and every
daemon that finds an outcome at fewer than a majority completes it before it answers.
"""

import anyio

from snipetrestle.codes import ResultCode, ServingError
from snipetrestle.writes.groups import consistent_replies
from snipetrestle.writes.messages import PrepareOutcome, RecordOutcome
from snipetrestle.writes.records import CLAIMANT_BALLOT, Ballot

# Proposers collide only when several daemons look up one key at once.
MAX_ROUNDS = 6
BACKOFF_S = 0.02


class OutcomeRegister:
    """Records outcomes at a majority of a key's keepers."""

    def __init__(self, asker, membership, random):
        self._asker = asker
        self._membership = membership
        self._random = random
        self._next_number = 0

    async def record_as_claimant(self, group, key_id, request_digest, outcome):
        """Returns the outcome that is final: the given one, or one recorded before.

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
        return await self.settle(group, key_id, request_digest, outcome)

    async def settle(self, group, key_id, request_digest, proposal):
        """Returns the final outcome: one found at the keepers, or else ``proposal``.

        Raises ServingError if no majority answers.
        """
        number = 1
        for _ in range(MAX_ROUNDS):
            ballot = self._make_ballot(number)
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
            number = max(number, highest.round) + 1
            await anyio.sleep(BACKOFF_S * self._random.uniform(0.5, 1.5) * number)
        raise ServingError(
            ResultCode.WRITE_UNKNOWN, "no majority of the keepers agreed on an outcome"
        )

    def _make_ballot(self, number):
        self._next_number += 1
        return Ballot(
            number,
            self._membership.own_name,
            self._membership.own_incarnation,
            self._next_number,
        )

    async def _prepare(self, group, key_id, ballot):
        message = PrepareOutcome(group.group_id, group.partition, key_id, ballot)
        replies = await self._asker.ask(
            group.members, message, lambda by_name: _has_majority(group, by_name)
        )
        return list(consistent_replies(replies.by_name).values())

    async def _record(self, group, message):
        replies = await self._asker.ask(
            group.members, message, lambda by_name: _has_majority(group, by_name)
        )
        return _has_majority(group, replies.by_name)


def _has_majority(group, replies_by_name):
    consistent = consistent_replies(replies_by_name)
    return sum(reply.agreed for reply in consistent.values()) >= group.majority


def _latest_accepted(replies):
    """Returns the reply with the highest accepted ballot, with its result if kept."""
    accepted = [reply for reply in replies if reply.accepted is not None]
    if not accepted:
        return None
    return max(
        accepted, key=lambda reply: (reply.accepted, reply.outcome.body is not None)
    )
