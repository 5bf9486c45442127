"""Keeper role: stores votes and outcomes of idempotency keys, and recovers after a loss.

A keeper has no disk. One that restarts empty announces its new incarnation to a majority
of the group's other keepers and copies their records before it votes again
(crash-consistent quorums; docs/notes/writes.md has the safety argument).
"""

import heapq

import anyio
import msgspec

from snipetrestle.codes import ResultCode, ServingError
from snipetrestle.events import Event, log_event
from snipetrestle.peers.members import Incarnation
from snipetrestle.peers.messages import Acknowledged
from snipetrestle.peers.transport import PeerUnreachable
from snipetrestle.writes.asking import KeeperAsker
from snipetrestle.writes.groups import (
    PARTITIONS,
    GroupLayout,
    consistent_replies,
    merge_known,
)
from snipetrestle.writes.messages import (
    ClaimVote,
    ClaimWrite,
    JoinKeepers,
    KeeperStage,
    KeeperState,
    OutcomeReply,
    PrepareOutcome,
    RecordOutcome,
    SealKeepers,
    StartKeepers,
    StartReply,
    WithdrawClaim,
)
from snipetrestle.writes.records import KeyRecord, RecordTable

# A page stays below the 4 MiB limit of a gRPC message, whatever results it holds.
PAGE_RECORDS = 200
PAGE_BYTES = 1_048_576
# The pause between tries doubles up to the limit: a keeper that waits for an operator
# must not load the others.
JOIN_RETRY_S = 0.25
JOIN_RETRY_MAX_S = 5.0
# After this many failed tries (8 s and more) a keeper logs that it cannot recover.
TRIES_BEFORE_EVENT = 6


class KeeperPartition:
    """One partition's records at one keeper, for one epoch."""

    def __init__(self, keeper, group, incarnation):
        self.keeper = keeper
        self.group = group
        # How the group may start: without records (b""), with the records of the previous
        # layout (its id), or not at all (None).
        self.origin = None
        self.previous_group = None
        self.incarnation = incarnation
        self.known = {keeper.own_name: incarnation}
        self.records = {}
        self.certificate = None
        self.stage = KeeperStage.JOINING
        self._announced = False
        self._woken = anyio.Event()

    @property
    def others(self):
        return [name for name in self.group.members if name != self.keeper.own_name]

    def set_origin(self, origin, previous_group):
        """Takes how the group may start, unless this keeper has agreed to a start."""
        waits = self.stage in (KeeperStage.JOINING, KeeperStage.PREPARED)
        if not waits or self.certificate is not None or origin == self.origin:
            return
        self.origin = origin
        self.previous_group = previous_group
        self.stage = KeeperStage.PREPARED if origin == b"" else KeeperStage.JOINING

    def state(self, after=None):
        """Returns the state, with the page of records after ``after`` if given."""
        records, more = {}, False
        if after is not None:
            records, more = self._page(after)
        return KeeperState(
            self.incarnation,
            dict(self.known),
            self.stage,
            self.keeper.was_ready_elsewhere(self.group),
            self.origin,
            self.certificate,
            records,
            more,
        )

    def _page(self, after):
        later = [key_id for key_id in self.records if key_id > after]
        page, size = {}, 0
        for key_id in heapq.nsmallest(PAGE_RECORDS, later):
            record = self.records[key_id]
            page[key_id] = msgspec.structs.replace(record)
            if record.outcome is not None and record.outcome.body is not None:
                size += len(record.outcome.body)
            if size > PAGE_BYTES:
                break
        return page, len(page) < len(later)

    # Votes and outcomes.

    def may_vote(self, record):
        """Tells whether a vote is free: one vote for a key, and none after an outcome."""
        return not record.claims and record.outcome is None

    def vote(self, message):
        record = self.records.get(message.key_id)
        if record is None:
            if self.keeper.table.is_full():
                return self._vote_reply(False, True, None)
            record = KeyRecord()
            self.keeper.table.add(self.records, message.key_id, record)
        if self.may_vote(record):
            record.claims = (message.claim,)
            record.voted = True
        granted = record.voted and record.claims == (message.claim,)
        return self._vote_reply(granted, False, msgspec.structs.replace(record))

    def _vote_reply(self, granted, full, record):
        return ClaimVote(self.incarnation, dict(self.known), granted, full, record)

    def withdraw(self, message):
        record = self.records.get(message.key_id)
        if record is None or record.outcome is not None:
            return
        if message.claim not in record.claims:
            return
        record.claims = tuple(item for item in record.claims if item != message.claim)
        record.voted = False
        if not record.claims and record.promised is None:
            self.keeper.table.remove(self.records, message.key_id)

    def _record_for_outcome(self, message):
        record = self.records.get(message.key_id)
        if record is None:
            if self.keeper.table.is_full():
                raise ServingError(ResultCode.WRITE_TABLE_FULL)
            record = KeyRecord()
            self.keeper.table.add(self.records, message.key_id, record)
        return record

    def prepare(self, message):
        record = self._record_for_outcome(message)
        agreed = record.promised is None or message.ballot >= record.promised
        if agreed:
            record.promised = message.ballot
        return self._outcome_reply(agreed, record)

    def record(self, message):
        record = self._record_for_outcome(message)
        agreed = record.promised is None or message.ballot >= record.promised
        if agreed:
            record.promised = message.ballot
            record.request_digest = message.request_digest
            if record.accepted != message.ballot:
                self.keeper.table.set_outcome(
                    record, message.ballot, message.outcome, anyio.current_time()
                )
        return self._outcome_reply(agreed, record)

    def _outcome_reply(self, agreed, record):
        return OutcomeReply(
            self.incarnation,
            dict(self.known),
            agreed,
            record.promised,
            record.accepted,
            record.outcome,
            record.request_digest,
        )

    # Recovery and start.

    async def join(self):
        """Brings this keeper to ``ready``: by recovery, or by the group's first start."""
        tries, pause_s = 0, JOIN_RETRY_S
        while self.stage in (KeeperStage.JOINING, KeeperStage.PREPARED):
            if await self._try_to_join():
                return
            tries += 1
            if tries == TRIES_BEFORE_EVENT:
                self.keeper.report_blocked(self)
            with anyio.move_on_after(pause_s):
                await self._woken.wait()
            pause_s = min(2 * pause_s, JOIN_RETRY_MAX_S)
            if self._woken.is_set():
                self._woken = anyio.Event()
                pause_s = JOIN_RETRY_S
                await anyio.sleep(pause_s)

    def wake(self):
        """Lets a keeper that waits between two tries try again soon."""
        self._woken.set()

    def note_incarnation(self, name, incarnation):
        """Notes a keeper's announcement. A new run may be the one that was missing."""
        if name not in self.known or self.known[name] < incarnation:
            merge_known(self.known, {name: incarnation})
            self.wake()

    async def _try_to_join(self):
        replies = await self.keeper.asker.ask(self.others, self._join_message())
        replies_by_name = replies.by_name
        if not self._check_incarnation(replies_by_name):
            return False
        if await self._recover(replies_by_name):
            return True
        if self._started_by_others(replies_by_name):
            self._become_ready()
            return True
        if self.origin is None:
            return False
        if self.stage is KeeperStage.JOINING and not await self._inherit():
            return False
        return await self._start_group(replies_by_name)

    def _join_message(self, after=b""):
        return JoinKeepers(
            self.group.group_id, self.group.partition, self.incarnation, after
        )

    def _check_incarnation(self, replies_by_name):
        """Raises the own incarnation above an older run's, if a clock ran backwards."""
        own_name = self.keeper.own_name
        highest = max(
            (reply.known.get(own_name, self.incarnation))
            for reply in (*replies_by_name.values(), self.state())
        )
        if highest == self.incarnation:
            self._announced = self._announced or bool(replies_by_name)
            return True
        if self._announced:
            # The others knew this incarnation, so the higher one started after it.
            self.stage = KeeperStage.REPLACED
        elif self.certificate is None:
            self.incarnation = Incarnation(highest.number + 1, self.incarnation.bits)
            self.known[own_name] = self.incarnation
        return False

    async def _recover(self, replies_by_name):
        """Copies the records of a majority of the other keepers, if it is ready."""
        ready = [
            name
            for name, reply in replies_by_name.items()
            if reply.stage is KeeperStage.READY
        ]
        if len(ready) < self.group.majority:
            return False
        records_by_name = await self._copy_pages(
            {name: replies_by_name[name] for name in ready}, self._join_message
        )
        if len(records_by_name) < self.group.majority:
            return False
        self._replace_records(records_by_name.values())
        # A certificate that was only accepted says nothing once the group has started.
        self.certificate = None
        self._become_ready()
        return True

    async def _copy_pages(self, first_by_name, make_message):
        """Returns the records by keeper, of replies that are consistent in the end."""
        last_by_name, records_by_name = {}, {}
        for name, reply in first_by_name.items():
            records = dict(reply.records)
            first = reply
            while reply is not None and reply.more:
                reply = await self._next_page(name, make_message(max(records)), first)
                if reply is not None:
                    records.update(reply.records)
            if reply is not None:
                last_by_name[name] = reply
                records_by_name[name] = records
        consistent = consistent_replies(last_by_name)
        for reply in consistent.values():
            merge_known(self.known, reply.known)
        return {name: records_by_name[name] for name in consistent}

    async def _next_page(self, name, message, first):
        try:
            reply = await self.keeper.asker.call(name, message)
        except (PeerUnreachable, ServingError):
            return None
        same_run = reply.incarnation == first.incarnation
        return reply if same_run and reply.stage == first.stage else None

    def _replace_records(self, tables):
        self.keeper.table.forget(self.records)
        self.records = {}
        for table in tables:
            for key_id, record in table.items():
                if key_id in self.records:
                    self.records[key_id].merge(record)
                    continue
                copied = msgspec.structs.replace(record, voted=False)
                self.keeper.table.add(self.records, key_id, copied)
        for record in self.records.values():
            self.keeper.table.keep_result(record, anyio.current_time())

    async def _inherit(self):
        """Seals a majority of the previous epoch's keepers and copies their records."""
        previous = self.previous_group

        def message(after=b""):
            return SealKeepers(previous.group_id, previous.partition, after)

        replies = await self.keeper.asker.ask(previous.members, message())
        sealed = {
            name: reply
            for name, reply in replies.by_name.items()
            if reply.stage is KeeperStage.SEALED
        }
        if len(sealed) < previous.majority:
            return False
        known = dict(self.known)
        records_by_name = await self._copy_pages(sealed, message)
        if self.origin != previous.group_id:
            # Another configuration has come into effect meanwhile.
            return False
        # The incarnations known in the previous group are not this group's.
        self.known = known
        if len(records_by_name) < previous.majority:
            return False
        self._replace_records(records_by_name.values())
        self.stage = KeeperStage.PREPARED
        return True

    def _started_by_others(self, replies_by_name):
        """Tells whether another keeper saw that all accepted the same certificate."""
        return self.certificate is not None and any(
            reply.stage is KeeperStage.READY and reply.certificate == self.certificate
            for reply in replies_by_name.values()
        )

    async def _start_group(self, replies_by_name):
        """Starts a group without records, if all its keepers agree that it is new.

        All keepers must accept the same incarnations, and each accepts only one set. A
        keeper that restarts during the start can therefore not start a second time with
        an empty table beside keepers that have already voted.
        """
        if self.stage is not KeeperStage.PREPARED:
            return False
        if len(replies_by_name) < len(self.others):
            return False
        if self.keeper.was_ready_elsewhere(self.group):
            return False
        for reply in replies_by_name.values():
            if reply.stage is not KeeperStage.PREPARED or reply.ever_ready:
                return False
            if reply.origin != self.origin:
                return False
        certificate = {
            name: reply.incarnation for name, reply in replies_by_name.items()
        }
        certificate[self.keeper.own_name] = self.incarnation
        if not self.accept_start(self.origin, certificate):
            return False
        message = StartKeepers(
            self.group.group_id, self.group.partition, self.origin, certificate
        )
        replies = await self.keeper.asker.ask(self.others, message)
        accepted = sum(reply.accepted for reply in replies.by_name.values())
        if accepted < len(self.others):
            return False
        self._become_ready()
        return True

    def accept_start(self, origin, certificate):
        if self.stage is KeeperStage.PREPARED and self.certificate is None:
            if certificate.get(self.keeper.own_name) != self.incarnation:
                return False
            if origin != self.origin:
                return False
            self.certificate = certificate
            self.wake()
        return self.certificate == certificate

    def _become_ready(self):
        if self.certificate is not None:
            merge_known(self.known, self.certificate)
        self.stage = KeeperStage.READY
        self.keeper.report_ready(self)


class Keeper:
    """Keeper role of one daemon, over all partitions that it keeps.

    ``apply`` takes the published configuration; ``run`` serves until cancelled.
    """

    partition_class = KeeperPartition

    def __init__(self, transport, router, membership, partitions=PARTITIONS):
        self.own_name = membership.own_name
        self.asker = KeeperAsker(transport, router, membership.own_name)
        self.table = RecordTable(0, 0, 0.0)
        self._own_incarnation = membership.own_incarnation
        self._partition_count = partitions
        self._partitions = {}
        self._layout = None
        # Epochs by layout in which this run has been ready.
        self._ready_epochs = {}
        self._kept_group_id = None
        self._tasks = None
        self._register(router)

    def _register(self, router):
        router.on_call(ClaimWrite, self._on_claim)
        router.on_call(WithdrawClaim, self._on_withdraw)
        router.on_call(PrepareOutcome, self._on_prepare)
        router.on_call(RecordOutcome, self._on_record)
        router.on_call(JoinKeepers, self._on_join)
        router.on_call(SealKeepers, self._on_seal)
        router.on_call(StartKeepers, self._on_start)

    async def run(self):
        """Runs recovery for each partition. Runs until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = self.asker.tasks = tasks
            for partition in self._partitions.values():
                tasks.start_soon(partition.join)
            await anyio.sleep_forever()

    def apply(self, configuration):
        """Takes over a published configuration."""
        writes = configuration.writes
        self.table.max_records = writes.max_records
        self.table.max_result_bytes = writes.max_result_bytes
        self.table.retention_s = writes.result_retention_s
        layout = GroupLayout.current(configuration, self._partition_count)
        previous = GroupLayout.previous(configuration, self._partition_count)
        self._layout = layout
        self._remove_old(layout, previous)
        origin = b"" if writes.start == "new" else None
        if previous is not None:
            origin = previous.group_id
        for group in layout.groups:
            if self.own_name not in group.members:
                continue
            previous_group = previous and previous.groups[group.partition]
            self._partition_of(group).set_origin(origin, previous_group)

    def _partition_of(self, group):
        """Returns the partition of a group; a new one starts to join."""
        key = (group.group_id, group.partition)
        partition = self._partitions.get(key)
        if partition is None:
            partition = self.partition_class(self, group, self._own_incarnation)
            self._partitions[key] = partition
            if self._tasks is not None:
                self._tasks.start_soon(partition.join)
        return partition

    def _remove_old(self, layout, previous):
        """Keeps the last ready layout, so that a mistaken change can be taken back."""
        kept = {layout.group_id, self._kept_group_id}
        if previous is not None:
            kept.add(previous.group_id)
        for key in [key for key in self._partitions if key[0] not in kept]:
            partition = self._partitions.pop(key)
            partition.stage = KeeperStage.SEALED
            self.table.forget(partition.records)

    def was_ready_elsewhere(self, group):
        """Tells whether this run was ready in another layout of this epoch or later."""
        return any(
            epoch >= group.epoch and group_id != group.group_id
            for group_id, epoch in self._ready_epochs.items()
        )

    def report_ready(self, partition):
        group = partition.group
        self._ready_epochs[group.group_id] = group.epoch
        if group.group_id == self._layout.group_id and self.is_ready():
            self._kept_group_id = group.group_id
            log_event(Event.KEEPER_READY, epoch=group.epoch, **self.counts_by_stage())

    def report_blocked(self, partition):
        log_event(
            Event.KEEPER_BLOCKED,
            epoch=partition.group.epoch,
            partition=partition.group.partition,
            stage=str(partition.stage),
        )

    def current_partitions(self):
        return [
            partition
            for partition in self._partitions.values()
            if partition.group.group_id == self._layout.group_id
        ]

    def counts_by_stage(self):
        """Returns how many partitions of the current epoch are in each stage."""
        counts = {}
        for partition in self.current_partitions():
            counts[str(partition.stage)] = counts.get(str(partition.stage), 0) + 1
        return counts

    def is_ready(self):
        """Tells whether all partitions of the current epoch are ready."""
        return all(
            partition.stage is KeeperStage.READY
            for partition in self.current_partitions()
        )

    # Handlers of messages.

    def _find(self, message):
        self.table.expire(anyio.current_time())
        partition = self._partitions.get((message.group_id, message.partition))
        if partition is None:
            raise ServingError(
                ResultCode.WRITE_UNKNOWN,
                f"{self.own_name} does not keep partition {message.partition} "
                f"of layout {message.group_id.hex()[:8]}",
            )
        return partition

    def _find_ready(self, message):
        partition = self._find(message)
        if partition.stage is not KeeperStage.READY:
            raise ServingError(
                ResultCode.WRITE_UNKNOWN,
                f"keeper {self.own_name} is {partition.stage} "
                f"for partition {message.partition}",
            )
        return partition

    async def _on_claim(self, sender, message):
        return self._find_ready(message).vote(message)

    async def _on_withdraw(self, sender, message):
        self._find_ready(message).withdraw(message)
        return Acknowledged()

    async def _on_prepare(self, sender, message):
        return self._find_ready(message).prepare(message)

    async def _on_record(self, sender, message):
        return self._find_ready(message).record(message)

    async def _on_join(self, sender, message):
        partition = self._find(message)
        partition.note_incarnation(sender, message.incarnation)
        with_records = partition.stage is KeeperStage.READY
        return partition.state(message.after if with_records else None)

    async def _on_seal(self, sender, message):
        partition = self._find(message)
        if partition.stage is KeeperStage.READY:
            partition.stage = KeeperStage.SEALED
        with_records = partition.stage is KeeperStage.SEALED
        return partition.state(message.after if with_records else None)

    async def _on_start(self, sender, message):
        partition = self._find(message)
        return StartReply(partition.accept_start(message.origin, message.certificate))
