"""Keeper: a replica that stores votes and outcomes of idempotency keys in memory.

A keeper has no disk. After a restart it has no records: it announces its new
incarnation to a majority of the group's other keepers and copies their records before
it votes again (crash-consistent quorums; docs/notes/writes.md has the safety argument).
"""

import heapq

import anyio
import msgspec

from snipetrestle.codes import ResultCode, ServingError
from snipetrestle.events import Event, log_event
from snipetrestle.peers.members import Incarnation
from snipetrestle.peers.messages import Acknowledged
from snipetrestle.peers.transport import PeerUnreachable
from snipetrestle.writes.asking import KeeperClient
from snipetrestle.writes.groups import (
    PARTITION_COUNT,
    GroupLayout,
    consistent_replies,
    merge_known_incarnations,
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

# Limits of a page of records: below the 4 MiB limit of a gRPC message, whatever results
# it holds.
PAGE_RECORDS = 200
PAGE_BYTES = 1_048_576
# The pause between attempts to join doubles up to the maximum: a keeper that waits for
# an operator must not load the others.
JOIN_RETRY_S = 0.25
MAX_JOIN_RETRY_S = 5.0
# After this many failed attempts (8 s and more) a keeper logs that it cannot recover.
ATTEMPTS_BEFORE_BLOCKED_EVENT = 6


class KeeperPartition:
    """One partition's records at one keeper, for one epoch, and its stage.

    The keeper votes and records outcomes only in stage READY.
    """

    def __init__(self, keeper, group, incarnation):
        self.keeper = keeper
        self.group = group
        # How the group may start: without records (b""), with the records of the
        # previous layout (the id of that layout), or not at all (None).
        self.origin = None
        self.previous_group = None
        self.incarnation = incarnation
        # The highest known incarnation of each keeper of the group.
        self.known = {keeper.own_name: incarnation}
        self.records = {}
        # The incarnations by name with which this keeper has agreed to start the group.
        self.certificate = None
        self.stage = KeeperStage.JOINING
        # Whether another keeper has received this incarnation.
        self._was_announced = False
        self._retry_requested = anyio.Event()

    @property
    def other_members(self):
        return [name for name in self.group.members if name != self.keeper.own_name]

    def set_origin(self, origin, previous_group):
        """Sets how the group may start, unless this keeper has agreed to a start."""
        is_starting = self.stage in (KeeperStage.JOINING, KeeperStage.PREPARED)
        if not is_starting or self.certificate is not None or origin == self.origin:
            return
        self.origin = origin
        self.previous_group = previous_group
        self.stage = KeeperStage.PREPARED if origin == b"" else KeeperStage.JOINING

    def state(self, after=None):
        """Returns the KeeperState, with the records after key ``after`` if given."""
        records, more = {}, False
        if after is not None:
            records, more = self._page(after)
        return KeeperState(
            self.incarnation,
            dict(self.known),
            self.stage,
            self.keeper.was_ready_in_other_layout(self.group),
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
        """Tells whether this keeper may vote for a claim on the key.

        It votes for one claim of a key only, and for none once there is an outcome.
        """
        return not record.claims and record.outcome is None

    def vote(self, message):
        """Returns the ClaimVote for a ClaimWrite."""
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
        """Removes a claim that its claimant has given up, and the vote for it."""
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
        """Promises to accept no outcome with a lower ballot than the message's."""
        record = self._record_for_outcome(message)
        agreed = record.promised is None or message.ballot >= record.promised
        if agreed:
            record.promised = message.ballot
        return self._outcome_reply(agreed, record)

    def record(self, message):
        """Accepts an outcome, unless a higher ballot has been promised."""
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
        """Retries until this keeper is READY, by recovery or by the first start."""
        attempts, pause_s = 0, JOIN_RETRY_S
        while self.stage in (KeeperStage.JOINING, KeeperStage.PREPARED):
            if await self._try_to_join():
                return
            attempts += 1
            if attempts == ATTEMPTS_BEFORE_BLOCKED_EVENT:
                self.keeper.report_blocked(self)
            with anyio.move_on_after(pause_s):
                await self._retry_requested.wait()
            pause_s = min(2 * pause_s, MAX_JOIN_RETRY_S)
            if self._retry_requested.is_set():
                self._retry_requested = anyio.Event()
                pause_s = JOIN_RETRY_S
                await anyio.sleep(pause_s)

    def request_retry(self):
        """Ends the pause of ``join``, so that it tries again soon."""
        self._retry_requested.set()

    def note_incarnation(self, name, incarnation):
        """Stores an announced incarnation of a keeper of the group.

        A new one triggers a retry, since it may be the keeper that was missing.
        """
        if name not in self.known or self.known[name] < incarnation:
            merge_known_incarnations(self.known, {name: incarnation})
            self.request_retry()

    async def _try_to_join(self):
        """Tries once to recover or to start the group. Returns whether it is READY."""
        replies = await self.keeper.keeper_client.call_all(
            self.other_members, self._join_message()
        )
        replies_by_name = replies.by_name
        if not self._check_incarnation(replies_by_name):
            return False
        if await self._recover(replies_by_name):
            return True
        if self._others_have_started(replies_by_name):
            self._become_ready()
            return True
        if self.origin is None:
            return False
        if self.stage is KeeperStage.JOINING and not await self._copy_previous_group():
            return False
        return await self._start_group(replies_by_name)

    def _join_message(self, after=b""):
        return JoinKeepers(
            self.group.group_id, self.group.partition, self.incarnation, after
        )

    def _check_incarnation(self, replies_by_name):
        """Tells whether no higher incarnation of this keeper is known to the group.

        If this incarnation was announced, a higher one has replaced it. Otherwise the
        clock was set back since an earlier run, and this incarnation's number is raised
        above the earlier one's, unless this keeper has accepted a certificate.
        """
        own_name = self.keeper.own_name
        highest = max(
            (reply.known.get(own_name, self.incarnation))
            for reply in (*replies_by_name.values(), self.state())
        )
        if highest == self.incarnation:
            self._was_announced = self._was_announced or bool(replies_by_name)
            return True
        if self._was_announced:
            # The others already knew this incarnation, so the higher one is newer.
            self.stage = KeeperStage.REPLACED
        elif self.certificate is None:
            self.incarnation = Incarnation(highest.number + 1, self.incarnation.bits)
            self.known[own_name] = self.incarnation
        return False

    async def _recover(self, replies_by_name):
        """Copies the records of the other keepers if a majority of the group is ready.

        Returns whether this keeper is READY.
        """
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
        # The group has started, so a certificate that this keeper had accepted for a
        # start no longer counts.
        self.certificate = None
        self._become_ready()
        return True

    async def _copy_pages(self, first_replies_by_name, make_message):
        """Fetches all pages of records. Returns the records by keeper name.

        Leaves out keepers that failed, restarted or were replaced while pages were
        read.
        """
        last_replies_by_name, records_by_name = {}, {}
        for name, reply in first_replies_by_name.items():
            records = dict(reply.records)
            first_reply = reply
            while reply is not None and reply.more:
                reply = await self._next_page(
                    name, make_message(max(records)), first_reply
                )
                if reply is not None:
                    records.update(reply.records)
            if reply is not None:
                last_replies_by_name[name] = reply
                records_by_name[name] = records
        consistent = consistent_replies(last_replies_by_name)
        for reply in consistent.values():
            merge_known_incarnations(self.known, reply.known)
        return {name: records_by_name[name] for name in consistent}

    async def _next_page(self, name, message, first_reply):
        """Returns the reply; None if the keeper failed, restarted or changed stage."""
        try:
            reply = await self.keeper.keeper_client.call(name, message)
        except (PeerUnreachable, ServingError):
            return None
        is_same_incarnation = reply.incarnation == first_reply.incarnation
        return (
            reply if is_same_incarnation and reply.stage == first_reply.stage else None
        )

    def _replace_records(self, record_sets):
        """Replaces all records by the merged records of other keepers."""
        self.keeper.table.release_records(self.records)
        self.records = {}
        for record_set in record_sets:
            for key_id, record in record_set.items():
                if key_id in self.records:
                    self.records[key_id].merge(record)
                    continue
                copied = msgspec.structs.replace(record, voted=False)
                self.keeper.table.add(self.records, key_id, copied)
        for record in self.records.values():
            self.keeper.table.track_result(record, anyio.current_time())

    async def _copy_previous_group(self):
        """Seals a majority of the previous epoch's keepers and copies their records.

        Returns whether the records are complete; the stage is PREPARED then.
        """
        previous = self.previous_group

        def message(after=b""):
            return SealKeepers(previous.group_id, previous.partition, after)

        replies = await self.keeper.keeper_client.call_all(previous.members, message())
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
            # Another configuration has taken effect meanwhile.
            return False
        # Drops the incarnations learned from the previous group: they belong to its
        # keepers.
        self.known = known
        if len(records_by_name) < previous.majority:
            return False
        self._replace_records(records_by_name.values())
        self.stage = KeeperStage.PREPARED
        return True

    def _others_have_started(self, replies_by_name):
        """Tells whether another keeper is ready with the certificate accepted here.

        That keeper has seen that all keepers accepted it.
        """
        return self.certificate is not None and any(
            reply.stage is KeeperStage.READY and reply.certificate == self.certificate
            for reply in replies_by_name.values()
        )

    async def _start_group(self, replies_by_name):
        """Starts a group for the first time, if all its keepers agree that it is new.

        All keepers must accept the same certificate (the incarnations of all keepers),
        and each accepts only one. A keeper that restarts during the start can therefore
        not start a second time with an empty table beside keepers that have already
        voted. Returns whether this keeper is READY.
        """
        if self.stage is not KeeperStage.PREPARED:
            return False
        if len(replies_by_name) < len(self.other_members):
            return False
        if self.keeper.was_ready_in_other_layout(self.group):
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
        replies = await self.keeper.keeper_client.call_all(self.other_members, message)
        accepted = sum(reply.accepted for reply in replies.by_name.values())
        if accepted < len(self.other_members):
            return False
        self._become_ready()
        return True

    def accept_start(self, origin, certificate):
        """Returns whether this keeper accepts, or has accepted, the certificate."""
        if self.stage is KeeperStage.PREPARED and self.certificate is None:
            if certificate.get(self.keeper.own_name) != self.incarnation:
                return False
            if origin != self.origin:
                return False
            self.certificate = certificate
            self.request_retry()
        return self.certificate == certificate

    def _become_ready(self):
        if self.certificate is not None:
            merge_known_incarnations(self.known, self.certificate)
        self.stage = KeeperStage.READY
        self.keeper.report_ready(self)


class Keeper:
    """Keeper of one daemon: all partitions of whose group the daemon is a member.

    ``apply`` takes the published configuration. ``run`` joins the groups and runs until
    cancelled.
    """

    partition_class = KeeperPartition

    def __init__(self, transport, router, membership, partition_count=PARTITION_COUNT):
        self.own_name = membership.own_name
        self.keeper_client = KeeperClient(transport, router, membership.own_name)
        self.table = RecordTable(0, 0, 0.0)
        self._own_incarnation = membership.own_incarnation
        self._partition_count = partition_count
        self._partitions = {}
        self._layout = None
        # Epochs of the layouts in which this incarnation has been ready.
        self._ready_epochs_by_group_id = {}
        self._last_ready_group_id = None
        self._tasks = None
        self._register_handlers(router)

    def _register_handlers(self, router):
        router.on_call(ClaimWrite, self._on_claim)
        router.on_call(WithdrawClaim, self._on_withdraw)
        router.on_call(PrepareOutcome, self._on_prepare)
        router.on_call(RecordOutcome, self._on_record)
        router.on_call(JoinKeepers, self._on_join)
        router.on_call(SealKeepers, self._on_seal)
        router.on_call(StartKeepers, self._on_start)

    async def run(self):
        """Joins the group of each partition. Runs until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = self.keeper_client.tasks = tasks
            for partition in self._partitions.values():
                tasks.start_soon(partition.join)
            await anyio.sleep_forever()

    def apply(self, configuration):
        """Puts a published configuration into effect."""
        writes = configuration.writes
        self.table.max_records = writes.max_records
        self.table.max_result_bytes = writes.max_result_bytes
        self.table.retention_s = writes.result_retention_s
        layout = GroupLayout.current(configuration, self._partition_count)
        previous = GroupLayout.previous(configuration, self._partition_count)
        self._layout = layout
        self._remove_old_partitions(layout, previous)
        origin = b"" if writes.start == "new" else None
        if previous is not None:
            origin = previous.group_id
        for group in layout.groups:
            if self.own_name not in group.members:
                continue
            previous_group = previous and previous.groups[group.partition]
            self._get_or_create_partition(group).set_origin(origin, previous_group)

    def _get_or_create_partition(self, group):
        """Returns the partition of a group; if it is new, starts to join the group."""
        key = (group.group_id, group.partition)
        partition = self._partitions.get(key)
        if partition is None:
            partition = self.partition_class(self, group, self._own_incarnation)
            self._partitions[key] = partition
            if self._tasks is not None:
                self._tasks.start_soon(partition.join)
        return partition

    def _remove_old_partitions(self, layout, previous):
        """Removes partitions of layouts other than the current and the previous one.

        Keeps those of the last ready layout, so that a mistaken change of the
        configuration can be reverted.
        """
        kept_group_ids = {layout.group_id, self._last_ready_group_id}
        if previous is not None:
            kept_group_ids.add(previous.group_id)
        for key in [key for key in self._partitions if key[0] not in kept_group_ids]:
            partition = self._partitions.pop(key)
            partition.stage = KeeperStage.SEALED
            self.table.release_records(partition.records)

    def was_ready_in_other_layout(self, group):
        """Tells whether this run was ready in another layout of this epoch or later."""
        return any(
            epoch >= group.epoch and group_id != group.group_id
            for group_id, epoch in self._ready_epochs_by_group_id.items()
        )

    def report_ready(self, partition):
        """Notes that a partition is ready, and logs when all current ones are."""
        group = partition.group
        self._ready_epochs_by_group_id[group.group_id] = group.epoch
        if group.group_id == self._layout.group_id and self.is_ready():
            self._last_ready_group_id = group.group_id
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

    # Message handlers.

    def _find_partition(self, message):
        self.table.expire(anyio.current_time())
        partition = self._partitions.get((message.group_id, message.partition))
        if partition is None:
            raise ServingError(
                ResultCode.WRITE_UNKNOWN,
                f"{self.own_name} does not keep partition {message.partition} "
                f"of layout {message.group_id.hex()[:8]}",
            )
        return partition

    def _find_ready_partition(self, message):
        partition = self._find_partition(message)
        if partition.stage is not KeeperStage.READY:
            raise ServingError(
                ResultCode.WRITE_UNKNOWN,
                f"keeper {self.own_name} is {partition.stage} "
                f"for partition {message.partition}",
            )
        return partition

    async def _on_claim(self, sender, message):
        return self._find_ready_partition(message).vote(message)

    async def _on_withdraw(self, sender, message):
        self._find_ready_partition(message).withdraw(message)
        return Acknowledged()

    async def _on_prepare(self, sender, message):
        return self._find_ready_partition(message).prepare(message)

    async def _on_record(self, sender, message):
        return self._find_ready_partition(message).record(message)

    async def _on_join(self, sender, message):
        partition = self._find_partition(message)
        partition.note_incarnation(sender, message.incarnation)
        with_records = partition.stage is KeeperStage.READY
        return partition.state(message.after if with_records else None)

    async def _on_seal(self, sender, message):
        partition = self._find_partition(message)
        if partition.stage is KeeperStage.READY:
            partition.stage = KeeperStage.SEALED
        with_records = partition.stage is KeeperStage.SEALED
        return partition.state(message.after if with_records else None)

    async def _on_start(self, sender, message):
        partition = self._find_partition(message)
        return StartReply(partition.accept_start(message.origin, message.certificate))
