"""Holder role: keeps accepted batches at two daemons and runs their items.

A batch is held by a primary, which runs its items, and by a second daemon in another
failure domain, which has each result and takes over. Items may run twice after a
takeover; they are generations, so nothing but time is lost by that.
"""

import contextlib
import math

import anyio
import msgspec

from snipetrestle.batches.allowance import BatchAllowances
from snipetrestle.batches.messages import (
    BatchAccepted,
    BatchContent,
    BatchHeld,
    FetchBatch,
    HoldBatch,
    Holder,
    ItemResult,
    Lineage,
    SubmitBatch,
    UpdateBatch,
    items_size,
)
from snipetrestle.batches.records import (
    HeldBatch,
    format_batch_id,
    parse_batch_id,
    unique_of_key,
)
from snipetrestle.codes import ResultCode, ServingError
from snipetrestle.events import Event, log_event
from snipetrestle.hashing import rendezvous_order
from snipetrestle.peers.members import MemberState
from snipetrestle.peers.transport import PeerUnreachable

# Daemons that a submission is offered to, and those asked to be the second holder.
MAX_OFFERS = 4
# Daemons in rendezvous order that a query asks beside the holders in the id. Holders
# move to stay among the first half of them.
QUERY_COUNT = 8
HOME_COUNT = QUERY_COUNT // 2
# Items of one batch, and of all batches, that a primary has in progress.
BATCH_PARALLEL = 16
DAEMON_PARALLEL = 64
MAX_EXPIRED = 10_000
# A leaving daemon tries so often, a beat apart, to move a batch.
MAX_MOVE_TRIES = 30
UNIQUE_BITS = 128


class BatchTimes(msgspec.Struct, frozen=True):
    """Times of batch work, in seconds.

    A holder that is silent for ``silent_s`` is replaced even if it may only be paused:
    the cost of a false alarm is items that run twice.
    """

    beat_s: float = 1.0
    update_s: float = 5.0
    silent_s: float = 10.0
    call_timeout_s: float = 2.0
    submit_timeout_s: float = 10.0
    # Finished batches are kept this long at both holders.
    results_kept_s: float = 86_400.0
    # A batch that cannot finish is failed item by item this long after its end time.
    overtime_s: float = 86_400.0
    first_pause_s: float = 0.5
    longest_pause_s: float = 5.0


class BatchStatus(msgspec.Struct, frozen=True):
    """State of a batch: ``running``, ``finished`` or ``lost`` (with its code)."""

    state: str
    customer: str = ""
    total: int = 0
    done: int = 0
    failed: int = 0
    late: bool = False
    code: ResultCode | None = None


class BatchHolder:
    """Holder, submitter and reader of batches in one daemon.

    ``run_item(batch_id, index, customer, item, time_left_s)`` returns (text, finish
    reason) or raises ServingError. ``allowance_of(customer)`` returns the most items
    that a customer may have queued, or None. ``generator`` is a seeded Random.
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
        self._run_item = run_item
        self._generator = generator
        self._times = times or BatchTimes()
        self._max_bytes = max_bytes
        self._held_by_unique = {}
        # Unique parts of batches whose results are no longer kept, oldest first.
        self._expired = {}
        self._places = anyio.Semaphore(DAEMON_PARALLEL)
        self._draining = False
        self._group = None
        self._allowances = BatchAllowances(
            membership, router, self._call, allowance_of, self.uses
        )
        router.on_call(SubmitBatch, self._on_submit)
        router.on_call(HoldBatch, self._on_hold)
        router.on_call(UpdateBatch, self._on_update)
        router.on_call(FetchBatch, self._on_fetch)

    # Public calls

    async def submit(self, customer, items, finish_within_s, key=None):
        """Returns the batch id once two failure domains hold the batch.

        A submission repeated with the same ``key`` returns the first one's id. Raises
        ServingError; without a key a batch may be held though the caller got an error.
        """
        items = tuple(items)
        if not items:
            raise ServingError(ResultCode.MALFORMED_REQUEST, "a batch needs items")
        unique = f"{self._generator.getrandbits(UNIQUE_BITS):032x}"
        if key is not None:
            unique = unique_of_key(customer, key)
            batch_id = await self._find_accepted(unique)
            if batch_id is not None:
                return batch_id
        await self._allowances.reserve(customer, len(items))
        message = SubmitBatch(unique, customer, finish_within_s, items)
        failure = ServingError(ResultCode.BATCH_NOT_HELD)
        for name in self._order(unique)[:MAX_OFFERS]:
            try:
                reply = await self._call(name, message, self._times.submit_timeout_s)
                return reply.batch_id
            except PeerUnreachable as error:
                self._membership.report_unreachable(name)
                failure = ServingError(ResultCode.BATCH_NOT_HELD, str(error))
            except ServingError as error:
                if error.code not in _OFFER_ELSEWHERE:
                    raise
                failure = error
        raise failure

    async def status(self, batch_id):
        """Returns the BatchStatus. Raises ServingError for an id that is not known."""
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
        """Returns the ItemResults so far, in order. Raises ServingError."""
        results = []
        start = 0
        while start is not None:
            content = await self._fetch_best(batch_id, start)
            if content is None:
                raise ServingError(ResultCode.BATCH_LOST, batch_id)
            results.extend(content.results)
            start = content.next_index
        return results

    def uses(self):
        """Returns the items left by customer, of the batches this daemon runs."""
        uses = {}
        for held in self._held_by_unique.values():
            if held.is_primary(self._own_name) and held.remaining:
                uses[held.customer] = uses.get(held.customer, 0) + held.remaining
        return uses

    @property
    def held_batches(self):
        return len(self._held_by_unique)

    @property
    def held_bytes(self):
        return sum(held.size for held in self._held_by_unique.values())

    async def run(self):
        """Keeps and runs the batches until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            try:
                await self._allowances.run()
            finally:
                self._group = None

    async def drain(self):
        """Moves all batches to other daemons, for a planned stop.

        The membership must have left before. Items in progress finish here.
        """
        self._draining = True
        async with anyio.create_task_group() as group:
            for held in tuple(self._held_by_unique.values()):
                group.start_soon(self._move_at_drain, held)

    async def _move_at_drain(self, held):
        for _ in range(MAX_MOVE_TRIES):
            await self._move(held, leaving=True)
            if self._held_by_unique.get(held.unique) is not held:
                return
            await anyio.sleep(self._times.beat_s)
        log_event(Event.BATCH_NOT_REPLICATED, batch=self._id_of(held))

    # Submission at the primary

    async def _on_submit(self, sender, message):
        held = self._held_by_unique.get(message.unique)
        if held is None:
            if not message.items:
                raise ServingError(ResultCode.UNKNOWN_BATCH)
            held = self._start_submission(message)
        # The handler may be cancelled with its call; the submission goes on.
        while not held.accepted.is_set():
            if self._held_by_unique.get(message.unique) is not held:
                raise ServingError(ResultCode.BATCH_NOT_HELD)
            with anyio.move_on_after(self._times.beat_s):
                await held.accepted.wait()
        return BatchAccepted(self._id_of(held))

    def _start_submission(self, message):
        self._check_room(items_size(message.items))
        lineage = Lineage(1, self._own_holder(), None)
        held = HeldBatch(
            HoldBatch(
                unique=message.unique,
                customer=message.customer,
                finish_within_s=message.finish_within_s,
                age_s=0.0,
                items=message.items,
                lineage=lineage,
            )
        )
        self._held_by_unique[held.unique] = held
        self._group.start_soon(self._accept, held)
        return held

    async def _accept(self, held):
        if not await self._find_second(held):
            del self._held_by_unique[held.unique]
            return
        log_event(Event.BATCH_ACCEPTED, batch=self._id_of(held))
        held.accepted.set()
        await self._keep(held)

    def _id_of(self, held):
        if held.batch_id is None:
            lineage = held.lineage
            holders = (lineage.primary, lineage.second or lineage.primary)
            held.batch_id = format_batch_id(held.unique, holders)
        return held.batch_id

    def _check_room(self, size):
        if self._draining:
            raise ServingError(ResultCode.DRAINING)
        if self._group is None:
            raise ServingError(ResultCode.NOT_READY)
        if self.held_bytes + size > self._max_bytes:
            raise ServingError(ResultCode.BATCH_NOT_HELD, "no memory is left")

    # Placement

    @property
    def _own_name(self):
        return self._membership.own_name

    def _own_holder(self):
        return Holder(self._own_name, str(self._membership.own_incarnation))

    def _order(self, unique):
        return rendezvous_order(unique, self._membership.routable(), QUERY_COUNT)

    def _candidates(self, held, keeper, same_domain=False):
        """Returns daemons that may hold the batch beside ``keeper``, best first."""
        domain = self._domain(keeper)
        others = [
            name
            for name in rendezvous_order(held.unique, self._membership.routable())
            if name not in (keeper, self._own_name)
        ]
        distinct = [name for name in others if self._domain(name) != domain]
        rest = [name for name in others if self._domain(name) == domain]
        return (distinct + (rest if same_domain else []))[:MAX_OFFERS]

    def _domain(self, name):
        member = self._membership.get(name)
        return None if member is None else member.failure_domain

    def _is_gone(self, holder):
        """Tells whether a holder's memory is lost, or the holder has failed."""
        member = self._membership.get(holder.name)
        if member is None or member.state in (MemberState.FAILED, MemberState.GONE):
            return True
        known = member.incarnation
        if known is None or not holder.incarnation:
            return False
        return str(known) != holder.incarnation

    # Copies

    async def _find_second(self, held):
        """Copies the batch to a second daemon. Returns whether one holds it."""
        for name in self._candidates(held, self._own_name):
            lineage = Lineage(
                held.lineage.epoch + 1, self._own_holder(), Holder(name, "")
            )
            reply = await self._copy_to(held, name, lineage)
            if reply is None:
                continue
            if reply.lineage.rank > lineage.rank:
                # It holds the batch in a later state already.
                self._adopt(held, reply.lineage)
                return True
            second = Holder(name, reply.incarnation)
            held.lineage = msgspec.structs.replace(lineage, second=second)
            held.heard_at = anyio.current_time()
            return True
        return False

    async def _copy_to(self, held, name, lineage):
        """Returns the BatchHeld of a daemon that has all of the batch, or None."""
        try:
            reply = await self._call(
                name, held.copy(lineage), self._times.submit_timeout_s
            )
            sent = set(held.results_by_index)
            for page in held.pages(sent):
                update = UpdateBatch(held.unique, lineage, page)
                await self._call(name, update, self._times.call_timeout_s)
        except PeerUnreachable:
            self._membership.report_unreachable(name)
            return None
        except ServingError:
            return None
        held.unconfirmed -= sent
        return reply

    def _adopt(self, held, lineage):
        """Takes a lineage of at least the own rank, and the role that follows."""
        if lineage.rank < held.lineage.rank:
            return
        was_primary = held.is_primary(self._own_name)
        if self._is_holder(held):
            held.former_partner = held.partner(self._own_name)
        held.lineage = lineage
        if was_primary and not held.is_primary(self._own_name):
            held.scope.cancel()
            held.unconfirmed = set(held.results_by_index)

    async def _push(self, held):
        """Sends results and lineage to the other holder. Returns whether it has them."""
        # Results that end at the same time go in one message.
        async with held.push_lock:
            return await self._push_pages(held)

    async def _push_pages(self, held):
        partner = held.partner(self._own_name)
        if partner is None:
            return False
        pages = list(held.pages(held.unconfirmed)) or [()]
        for page in pages:
            update = UpdateBatch(held.unique, held.lineage, page)
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
                # It has lost the batch and is replaced.
                held.heard_at = -math.inf
                return False
            held.heard_at = anyio.current_time()
            held.unconfirmed -= {result.index for result in page}
            if reply.lineage.rank > held.lineage.rank:
                self._adopt(held, reply.lineage)
                return False
        return True

    # The life of one batch

    async def _keep(self, held):
        """Runs, replicates and expires one batch until it is dropped."""
        last_push = -self._times.update_s
        while self._held_by_unique.get(held.unique) is held:
            now = anyio.current_time()
            if self._has_expired(held):
                self._expire(held)
                return
            if held.moving:
                pass
            elif not self._is_holder(held):
                await self._give_away(held)
            elif held.is_primary(self._own_name):
                self._start_items(held)
                await self._keep_second(held)
                if now - last_push >= self._times.update_s:
                    last_push = now
                    await self._push(held)
                    await self._meet(held)
                    await self._keep_near(held)
            else:
                await self._watch_primary(held)
            await anyio.sleep(self._times.beat_s)

    def _is_holder(self, held):
        lineage = held.lineage
        return self._own_name in (
            lineage.primary.name,
            lineage.second.name if lineage.second else None,
        )

    async def _give_away(self, held):
        """Hands the results to the primary of a lineage without this daemon."""
        primary = held.lineage.primary
        held.unconfirmed = set(held.results_by_index)
        with contextlib.suppress(PeerUnreachable, ServingError):
            for page in held.pages(held.unconfirmed):
                update = UpdateBatch(held.unique, held.lineage, page)
                await self._call(primary.name, update, self._times.call_timeout_s)
            if held.former_partner is not None:
                await self._tell(held, held.former_partner)
            self._drop(held)

    async def _keep_second(self, held):
        second = held.lineage.second
        silent = anyio.current_time() - held.heard_at > self._times.silent_s
        if second is not None and not silent and not self._is_gone(second):
            return
        if await self._find_second(held):
            return
        if second is not None:
            held.lineage = msgspec.structs.replace(
                held.lineage, epoch=held.lineage.epoch + 1, second=None
            )
            log_event(Event.BATCH_NOT_REPLICATED, batch=self._id_of(held))

    async def _meet(self, held):
        """Finds holders of another lineage, which a partition leaves behind."""
        known = (self._own_name, getattr(held.partner(self._own_name), "name", None))
        update = UpdateBatch(held.unique, held.lineage)
        for name in self._order(held.unique)[:HOME_COUNT]:
            if name in known or not held.is_primary(self._own_name):
                continue
            with contextlib.suppress(PeerUnreachable, ServingError):
                reply = await self._call(name, update, self._times.call_timeout_s)
                if reply.lineage is not None:
                    self._adopt(held, reply.lineage)

    async def _keep_near(self, held):
        """Moves a batch that new daemons have pushed out of the query's reach."""
        order = self._order(held.unique)
        if len(order) == QUERY_COUNT and self._own_name not in order:
            await self._move(held)

    async def _watch_primary(self, held):
        primary = held.lineage.primary
        silent_for = anyio.current_time() - held.heard_at
        if self._is_gone(primary):
            await self._take_over(held)
        elif silent_for > self._times.silent_s / 2:
            try:
                reply = await self._call(
                    primary.name, FetchBatch(held.unique), self._times.call_timeout_s
                )
            except (PeerUnreachable, ServingError):
                if silent_for > self._times.silent_s:
                    await self._take_over(held)
                return
            if reply.known:
                held.heard_at = anyio.current_time()
            else:
                await self._take_over(held)

    async def _take_over(self, held):
        log_event(
            Event.BATCH_TAKEN_OVER,
            batch=self._id_of(held),
            before=held.lineage.primary.name,
        )
        held.lineage = Lineage(held.lineage.epoch + 1, self._own_holder(), None)
        held.unconfirmed = set(held.results_by_index)
        await self._find_second(held)

    async def _move(self, held, leaving=False):
        """Gives the own place to another daemon, with confirmation."""
        held.moving = True
        held.move_begun.set()
        try:
            while held.running_items:  # noqa: ASYNC110 - not an event's condition
                await anyio.sleep(self._times.beat_s / 10)
            partner = held.partner(self._own_name)
            if partner is not None and self._is_gone(partner):
                partner = None
            keeper = partner.name if partner else None
            for name in self._candidates(held, keeper, same_domain=leaving):
                primary = partner or Holder(name, "")
                second = Holder(name, "") if partner else None
                lineage = Lineage(held.lineage.epoch + 1, primary, second)
                reply = await self._copy_to(held, name, lineage)
                if reply is None:
                    continue
                moved = Holder(name, reply.incarnation)
                lineage = Lineage(
                    lineage.epoch, partner or moved, moved if partner else None
                )
                held.lineage = lineage
                for holder in filter(None, (lineage.second, lineage.primary)):
                    await self._tell(held, holder)
                self._drop(held)
                return
        finally:
            held.moving = False
            held.move_begun = anyio.Event()

    async def _tell(self, held, holder):
        update = UpdateBatch(held.unique, held.lineage)
        for page in [*held.pages(held.unconfirmed), ()]:
            update = UpdateBatch(held.unique, held.lineage, page)
            # The holder asks the primary itself if this message is lost.
            with contextlib.suppress(PeerUnreachable, ServingError):
                await self._call(holder.name, update, self._times.call_timeout_s)

    def _has_expired(self, held):
        return held.finished_at is not None and (
            anyio.current_time() - held.finished_at > self._times.results_kept_s
        )

    def _expire(self, held):
        self._drop(held)
        self._expired[held.unique] = True
        while len(self._expired) > MAX_EXPIRED:
            del self._expired[next(iter(self._expired))]

    def _drop(self, held):
        held.scope.cancel()
        if self._held_by_unique.get(held.unique) is held:
            del self._held_by_unique[held.unique]

    # Items

    def _start_items(self, held):
        if held.running_items == 0 and not held.finished and not held.moving:
            held.scope = anyio.CancelScope()
            held.running_items = 1
            self._group.start_soon(self._run_items, held)

    async def _run_items(self, held):
        """Runs the items that have no result, grouped by adapter."""
        try:
            with held.scope:
                indices = [
                    index
                    for index in range(len(held.items))
                    if index not in held.results_by_index
                ]
                indices.sort(key=lambda index: (held.items[index].model, index))
                places = anyio.Semaphore(BATCH_PARALLEL)
                async with anyio.create_task_group() as group:
                    for index in indices:
                        await places.acquire()
                        await self._places.acquire()
                        if held.moving:
                            places.release()
                            self._places.release()
                            break
                        group.start_soon(self._run_one, held, index, places)
        finally:
            held.running_items = 0

    async def _run_one(self, held, index, places):
        try:
            if index not in held.results_by_index:
                result = await self._result_of(held, index)
                if result is not None:
                    held.add_result(result)
                    if index in held.unconfirmed:
                        await self._push_results(held, index)
        finally:
            places.release()
            self._places.release()

    async def _push_results(self, held, index):
        async with held.push_lock:
            if index in held.unconfirmed:
                await self._push_pages(held)

    async def _result_of(self, held, index):
        """Runs an item until it has a result; None if the batch moves away before."""
        pause = self._times.first_pause_s
        end = held.started + held.finish_within_s
        item = held.items[index]
        while True:
            time_left = end - anyio.current_time()
            # After its end time an item still runs, without a hurry that helps nobody.
            allowed = time_left if time_left > 0 else held.finish_within_s
            try:
                text, finish_reason = await self._run_item(
                    self._id_of(held), index, held.customer, item, allowed
                )
                return ItemResult(index, text, item.custom_id, finish_reason)
            except ServingError as error:
                if not error.code.retryable or -time_left > self._times.overtime_s:
                    return ItemResult(
                        index,
                        custom_id=item.custom_id,
                        code=error.code.number,
                        detail=error.detail,
                    )
            if held.moving:
                return None
            with anyio.move_on_after(pause * self._generator.uniform(0.5, 1.5)):
                await held.move_begun.wait()
                return None
            pause = min(2 * pause, self._times.longest_pause_s)

    # Handlers and queries

    async def _on_hold(self, sender, message):
        held = self._held_by_unique.get(message.unique)
        if held is None:
            self._check_room(items_size(message.items))
            held = HeldBatch(message)
            held.accepted.set()
            self._held_by_unique[held.unique] = held
            self._group.start_soon(self._keep, held)
        else:
            self._adopt(held, message.lineage)
        return self._held_reply(held)

    async def _on_update(self, sender, message):
        held = self._held_by_unique.get(message.unique)
        if held is None:
            return self._held_reply(None)
        partner = held.partner(self._own_name)
        if partner is not None and partner.name == sender:
            held.heard_at = anyio.current_time()
        for result in message.results:
            held.add_result(result)
            if partner is not None and partner.name == sender:
                held.unconfirmed.discard(result.index)
        self._adopt(held, message.lineage)
        return self._held_reply(held)

    def _held_reply(self, held):
        lineage = None if held is None else held.lineage
        return BatchHeld(str(self._membership.own_incarnation), lineage)

    async def _on_fetch(self, sender, message):
        held = self._held_by_unique.get(message.unique)
        if held is None or not held.accepted.is_set():
            return BatchContent(expired=message.unique in self._expired)
        return held.content(message.results_from)

    async def _find_accepted(self, unique):
        """Returns the id of a batch that was submitted before, or None."""
        contents, _ = await self._fetch_all(unique, self._order(unique), None)
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
        """Returns the most complete BatchContent; None if the batch is lost."""
        try:
            unique, holders = parse_batch_id(batch_id)
        except ValueError as error:
            raise ServingError(ResultCode.UNKNOWN_BATCH, str(error)) from error
        names = dict.fromkeys([*(holder.name for holder in holders)])
        names.update(dict.fromkeys(self._order(unique)))
        contents, silent = await self._fetch_all(unique, names, results_from)
        known = [content for content in contents.values() if content.known]
        if known:
            return max(known, key=lambda content: content.done)
        if any(content.expired for content in contents.values()):
            raise ServingError(ResultCode.UNKNOWN_BATCH, "its results are not kept")
        if silent or self._some_are_cut_off():
            raise ServingError(ResultCode.PEER_UNREACHABLE, "a holder may be cut off")
        log_event(Event.BATCH_LOST, batch=batch_id)
        return None

    def _some_are_cut_off(self):
        """Tells whether a listed daemon is out of reach, which may hold the batch."""
        return len(self._membership.routable()) < self._membership.listed_count()

    async def _fetch_all(self, unique, names, results_from):
        """Returns the BatchContents by daemon, and the daemons that did not answer."""
        contents, silent = {}, []

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
                    silent.append(name)

        async with anyio.create_task_group() as group:
            for name in names:
                group.start_soon(fetch, name)
        return contents, silent

    async def _call(self, name, message, timeout):
        if name == self._own_name:
            return await self._router.call(name, message)
        return await self._transport.call(name, message, timeout)


_OFFER_ELSEWHERE = frozenset(
    (ResultCode.BATCH_NOT_HELD, ResultCode.DRAINING, ResultCode.NOT_READY)
)
