"""Replicates accepted batches at two daemons and runs their items.

A batch is held by a primary, which runs its items, and by a second holder in another
failure domain, which receives each result and takes over if the primary fails. Items
may run twice after a takeover; they are generations, so only time is lost by that.
"""

import contextlib
import math

import anyio
import msgspec

from snipetrestle.batches.allowance import BatchAllowances
from snipetrestle.batches.item_runner import ItemRunner
from snipetrestle.batches.messages import (
    BatchAccepted,
    BatchContent,
    BatchHeld,
    FetchBatch,
    HoldBatch,
    Holder,
    Lineage,
    SubmitBatch,
    UpdateBatch,
    items_size,
)
from snipetrestle.batches.records import (
    HeldBatch,
    parse_batch_id,
    unique_of_key,
)
from snipetrestle.batches.times import BatchTimes
from snipetrestle.codes import ResultCode, ServingError
from snipetrestle.events import Event, log_event
from snipetrestle.hashing import rendezvous_order
from snipetrestle.peers.members import MemberState
from snipetrestle.peers.transport import PeerUnreachable

# Maximum number of daemons that a submission is offered to, and that are asked to be
# the second holder.
MAX_OFFERS = 4
# Number of daemons, in rendezvous order, that a query asks besides the holders in the
# id. A primary that is no longer one of them moves the batch. It looks for holders with
# other lineages among the first half of them.
QUERIED_DAEMON_COUNT = 8
PREFERRED_DAEMON_COUNT = QUERIED_DAEMON_COUNT // 2
MAX_EXPIRED_BATCHES = 10_000
# How often a leaving daemon tries to move a batch, one check interval apart.
MAX_MOVE_ATTEMPTS = 30
UNIQUE_BITS = 128


class BatchStatus(msgspec.Struct, frozen=True):
    """Status of a batch: ``running``, ``finished`` or ``lost`` (with a code)."""

    state: str
    customer: str = ""
    total: int = 0
    done: int = 0
    failed: int = 0
    late: bool = False
    code: ResultCode | None = None


class BatchHolder:
    """Submits, holds, runs and queries batches in one daemon.

    ``run_item(batch_id, index, customer, item, time_left_s)`` returns (text, finish
    reason) or raises ServingError. ``allowance_of(customer)`` returns the maximum
    number of items that a customer may have queued, or None if there is no such
    customer. ``generator`` is a seeded Random.
    """

    def __init__(
        self,
        membership,
        transport,
        router,
        run_item,
        allowance_of,
        generator,
        *,
        times=None,
        max_bytes=67_108_864,
    ):
        self._membership = membership
        self._transport = transport
        self._router = router
        self._generator = generator
        self._times = times or BatchTimes()
        self._max_bytes = max_bytes
        self._item_runner = ItemRunner(
            run_item, self._push_pages, generator, self._times
        )
        self._batches_by_unique = {}
        # Unique parts of batches whose results are no longer kept, oldest first.
        self._expired = {}
        self._draining = False
        self._task_group = None
        self._allowances = BatchAllowances(
            membership,
            router,
            self._call,
            allowance_of,
            self.remaining_items_by_customer,
        )
        router.on_call(SubmitBatch, self._on_submit)
        router.on_call(HoldBatch, self._on_hold)
        router.on_call(UpdateBatch, self._on_update)
        router.on_call(FetchBatch, self._on_fetch)

    # Submission and queries by callers

    async def submit(self, customer, items, finish_within_s, key=None):
        """Returns the batch id once daemons in two failure domains hold the batch.

        A submission repeated with the same ``key`` returns the id of the first one.
        Raises ServingError; the batch may be held nevertheless, so a retry without a
        key may submit it twice.
        """
        items = tuple(items)
        if not items:
            raise ServingError(
                ResultCode.MALFORMED_REQUEST, "a batch needs at least one item"
            )
        unique = f"{self._generator.getrandbits(UNIQUE_BITS):032x}"
        if key is not None:
            unique = unique_of_key(customer, key)
            batch_id = await self._find_accepted(unique)
            if batch_id is not None:
                return batch_id
        await self._allowances.reserve(customer, len(items))
        message = SubmitBatch(unique, customer, finish_within_s, items)
        failure = ServingError(ResultCode.BATCH_NOT_HELD)
        for name in self._ranked_daemons(unique)[:MAX_OFFERS]:
            try:
                reply = await self._call(name, message, self._times.submit_timeout_s)
                return reply.batch_id
            except PeerUnreachable as error:
                self._membership.report_unreachable(name)
                failure = ServingError(ResultCode.BATCH_NOT_HELD, str(error))
            except ServingError as error:
                if error.code not in _RETRY_AT_OTHER_DAEMON:
                    raise
                failure = error
        raise failure

    async def status(self, batch_id):
        """Returns the BatchStatus. Raises ServingError if the id is not known."""
        content = await self._fetch_best(batch_id)
        if content is None:
            return BatchStatus("lost", code=ResultCode.BATCH_LOST)
        return BatchStatus(
            "finished" if content.done == content.total else "running",
            customer=content.customer,
            total=content.total,
            done=content.done,
            failed=content.failed,
            late=content.late,
        )

    async def results(self, batch_id):
        """Returns the ItemResults so far, by index. Raises ServingError."""
        results = []
        start = 0
        while start is not None:
            content = await self._fetch_best(batch_id, start)
            if content is None:
                raise ServingError(ResultCode.BATCH_LOST, batch_id)
            results.extend(content.results)
            start = content.next_index
        return results

    def remaining_items_by_customer(self):
        """Returns the number of items that this daemon has to run, by customer."""
        items_left = {}
        for held_batch in self._batches_by_unique.values():
            if held_batch.is_primary(self._own_name) and held_batch.remaining:
                items_left[held_batch.customer] = (
                    items_left.get(held_batch.customer, 0) + held_batch.remaining
                )
        return items_left

    @property
    def held_batches(self):
        return len(self._batches_by_unique)

    @property
    def held_bytes(self):
        return sum(held_batch.size for held_batch in self._batches_by_unique.values())

    async def run(self):
        """Hosts the tasks of the held batches. Runs until cancelled."""
        async with anyio.create_task_group() as group:
            self._task_group = group
            try:
                await self._allowances.run()
            finally:
                self._task_group = None

    async def drain(self):
        """Moves all batches to other daemons, before a planned stop.

        The daemon must have left the membership before. Items in progress finish here.
        """
        self._draining = True
        async with anyio.create_task_group() as group:
            for held_batch in tuple(self._batches_by_unique.values()):
                group.start_soon(self._move_at_drain, held_batch)

    async def _move_at_drain(self, held_batch):
        for _ in range(MAX_MOVE_ATTEMPTS):
            await self._move_away(held_batch, leaving=True)
            if self._batches_by_unique.get(held_batch.unique) is not held_batch:
                return
            await anyio.sleep(self._times.check_interval_s)
        log_event(Event.BATCH_NOT_REPLICATED, batch=held_batch.id)

    # Submission at the primary

    async def _on_submit(self, sender, message):
        held_batch = self._batches_by_unique.get(message.unique)
        if held_batch is None:
            if not message.items:
                raise ServingError(ResultCode.UNKNOWN_BATCH)
            held_batch = self._start_submission(message)
        # The handler may be cancelled with its call; the submission continues.
        while not held_batch.accepted.is_set():
            if self._batches_by_unique.get(message.unique) is not held_batch:
                raise ServingError(ResultCode.BATCH_NOT_HELD)
            with anyio.move_on_after(self._times.check_interval_s):
                await held_batch.accepted.wait()
        return BatchAccepted(held_batch.id)

    def _start_submission(self, message):
        self._check_capacity(items_size(message.items))
        lineage = Lineage(1, self._own_holder(), None)
        held_batch = HeldBatch(
            HoldBatch(
                unique=message.unique,
                customer=message.customer,
                finish_within_s=message.finish_within_s,
                age_s=0.0,
                items=message.items,
                lineage=lineage,
            )
        )
        self._batches_by_unique[held_batch.unique] = held_batch
        self._task_group.start_soon(self._accept, held_batch)
        return held_batch

    async def _accept(self, held_batch):
        """Adds a second holder, accepts the batch and maintains it."""
        if not await self._add_second_holder(held_batch):
            del self._batches_by_unique[held_batch.unique]
            return
        log_event(Event.BATCH_ACCEPTED, batch=held_batch.id)
        held_batch.accepted.set()
        await self._maintain(held_batch)

    def _check_capacity(self, size):
        if self._draining:
            raise ServingError(ResultCode.DRAINING)
        if self._task_group is None:
            raise ServingError(ResultCode.NOT_READY)
        if self.held_bytes + size > self._max_bytes:
            raise ServingError(
                ResultCode.BATCH_NOT_HELD, "the memory for batches is full"
            )

    # Choice of holders

    @property
    def _own_name(self):
        return self._membership.own_name

    def _own_holder(self):
        return Holder(self._own_name, str(self._membership.own_incarnation))

    def _ranked_daemons(self, unique):
        return rendezvous_order(
            unique, self._membership.routable(), QUERIED_DAEMON_COUNT
        )

    def _candidates(self, held_batch, remaining_holder, allow_same_domain=False):
        """Returns the daemons that may join ``remaining_holder``, best first."""
        domain = self._failure_domain_of(remaining_holder)
        others = [
            name
            for name in rendezvous_order(held_batch.unique, self._membership.routable())
            if name not in (remaining_holder, self._own_name)
        ]
        in_other_domains = [
            name for name in others if self._failure_domain_of(name) != domain
        ]
        in_same_domain = [
            name for name in others if self._failure_domain_of(name) == domain
        ]
        return (in_other_domains + (in_same_domain if allow_same_domain else []))[
            :MAX_OFFERS
        ]

    def _failure_domain_of(self, name):
        member = self._membership.get(name)
        return None if member is None else member.failure_domain

    def _is_gone(self, holder):
        """Tells whether a holder has failed, or has restarted and lost the batch."""
        member = self._membership.get(holder.name)
        if member is None or member.state in (MemberState.FAILED, MemberState.GONE):
            return True
        known = member.incarnation
        if known is None or not holder.incarnation:
            return False
        return str(known) != holder.incarnation

    # Replication

    async def _add_second_holder(self, held_batch):
        """Copies the batch to a second daemon.

        Returns whether a second one holds it.
        """
        for name in self._candidates(held_batch, self._own_name):
            lineage = Lineage(
                held_batch.lineage.epoch + 1, self._own_holder(), Holder(name, "")
            )
            reply = await self._copy_to(held_batch, name, lineage)
            if reply is None:
                continue
            if reply.lineage.rank > lineage.rank:
                # It already holds the batch, with a newer lineage.
                self._adopt_lineage(held_batch, reply.lineage)
                return True
            second = Holder(name, reply.incarnation)
            held_batch.lineage = msgspec.structs.replace(lineage, second=second)
            held_batch.partner_heard_at = anyio.current_time()
            return True
        return False

    async def _copy_to(self, held_batch, name, lineage):
        """Copies the batch with all results to a daemon.

        Returns its BatchHeld reply, or None if a call failed.
        """
        try:
            reply = await self._call(
                name, held_batch.hold_message(lineage), self._times.submit_timeout_s
            )
            sent = set(held_batch.results_by_index)
            for page in held_batch.result_pages(sent):
                update = UpdateBatch(held_batch.unique, lineage, page)
                await self._call(name, update, self._times.call_timeout_s)
        except PeerUnreachable:
            self._membership.report_unreachable(name)
            return None
        except ServingError:
            return None
        held_batch.unconfirmed -= sent
        return reply

    def _adopt_lineage(self, held_batch, lineage):
        """Sets the lineage, unless its rank is lower than that of the present one.

        A daemon that is no longer the primary stops running the items.
        """
        if lineage.rank < held_batch.lineage.rank:
            return
        was_primary = held_batch.is_primary(self._own_name)
        if self._is_holder(held_batch):
            held_batch.former_partner = held_batch.partner(self._own_name)
        held_batch.lineage = lineage
        if was_primary and not held_batch.is_primary(self._own_name):
            held_batch.run_scope.cancel()
            held_batch.unconfirmed = set(held_batch.results_by_index)

    async def _push_updates(self, held_batch):
        """Sends the unconfirmed results and the lineage to the other holder.

        Returns whether the holder has them and knows no newer lineage.
        """
        # The lock lets results that arrive during a push go out together in the next
        # one.
        async with held_batch.push_lock:
            return await self._push_pages(held_batch)

    async def _push_pages(self, held_batch):
        partner = held_batch.partner(self._own_name)
        if partner is None:
            return False
        pages = list(held_batch.result_pages(held_batch.unconfirmed)) or [()]
        for page in pages:
            update = UpdateBatch(held_batch.unique, held_batch.lineage, page)
            try:
                reply = await self._call(
                    partner.name, update, self._times.call_timeout_s
                )
            except PeerUnreachable:
                self._membership.report_unreachable(partner.name)
                return False
            except ServingError:
                return False
            if reply.lineage is None:
                # The other holder has lost the batch; makes it look silent, so that it
                # is replaced.
                held_batch.partner_heard_at = -math.inf
                return False
            held_batch.partner_heard_at = anyio.current_time()
            held_batch.unconfirmed -= {result.index for result in page}
            if reply.lineage.rank > held_batch.lineage.rank:
                self._adopt_lineage(held_batch, reply.lineage)
                return False
        return True

    # Maintenance of a held batch

    async def _maintain(self, held_batch):
        """Runs, replicates and expires one batch until this daemon drops it."""
        last_push = -self._times.update_interval_s
        while self._batches_by_unique.get(held_batch.unique) is held_batch:
            now = anyio.current_time()
            if self._has_expired(held_batch):
                self._expire(held_batch)
                return
            if held_batch.is_moving:
                pass
            elif not self._is_holder(held_batch):
                await self._hand_over_results(held_batch)
            elif held_batch.is_primary(self._own_name):
                self._start_items(held_batch)
                await self._ensure_second_holder(held_batch)
                if now - last_push >= self._times.update_interval_s:
                    last_push = now
                    await self._push_updates(held_batch)
                    await self._merge_other_lineages(held_batch)
                    await self._move_into_query_range(held_batch)
            else:
                await self._watch_primary(held_batch)
            await anyio.sleep(self._times.check_interval_s)

    def _start_items(self, held_batch):
        if (
            held_batch.runner_count == 0
            and not held_batch.finished
            and not held_batch.is_moving
        ):
            held_batch.run_scope = anyio.CancelScope()
            held_batch.runner_count = 1
            self._task_group.start_soon(self._item_runner.run, held_batch)

    def _is_holder(self, held_batch):
        lineage = held_batch.lineage
        return self._own_name in (
            lineage.primary.name,
            lineage.second.name if lineage.second else None,
        )

    async def _hand_over_results(self, held_batch):
        """Sends the results to the primary and drops the batch.

        Called when the lineage does not include this daemon any more.
        """
        primary = held_batch.lineage.primary
        held_batch.unconfirmed = set(held_batch.results_by_index)
        with contextlib.suppress(PeerUnreachable, ServingError):
            for page in held_batch.result_pages(held_batch.unconfirmed):
                update = UpdateBatch(held_batch.unique, held_batch.lineage, page)
                await self._call(primary.name, update, self._times.call_timeout_s)
            if held_batch.former_partner is not None:
                await self._send_lineage(held_batch, held_batch.former_partner)
            self._drop(held_batch)

    async def _ensure_second_holder(self, held_batch):
        """Replaces a second holder that is silent, failed or missing."""
        second = held_batch.lineage.second
        is_silent = (
            anyio.current_time() - held_batch.partner_heard_at
            > self._times.silence_timeout_s
        )
        if second is not None and not is_silent and not self._is_gone(second):
            return
        if await self._add_second_holder(held_batch):
            return
        if second is not None:
            held_batch.lineage = msgspec.structs.replace(
                held_batch.lineage, epoch=held_batch.lineage.epoch + 1, second=None
            )
            log_event(Event.BATCH_NOT_REPLICATED, batch=held_batch.id)

    async def _merge_other_lineages(self, held_batch):
        """Finds holders with another lineage, which a network partition may leave.

        The lineage with the higher rank is adopted by both sides.
        """
        known = (
            self._own_name,
            getattr(held_batch.partner(self._own_name), "name", None),
        )
        update = UpdateBatch(held_batch.unique, held_batch.lineage)
        for name in self._ranked_daemons(held_batch.unique)[:PREFERRED_DAEMON_COUNT]:
            if name in known or not held_batch.is_primary(self._own_name):
                continue
            with contextlib.suppress(PeerUnreachable, ServingError):
                reply = await self._call(name, update, self._times.call_timeout_s)
                if reply.lineage is not None:
                    self._adopt_lineage(held_batch, reply.lineage)

    async def _move_into_query_range(self, held_batch):
        """Moves the batch if this daemon is not among the queried ones any more."""
        order = self._ranked_daemons(held_batch.unique)
        if len(order) == QUERIED_DAEMON_COUNT and self._own_name not in order:
            await self._move_away(held_batch)

    async def _watch_primary(self, held_batch):
        """Takes the batch over if its primary has failed, is silent or has lost it."""
        primary = held_batch.lineage.primary
        silent_for_s = anyio.current_time() - held_batch.partner_heard_at
        if self._is_gone(primary):
            await self._take_over(held_batch)
        elif silent_for_s > self._times.silence_timeout_s / 2:
            try:
                reply = await self._call(
                    primary.name,
                    FetchBatch(held_batch.unique),
                    self._times.call_timeout_s,
                )
            except (PeerUnreachable, ServingError):
                if silent_for_s > self._times.silence_timeout_s:
                    await self._take_over(held_batch)
                return
            if reply.known:
                held_batch.partner_heard_at = anyio.current_time()
            else:
                await self._take_over(held_batch)

    async def _take_over(self, held_batch):
        log_event(
            Event.BATCH_TAKEN_OVER,
            batch=held_batch.id,
            before=held_batch.lineage.primary.name,
        )
        held_batch.lineage = Lineage(
            held_batch.lineage.epoch + 1, self._own_holder(), None
        )
        held_batch.unconfirmed = set(held_batch.results_by_index)
        await self._add_second_holder(held_batch)

    async def _move_away(self, held_batch, leaving=False):
        """Makes another daemon a holder in place of this one, and drops the batch."""
        held_batch.is_moving = True
        held_batch.move_started.set()
        try:
            while held_batch.runner_count:  # noqa: ASYNC110 - not an event's condition
                await anyio.sleep(self._times.check_interval_s / 10)
            partner = held_batch.partner(self._own_name)
            if partner is not None and self._is_gone(partner):
                partner = None
            remaining_holder = partner.name if partner else None
            for name in self._candidates(
                held_batch, remaining_holder, allow_same_domain=leaving
            ):
                primary = partner or Holder(name, "")
                second = Holder(name, "") if partner else None
                lineage = Lineage(held_batch.lineage.epoch + 1, primary, second)
                reply = await self._copy_to(held_batch, name, lineage)
                if reply is None:
                    continue
                moved = Holder(name, reply.incarnation)
                lineage = Lineage(
                    lineage.epoch, partner or moved, moved if partner else None
                )
                held_batch.lineage = lineage
                for holder in filter(None, (lineage.second, lineage.primary)):
                    await self._send_lineage(held_batch, holder)
                self._drop(held_batch)
                return
        finally:
            held_batch.is_moving = False
            held_batch.move_started = anyio.Event()

    async def _send_lineage(self, held_batch, holder):
        """Sends the lineage and the unconfirmed results to a holder."""
        update = UpdateBatch(held_batch.unique, held_batch.lineage)
        for page in [*held_batch.result_pages(held_batch.unconfirmed), ()]:
            update = UpdateBatch(held_batch.unique, held_batch.lineage, page)
            # If this message is lost, the holder asks the primary itself.
            with contextlib.suppress(PeerUnreachable, ServingError):
                await self._call(holder.name, update, self._times.call_timeout_s)

    def _has_expired(self, held_batch):
        return held_batch.finished_at is not None and (
            anyio.current_time() - held_batch.finished_at
            > self._times.result_retention_s
        )

    def _expire(self, held_batch):
        self._drop(held_batch)
        self._expired[held_batch.unique] = True
        while len(self._expired) > MAX_EXPIRED_BATCHES:
            del self._expired[next(iter(self._expired))]

    def _drop(self, held_batch):
        held_batch.run_scope.cancel()
        if self._batches_by_unique.get(held_batch.unique) is held_batch:
            del self._batches_by_unique[held_batch.unique]

    # Message handlers and queries

    async def _on_hold(self, sender, message):
        held_batch = self._batches_by_unique.get(message.unique)
        if held_batch is None:
            self._check_capacity(items_size(message.items))
            held_batch = HeldBatch(message)
            held_batch.accepted.set()
            self._batches_by_unique[held_batch.unique] = held_batch
            self._task_group.start_soon(self._maintain, held_batch)
        else:
            self._adopt_lineage(held_batch, message.lineage)
        return self._held_reply(held_batch)

    async def _on_update(self, sender, message):
        held_batch = self._batches_by_unique.get(message.unique)
        if held_batch is None:
            return self._held_reply(None)
        partner = held_batch.partner(self._own_name)
        if partner is not None and partner.name == sender:
            held_batch.partner_heard_at = anyio.current_time()
        for result in message.results:
            held_batch.add_result(result)
            if partner is not None and partner.name == sender:
                held_batch.unconfirmed.discard(result.index)
        self._adopt_lineage(held_batch, message.lineage)
        return self._held_reply(held_batch)

    def _held_reply(self, held_batch):
        lineage = None if held_batch is None else held_batch.lineage
        return BatchHeld(str(self._membership.own_incarnation), lineage)

    async def _on_fetch(self, sender, message):
        held_batch = self._batches_by_unique.get(message.unique)
        if held_batch is None or not held_batch.accepted.is_set():
            return BatchContent(expired=message.unique in self._expired)
        return held_batch.content(message.results_from)

    async def _find_accepted(self, unique):
        """Returns the id of a batch if it was submitted before, or None."""
        contents, _ = await self._fetch_all(unique, self._ranked_daemons(unique), None)
        names = [name for name, content in contents.items() if content.known]
        if not names:
            return None
        # A holder answers a repeated submission with the id it knows.
        message = SubmitBatch(unique, "", 0.0, ())
        with contextlib.suppress(PeerUnreachable, ServingError):
            reply = await self._call(names[0], message, self._times.call_timeout_s)
            return reply.batch_id
        return None

    async def _fetch_best(self, batch_id, results_from=None):
        """Returns the BatchContent with the most results, or None if the batch is lost.

        Raises ServingError if the id is malformed, the batch has expired, or a daemon
        that may hold it cannot be reached.
        """
        try:
            unique, holders = parse_batch_id(batch_id)
        except ValueError as error:
            raise ServingError(ResultCode.UNKNOWN_BATCH, str(error)) from error
        names = dict.fromkeys([*(holder.name for holder in holders)])
        names.update(dict.fromkeys(self._ranked_daemons(unique)))
        contents, unreachable_names = await self._fetch_all(unique, names, results_from)
        known = [content for content in contents.values() if content.known]
        if known:
            return max(known, key=lambda content: content.done)
        if any(content.expired for content in contents.values()):
            raise ServingError(
                ResultCode.UNKNOWN_BATCH, "its results are no longer kept"
            )
        if unreachable_names or self._is_any_daemon_unreachable():
            raise ServingError(
                ResultCode.PEER_UNREACHABLE, "a holder may be unreachable"
            )
        log_event(Event.BATCH_LOST, batch=batch_id)
        return None

    def _is_any_daemon_unreachable(self):
        """Tells whether a listed daemon is unreachable, which may hold the batch."""
        return len(self._membership.routable()) < self._membership.listed_count()

    async def _fetch_all(self, unique, names, results_from):
        """Returns the BatchContents by daemon, and the names that did not answer."""
        contents, unreachable_names = {}, []

        async def fetch(name):
            try:
                message = FetchBatch(unique, results_from)
                contents[name] = await self._call(
                    name, message, self._times.call_timeout_s
                )
            except (PeerUnreachable, ServingError):
                member = self._membership.get(name)
                if member is not None and member.state is not MemberState.GONE:
                    self._membership.report_unreachable(name)
                    unreachable_names.append(name)

        async with anyio.create_task_group() as group:
            for name in names:
                group.start_soon(fetch, name)
        return contents, unreachable_names

    async def _call(self, name, message, timeout):
        if name == self._own_name:
            return await self._router.call(name, message)
        return await self._transport.call(name, message, timeout)


_RETRY_AT_OTHER_DAEMON = frozenset(
    (ResultCode.BATCH_NOT_HELD, ResultCode.DRAINING, ResultCode.NOT_READY)
)
