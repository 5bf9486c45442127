"""Keepers and coordinators with one guard switched off, to show that checks can fail."""

import anyio

from snipetrestle.codes import ServingError
from snipetrestle.writes import Keeper, WriteCoordinator
from snipetrestle.writes.keeper import KeeperPartition
from snipetrestle.writes.records import WriteOutcome


class GenerousPartition(KeeperPartition):
    """Votes for every claim."""

    def may_vote(self, record):
        return record.outcome is None


class ForgetfulPartition(KeeperPartition):
    """Is ready without recovery."""

    async def join(self):
        self._become_ready()


class OverwritingPartition(KeeperPartition):
    """Accepts an outcome whatever it has promised."""

    def record(self, message):
        if message.key_id in self.records:
            self.records[message.key_id].promised = None
        return super().record(message)


class GenerousKeeper(Keeper):
    partition_class = GenerousPartition


class ForgetfulKeeper(Keeper):
    partition_class = ForgetfulPartition


class OverwritingKeeper(Keeper):
    partition_class = OverwritingPartition


class CrossingCoordinator(WriteCoordinator):
    """Returns the answer to the write before."""

    last_body = b""

    async def _call_service(self, attempt):
        outcome = await super()._call_service(attempt)
        if outcome is None or outcome.body is None:
            return outcome
        body, self.last_body = self.last_body, outcome.body
        return WriteOutcome(outcome.kind, outcome.status, outcome.content_type, body)


class SilentCoordinator(WriteCoordinator):
    """Gives no answer instead of an unknown outcome."""

    async def run_write(self, request):
        try:
            return await super().run_write(request)
        except ServingError:
            await anyio.sleep_forever()


async def record_nothing(self, group, key_id, request_digest, outcome):
    """Replaces ``OutcomeRegister.record_as_claimant``: tells without recording."""
    return outcome
