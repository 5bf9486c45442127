"""Tests of the order and the time in which requests to a group of replicas are sent."""

import random

import anyio
import testtools

from snipetrestle.dispatch.group_dispatcher import (
    MAX_QUEUED,
    MEMORY_S,
    NUMBER_COUNT,
    SENDER_SILENCE_S,
    GroupDispatcher,
    Outcome,
    Ticket,
    TicketState,
    is_later,
)
from snipetrestle.dispatch.groups import MAX_GROUP_SIZE, replica_groups
from snipetrestle.gateway.backends.replicas import ReplicaDirectory
from snipetrestle.gateway.configuration import ReplicaEntry, ReplicaState
from snipetrestle_standins.clock import run_in_virtual_time
from tests.systems import with_own_system

BACKEND = "desk"
SENDERS = {"h1", "h2"}


class GroupsTest(testtools.TestCase):
    def test_groups_have_each_replica_once_and_at_most_four(self):
        """A replica in no group would be idle, one in two would be sent too much."""
        for count in range(60):
            ids = [f"{number:02}" for number in range(count)]
            groups = replica_groups(ids)
            self.assertEqual(ids, [item for group in groups for item in group])
            sizes = [len(group) for group in groups]
            self.assertTrue(all(0 < size <= MAX_GROUP_SIZE for size in sizes))
            self.assertLessEqual(max(sizes, default=0) - min(sizes, default=0), 1)


class NumbersTest(testtools.TestCase):
    def test_numbers_go_round(self):
        """After the last number, all permits would look lost."""
        self.assertTrue(is_later(5, 3))
        self.assertFalse(is_later(3, 3))
        self.assertTrue(is_later(1, NUMBER_COUNT - 1))
        self.assertFalse(is_later(NUMBER_COUNT - 1, 1))


class GroupDispatcherTest(testtools.TestCase):
    def run_group(self, function, slots=(1,), service_s=0.1):
        """Runs ``function()`` with a dispatcher of replicas r0, r1, ..."""

        async def main():
            self.directory = ReplicaDirectory("zone-1", random.Random(1))
            for number, count in enumerate(slots):
                self.list(f"r{number}", count)
            self.decisions = []
            self.dispatcher = GroupDispatcher(
                lambda: list(self.directory.by_id.values()), self.note
            )
            self.numbers = 0
            await function()

        run_in_virtual_time(main)

    def list(self, replica_id, slots, boot=1, state=ReplicaState.READY):
        self.directory.list_replica(
            ReplicaEntry(
                replica_id, boot, BACKEND, "127.0.0.1", 1, "zone-1", state, slots=slots
            )
        )

    def note(self, ticket):
        self.decisions.append((ticket.number, ticket.state))

    def request(self, priority=1, max_wait_s=1.0, sender="h1", avoid=(), **options):
        self.numbers += 1
        time_left_s = options.get("time_left_s", 5.0)
        ticket = Ticket(sender, self.numbers, priority, max_wait_s, time_left_s, avoid)
        self.dispatcher.request(ticket)
        return ticket

    def end(self, ticket, outcome=Outcome.SERVED, service_s=0.1):
        self.dispatcher.end(ticket.sender, ticket.number, outcome, service_s)

    def assert_state(self, state, *tickets):
        self.assertEqual([state] * len(tickets), [item.state for item in tickets])

    @with_own_system("run_group", (3, 2))
    async def test_no_replica_gets_more_than_it_can_run(self):
        """Hosts that each knew only their own requests sent a third too many."""
        tickets = [self.request() for _ in range(12)]
        permitted = [t for t in tickets if t.state is TicketState.PERMITTED]
        ids = sorted(item.replica_id for item in permitted)
        self.assertEqual(["r0"] * 3 + ["r1"] * 2, ids)

    @with_own_system("run_group")
    async def test_order_is_by_priority_and_then_by_arrival(self):
        """An urgent request must not wait behind others."""
        running = self.request()
        waiting = [self.request(priority) for priority in (2, 1, 0, 1, 0)]
        order = []
        for _ in waiting:
            self.end(running)
            (running,) = (
                t
                for t in waiting
                if t.state is TicketState.PERMITTED and t not in order
            )
            order.append(running)
        self.assertEqual([2, 4, 1, 3, 0], [waiting.index(t) for t in order])

    @with_own_system("run_group")
    async def test_waiting_for_half_of_its_time_makes_a_request_urgent(self):
        """Under a steady stream of urgent requests, the others would never be sent."""
        running = self.request()
        patient = self.request(9, max_wait_s=1.0)
        for _ in range(7):
            self.request(0)
            await anyio.sleep(0.08)
            self.dispatcher.sweep(SENDERS)
            self.dispatcher.keep_only("h1", 0, frozenset())
        self.assert_state(TicketState.QUEUED, patient)
        self.end(running)
        self.assert_state(TicketState.PERMITTED, patient)

    @with_own_system("run_group")
    async def test_request_that_cannot_be_served_in_time_is_refused_at_once(self):
        """It would wait for nothing, and its caller learn too late to go elsewhere."""
        self.request()
        # Each takes 0.1 s.
        waiting = [self.request(max_wait_s=0.35) for _ in range(3)]
        self.assert_state(TicketState.QUEUED, *waiting)
        refused = self.request(max_wait_s=0.35)
        self.assert_state(TicketState.REFUSED, refused)
        self.assertAlmostEqual(0.4, refused.wait_s, places=6)
        urgent = self.request(0, max_wait_s=0.35)
        self.assert_state(TicketState.QUEUED, urgent)
        short = self.request(0, time_left_s=0.25)
        self.assert_state(TicketState.REFUSED, short)

    @with_own_system("run_group")
    async def test_request_pushed_back_by_urgent_ones_is_refused_before_its_time(self):
        """The same for one that had a place when it came."""
        self.request()
        patient = self.request(9, max_wait_s=0.3)
        for _ in range(12):
            self.request(0, max_wait_s=2.0)
        for _ in range(12):
            self.request(0, max_wait_s=2.0)
        await anyio.sleep(0.2)
        self.dispatcher.sweep(SENDERS)
        await anyio.sleep(0.11)
        self.dispatcher.sweep(SENDERS)
        self.assert_state(TicketState.REFUSED, patient)

    @with_own_system("run_group")
    async def test_queue_is_bounded(self):
        """A flood would take the owner's memory."""
        for _ in range(MAX_QUEUED + 50):
            self.request(max_wait_s=1e6, time_left_s=1e6)
        queued = [s for _, s in self.decisions if s is TicketState.QUEUED]
        self.assertLessEqual(len(queued), MAX_QUEUED)
        self.assertIn(TicketState.REFUSED, [s for _, s in self.decisions])

    @with_own_system("run_group", (2,))
    async def test_repeated_request_takes_no_second_place(self):
        """A host that repeats a request for a lost answer would lose a place."""
        ticket = self.request()
        again = Ticket("h1", ticket.number, 1, 1.0, 5.0, ())
        self.dispatcher.request(again)
        self.assertEqual([(ticket.number, TicketState.PERMITTED)] * 2, self.decisions)
        other = self.request(sender="h2")
        self.assert_state(TicketState.PERMITTED, other)

    @with_own_system("run_group")
    async def test_request_that_comes_after_its_end_takes_no_place(self):
        """A caller may leave while its request is still on the way to the owner."""
        self.dispatcher.end("h1", 1, Outcome.UNKNOWN, 0.0)
        late = self.request()
        self.assertEqual(1, late.number)
        self.assertEqual([], self.decisions)
        await anyio.sleep(MEMORY_S + 1)
        self.dispatcher.sweep(SENDERS)
        self.assert_state(TicketState.PERMITTED, self.request())

    @with_own_system("run_group")
    async def test_cancelled_wait_gives_its_place_back_at_once(self):
        """A caller that has left would hold up those behind it."""
        running = self.request()
        first, second = self.request(), self.request()
        self.end(first, Outcome.UNKNOWN)
        self.end(running)
        self.assert_state(TicketState.PERMITTED, second)

    @with_own_system("run_group", (2,))
    async def test_lost_ends_are_made_up_for(self):
        """Each lost end would cost a place until the deadline of its request."""
        lost, kept = self.request(), self.request()
        waiting = self.request()
        later = self.request()
        self.dispatcher.keep_only("h1", waiting.number, {kept.number, waiting.number})
        self.assert_state(TicketState.ENDED, lost)
        self.assert_state(TicketState.PERMITTED, kept, waiting)
        self.assert_state(TicketState.QUEUED, later)

    @with_own_system("run_group")
    async def test_permit_ends_at_the_deadline_of_its_request(self):
        """A host whose last message was lost would keep a place for ever."""
        ticket = self.request(time_left_s=1.0)
        waiting = self.request(max_wait_s=3.0)
        await anyio.sleep(1.01)
        self.dispatcher.sweep(SENDERS)
        self.assert_state(TicketState.ENDED, ticket)
        self.assert_state(TicketState.PERMITTED, waiting)

    @with_own_system("run_group", (2,))
    async def test_hosts_that_stopped_or_fell_silent_lose_their_permits(self):
        """Requests of a host that was killed would fill the replicas."""
        gone = self.request(sender="gone", time_left_s=60.0)
        silent = self.request(sender="h2", time_left_s=60.0)
        self.dispatcher.sweep(SENDERS)
        self.assert_state(TicketState.ENDED, gone)
        self.assert_state(TicketState.PERMITTED, silent)
        await anyio.sleep(SENDER_SILENCE_S + 0.1)
        self.dispatcher.sweep(SENDERS)
        self.assert_state(TicketState.ENDED, silent)

    @with_own_system("run_group", (6,))
    async def test_requests_without_permits_count(self):
        """Hosts that do not ask yet would fill replicas that look empty."""
        replica = self.directory.by_id["r0"]
        replica.others_in_flight = 4
        # Not so long that the limit rises.
        for _ in range(4):
            self.dispatcher.update()
            await anyio.sleep(0.1)
        permitted = [self.request() for _ in range(4)]
        states = [item.state for item in permitted]
        self.assertEqual(2, states.count(TicketState.PERMITTED))
        for ticket in permitted[2:]:
            self.end(ticket, Outcome.UNKNOWN)
        # The loads tell of the permitted requests as well, which count once.
        (room,) = self.dispatcher._rooms_by_process.values()
        replica.others_in_flight = 4 + room.permitted
        for _ in range(20):
            self.dispatcher.update()
            await anyio.sleep(0.5)
        (room,) = self.dispatcher._rooms_by_process.values()
        self.assertEqual(room.permitted + 4, room.under_way)

    @with_own_system("run_group", (3,))
    async def test_restarted_replica_starts_anew(self):
        """What its previous process could run says nothing about the new one."""
        old = [self.request() for _ in range(3)]
        self.end(old[0], Outcome.TURNED_AWAY)
        self.assert_state(TicketState.QUEUED, self.request())
        self.list("r0", 3, boot=2)
        self.dispatcher.update()
        new = [self.request() for _ in range(2)]
        self.assert_state(TicketState.PERMITTED, *new)

    @with_own_system("run_group", (1, 1))
    async def test_replica_to_avoid_is_not_chosen_and_holds_nobody_up(self):
        """A request would come back to the replica that has just refused it, and one
        that cannot use the free replica would block those behind it."""
        first = self.request(avoid=("r0",))
        self.assertEqual("r1", first.replica_id)
        choosy = self.request(0, avoid=("r0",))
        self.assert_state(TicketState.QUEUED, choosy)
        other = self.request(5)
        self.assertEqual("r0", other.replica_id)
        self.end(first)
        self.assertEqual("r1", choosy.replica_id)

    @with_own_system("run_group", (2, 1))
    async def test_replica_that_drains_gets_no_permits(self):
        """A stop would turn away what was sent to it."""
        self.list("r0", 2, state=ReplicaState.DRAINING)
        self.assertEqual("r1", self.request().replica_id)
        self.assert_state(TicketState.QUEUED, self.request())

    @with_own_system("run_group", (6, 6))
    async def test_faster_replica_gets_more(self):
        """Equal parts would leave the fast replica idle while the slow one is full."""
        counts = {"r0": 0, "r1": 0}

        async def serve(ticket):
            service_s = 0.05 if ticket.replica_id == "r0" else 0.2
            counts[ticket.replica_id] += 1
            await anyio.sleep(service_s)
            self.end(ticket, service_s=service_s)

        async with anyio.create_task_group() as group:
            for _ in range(400):
                ticket = self.request()
                self.assert_state(TicketState.PERMITTED, ticket)
                group.start_soon(serve, ticket)
                await anyio.sleep(0.02)
        self.assertGreater(counts["r0"], 2 * counts["r1"])

    @with_own_system("run_group", (2, 2))
    async def test_replica_that_accepts_no_connection_is_passed_over(self):
        """It always has room, so each request would fail there first."""
        ticket = self.request()
        self.assertEqual("r0", ticket.replica_id)
        self.end(ticket, Outcome.NOT_CONNECTED)
        self.assertEqual("r1", self.request().replica_id)
