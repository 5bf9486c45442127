"""Keepers and coordinators without one safeguard, to show that the checks can fail."""

import anyio

from snipetrestle.codes import ServingError
from snipetrestle.writes import Keeper, WriteCoordinator
from snipetrestle.writes.keeper import KeeperPartition
from snipetrestle.writes.records import WriteOutcome


class DoubleVotingPartition(KeeperPartition):
    """Votes for every claim on a key, not only for the first."""

    def may_vote(self, record):
        return record.outcome is None


class UnrecoveredPartition(KeeperPartition):
    """Is ready without copying the records of the other keepers."""

    async def join(self):
        self._become_ready()


class PromiseBreakingPartition(KeeperPartition):
    """Accepts an outcome even if it has promised a higher ballot."""

    def record(self, message):
        if message.key_id in self.records:
            self.records[message.key_id].promised = None
        return super().record(message)


class DoubleVotingKeeper(Keeper):
    partition_class = DoubleVotingPartition


class UnrecoveredKeeper(Keeper):
    partition_class = UnrecoveredPartition


class PromiseBreakingKeeper(Keeper):
    partition_class = PromiseBreakingPartition


class SwappedAnswerCoordinator(WriteCoordinator):
    """Returns the answer to the previous write instead of its own."""

    last_body = b""

    async def _call_service(self, attempt):
        outcome = await super()._call_service(attempt)
        if outcome is None or outcome.body is None:
            return outcome
        body, self.last_body = self.last_body, outcome.body
        return WriteOutcome(outcome.kind, outcome.status, outcome.content_type, body)


class UnansweringCoordinator(WriteCoordinator):
    """Never answers where an error is due."""

    async def run_write(self, request):
        try:
            return await super().run_write(request)
        except ServingError:
            await anyio.sleep_forever()


async def skip_recording(self, group, key_id, request_digest, outcome):
    """Replaces ``OutcomeRegister.record_as_claimant``: returns without recording."""
    return outcome
