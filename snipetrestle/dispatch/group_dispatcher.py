"""Decides which requests to a group of replicas are sent, when, and to which one.

Done by the host that owns the group, for the requests of all hosts. It knows what it
has permitted, and from the loads that hosts exchange what was sent without a permit.
"""

import collections
import enum
import heapq
import math

import anyio

from snipetrestle.dispatch.replica_capacity import ReplicaCapacity

# Bounds the requests of a group that wait.
MAX_QUEUED = 512
# A host that sent no message for this long has stopped, or its messages are lost.
SENDER_SILENCE_S = 5.0
# Ended permits are remembered for this long: their requests may come again, or late.
MEMORY_S = 5.0
# Loads of hosts are half a second old, so they are compared with permits on average.
LOAD_AVERAGE_S = 3.0
LOAD_SAMPLE_S = 0.01
# Part of a request by which that average stays below its value for long.
LOAD_ERROR = 0.05
# The use of a group is told as at least its average over this time.
USE_AVERAGE_S = 2.0
# A waiting request is refused early if its expected wait is longer than the rest of its
# time by this factor and this time, as the expectation is not exact.
LATE_FACTOR = 1.25
LATE_S = 0.05
MOST_URGENT = 0


class TicketState(enum.Enum):
    """State of a request for a permit at the owner of its group."""

    QUEUED = "queued"
    PERMITTED = "permitted"
    REFUSED = "refused"
    ENDED = "ended"


class Outcome(enum.IntEnum):
    """How a permitted request ended, as far as it tells something of its replica."""

    UNKNOWN = 0
    SERVED = 1
    TURNED_AWAY = 2
    NOT_CONNECTED = 3


class Ticket:
    """A request for a permit, and its permit.

    ``max_wait_s`` is how long it can wait, and ``time_left_s`` the time until its
    deadline. ``avoid`` holds the ids of replicas that it is not to be sent to.
    ``wait_s`` is the expected wait; 0 in a refusal if nothing can be said about it.
    """

    __slots__ = (
        "sender",
        "number",
        "priority",
        "avoid",
        "arrived_at",
        "urgent_at",
        "latest_at",
        "deadline_at",
        "urgency",
        "state",
        "wait_s",
        "replica_id",
        "order",
        "room",
        "level",
        "most_level",
        "permitted_at",
    )

    def __init__(self, sender, number, priority, max_wait_s, time_left_s, avoid):
        self.sender = sender
        self.number = number
        self.priority = priority
        self.avoid = avoid
        self.arrived_at = anyio.current_time()
        self.urgent_at = self.arrived_at + max_wait_s / 2
        self.latest_at = self.arrived_at + min(max_wait_s, time_left_s)
        self.deadline_at = self.arrived_at + time_left_s
        self.urgency = priority
        self.state = TicketState.QUEUED
        self.wait_s = 0.0
        self.replica_id = None
        self.order = 0
        # The ReplicaRoom, and its number of requests with this one when it was
        # permitted, as expected and at most.
        self.room = None
        self.level = 0
        self.most_level = 0
        self.permitted_at = 0.0


class _Average:
    """Moving average over time of a value that changes at times."""

    __slots__ = ("value", "_time_s", "_last", "_noted_at")

    def __init__(self, time_s, value):
        self.value = self._last = value
        self._time_s = time_s
        self._noted_at = anyio.current_time()

    def note(self, value):
        now = anyio.current_time()
        weight = 1 - math.exp((self._noted_at - now) / self._time_s)
        self.value += weight * (self._last - self.value)
        self._last = value
        self._noted_at = now


class ReplicaRoom:
    """The requests under way at one process of a replica."""

    __slots__ = ("replica", "capacity", "permitted", "_unpermitted")

    def __init__(self, replica):
        self.replica = replica
        self.capacity = ReplicaCapacity(replica.entry.slots, replica.measured_latency_s)
        self.permitted = 0
        self._unpermitted = _Average(LOAD_AVERAGE_S, replica.load)

    def note_load(self):
        """Compares the load that hosts report with the permits."""
        self._unpermitted.note(self.replica.load - self.permitted)

    @property
    def under_way(self):
        """Requests under way, with those that were sent without permits."""
        return self.permitted + max(0, int(self._unpermitted.value + LOAD_ERROR))

    @property
    def most_under_way(self):
        """The same at most: requests without permits come at random."""
        mean = self._unpermitted.value
        if mean < 1:
            return self.permitted
        return self.permitted + math.ceil(mean + 2 * math.sqrt(mean))

    @property
    def free(self):
        return max(0, self.capacity.limit - self.under_way)

    @property
    def expected_service_s(self):
        """Service time of one more request, for the choice between replicas."""
        load_part = self.under_way / self.capacity.limit
        return self.capacity.service_s * (1 + load_part)


class GroupDispatcher:
    """Queue and permits of a group.

    ``find_replicas()`` returns the Replicas of the group that are listed now.
    ``on_decision(ticket)`` is called when a ticket is permitted or refused, and when it
    is queued.
    """

    def __init__(self, find_replicas, on_decision):
        self._find_replicas = find_replicas
        self._on_decision = on_decision
        self._rooms_by_process = {}
        # The replicas as they were last found, and their rooms.
        self._listed = []
        self._listed_rooms = []
        self._tickets_by_sender = {}
        # (urgency, order of arrival, ticket); items whose ticket has left the queue or
        # has become more urgent are skipped.
        self._queue = []
        self._arrivals = 0
        self._queued_by_urgency = collections.Counter()
        self._heard_at_by_sender = {}
        # The ends of permits by (sender, number), in order.
        self._ended_at = {}
        self._use = _Average(USE_AVERAGE_S, 0.0)
        self._loads_noted_at = -math.inf

    # State.

    @property
    def is_idle(self):
        return not self._tickets_by_sender

    @property
    def has_queue(self):
        return self._queued > 0

    @property
    def _queued(self):
        return sum(self._queued_by_urgency.values())

    @property
    def free(self):
        """The number of requests that could be sent at once beside the queue."""
        return max(0, sum(item.free for item in self._rooms()) - self._queued)

    @property
    def use(self):
        """Used part of the group's capacity, above 1 with a queue."""
        return max(self._current_use(), self._use.value)

    def _current_use(self):
        rooms = self._rooms()
        limit = sum(item.capacity.limit for item in rooms)
        used = sum(item.under_way for item in rooms) + self._queued
        return used / limit if limit else 0.0

    def _rooms(self):
        """Returns the ReplicaRooms of the replicas that take requests."""
        replicas = self._find_replicas()
        if replicas != self._listed:
            self._listed = list(replicas)
            self._listed_rooms = [self._room(replica) for replica in replicas]
        return [room for room in self._listed_rooms if room.replica.takes_requests]

    def _room(self, replica):
        room = self._rooms_by_process.get(replica.process_id)
        if room is None:
            room = self._rooms_by_process[replica.process_id] = ReplicaRoom(replica)
        room.replica = replica
        return room

    # Messages of hosts.

    def request(self, ticket):
        """Handles a request for a permit, also one that comes again."""
        self._note_heard(ticket.sender)
        if (ticket.sender, ticket.number) in self._ended_at:
            return
        tickets = self._tickets_by_sender.setdefault(ticket.sender, {})
        known = tickets.get(ticket.number)
        if known is not None:
            if known.state is TicketState.QUEUED:
                known.wait_s = self._expected_wait_s(known)
            self._on_decision(known)
            return
        tickets[ticket.number] = ticket
        self._enqueue(ticket)
        self.update()
        if ticket.state is TicketState.QUEUED:
            self._hold_or_refuse(ticket)

    def end(self, sender, number, outcome, service_s):
        """Handles the end of a permitted request, or of a wait. Returns whether known."""
        self._note_heard(sender)
        ticket = self._tickets_by_sender.get(sender, {}).get(number)
        self._remember_end(sender, number)
        if ticket is None:
            return False
        if ticket.room is not None:
            self._note_outcome(ticket, outcome, service_s)
        self._drop(ticket)
        self.update()
        return True

    def keep_only(self, sender, last_number, open_numbers):
        """Ends the tickets of a sender whose ends were lost.

        Of the numbers up to ``last_number``, only ``open_numbers`` are still in use.
        """
        tickets = self._tickets_by_sender.get(sender, {})
        lost = [
            ticket
            for number, ticket in tickets.items()
            if number not in open_numbers and not is_later(number, last_number)
        ]
        for ticket in lost:
            self._drop(ticket)
        if lost:
            self.update()

    def sweep(self, senders):
        """Ends what is too old, and what hosts that are not ``senders`` have."""
        now = anyio.current_time()
        for ticket in self._tickets():
            heard_at = self._heard_at_by_sender.get(ticket.sender, 0.0)
            is_gone = ticket.sender not in senders
            if is_gone or now - heard_at > SENDER_SILENCE_S:
                self._drop(ticket)
            elif ticket.state is TicketState.PERMITTED:
                if now > ticket.deadline_at:
                    self._drop(ticket)
            elif now > ticket.latest_at:
                self._refuse(ticket, self._expected_wait_s(ticket))
            elif now >= ticket.urgent_at:
                self._make_urgent(ticket)
        self._forget(now)
        self.update()
        self._refuse_late()

    # Decisions.

    def update(self):
        """Permits requests while replicas have room."""
        rooms = self._rooms()
        self._note_loads(rooms)
        while self._queued:
            ticket, room = self._next([room for room in rooms if room.free])
            if ticket is None:
                break
            self._permit(ticket, room)
        if not self._queued:
            return
        for room in rooms:
            # Others may fill it without permits.
            if not room.free:
                room.capacity.note_full()

    def _note_loads(self, rooms):
        now = anyio.current_time()
        if now - self._loads_noted_at < LOAD_SAMPLE_S:
            return
        self._loads_noted_at = now
        for room in rooms:
            room.note_load()
        self._use.note(self._current_use())

    def _next(self, free):
        """Returns the most urgent ticket that one of some rooms suits, and the room."""
        passed_over = []
        found = None, None
        while free and self._queue:
            item = self._queue[0]
            urgency, _, ticket = item
            if ticket.state is TicketState.QUEUED and ticket.urgency == urgency:
                room = self._best_room(ticket, free)
                if room is not None:
                    found = ticket, room
                    break
                passed_over.append(item)
            heapq.heappop(self._queue)
        for item in passed_over:
            heapq.heappush(self._queue, item)
        return found

    @staticmethod
    def _best_room(ticket, rooms):
        suitable = [room for room in rooms if room.replica.id not in ticket.avoid]
        sound = [room for room in suitable if not room.capacity.has_failed]
        return min(
            sound or suitable,
            key=lambda room: (room.expected_service_s, room.replica.id),
            default=None,
        )

    def _enqueue(self, ticket):
        self._arrivals += 1
        ticket.order = self._arrivals
        heapq.heappush(self._queue, (ticket.urgency, ticket.order, ticket))
        self._queued_by_urgency[ticket.urgency] += 1

    def _make_urgent(self, ticket):
        """Serves a request that has waited for half of its time like the most urgent.

        It goes before those that came after its own arrival.
        """
        if ticket.urgency == MOST_URGENT:
            return
        self._queued_by_urgency[ticket.urgency] -= 1
        ticket.urgency = MOST_URGENT
        self._queued_by_urgency[MOST_URGENT] += 1
        heapq.heappush(self._queue, (MOST_URGENT, ticket.order, ticket))

    def _permit(self, ticket, room):
        self._leave_queue(ticket, TicketState.PERMITTED)
        room.permitted += 1
        ticket.room = room
        ticket.permitted_at = anyio.current_time()
        ticket.level = room.under_way
        ticket.most_level = room.most_under_way
        ticket.replica_id = room.replica.id
        ticket.wait_s = 0.0
        if not room.free:
            room.capacity.note_full()
        self._on_decision(ticket)

    def _hold_or_refuse(self, ticket):
        rooms = self._rooms()
        if all(room.replica.id in ticket.avoid for room in rooms):
            self._refuse(ticket, 0.0)
            return
        ticket.wait_s = self._expected_wait_s(ticket)
        service_s = min(room.capacity.service_s for room in rooms)
        now = anyio.current_time()
        if (
            now + ticket.wait_s > ticket.latest_at
            or now + ticket.wait_s + service_s > ticket.deadline_at
            or self._queued > MAX_QUEUED
        ):
            self._refuse(ticket, ticket.wait_s)
            return
        self._on_decision(ticket)

    def _expected_wait_s(self, ticket):
        """Returns the expected wait of the last queued request of its urgency."""
        before = sum(
            count
            for key, count in self._queued_by_urgency.items()
            if key <= ticket.urgency
        )
        return self._wait_s(ticket, before, self._queued, self._throughput())

    @staticmethod
    def _wait_s(ticket, before, arrived_before, throughput):
        """Returns the expected wait of a ticket, itself counted in both numbers.

        It waits for the more urgent ones, but once it is urgent itself, only for those
        that have arrived before it.
        """
        urgent_in_s = ticket.urgent_at - anyio.current_time()
        return min(before / throughput, max(urgent_in_s, arrived_before / throughput))

    def _throughput(self):
        """Returns how many requests a second the group serves while it is full."""
        rooms = self._rooms()
        return sum(
            room.capacity.limit / room.capacity.service_s for room in rooms
        ) or math.ulp(1.0)

    def _refuse_late(self):
        """Refuses waiting requests that more urgent ones have pushed back too far."""
        if not self._queued:
            return
        now = anyio.current_time()
        throughput = self._throughput()
        waiting = [
            ticket for ticket in self._tickets() if ticket.state is TicketState.QUEUED
        ]
        waiting.sort(key=lambda ticket: ticket.order)
        ranks = {ticket: rank for rank, ticket in enumerate(waiting, 1)}
        waiting.sort(key=lambda ticket: (ticket.urgency, ticket.order))
        for before, ticket in enumerate(waiting, 1):
            wait_s = self._wait_s(ticket, before, ranks[ticket], throughput)
            if wait_s > LATE_FACTOR * (ticket.latest_at - now) + LATE_S:
                self._refuse(ticket, wait_s)

    def _refuse(self, ticket, wait_s):
        self._leave_queue(ticket, TicketState.REFUSED)
        self._remove(ticket)
        ticket.wait_s = wait_s
        self._on_decision(ticket)

    # Ends.

    def _note_outcome(self, ticket, outcome, service_s):
        capacity = ticket.room.capacity
        if outcome == Outcome.SERVED:
            capacity.note_served(ticket.level, service_s)
        elif outcome == Outcome.TURNED_AWAY:
            capacity.note_turned_away(ticket.most_level, ticket.permitted_at)
        elif outcome == Outcome.NOT_CONNECTED:
            capacity.note_failed()

    def _drop(self, ticket):
        """Ends a ticket without an answer."""
        if ticket.state is TicketState.QUEUED:
            self._leave_queue(ticket, TicketState.ENDED)
        elif ticket.state is TicketState.PERMITTED:
            ticket.state = TicketState.ENDED
            ticket.room.permitted -= 1
        self._remove(ticket)

    def _leave_queue(self, ticket, state):
        self._queued_by_urgency[ticket.urgency] -= 1
        if not self._queued_by_urgency[ticket.urgency]:
            del self._queued_by_urgency[ticket.urgency]
        ticket.state = state

    def _remove(self, ticket):
        tickets = self._tickets_by_sender[ticket.sender]
        del tickets[ticket.number]
        if not tickets:
            del self._tickets_by_sender[ticket.sender]

    def _tickets(self):
        return [
            ticket
            for tickets in self._tickets_by_sender.values()
            for ticket in tickets.values()
        ]

    def _note_heard(self, sender):
        self._heard_at_by_sender[sender] = anyio.current_time()

    def _remember_end(self, sender, number):
        self._ended_at[(sender, number)] = anyio.current_time()

    def _forget(self, now):
        """Drops what is known of replicas, hosts and requests that are gone."""
        while self._ended_at:
            key = next(iter(self._ended_at))
            if now - self._ended_at[key] <= MEMORY_S:
                break
            del self._ended_at[key]
        self._heard_at_by_sender = {
            sender: at
            for sender, at in self._heard_at_by_sender.items()
            if now - at <= MEMORY_S or sender in self._tickets_by_sender
        }
        listed = {item.process_id for item in self._find_replicas()}
        for process_id in self._rooms_by_process.keys() - listed:
            if not self._rooms_by_process[process_id].permitted:
                del self._rooms_by_process[process_id]


# Numbers of requests go round after the largest.
NUMBER_COUNT = 2**31


def is_later(number, last_number):
    """Whether a number of a request was given out after another."""
    return 0 < (number - last_number) % NUMBER_COUNT < NUMBER_COUNT // 2
