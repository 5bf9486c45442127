"""Answers the requests for permits to the groups of replicas that this host owns."""

import asyncio

import anyio

from snipetrestle.coordination.messaging.messages import (
    MAX_COUNT,
    DispatchDone,
    DispatchReply,
    DispatchRequest,
)
from snipetrestle.dispatch.group_dispatcher import GroupDispatcher, Ticket, TicketState
from snipetrestle.dispatch.groups import replica_groups

# Sweeps find requests whose time is up, while there are queues, and permits that have
# expired.
QUEUE_SWEEP_S = 0.05
PERMIT_SWEEP_S = 0.5
# A group without requests is forgotten after this time, with what was learned of it.
IDLE_S = 60.0
MAX_GROUPS = 1024


class _Group:
    """The GroupDispatcher of a group, and when it was last asked."""

    __slots__ = ("dispatcher", "used_at")

    def __init__(self, dispatcher):
        self.dispatcher = dispatcher
        self.used_at = anyio.current_time()


class DispatchOwner:
    """Issues the permits for the groups that other hosts take this one to own.

    ``replicas`` is the ReplicaDirectory. ``answer_own(reply)`` is called with each
    DispatchReply to a request of this host.
    """

    def __init__(self, replicas, hosts, endpoint, answer_own):
        self._replicas = replicas
        self._hosts = hosts
        self._endpoint = endpoint
        self._answer_own = answer_own
        self._groups_by_key = {}
        # The ids of a backend, and its replicas in groups, as long as they are listed.
        self._listed_by_backend = {}
        self._address_by_sender = {}
        self._timer = None
        endpoint.register(DispatchRequest, self._on_request)
        endpoint.register(DispatchDone, self._on_done)

    @property
    def own_name(self):
        return self._hosts.own.name

    def request(self, message):
        """Handles a DispatchRequest of any host."""
        group = self._group(message.backend, message.group)
        ticket = Ticket(
            message.sender,
            message.number,
            message.priority,
            message.max_wait_ms / 1000,
            message.time_left_ms / 1000,
            message.avoid,
        )
        if group is None:
            ticket.state = TicketState.REFUSED
            self._send(ticket, 0, 0.0)
            return
        group.used_at = anyio.current_time()
        group.dispatcher.request(ticket)
        self._schedule(QUEUE_SWEEP_S if group.dispatcher.has_queue else PERMIT_SWEEP_S)

    def done(self, message):
        """Handles a DispatchDone of any host."""
        for end in message.ends:
            for group in self._groups_by_key.values():
                if group.dispatcher.end(
                    message.sender, end.number, end.outcome, end.service_ms / 1000
                ):
                    break
        if message.open_numbers is not None:
            open_numbers = frozenset(message.open_numbers)
            for group in self._groups_by_key.values():
                group.dispatcher.keep_only(
                    message.sender, message.last_number, open_numbers
                )

    def _on_request(self, message, address):
        self._address_by_sender[message.sender] = address
        self.request(message)

    def _on_done(self, message, address):
        self.done(message)

    def _group(self, backend, number):
        """Returns the group; None if this host does not list its replicas."""
        key = (backend, number)
        group = self._groups_by_key.get(key)
        if group is None:
            if not self._find_replicas(key) or len(self._groups_by_key) >= MAX_GROUPS:
                return None
            group = self._groups_by_key[key] = _Group(None)
            group.dispatcher = GroupDispatcher(
                lambda: self._find_replicas(key),
                lambda ticket: self._send(
                    ticket, group.dispatcher.free, group.dispatcher.use
                ),
            )
        return group

    def _find_replicas(self, key):
        backend, number = key
        ids = self._replicas.listed_ids(backend)
        if not ids:
            return []
        listed = self._listed_by_backend.get(backend)
        if listed is None or listed[0] is not ids:
            by_id = self._replicas.by_id
            groups = [[by_id[item] for item in group] for group in replica_groups(ids)]
            listed = self._listed_by_backend[backend] = (ids, groups)
        _, groups = listed
        return groups[number] if number < len(groups) else []

    def _send(self, ticket, free, use):
        reply = DispatchReply(
            ticket.number,
            ticket.replica_id,
            ticket.state is TicketState.QUEUED,
            _bounded(1000 * ticket.wait_s),
            _bounded(free),
            _bounded(100 * use),
        )
        if ticket.sender == self.own_name:
            self._answer_own(reply)
        elif ticket.sender in self._address_by_sender:
            self._endpoint.send(reply, self._address_by_sender[ticket.sender])

    def _schedule(self, delay_s):
        loop = asyncio.get_running_loop()
        due_at = loop.time() + delay_s
        if self._timer is not None:
            if self._timer.when() <= due_at:
                return
            self._timer.cancel()
        self._timer = loop.call_at(due_at, self._sweep)

    def _sweep(self):
        self._timer = None
        senders = {self.own_name, *self._hosts.by_name}
        now = anyio.current_time()
        for key, group in list(self._groups_by_key.items()):
            group.dispatcher.sweep(senders)
            if group.dispatcher.is_idle and now - group.used_at > IDLE_S:
                del self._groups_by_key[key]
        for sender in self._address_by_sender.keys() - senders:
            del self._address_by_sender[sender]
        if not self._groups_by_key:
            self._listed_by_backend.clear()
            return
        has_queue = any(
            item.dispatcher.has_queue for item in self._groups_by_key.values()
        )
        self._schedule(QUEUE_SWEEP_S if has_queue else PERMIT_SWEEP_S)


def _bounded(value):
    return max(0, min(round(value), MAX_COUNT))
