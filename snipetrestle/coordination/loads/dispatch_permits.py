"""Gets permits to send requests to crowded replicas, from the owners of their groups."""

import asyncio
import functools

import anyio

from snipetrestle.coordination.loads.dispatch_owner import DispatchOwner
from snipetrestle.coordination.loads.group_owners import GroupOwners
from snipetrestle.coordination.messaging.datagram_requests import ANSWER_TIMEOUT_S
from snipetrestle.coordination.messaging.messages import (
    MAX_COUNT,
    MAX_DISPATCH_ENDS,
    MAX_OPEN_NUMBERS,
    DispatchDone,
    DispatchEnd,
    DispatchReply,
    DispatchRequest,
)
from snipetrestle.dispatch.crowding import Crowding
from snipetrestle.dispatch.group_dispatcher import NUMBER_COUNT, Outcome
from snipetrestle.dispatch.groups import replica_groups
from snipetrestle.dispatch.permits import NoRoom, Permit

# A queued request is asked for again after this time, as its permit may be lost.
REPEAT_S = 0.3
# Requests without an answer until their owner is passed over.
MAX_UNANSWERED = 2
# Ends of permits share a datagram within this time, which replicas stay unused.
END_DELAY_S = 0.003
# Owners in sequence that did not answer, after which nobody is asked for a while: this
# host may be cut off.
MAX_SILENT_OWNERS = 2
ALONE_S = 2.0
# A refused request is tried at a second group.
MAX_GROUPS_ASKED = 2
# Places that a group is taken to have that has reported nothing yet.
UNKNOWN_FREE = 8
END_CHECK_S = 2.0
MAX_MS = MAX_COUNT


class _Pending:
    """A request that was sent to an owner, and its answers."""

    __slots__ = ("owner", "reply", "answered", "decided")

    def __init__(self, owner):
        self.owner = owner
        self.reply = None
        self.answered = anyio.Event()
        self.decided = anyio.Event()

    @property
    def is_permitted(self):
        return self.reply is not None and self.reply.replica_id is not None

    def note(self, reply):
        if self.decided.is_set():
            return
        self.reply = reply
        self.answered.set()
        if not reply.is_queued:
            self.decided.set()


class DispatchPermits:
    """Asks for this host's permits, and answers for the groups that this host owns.

    ``key_owners`` is the KeyOwners, ``replicas`` the ReplicaDirectory and ``metrics`` the
    GatewayMetrics.
    """

    def __init__(self, replicas, hosts, key_owners, endpoint, metrics, rng):
        self.crowding = Crowding()
        self._replicas = replicas
        self._hosts = hosts
        self._owners = GroupOwners(key_owners, hosts)
        self._endpoint = endpoint
        self._metrics = metrics
        self._rng = rng
        self._owner = DispatchOwner(replicas, hosts, endpoint, self._on_own_reply)
        # A restarted host must not use the numbers of its previous process.
        self._last_number = rng.randrange(NUMBER_COUNT // 2)
        self._pending_by_number = {}
        # Names of the owners of all numbers that have not ended.
        self._owner_by_open_number = {}
        self._ends_by_owner = {}
        self._silent_owners = 0
        self._alone_until = 0.0
        self._end_timer = None
        endpoint.register(DispatchReply, self._on_reply)

    def note_turned_away(self, backend):
        """Records that a replica has turned a request of this host away."""
        self.crowding.note_turned_away(backend)
        self._watch_end()

    def must_ask(self, backend):
        """Whether a request to a backend needs a permit."""
        if not self.crowding.is_crowded(backend):
            return False
        return anyio.current_time() >= self._alone_until

    async def acquire(self, wanted):
        """Returns a Permit once the request may be sent.

        Returns None if nobody can tell, so that it is sent without one. Raises NoRoom
        if it cannot be served in time.
        """
        started_at = anyio.current_time()
        try:
            permit = await self._acquire(wanted, started_at)
        except NoRoom:
            self._metrics.count_dispatch("refused")
            raise
        self._metrics.count_dispatch("unanswered" if permit is None else "permitted")
        self._metrics.observe_dispatch_wait(anyio.current_time() - started_at)
        return permit

    async def _acquire(self, wanted, started_at):
        asked = set()
        shortest_s = None
        for _ in range(MAX_GROUPS_ASKED):
            choice = self._choose_group(wanted, asked)
            if choice is None:
                break
            group, ids = choice
            asked.add(group)
            pending = await self._ask(wanted, group, ids, started_at)
            if pending.is_permitted:
                end = functools.partial(self._end, pending.reply.number)
                return Permit(pending.reply.replica_id, end)
            if pending.reply is None or not pending.reply.wait_ms:
                return None
            wait_s = pending.reply.wait_ms / 1000
            shortest_s = wait_s if shortest_s is None else min(shortest_s, wait_s)
        if shortest_s is None:
            return None
        raise NoRoom(shortest_s)

    def _choose_group(self, wanted, asked):
        """Draws (number, ids) of a group, by the free places that it last reported."""
        groups = replica_groups(self._replicas.listed_ids(wanted.backend))
        choices = [
            (number, ids)
            for number, ids in enumerate(groups)
            if number not in asked and not wanted.allowed_ids.isdisjoint(ids)
        ]
        if not choices:
            return None
        weights = []
        for number, _ in choices:
            free = self.crowding.free(wanted.backend, number)
            weights.append(1 + (UNKNOWN_FREE if free is None else free))
        return self._rng.choices(choices, weights)[0]

    async def _ask(self, wanted, group, ids, started_at):
        """Returns the _Pending of a request, once it is decided or its owner is silent."""
        owner = self._owners.responsive_owner(wanted.backend, group)
        number = self._last_number = (self._last_number + 1) % NUMBER_COUNT
        pending = self._pending_by_number[number] = _Pending(owner)
        self._owner_by_open_number[number] = owner
        avoid = tuple(item for item in ids if item not in wanted.allowed_ids)
        is_over = False
        try:
            await self._wait_for_decision(
                pending,
                lambda: self._build(wanted, number, group, avoid, started_at),
                started_at + wanted.max_wait_s + REPEAT_S,
            )
            is_over = True
        finally:
            del self._pending_by_number[number]
            if not is_over or not pending.decided.is_set():
                self._end(number, Outcome.UNKNOWN, 0.0)
            elif not pending.is_permitted:
                del self._owner_by_open_number[number]
        if pending.reply is not None:
            self.crowding.note_group(
                wanted.backend,
                group,
                pending.reply.free,
                pending.reply.use_percent / 100,
            )
        return pending

    def _build(self, wanted, number, group, avoid, started_at):
        elapsed_s = anyio.current_time() - started_at
        return DispatchRequest(
            self._hosts.own.name,
            number,
            wanted.backend,
            group,
            max(0, min(wanted.priority, MAX_COUNT)),
            _ms(wanted.max_wait_s - elapsed_s),
            _ms(wanted.time_left_s - elapsed_s),
            avoid,
        )

    async def _wait_for_decision(self, pending, build, ends_at):
        """Sends a request until it is decided, and again if an answer may be lost."""
        unanswered = 0
        while not pending.decided.is_set():
            if anyio.current_time() > ends_at:
                return
            pending.answered = anyio.Event()
            if not self._send(pending.owner, build()):
                unanswered = MAX_UNANSWERED
            else:
                with anyio.move_on_after(ANSWER_TIMEOUT_S):
                    await pending.answered.wait()
            if pending.answered.is_set():
                unanswered = 0
                self._note_heard(pending.owner)
                with anyio.move_on_after(REPEAT_S):
                    await pending.decided.wait()
                continue
            unanswered += 1
            if unanswered >= MAX_UNANSWERED:
                # An earlier answer that it is queued says nothing now.
                pending.reply = None
                self._note_silent(pending.owner)
                return

    def _note_heard(self, owner):
        self._silent_owners = 0
        self._owners.note_heard(owner)

    def _note_silent(self, owner):
        # Several requests may wait for the same owner.
        is_known = self._owners.is_silent(owner)
        self._owners.note_silent(owner)
        if is_known:
            return
        self._silent_owners += 1
        if self._silent_owners >= MAX_SILENT_OWNERS:
            self._silent_owners = 0
            self._alone_until = anyio.current_time() + ALONE_S

    def _send(self, name, message):
        """Sends a message to an owner. Returns whether its address is known."""
        if name == self._hosts.own.name:
            if isinstance(message, DispatchRequest):
                self._owner.request(message)
            else:
                self._owner.done(message)
            return True
        host = self._hosts.by_name.get(name)
        if host is None:
            return False
        self._endpoint.send(message, host.address)
        return True

    def _on_own_reply(self, reply):
        pending = self._pending_by_number.get(reply.number)
        if pending is not None:
            pending.note(reply)

    def _on_reply(self, reply, address):
        pending = self._pending_by_number.get(reply.number)
        if pending is not None:
            host = self._hosts.by_name.get(pending.owner)
            if host is not None and host.address == address:
                pending.note(reply)
            return
        is_in_use = reply.number in self._owner_by_open_number
        if reply.replica_id is not None and not is_in_use:
            # The request was given up before its permit came.
            end = DispatchEnd(reply.number, Outcome.UNKNOWN, 0)
            message = DispatchDone(
                self._hosts.own.name, (end,), self._last_number, None
            )
            self._endpoint.send(message, address)

    # Ends.

    def _end(self, number, outcome, service_s):
        owner = self._owner_by_open_number.pop(number)
        self._add_end(owner, DispatchEnd(number, outcome, _ms(service_s)))

    def _add_end(self, owner, end):
        if owner == self._hosts.own.name:
            self._send_ends(owner, (end,))
            return
        ends = self._ends_by_owner.setdefault(owner, [])
        ends.append(end)
        if len(ends) >= MAX_DISPATCH_ENDS:
            self._flush(owner)
        elif len(ends) == 1:
            loop = asyncio.get_running_loop()
            loop.call_later(END_DELAY_S, self._flush, owner)

    def _flush(self, owner):
        ends = self._ends_by_owner.pop(owner, None)
        if ends:
            self._send_ends(owner, tuple(ends))

    def _send_ends(self, owner, ends):
        open_numbers = tuple(
            number
            for number, name in self._owner_by_open_number.items()
            if name == owner
        )
        if len(open_numbers) > MAX_OPEN_NUMBERS:
            open_numbers = None
        message = DispatchDone(
            self._hosts.own.name, ends, self._last_number, open_numbers
        )
        self._send(owner, message)

    # Crowded times that end without further requests.

    def _watch_end(self):
        if self._end_timer is None:
            loop = asyncio.get_running_loop()
            self._end_timer = loop.call_later(END_CHECK_S, self._check_end)

    def _check_end(self):
        self._end_timer = None
        if self.crowding.update_all():
            self._watch_end()


def _ms(duration_s):
    return max(0, min(round(duration_s * 1000), MAX_MS))
