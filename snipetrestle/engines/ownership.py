"""Which replicas this daemon owns: claims, takeovers, hand-overs and their terms.

The owner of a replica is the first routable member of its region in the replica's
rendezvous order. Views differ and daemons pause, so two daemons may both act as owner.
The engine's fencing number, or handles that name the term, keep that harmless.
"""

import contextlib
import math

import anyio
import msgspec

from snipetrestle.codes import ResultCode, ServingError
from snipetrestle.engines.foreign import ForeignCopies
from snipetrestle.engines.forward import Accepted, Forward
from snipetrestle.engines.owned_replica import (
    Claim,
    OwnedElsewhere,
    OwnedReplica,
    OwnershipTimes,
)
from snipetrestle.engines.ownership_messages import (
    AskOwner,
    HandOverReplica,
    OwnerSilent,
    OwnerState,
    ReleasePins,
    RequestHandOver,
)
from snipetrestle.engines.protocol import EngineError, OldFencingNumber, UnloadOrder
from snipetrestle.engines.terms import handle_suffix, next_fencing_number
from snipetrestle.events import Event, log_event
from snipetrestle.hashing import rendezvous_order
from snipetrestle.peers.members import MemberState
from snipetrestle.peers.messages import Acknowledged
from snipetrestle.peers.transport import PeerUnreachable

# Members of a replica's order that may come to own it, the first included. A request
# reaches the third after two daemons have failed at the same time.
OWNER_CANDIDATES = 3
# Slots that an owner leaves free at an engine that ignores fencing numbers, so that a
# successor has room before the owner's copies may be unloaded.
TAKEOVER_RESERVE_SLOTS = 1


# A leaving daemon tries so often to find a successor for a replica.
HAND_OVER_TRIES = 3


class ReplicaDoor:
    """Serves the requests of this daemon's entry for one replica."""

    def __init__(self, ownership, replica_name):
        self._ownership = ownership
        self._replica_name = replica_name

    @contextlib.asynccontextmanager
    async def submit(self, forward):
        """Yields an async iterator of Accepted, Tokens and Finished."""
        yield self._ownership.serve(forward)


class ReplicaOwnership:
    """Owners of this daemon's replicas.

    ``open_engine(server)`` returns an EngineClient, and ``make_owner(server, engine,
    number, suffix)`` a ReplicaOwner. ``run`` must run while the daemon serves.
    """

    def __init__(
        self, membership, transport, router, open_engine, make_owner, *, times=None
    ):
        self._membership = membership
        self._transport = transport
        self._open_engine = open_engine
        self._make_owner = make_owner
        self._times = times or OwnershipTimes()
        self._replicas_by_name = {}
        self._leaving_servers = frozenset()
        self._orders_by_replica = {}
        self._orders_view = None
        self._own_replicas = ()
        self._unreachable = set()
        self._terms = 0
        self._serving = 0
        self._draining = False
        self._wake = anyio.Event()
        self._group = None
        router.on_stream(Forward, self._on_forward)
        router.on_call(AskOwner, self._on_ask_owner)
        router.on_call(RequestHandOver, self._on_request_hand_over)
        router.on_call(HandOverReplica, self._on_hand_over)
        router.on_call(OwnerSilent, self._on_owner_silent)
        router.on_call(ReleasePins, self._on_release_pins)

    # Inputs

    def apply(self, configuration):
        """Takes over a published configuration."""
        servers_by_name = {
            server.name: server
            for servers in configuration.replicas_by_model.values()
            for server in servers
        }
        for name, replica in tuple(self._replicas_by_name.items()):
            if servers_by_name.get(name) != replica.server:
                self._end_term(replica, None)
                del self._replicas_by_name[name]
                if self._group is not None:
                    self._group.start_soon(self._close_when_ended, replica)
        for name, server in servers_by_name.items():
            if name not in self._replicas_by_name:
                self._replicas_by_name[name] = OwnedReplica(server, self._open_engine)
        self._orders_view = None
        self._notify()

    def set_leaving(self, names):
        """Takes the names of leaving backend servers; they get nothing new from now on.

        Streams finish. Queued requests are refused before dispatch and go elsewhere.
        """
        leaving = frozenset(names)
        for name in leaving - self._leaving_servers:
            replica = self._replicas_by_name.get(name)
            if replica is not None:
                log_event(Event.SERVER_LEAVING, replica=name)
                self._end_term(replica, None)
        self._leaving_servers = leaving
        self._notify()

    def note_unreachable(self, name):
        """Takes the news that a member did not answer a request of this daemon.

        Its replicas go to their next candidates until it answers a probe.
        """
        self._membership.report_unreachable(name)
        if self._group is not None and name not in self._unreachable:
            self._unreachable.add(name)
            self._group.start_soon(self._probe_until_answer, name)
            self._group.start_soon(self._tell_successors, name)

    def confirm_stopped(self, name):
        """Takes an operator's word that the host of a daemon is stopped for good."""
        for replica in self._replicas_by_name.values():
            if replica.foreign is not None:
                replica.foreign.mark_host_stopped(name)

    async def change_role(self, replica_name, role):
        """Orders an owned engine to change its role. Raises ServingError."""
        replica = self._replicas_by_name.get(replica_name)
        if replica is None or replica.owner is None:
            raise ServingError(ResultCode.NOT_OWNER, replica_name)
        owner = replica.owner
        try:
            with anyio.fail_after(self._times.engine_timeout_s):
                await replica.engine.change_role(role, replica.number)
        except OldFencingNumber as error:
            self._give_up(replica, owner)
            raise ServingError(ResultCode.FENCED, str(error)) from error
        except (EngineError, TimeoutError) as error:
            raise ServingError(ResultCode.NO_REPLICA, str(error)) from error

    # The view for entries

    def owner_name(self, server, without=()):
        """Returns the member that serves a replica, or None if it gets no new work.

        ``without`` names members that did not answer; the next candidate is returned.
        """
        if server.name in self._leaving_servers:
            return None
        own = self._membership.own_name
        replica = self._replicas_by_name.get(server.name)
        if replica is not None and replica.owner is not None and not self._draining:
            return own
        order = [name for name in self._order(server) if name not in without]
        for name in order:
            if name not in self._unreachable:
                return name
        return order[0] if order else None

    def owner(self, replica_name):
        """Returns what serves this daemon's own requests for a replica."""
        return ReplicaDoor(self, replica_name)

    def owners(self):
        """Returns the ReplicaOwners of the terms in progress."""
        return tuple(
            replica.owner
            for replica in self._replicas_by_name.values()
            if replica.owner is not None
        )

    def owned_names(self):
        return tuple(owner.server.name for owner in self.owners())

    @property
    def busy(self):
        """Whether requests of callers or other daemons are in progress here."""
        return self._serving > 0 or any(
            replica.ended_owners for replica in self._replicas_by_name.values()
        )

    # Life

    async def run(self):
        """Claims and hands over as the view changes, until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            try:
                while True:
                    wake = self._wake
                    self._settle_all()
                    with anyio.move_on_after(self._times.settle_period_s):
                        await wake.wait()
            finally:
                self._group = None

    async def hand_over_all(self):
        """Hands all replicas over, for a planned stop. The membership left before.

        A replica without any successor stays until its queue is served.
        """
        self._draining = True
        async with anyio.create_task_group() as group:
            for replica in tuple(self._replicas_by_name.values()):
                if replica.owner is not None:
                    group.start_soon(self._hand_over_at_drain, replica)

    async def wait_idle(self):
        """Returns once no request has been in progress here for ``linger_s``.

        Entries that have not heard of the stop send requests until then.
        """
        idle_since = anyio.current_time()
        while anyio.current_time() - idle_since < self._times.linger_s:
            await anyio.sleep(self._times.release_poll_s)
            if self.busy:
                idle_since = anyio.current_time()

    async def _hand_over_at_drain(self, replica):
        for _ in range(HAND_OVER_TRIES):
            for name in self._order(replica.server):
                if await self._hand_over(replica, name):
                    return
                if replica.owner is None:
                    # Not confirmed, but the term has ended: the next request makes
                    # the successor claim the replica.
                    return
            await anyio.sleep(self._times.retry_s)
        log_event(
            Event.HAND_OVER_UNCONFIRMED,
            replica=replica.server.name,
            detail="no daemon accepts the replica",
        )

    def _notify(self):
        self._wake.set()
        self._wake = anyio.Event()

    # Order of candidates

    def _order(self, server):
        """Returns the first candidates of a replica, by this daemon's view."""
        view = self._membership.view_number
        if self._orders_view != view:
            self._orders_by_replica.clear()
            self._orders_view = view
            self._own_replicas = None
        order = self._orders_by_replica.get(server.name)
        if order is None:
            members = self._membership.routable(server.region)
            order = rendezvous_order(server.name, members, OWNER_CANDIDATES)
            self._orders_by_replica[server.name] = order
        return order

    def _in_own_region(self, replica):
        """Tells whether this daemon may own the replica at all, without its order.

        At 3,900 replicas in 4 regions this saves three quarters of the work that a
        change of the view causes.
        """
        members = self._membership.routable(replica.server.region)
        return self._membership.own_name in members

    def _is_first(self, replica, without=None):
        if not self._in_own_region(replica):
            return False
        order = [name for name in self._order(replica.server) if name != without]
        return bool(order) and order[0] == self._membership.own_name

    def _may_claim(self, replica):
        return (
            not self._draining
            and replica.server.name not in self._leaving_servers
            and self._membership.own_name in self._order(replica.server)
        )

    # Settling

    def _settle_all(self):
        if self._draining:
            return
        if self._orders_view != self._membership.view_number:
            self._own_replicas = None
        if self._own_replicas is None:
            self._check_suspects()
            self._own_replicas = tuple(
                replica
                for replica in self._replicas_by_name.values()
                if self._is_first(replica) or replica.owner is not None
            )
        now = anyio.current_time()
        for replica in self._own_replicas:
            if not replica.settling and now >= replica.next_try:
                self._start_settling(replica)

    def _check_suspects(self):
        """Probes suspected members at once whose replicas this daemon succeeds to."""
        own = self._membership.own_name
        names = set()
        for replica in self._replicas_by_name.values():
            if not self._in_own_region(replica):
                continue
            order = self._order(replica.server)
            if order[1:2] == [own]:
                names.add(order[0])
        for name in sorted(names):
            member = self._membership.get(name)
            if member is not None and member.state is MemberState.SUSPECTED:
                self._take_over_from(name)

    def _start_settling(self, replica):
        first = self._is_first(replica)
        if replica.owner is None and first and self._may_claim(replica):
            step = self._claim
        elif replica.owner is not None and not first and self._order(replica.server):
            step = self._hand_back
        else:
            return
        replica.settling = True
        self._group.start_soon(self._settle, replica, step)

    async def _settle(self, replica, step):
        try:
            await step(replica)
        except ServingError:
            # Another daemon owns it, or the engine did not answer; tried again later.
            replica.next_try = anyio.current_time() + self._times.retry_s
        finally:
            replica.settling = False

    async def _hand_back(self, replica):
        if not await self._hand_over(replica, self._order(replica.server)[0]):
            replica.next_try = anyio.current_time() + self._times.retry_s

    # Claims

    async def _claim(self, replica, silent=frozenset()):
        """Makes this daemon the owner. Raises ServingError if another one owns it."""
        async with replica.lock:
            if replica.owner is not None:
                return
            if not self._may_claim(replica):
                raise ServingError(ResultCode.NOT_OWNER, replica.server.name)
            states = await self._ask_candidates(replica, silent)
            for name, state in states.items():
                if state is not None and state.owns:
                    await self._request_hand_over(replica, name)
                    raise OwnedElsewhere(replica.server.name, name)
            if replica.gave_up_view == self._membership.view_number and (
                None in states.values()
            ):
                # Whoever fenced this daemon may be the one that did not answer.
                raise ServingError(ResultCode.NOT_OWNER, "fenced in this view")
            await self._take(replica, None)

    async def _ask_candidates(self, replica, silent):
        """Returns the OwnerState of each other candidate, None for no answer."""
        own = self._membership.own_name
        states = dict.fromkeys(silent)

        async def ask(name):
            states[name] = await self._ask(replica.server.name, name)

        async with anyio.create_task_group() as group:
            names = dict.fromkeys([*self._order(replica.server), replica.handed_to])
            for name in names:
                if name not in (None, own) and name not in silent:
                    group.start_soon(ask, name)
        return states

    async def _ask(self, replica_name, name, tries=1):
        for _ in range(tries):
            try:
                return await self._transport.call(
                    name,
                    AskOwner(replica_name, self._draining),
                    self._times.ask_timeout_s,
                )
            except PeerUnreachable:
                self._membership.report_unreachable(name)
            except ServingError:
                return None
        return None

    async def _request_hand_over(self, replica, name):
        if not self._is_first(replica):
            return
        request = RequestHandOver(replica.server.name)
        with contextlib.suppress(PeerUnreachable, ServingError):
            await self._transport.call(name, request, self._times.ask_timeout_s)

    async def _take(self, replica, message):
        """Starts a term. ``message`` is the old owner's hand-over, None without one."""
        try:
            with anyio.fail_after(self._times.engine_timeout_s):
                status = await replica.engine.status()
                number = next_fencing_number(
                    max(
                        status.fencing_number, message.fencing_number if message else 0
                    ),
                    self._membership.own_incarnation,
                )
                if replica.checks_numbers:
                    status = await replica.engine.fence(number)
        except OldFencingNumber as error:
            log_event(
                Event.OWNER_FENCED, replica=replica.server.name, highest=error.highest
            )
            self._note_fenced(replica)
            raise ServingError(ResultCode.FENCED, str(error)) from error
        except (EngineError, TimeoutError) as error:
            log_event(
                Event.ENGINE_UNREACHABLE,
                replica=replica.server.name,
                detail=str(error),
            )
            raise ServingError(ResultCode.NO_REPLICA, str(error)) from error
        if not self._may_claim(replica):
            raise ServingError(ResultCode.NOT_OWNER, replica.server.name)
        self._start_term(replica, status, number, message)

    def _start_term(self, replica, status, number, message):
        self._terms += 1
        replica.number = number
        replica.engine_incarnation = status.incarnation
        replica.gave_up_view = replica.handed_to = None
        replica.suffix = ""
        if not replica.checks_numbers:
            replica.suffix = handle_suffix(
                self._membership.own_name,
                self._membership.own_incarnation,
                self._terms,
            )
        owner = self._make_owner(
            replica.server, replica.engine, number, replica.suffix or None
        )
        # The owner has logged the refusal before it calls this.
        owner.on_fenced = lambda highest: self._give_up(replica, owner)
        owner.loader.on_unconfirmed_unload = lambda handle: self._renew(replica, owner)
        owner.take_status(status)
        replica.owner = owner
        replica.unlisted = frozenset()
        if replica.checks_numbers:
            self._adopt(replica, status)
        else:
            replica.foreign = ForeignCopies(self._times.idle_confirm_s)
            self._note_foreign(replica, status)
        log_event(
            Event.REPLICA_OWNED,
            replica=replica.server.name,
            number=number,
            confirmed=message is not None,
            resident=len(status.in_use_by_handle),
        )
        self._own_replicas = None
        self._group.start_soon(self._run_term, replica, owner)

    def _adopt(self, replica, status):
        now = anyio.current_time()
        replica.held_since_by_handle = {}
        for handle, in_use in status.in_use_by_handle.items():
            replica.owner.adopt_copy(handle, pins=1 if in_use else 0)
            if in_use:
                replica.held_since_by_handle[handle] = now

    def _note_foreign(self, replica, status):
        """Keeps the slots of foreign copies, and a reserve if a slot is left for it."""
        before = set(replica.foreign.handles())
        replica.foreign.update_from_status(status, replica.suffix)
        now = set(replica.foreign.handles())
        for handle in before - now:
            replica.owner.forget_copy(handle)
        for handle in now - before:
            replica.owner.adopt_copy(handle, own=False)
        left = replica.server.adapter_slots - len(now)
        replica.owner.set_reserve_slots(max(0, min(TAKEOVER_RESERVE_SLOTS, left - 1)))

    # Ends of terms

    def _end_term(self, replica, successor):
        owner = replica.owner
        if owner is None:
            return
        replica.owner = None
        replica.ended_owners.append(owner)
        owner.stop_dispatch()
        owner.release_queue()
        # The term's own streams are left; copies held for others are not evicted now.
        for handle in replica.held_since_by_handle:
            owner.release_pins(handle)
        replica.held_since_by_handle = {}
        self._own_replicas = None
        log_event(
            Event.REPLICA_RELEASED,
            replica=replica.server.name,
            number=replica.number,
            successor=successor,
            running=owner.running,
        )
        if self._group is not None:
            self._group.start_soon(self._finish_term, replica, owner, successor)

    async def _close_when_ended(self, replica):
        while replica.ended_owners:  # noqa: ASYNC110 - not an event
            await anyio.sleep(self._times.release_poll_s)
        await replica.close_engine()

    async def _finish_term(self, replica, owner, successor):
        """Waits for the running streams and tells the successor as they end."""
        pinned = set(owner.pins_by_handle())
        while pinned:
            await anyio.sleep(self._times.release_poll_s)
            # Batch streams that were being paused are queued again.
            owner.release_queue()
            still_pinned = set(owner.pins_by_handle())
            released = tuple(sorted(pinned - still_pinned))
            pinned = still_pinned
            if released and successor is not None:
                message = ReleasePins(replica.server.name, released)
                with contextlib.suppress(PeerUnreachable, ServingError):
                    await self._transport.call(
                        successor, message, self._times.ask_timeout_s
                    )
        replica.ended_owners.remove(owner)

    def _give_up(self, replica, owner):
        """The engine refused the owner's number: another daemon has taken over."""
        if replica.owner is owner:
            self._note_fenced(replica)
            self._end_term(replica, None)

    def _renew(self, replica, owner):
        """Ends a term in which an unload order may still be on its way.

        The next term has a higher number and, at an engine that ignores numbers, other
        handles, so the late order cannot unload a copy that is in use.
        """
        if replica.owner is owner:
            log_event(Event.TERM_RENEWED, replica=replica.server.name)
            self._end_term(replica, None)
            self._notify()

    def _note_fenced(self, replica):
        replica.gave_up_view = self._membership.view_number
        replica.next_try = anyio.current_time() + self._times.retry_s

    async def _hand_over(self, replica, target):
        """Hands a replica over. Returns whether ``target`` confirmed it."""
        async with replica.lock:
            if replica.owner is None:
                return False
            state = await self._ask(replica.server.name, target)
            if state is None or not state.accepts or replica.owner is None:
                return False
            owner = replica.owner
            message = HandOverReplica(
                replica=replica.server.name,
                fencing_number=replica.number,
                engine_incarnation=replica.engine_incarnation,
                resident=tuple(sorted(owner.resident_handles())),
                pinned=replica.own_pinned_handles(),
                queued=owner.queued,
            )
            # The term ends before the message leaves, so a lost confirmation cannot
            # leave two daemons that use the same handles.
            self._end_term(replica, target)
            try:
                await self._transport.call(
                    target, message, self._times.hand_over_timeout_s
                )
            except (PeerUnreachable, ServingError) as error:
                log_event(
                    Event.HAND_OVER_UNCONFIRMED,
                    replica=replica.server.name,
                    successor=target,
                    detail=str(error),
                )
                return False
            replica.handed_to = target
            return True

    # Watching the engine

    async def _run_term(self, replica, owner):
        async with anyio.create_task_group() as group:
            group.start_soon(owner.run)
            await self._watch(replica, owner)
            group.cancel_scope.cancel()

    async def _watch(self, replica, owner):
        reachable = True
        next_ask = 0.0
        while replica.owner is owner:
            await anyio.sleep(self._times.status_period_s)
            if replica.owner is not owner:
                return
            try:
                with anyio.fail_after(self._times.engine_timeout_s):
                    status = await replica.engine.status()
            except (EngineError, TimeoutError) as error:
                if reachable:
                    log_event(
                        Event.ENGINE_UNREACHABLE,
                        replica=replica.server.name,
                        detail=str(error),
                    )
                reachable = False
                continue
            reachable = True
            if replica.owner is not owner:
                return
            restarted = status.incarnation != replica.engine_incarnation
            owner.take_status(status)
            if restarted:
                await self._note_restart(replica, owner, status)
            elif replica.checks_numbers and status.fencing_number > replica.number:
                log_event(
                    Event.OWNER_FENCED,
                    replica=replica.server.name,
                    highest=status.fencing_number,
                )
                self._give_up(replica, owner)
            if replica.owner is not owner:
                return
            self._adopt_unlisted(replica, status)
            if replica.checks_numbers:
                self._release_idle(replica, status)
                continue
            self._note_foreign(replica, status)
            if anyio.current_time() >= next_ask:
                next_ask = anyio.current_time() + self._times.retry_s
                await self._ask_foreign_owners(replica)
            await self._unload_free(replica, owner)

    async def _note_restart(self, replica, owner, status):
        """Clears the view of an engine that restarted empty, and raises its number."""
        replica.engine_incarnation = status.incarnation
        replica.held_since_by_handle.clear()
        if not replica.checks_numbers:
            return
        try:
            with anyio.fail_after(self._times.engine_timeout_s):
                await replica.engine.fence(replica.number)
        except OldFencingNumber:
            self._give_up(replica, owner)
        except (EngineError, TimeoutError):
            # The next load or request carries the number as well.
            return

    def _adopt_unlisted(self, replica, status):
        """Takes up copies that an order in progress at the takeover has loaded.

        A status may be older than an unload, so a copy counts at the second sight. If
        it is wrong even then, the engine says that the copy is not resident.
        """
        foreign = () if replica.foreign is None else replica.foreign.handles()
        unlisted = frozenset(
            handle
            for handle in status.in_use_by_handle
            if handle not in foreign
            and replica.owner.slots.find(handle) is None
            and (replica.checks_numbers or handle.endswith(f"#{replica.suffix}"))
        )
        for handle in unlisted & replica.unlisted:
            in_use = status.in_use_by_handle[handle]
            replica.owner.adopt_copy(handle, pins=1 if in_use else 0)
            if in_use:
                replica.held_since_by_handle[handle] = anyio.current_time()
        replica.unlisted = unlisted

    def _release_idle(self, replica, status):
        """Unpins the copies of earlier terms that the engine shows idle."""
        now = anyio.current_time()
        for handle, since in tuple(replica.held_since_by_handle.items()):
            if status.in_use_by_handle.get(handle, 0) == 0 and (
                now - since >= self._times.idle_confirm_s
            ):
                self._release_held(replica, handle)

    def _release_held(self, replica, handle):
        if replica.held_since_by_handle.pop(handle, None) is not None:
            replica.owner.release_pins(handle)

    async def _ask_foreign_owners(self, replica):
        for name in sorted(replica.foreign.unconfirmed_owner_names()):
            if name == self._membership.own_name:
                state = self._own_state(replica)
            else:
                state = await self._ask(replica.server.name, name)
            if state is not None:
                replica.foreign.apply_owner_state(name, state)

    async def _unload_free(self, replica, owner):
        for handle in replica.foreign.unloadable_handles():
            if replica.owner is not owner:
                return
            try:
                with anyio.fail_after(self._times.engine_timeout_s):
                    await replica.engine.unload(UnloadOrder(handle, replica.number))
            except (EngineError, TimeoutError):
                return
            if replica.owner is not owner:
                return
            replica.foreign.forget(handle)
            owner.forget_copy(handle)

    # Requests

    async def serve(self, forward):
        """Yields the replies to a Forward, from the own owner or by another daemon."""
        replica = self._replicas_by_name.get(forward.replica)
        if replica is None:
            raise ServingError(ResultCode.NOT_OWNER, forward.replica)
        deadline = anyio.current_time() + forward.time_left_s
        accepted = started = False
        self._serving += 1
        try:
            try:
                owner = await self._find_owner(replica)
                async with (
                    owner.submit(forward) as replies,
                    contextlib.aclosing(replies),
                ):
                    async for reply in replies:
                        accepted = True
                        started = started or not isinstance(reply, Accepted)
                        yield reply
                return
            except ServingError as error:
                target = self._successor(replica, error)
                if started or target is None:
                    raise
            moved = msgspec.structs.replace(
                forward, time_left_s=max(0.0, deadline - anyio.current_time())
            )
            async with contextlib.aclosing(
                self._relay(target, moved, accepted)
            ) as replies:
                async for reply in replies:
                    yield reply
        finally:
            self._serving -= 1

    async def _find_owner(self, replica):
        """Returns the ReplicaOwner, after a takeover if its daemon is silent."""
        if replica.owner is None:
            if not self._may_claim(replica):
                raise ServingError(ResultCode.NOT_OWNER, replica.server.name)
            await self._claim_for_request(replica)
        if replica.owner is None:
            raise ServingError(ResultCode.NOT_OWNER, replica.server.name)
        return replica.owner

    async def _claim_for_request(self, replica):
        """Waits for a claim that also goes on if the request is withdrawn."""
        if replica.claim is None:
            if self._group is None:
                raise ServingError(ResultCode.NOT_READY)
            replica.claim = Claim()
            self._group.start_soon(self._claim_after_check, replica, replica.claim)
        claim = replica.claim
        await claim.ended.wait()
        if claim.error is not None:
            raise claim.error

    async def _claim_after_check(self, replica, claim):
        try:
            silent = await self._check_predecessors(replica)
            await self._claim(replica, silent)
        except ServingError as error:
            claim.error = error
        finally:
            replica.claim = None
            claim.ended.set()

    async def _check_predecessors(self, replica):
        """Returns the candidates before this daemon that do not answer."""
        order = self._order(replica.server)
        silent = set()
        for name in order[: order.index(self._membership.own_name)]:
            state = await self._ask(replica.server.name, name, tries=2)
            if state is None:
                silent.add(name)
            elif state.owns or state.wants:
                raise OwnedElsewhere(replica.server.name, name)
        return silent

    def _successor(self, replica, error):
        """Returns who serves a request that was not dispatched here, or None."""
        if (
            error.code not in _NOT_DISPATCHED
            or replica.server.name in self._leaving_servers
        ):
            return None
        if isinstance(error, OwnedElsewhere):
            return error.owner_name
        own = self._membership.own_name
        others = [name for name in self._order(replica.server) if name != own]
        return others[0] if others else None

    async def _relay(self, target, forward, accepted):
        try:
            async with self._transport.stream(target, forward) as replies:
                async for reply in replies:
                    if not (accepted and isinstance(reply, Accepted)):
                        yield reply
        except PeerUnreachable as error:
            self.note_unreachable(target)
            code = ResultCode.STREAM_BROKEN if error.sent else ResultCode.NOT_OWNER
            raise ServingError(code, str(error)) from error

    async def _tell_successors(self, name):
        """Lets the successors of a silent member take over without waiting for requests."""
        successors = {
            order[1]
            for replica in self._replicas_by_name.values()
            if (order := self._order(replica.server))[:1] == [name] and len(order) > 1
        }
        message = OwnerSilent(name)
        for successor in sorted(successors):
            if successor == self._membership.own_name:
                self._take_over_from(name)
                continue
            with contextlib.suppress(PeerUnreachable, ServingError):
                await self._transport.call(
                    successor, message, self._times.ask_timeout_s
                )

    def _take_over_from(self, name):
        """Starts claims of the replicas for which this daemon succeeds a silent one."""
        own = self._membership.own_name
        for replica in self._replicas_by_name.values():
            if (
                self._order(replica.server)[:2] == [name, own]
                and replica.owner is None
                and replica.claim is None
                and self._may_claim(replica)
            ):
                replica.claim = Claim()
                self._group.start_soon(self._claim_after_check, replica, replica.claim)

    async def _probe_until_answer(self, name):
        """Keeps a silent member out of ``owner_name`` until it answers or is gone."""
        while True:
            await anyio.sleep(self._times.unreachable_hold_s)
            member = self._membership.get(name)
            if member is None or member.state in (MemberState.FAILED, MemberState.GONE):
                break
            if await self._ask("", name) is not None:
                break
        self._unreachable.discard(name)

    # Handlers

    async def _on_forward(self, sender, message):
        async with contextlib.aclosing(self.serve(message)) as replies:
            async for reply in replies:
                yield reply

    async def _on_ask_owner(self, sender, message):
        replica = self._replicas_by_name.get(message.replica)
        if replica is None:
            return OwnerState(self._membership.own_incarnation)
        return self._own_state(replica, sender if message.leaving else None)

    def _own_state(self, replica, leaving=None):
        accepts = self._is_first(replica, leaving) and self._may_claim(replica)
        return OwnerState(
            incarnation=self._membership.own_incarnation,
            owns=replica.owner is not None,
            wants=accepts and replica.gave_up_view != self._membership.view_number,
            accepts=accepts,
            suffix=replica.suffix if replica.owner is not None else "",
            pinned=replica.pinned_handles(),
        )

    async def _on_request_hand_over(self, sender, message):
        replica = self._replicas_by_name.get(message.replica)
        if replica is None or replica.owner is None or self._group is None:
            return Acknowledged()
        # Only if both views agree; otherwise the replica would go to and fro.
        if self._order(replica.server)[:1] == [sender]:
            self._group.start_soon(self._hand_over, replica, sender)
        return Acknowledged()

    async def _on_hand_over(self, sender, message):
        replica = self._replicas_by_name.get(message.replica)
        if replica is None or self._group is None:
            raise ServingError(ResultCode.NOT_OWNER, message.replica)
        async with replica.lock:
            if replica.owner is None:
                if not self._may_claim(replica):
                    raise ServingError(ResultCode.NOT_OWNER, message.replica)
                await self._take(replica, message)
        return Acknowledged()

    async def _on_owner_silent(self, sender, message):
        if self._group is not None:
            self._take_over_from(message.member)
        return Acknowledged()

    async def _on_release_pins(self, sender, message):
        replica = self._replicas_by_name.get(message.replica)
        if replica is not None:
            for handle in message.handles:
                # Streams of another earlier owner may be left, so the engine's next
                # status still decides.
                if handle in replica.held_since_by_handle:
                    replica.held_since_by_handle[handle] = -math.inf
        return Acknowledged()


_NOT_DISPATCHED = frozenset((ResultCode.NOT_OWNER, ResultCode.FENCED))
