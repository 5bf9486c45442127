"""Ownership of replicas by this daemon: claims, takeovers, hand-overs and terms.

The owner of a replica is the first candidate: the first routable member of the
replica's region in the replica's rendezvous order. Membership views differ and
processes pause, so two daemons may act as owner at the same time. The engine's fencing
number, or handles that name the term at engines that ignore fencing numbers, keep this
safe.
"""

import contextlib
import math

import anyio
import msgspec

from snipetrestle.codes import ResultCode, ServingError
from snipetrestle.engines.foreign import ForeignCopies
from snipetrestle.engines.forward import Accepted, Forward
from snipetrestle.engines.owned_replica import (
    OwnedElsewhere,
    OwnedReplica,
    OwnershipTimes,
    PendingClaim,
)
from snipetrestle.engines.owner_candidates import OwnerCandidates
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
from snipetrestle.peers.members import MemberState
from snipetrestle.peers.messages import Acknowledged
from snipetrestle.peers.transport import PeerUnreachable

# Slots that an owner leaves free at an engine that ignores fencing numbers, so that a
# successor has room before the owner's copies may be unloaded.
TAKEOVER_RESERVE_SLOTS = 1


# Attempts of a draining daemon to hand a replica over to any of its candidates.
HAND_OVER_TRIES = 3


class LocalReplicaClient:
    """Submits requests that this daemon received for one replica to its ownership."""

    def __init__(self, ownership, replica_name):
        self._ownership = ownership
        self._replica_name = replica_name

    @contextlib.asynccontextmanager
    async def submit(self, forward):
        """Yields an async iterator of Accepted, Tokens and Finished."""
        yield self._ownership.serve(forward)


class ReplicaOwnership:
    """Claims, serves and hands over the replicas that this daemon owns.

    ``open_engine(server)`` returns an EngineClient, and ``make_owner(server, engine,
    fencing_number, suffix)`` a ReplicaOwner. ``run`` must run as long as the daemon
    serves requests.
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
        self.candidates = OwnerCandidates(membership)
        # Those that may need a claim or a hand-over in a membership view; None if they
        # are to be determined again.
        self._replicas_to_reconcile = None
        self._reconciled_view = None
        self._unreachable = set()
        self._term_count = 0
        self._requests_in_progress = 0
        self._draining = False
        self._reconcile_requested = anyio.Event()
        self._group = None
        router.on_stream(Forward, self._on_forward)
        router.on_call(AskOwner, self._on_ask_owner)
        router.on_call(RequestHandOver, self._on_request_hand_over)
        router.on_call(HandOverReplica, self._on_hand_over)
        router.on_call(OwnerSilent, self._on_owner_silent)
        router.on_call(ReleasePins, self._on_release_pins)

    # Inputs

    def apply(self, configuration):
        """Applies a published configuration."""
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
        self.candidates.clear()
        self._replicas_to_reconcile = None
        self._request_reconcile()

    def set_leaving(self, names):
        """Sets the names of the leaving backend servers, which get no new requests.

        Running streams finish. Queued requests are refused, so that their senders retry
        them at other replicas.
        """
        leaving = frozenset(names)
        for name in leaving - self._leaving_servers:
            replica = self._replicas_by_name.get(name)
            if replica is not None:
                log_event(Event.SERVER_LEAVING, replica=name)
                self._end_term(replica, None)
        self._leaving_servers = leaving
        self._request_reconcile()

    def mark_unreachable(self, name):
        """Records that a member did not answer a request of this daemon.

        Requests for its replicas go to the next candidates until it answers a probe.
        """
        self._membership.report_unreachable(name)
        if self._group is not None and name not in self._unreachable:
            self._unreachable.add(name)
            self._group.start_soon(self._probe_until_answer, name)
            self._group.start_soon(self._notify_successors, name)

    def confirm_stopped(self, name):
        """Records an operator's confirmation that a daemon's host is stopped for good.

        Copies that the daemon loaded at engines that ignore fencing numbers can then be
        unloaded.
        """
        for replica in self._replicas_by_name.values():
            if replica.foreign_copies is not None:
                replica.foreign_copies.mark_host_stopped(name)

    async def change_role(self, replica_name, role):
        """Orders an owned engine to change its role. Raises ServingError."""
        replica = self._replicas_by_name.get(replica_name)
        if replica is None or replica.owner is None:
            raise ServingError(ResultCode.NOT_OWNER, replica_name)
        owner = replica.owner
        try:
            with anyio.fail_after(self._times.engine_timeout_s):
                await replica.engine.change_role(role, replica.own_fencing_number)
        except OldFencingNumber as error:
            self._end_fenced_term(replica, owner)
            raise ServingError(ResultCode.FENCED, str(error)) from error
        except (EngineError, TimeoutError) as error:
            raise ServingError(ResultCode.NO_REPLICA, str(error)) from error

    # Queries by the request path

    def owner_name(self, server, exclude=()):
        """Returns the name of the member that serves a replica.

        Returns None if the replica gets no new requests. Members in ``exclude``, which
        did not answer, are skipped.
        """
        if server.name in self._leaving_servers:
            return None
        own = self._membership.own_name
        replica = self._replicas_by_name.get(server.name)
        if replica is not None and replica.owner is not None and not self._draining:
            return own
        candidates = [
            name for name in self.candidates.of(server) if name not in exclude
        ]
        for name in candidates:
            if name not in self._unreachable:
                return name
        return candidates[0] if candidates else None

    def replica_client(self, replica_name):
        """Returns the client that submits this daemon's own requests for a replica."""
        return LocalReplicaClient(self, replica_name)

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
        return self._requests_in_progress > 0 or any(
            replica.ended_owners for replica in self._replicas_by_name.values()
        )

    # Lifecycle

    async def run(self):
        """Claims and hands over replicas as the view changes, until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            try:
                while True:
                    reconcile_requested = self._reconcile_requested
                    self._reconcile_all()
                    with anyio.move_on_after(self._times.reconcile_interval_s):
                        await reconcile_requested.wait()
            finally:
                self._group = None

    async def hand_over_all(self):
        """Hands all replicas over for a planned stop.

        The membership must have announced the leave before. A replica without any
        successor stays here until its queue is served.
        """
        self._draining = True
        async with anyio.create_task_group() as group:
            for replica in tuple(self._replicas_by_name.values()):
                if replica.owner is not None:
                    group.start_soon(self._hand_over_at_drain, replica)

    async def wait_idle(self):
        """Returns once no request has been in progress here for ``drain_idle_s``.

        Daemons that do not know about the stop yet may send requests until then.
        """
        idle_since = anyio.current_time()
        while anyio.current_time() - idle_since < self._times.drain_idle_s:
            await anyio.sleep(self._times.release_poll_interval_s)
            if self.busy:
                idle_since = anyio.current_time()

    async def _hand_over_at_drain(self, replica):
        for _ in range(HAND_OVER_TRIES):
            for name in self.candidates.of(replica.server):
                if await self._hand_over(replica, name):
                    return
                if replica.owner is None:
                    # The hand-over was not confirmed, but the term has ended: the next
                    # request makes the successor claim the replica.
                    return
            await anyio.sleep(self._times.retry_delay_s)
        log_event(
            Event.HAND_OVER_UNCONFIRMED,
            replica=replica.server.name,
            detail="no daemon accepts the replica",
        )

    def _request_reconcile(self):
        self._reconcile_requested.set()
        self._reconcile_requested = anyio.Event()

    def _may_claim(self, replica):
        return (
            not self._draining
            and replica.server.name not in self._leaving_servers
            and self.candidates.include_self(replica.server)
        )

    # Reconciliation with the membership view

    def _reconcile_all(self):
        if self._draining:
            return
        if self._reconciled_view != self._membership.view_number:
            self._reconciled_view = self._membership.view_number
            self._replicas_to_reconcile = None
        if self._replicas_to_reconcile is None:
            self._probe_suspected_owners()
            self._replicas_to_reconcile = tuple(
                replica
                for replica in self._replicas_by_name.values()
                if self.candidates.start_with_self(replica.server)
                or replica.owner is not None
            )
        now = anyio.current_time()
        for replica in self._replicas_to_reconcile:
            if not replica.reconciling and now >= replica.next_attempt_at:
                self._start_reconcile(replica)

    def _probe_suspected_owners(self):
        """Checks suspected members at once if this daemon is their successor."""
        own = self._membership.own_name
        names = set()
        for replica in self._replicas_by_name.values():
            if not self.candidates.may_include_self(replica.server):
                continue
            candidates = self.candidates.of(replica.server)
            if candidates[1:2] == [own]:
                names.add(candidates[0])
        for name in sorted(names):
            member = self._membership.get(name)
            if member is not None and member.state is MemberState.SUSPECTED:
                self._take_over_from(name)

    def _start_reconcile(self, replica):
        """Starts a claim or a hand-over if the owner is not the first candidate."""
        is_first = self.candidates.start_with_self(replica.server)
        if replica.owner is None and is_first and self._may_claim(replica):
            step = self._claim
        elif (
            replica.owner is not None
            and not is_first
            and self.candidates.of(replica.server)
        ):
            step = self._hand_over_to_first_candidate
        else:
            return
        replica.reconciling = True
        self._group.start_soon(self._reconcile, replica, step)

    async def _reconcile(self, replica, step):
        try:
            await step(replica)
        except ServingError:
            # Another daemon owns it, or the engine did not answer; retried later.
            replica.next_attempt_at = anyio.current_time() + self._times.retry_delay_s
        finally:
            replica.reconciling = False

    async def _hand_over_to_first_candidate(self, replica):
        if not await self._hand_over(replica, self.candidates.of(replica.server)[0]):
            replica.next_attempt_at = anyio.current_time() + self._times.retry_delay_s

    # Claims

    async def _claim(self, replica, unresponsive=frozenset()):
        """Makes this daemon the owner unless another candidate owns the replica.

        Candidates in ``unresponsive`` are not queried again. Raises ServingError.
        """
        async with replica.lock:
            if replica.owner is not None:
                return
            if not self._may_claim(replica):
                raise ServingError(ResultCode.NOT_OWNER, replica.server.name)
            states = await self._query_candidates(replica, unresponsive)
            for name, state in states.items():
                if state is not None and state.owns:
                    await self._request_hand_over(replica, name)
                    raise OwnedElsewhere(replica.server.name, name)
            if replica.fenced_in_view == self._membership.view_number and (
                None in states.values()
            ):
                # The candidate without an answer may have fenced this daemon.
                raise ServingError(ResultCode.NOT_OWNER, "fenced in this view")
            await self._take_ownership(replica, None)

    async def _query_candidates(self, replica, unresponsive):
        """Returns the OwnerState of the other candidates, None for no answer."""
        own = self._membership.own_name
        states = dict.fromkeys(unresponsive)

        async def query(name):
            states[name] = await self._query_owner_state(replica.server.name, name)

        async with anyio.create_task_group() as group:
            names = dict.fromkeys(
                [*self.candidates.of(replica.server), replica.handed_over_to]
            )
            for name in names:
                if name not in (None, own) and name not in unresponsive:
                    group.start_soon(query, name)
        return states

    async def _query_owner_state(self, replica_name, name, tries=1):
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
        """Asks the current owner for a hand-over if this daemon is first candidate."""
        if not self.candidates.start_with_self(replica.server):
            return
        request = RequestHandOver(replica.server.name)
        with contextlib.suppress(PeerUnreachable, ServingError):
            await self._transport.call(name, request, self._times.ask_timeout_s)

    async def _take_ownership(self, replica, message):
        """Reads the engine's state, fences it and starts a term. Raises ServingError.

        ``message`` is the HandOverReplica of the old owner, or None in a takeover.
        """
        try:
            with anyio.fail_after(self._times.engine_timeout_s):
                status = await replica.engine.status()
                new_fencing_number = next_fencing_number(
                    max(
                        status.fencing_number, message.fencing_number if message else 0
                    ),
                    self._membership.own_incarnation,
                )
                if replica.supports_fencing:
                    status = await replica.engine.fence(new_fencing_number)
        except OldFencingNumber as error:
            log_event(
                Event.OWNER_FENCED, replica=replica.server.name, highest=error.highest
            )
            self._record_fenced(replica)
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
        self._start_term(replica, status, new_fencing_number, message)

    def _start_term(self, replica, status, fencing_number, message):
        self._term_count += 1
        replica.own_fencing_number = fencing_number
        replica.engine_incarnation = status.incarnation
        replica.fenced_in_view = replica.handed_over_to = None
        replica.suffix = ""
        if not replica.supports_fencing:
            replica.suffix = handle_suffix(
                self._membership.own_name,
                self._membership.own_incarnation,
                self._term_count,
            )
        owner = self._make_owner(
            replica.server, replica.engine, fencing_number, replica.suffix or None
        )
        # The owner logs the refusal before it calls on_fenced.
        owner.on_fenced = lambda highest: self._end_fenced_term(replica, owner)
        owner.loader.on_unconfirmed_unload = lambda handle: self._renew_term(
            replica, owner
        )
        owner.apply_status(status)
        replica.owner = owner
        replica.untracked_handles = frozenset()
        if replica.supports_fencing:
            replica.adopt_resident_copies(status)
        else:
            replica.foreign_copies = ForeignCopies(self._times.min_idle_s)
            self._update_foreign_copies(replica, status)
        log_event(
            Event.REPLICA_OWNED,
            replica=replica.server.name,
            number=fencing_number,
            confirmed=message is not None,
            resident=len(status.in_use_by_handle),
        )
        self._replicas_to_reconcile = None
        self._group.start_soon(self._run_term, replica, owner)

    def _update_foreign_copies(self, replica, status):
        """Marks the slots of foreign copies as taken, and keeps slots for a successor.

        At least one slot stays usable for the owner's own copies, if there is one.
        """
        handles_before = set(replica.foreign_copies.handles())
        replica.foreign_copies.update_from_status(status, replica.suffix)
        handles_now = set(replica.foreign_copies.handles())
        for handle in handles_before - handles_now:
            replica.owner.forget_copy(handle)
        for handle in handles_now - handles_before:
            replica.owner.adopt_copy(handle, own=False)
        remaining_slots = replica.server.adapter_slots - len(handles_now)
        replica.owner.set_reserve_slots(
            max(0, min(TAKEOVER_RESERVE_SLOTS, remaining_slots - 1))
        )

    # End of a term

    def _end_term(self, replica, successor):
        owner = replica.owner
        if owner is None:
            return
        replica.owner = None
        replica.ended_owners.append(owner)
        owner.stop_dispatch()
        owner.reject_queued_requests()
        # Releases the inherited pins, since an ended term evicts nothing. The pins of
        # the term's own streams stay.
        for handle in replica.inherited_pins_since_by_handle:
            owner.release_pins(handle)
        replica.inherited_pins_since_by_handle = {}
        self._replicas_to_reconcile = None
        log_event(
            Event.REPLICA_RELEASED,
            replica=replica.server.name,
            number=replica.own_fencing_number,
            successor=successor,
            running=owner.running,
        )
        if self._group is not None:
            self._group.start_soon(self._finish_term, replica, owner, successor)

    async def _close_when_ended(self, replica):
        while replica.ended_owners:  # noqa: ASYNC110 - not an event
            await anyio.sleep(self._times.release_poll_interval_s)
        await replica.close_engine()

    async def _finish_term(self, replica, owner, successor):
        """Waits for the running streams and sends the successor the pins that end."""
        pinned = set(owner.pins_by_handle())
        next_status_at = anyio.current_time() + self._times.status_poll_interval_s
        while pinned:
            await anyio.sleep(self._times.release_poll_interval_s)
            if replica.owner is None and anyio.current_time() >= next_status_at:
                await self._update_ended_term(replica, owner)
                next_status_at = (
                    anyio.current_time() + self._times.status_poll_interval_s
                )
            # Batch streams that were being paused have been queued again.
            owner.reject_queued_requests()
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

    async def _update_ended_term(self, replica, owner):
        """Tells an ended term whose streams go on if the engine has restarted.

        A later term of this daemon does so as well.
        """
        asked_at = anyio.current_time()
        with contextlib.suppress(EngineError, TimeoutError):
            with anyio.fail_after(self._times.engine_timeout_s):
                status = await replica.engine.status()
            owner.apply_status(status, asked_at)

    def _end_fenced_term(self, replica, owner):
        """Ends a term after the engine refused its fencing number.

        Another daemon has taken over.
        """
        if replica.owner is owner:
            self._record_fenced(replica)
            self._end_term(replica, None)

    def _renew_term(self, replica, owner):
        """Ends a term in which an unload order may be in flight, and claims again.

        The next term has a higher fencing number and, at an engine that ignores fencing
        numbers, other handles. The late order therefore cannot unload a copy in use.
        """
        if replica.owner is owner:
            log_event(Event.TERM_RENEWED, replica=replica.server.name)
            self._end_term(replica, None)
            self._request_reconcile()

    def _record_fenced(self, replica):
        """Prevents further claims in this membership view and delays the next one."""
        replica.fenced_in_view = self._membership.view_number
        replica.next_attempt_at = anyio.current_time() + self._times.retry_delay_s

    async def _hand_over(self, replica, target):
        """Hands a replica over; returns whether the member ``target`` confirmed it."""
        async with replica.lock:
            if replica.owner is None:
                return False
            state = await self._query_owner_state(replica.server.name, target)
            if state is None or not state.accepts or replica.owner is None:
                return False
            owner = replica.owner
            message = HandOverReplica(
                replica=replica.server.name,
                fencing_number=replica.own_fencing_number,
                engine_incarnation=replica.engine_incarnation,
                resident=tuple(sorted(owner.resident_handles())),
                pinned=replica.own_pinned_handles(),
                queued=owner.queued,
            )
            # The term ends before the message is sent, so that a lost confirmation
            # cannot leave two daemons that use the same handles.
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
            replica.handed_over_to = target
            return True

    # Monitoring of the engine

    async def _run_term(self, replica, owner):
        async with anyio.create_task_group() as group:
            group.start_soon(owner.run)
            await self._watch_engine(replica, owner)
            group.cancel_scope.cancel()

    async def _watch_engine(self, replica, owner):
        """Polls the engine's status during a term to notice restarts and new owners."""
        reachable = True
        next_query_at = 0.0
        while replica.owner is owner:
            await anyio.sleep(self._times.status_poll_interval_s)
            if replica.owner is not owner:
                return
            asked_at = anyio.current_time()
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
            for item in (owner, *replica.ended_owners):
                item.apply_status(status, asked_at)
            if restarted:
                await self._handle_engine_restart(replica, owner, status)
            elif (
                replica.supports_fencing
                and status.fencing_number > replica.own_fencing_number
            ):
                log_event(
                    Event.OWNER_FENCED,
                    replica=replica.server.name,
                    highest=status.fencing_number,
                )
                self._end_fenced_term(replica, owner)
            if replica.owner is not owner:
                return
            replica.adopt_untracked_copies(status)
            if replica.supports_fencing:
                replica.release_idle_inherited_pins(status, self._times.min_idle_s)
                continue
            self._update_foreign_copies(replica, status)
            if anyio.current_time() >= next_query_at:
                next_query_at = anyio.current_time() + self._times.retry_delay_s
                await self._query_foreign_copy_owners(replica)
            await self._unload_foreign_copies(replica, owner)

    async def _handle_engine_restart(self, replica, owner, status):
        """Drops inherited pins after a restart and sets the fencing number again.

        A restarted engine has no copies.
        """
        replica.engine_incarnation = status.incarnation
        replica.inherited_pins_since_by_handle.clear()
        if not replica.supports_fencing:
            return
        try:
            with anyio.fail_after(self._times.engine_timeout_s):
                await replica.engine.fence(replica.own_fencing_number)
        except OldFencingNumber:
            self._end_fenced_term(replica, owner)
        except (EngineError, TimeoutError):
            # The next load or request carries the fencing number as well.
            return

    async def _query_foreign_copy_owners(self, replica):
        for name in sorted(replica.foreign_copies.unconfirmed_owner_names()):
            if name == self._membership.own_name:
                state = self._own_state(replica)
            else:
                state = await self._query_owner_state(replica.server.name, name)
            if state is not None:
                replica.foreign_copies.apply_owner_state(name, state)

    async def _unload_foreign_copies(self, replica, owner):
        for handle in replica.foreign_copies.unloadable_handles():
            if replica.owner is not owner:
                return
            try:
                with anyio.fail_after(self._times.engine_timeout_s):
                    await replica.engine.unload(
                        UnloadOrder(handle, replica.own_fencing_number)
                    )
            except (EngineError, TimeoutError):
                return
            if replica.owner is not owner:
                return
            replica.foreign_copies.forget(handle)
            owner.forget_copy(handle)

    # Requests

    async def serve(self, forward):
        """Yields the replies to a Forward.

        This daemon serves it if it owns the replica or can claim it. Otherwise the
        request is relayed to the next candidate. Raises ServingError.
        """
        replica = self._replicas_by_name.get(forward.replica)
        if replica is None:
            raise ServingError(ResultCode.NOT_OWNER, forward.replica)
        deadline = anyio.current_time() + forward.time_left_s
        accepted = started = False
        self._requests_in_progress += 1
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
            relayed = msgspec.structs.replace(
                forward, time_left_s=max(0.0, deadline - anyio.current_time())
            )
            async with contextlib.aclosing(
                self._relay(target, relayed, accepted)
            ) as replies:
                async for reply in replies:
                    yield reply
        finally:
            self._requests_in_progress -= 1

    async def _find_owner(self, replica):
        """Returns this daemon's ReplicaOwner, claiming the replica first if needed."""
        if replica.owner is None:
            if not self._may_claim(replica):
                raise ServingError(ResultCode.NOT_OWNER, replica.server.name)
            await self._claim_for_request(replica)
        if replica.owner is None:
            raise ServingError(ResultCode.NOT_OWNER, replica.server.name)
        return replica.owner

    async def _claim_for_request(self, replica):
        """Waits for a claim, which continues even if the request is cancelled."""
        if replica.claim is None:
            if self._group is None:
                raise ServingError(ResultCode.NOT_READY)
            replica.claim = PendingClaim()
            self._group.start_soon(self._claim_after_check, replica, replica.claim)
        claim = replica.claim
        await claim.ended.wait()
        if claim.error is not None:
            raise claim.error

    async def _claim_after_check(self, replica, claim):
        """Claims a replica after its earlier candidates were found unresponsive."""
        try:
            unresponsive = await self._check_predecessors(replica)
            await self._claim(replica, unresponsive)
        except ServingError as error:
            claim.error = error
        finally:
            replica.claim = None
            claim.ended.set()

    async def _check_predecessors(self, replica):
        """Returns the candidates before this daemon that do not answer.

        Raises OwnedElsewhere if one of them answers that it owns the replica or will.
        """
        candidates = self.candidates.of(replica.server)
        unresponsive = set()
        for name in candidates[: candidates.index(self._membership.own_name)]:
            state = await self._query_owner_state(replica.server.name, name, tries=2)
            if state is None:
                unresponsive.add(name)
            elif state.owns or state.wants:
                raise OwnedElsewhere(replica.server.name, name)
        return unresponsive

    def _successor(self, replica, error):
        """Returns the member to relay an undispatched request to, or None."""
        if (
            error.code not in _NOT_DISPATCHED_CODES
            or replica.server.name in self._leaving_servers
        ):
            return None
        if isinstance(error, OwnedElsewhere):
            return error.owner_name
        own = self._membership.own_name
        others = [name for name in self.candidates.of(replica.server) if name != own]
        return others[0] if others else None

    async def _relay(self, target, forward, accepted):
        """Yields the replies of the member ``target`` to a Forward.

        Omits its Accepted if the sender has received one already.
        """
        try:
            async with self._transport.stream(target, forward) as replies:
                async for reply in replies:
                    if not (accepted and isinstance(reply, Accepted)):
                        yield reply
        except PeerUnreachable as error:
            self.mark_unreachable(target)
            code = ResultCode.STREAM_BROKEN if error.sent else ResultCode.NOT_OWNER
            raise ServingError(code, str(error)) from error

    async def _notify_successors(self, name):
        """Tells the successors of an unresponsive member to take its replicas over.

        Without this, each replica would wait for a request of its own.
        """
        successors = {
            candidates[1]
            for replica in self._replicas_by_name.values()
            if (candidates := self.candidates.of(replica.server))[:1] == [name]
            and len(candidates) > 1
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
        """Starts to claim the replicas that this daemon takes over from a member."""
        own = self._membership.own_name
        for replica in self._replicas_by_name.values():
            if (
                self.candidates.of(replica.server)[:2] == [name, own]
                and replica.owner is None
                and replica.claim is None
                and self._may_claim(replica)
            ):
                replica.claim = PendingClaim()
                self._group.start_soon(self._claim_after_check, replica, replica.claim)

    async def _probe_until_answer(self, name):
        """Probes an unresponsive member until it answers or has left the membership.

        Until then ``owner_name`` skips it.
        """
        while True:
            await anyio.sleep(self._times.unreachable_probe_interval_s)
            member = self._membership.get(name)
            if member is None or member.state in (MemberState.FAILED, MemberState.GONE):
                break
            if await self._query_owner_state("", name) is not None:
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
        accepts = self.candidates.start_with_self(
            replica.server, leaving
        ) and self._may_claim(replica)
        return OwnerState(
            incarnation=self._membership.own_incarnation,
            owns=replica.owner is not None,
            wants=accepts and replica.fenced_in_view != self._membership.view_number,
            accepts=accepts,
            suffix=replica.suffix if replica.owner is not None else "",
            pinned=replica.pinned_handles(),
        )

    async def _on_request_hand_over(self, sender, message):
        replica = self._replicas_by_name.get(message.replica)
        if replica is None or replica.owner is None or self._group is None:
            return Acknowledged()
        # Only if the views of both daemons agree; otherwise the replica would move back
        # and forth.
        if self.candidates.of(replica.server)[:1] == [sender]:
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
                await self._take_ownership(replica, message)
        return Acknowledged()

    async def _on_owner_silent(self, sender, message):
        if self._group is not None:
            self._take_over_from(message.member)
        return Acknowledged()

    async def _on_release_pins(self, sender, message):
        replica = self._replicas_by_name.get(message.replica)
        if replica is not None:
            for handle in message.handles:
                # Streams of another earlier owner may still use the copy, so the pin is
                # released only when the engine's next status shows the copy as idle.
                if handle in replica.inherited_pins_since_by_handle:
                    replica.inherited_pins_since_by_handle[handle] = -math.inf
        return Acknowledged()


_NOT_DISPATCHED_CODES = frozenset((ResultCode.NOT_OWNER, ResultCode.FENCED))
