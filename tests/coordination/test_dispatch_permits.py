"""Tests of the messages by which hosts get permits, with losses and failures."""

import functools
import types

import anyio
import testtools

from snipetrestle.coordination.loads.dispatch_permits import (
    ALONE_S,
    END_DELAY_S,
    MAX_SILENT_OWNERS,
    MAX_UNANSWERED,
    REPEAT_S,
)
from snipetrestle.coordination.loads.group_owners import MAX_SPREAD_GROUPS, GroupOwners
from snipetrestle.coordination.membership.key_owners import KeyOwners
from snipetrestle.coordination.messaging.datagram_requests import ANSWER_TIMEOUT_S
from snipetrestle.coordination.messaging.messages import DispatchReply, DispatchRequest
from snipetrestle.dispatch.group_dispatcher import Outcome
from snipetrestle.dispatch.permits import NoRoom, Wanted
from snipetrestle_standins.clock import run_in_virtual_time
from snipetrestle_standins.datagram_network import DELIVERY_DELAY_S
from snipetrestle_standins.dispatch_fleet import (
    BACKEND,
    DispatchFleet,
    SimulatedReplica,
)
from tests.systems import with_own_system

# A request and its answer, with the delay of ends.
ROUND_S = 2 * DELIVERY_DELAY_S + END_DELAY_S + 0.002


class GroupOwnersTest(testtools.TestCase):
    def owners(self, own, names):
        hosts = types.SimpleNamespace(
            own=types.SimpleNamespace(name=own),
            sender_names=lambda: names,
            leaving=False,
        )
        return GroupOwners(KeyOwners(hosts), hosts)

    def test_groups_of_a_backend_have_different_owners_on_which_all_agree(self):
        """A host with two groups of a crowded backend exceeds its traffic, and two
        owners of a group would each fill its replicas."""
        names = tuple(f"h{number:03}" for number in range(40))
        first, second = self.owners("h001", names), self.owners("h002", names)
        owners = [first.owner(BACKEND, number) for number in range(30)]
        self.assertEqual(30, len(set(owners)))
        # In another order.
        others = [second.owner(BACKEND, number) for number in reversed(range(30))]
        self.assertEqual(owners, others[::-1])

    def test_there_may_be_more_groups_than_hosts(self):
        """The choice of an owner must not fail without a host that is left."""
        owners = self.owners("h1", ("h1", "h2", "h3"))
        names = [owners.owner(BACKEND, number) for number in range(12)]
        for name in ("h1", "h2", "h3"):
            self.assertEqual(4, names.count(name))
        self.assertIn(owners.owner(BACKEND, MAX_SPREAD_GROUPS + 5), names)


class DispatchPermitsTest(testtools.TestCase):
    def run_fleet(self, function, host_count=4, slots=1):
        """Runs ``function()`` with hosts before one replica."""

        async def main():
            self.replica = SimulatedReplica("r0", slots, 0.1)
            self.fleet = DispatchFleet(host_count, [self.replica])
            async with anyio.create_task_group() as group:
                self.fleet.network.task_group = group
                group.start_soon(self.fleet.exchange_loads)
                self.owner = self.fleet.owner()
                self.host, self.other = [
                    item for item in self.fleet.hosts.values() if item != self.owner
                ][:2]
                await function()
                group.cancel_scope.cancel()

        run_in_virtual_time(main)

    async def acquire(self, host, max_wait_s=1.0, priority=1, time_left_s=5.0):
        return await host.dispatch.acquire(
            Wanted(BACKEND, priority, max_wait_s, time_left_s, {"r0"})
        )

    def tickets(self):
        groups = self.owner.dispatch._owner._groups_by_key.values()
        return [item for group in groups for item in group.dispatcher._tickets()]

    def lose(self, message_type, count):
        """Loses the next datagrams of a type."""
        left = [count]
        for host in self.fleet.hosts.values():
            send_all = host.endpoint.send_all

            def lossy(message, addresses, send_all=send_all):
                if isinstance(message, message_type) and left[0] > 0:
                    left[0] -= 1
                    return
                send_all(message, addresses)

            host.endpoint.send_all = lossy

    @with_own_system("run_fleet")
    async def test_permit_is_used_and_ends(self):
        """A place that is not given back is lost to all."""
        for host in (self.host, self.owner):
            permit = await self.acquire(host)
            self.assertEqual("r0", permit.replica_id)
            self.assertEqual(1, len(self.tickets()))
            permit.end(Outcome.SERVED, 0.1)
            permit.end()
            await anyio.sleep(ROUND_S)
            self.assertEqual([], self.tickets())

    def test_request_waits_until_there_is_room(self):
        """It would be turned away, and sent again, until others happen to end."""

        async def check(choose):
            first, second = choose()
            permit = await self.acquire(first)
            async with anyio.create_task_group() as group:

                async def wait():
                    started_at = anyio.current_time()
                    (await self.acquire(second, 2.0)).end()
                    self.waited_s = anyio.current_time() - started_at

                group.start_soon(wait)
                # Longer than the time after which a request without an answer is sent
                # without a permit.
                await anyio.sleep(0.45)
                permit.end(Outcome.SERVED, 0.1)
            self.assertGreater(self.waited_s, 0.44)
            self.assertLess(self.waited_s, 0.45 + ROUND_S)

        for choose in (
            lambda: (self.host, self.other),
            lambda: (self.other, self.owner),
            lambda: (self.owner, self.host),
        ):
            self.run_fleet(functools.partial(check, choose))

    @with_own_system("run_fleet")
    async def test_request_that_would_wait_too_long_is_refused_at_once(self):
        """Its caller would learn too late that it can go elsewhere."""
        permit = await self.acquire(self.host)
        started_at = anyio.current_time()
        error = await self.assert_no_room(self.other, 0.05)
        self.assertLess(anyio.current_time() - started_at, ROUND_S)
        self.assertGreater(error.wait_s, 0.05)
        permit.end()

    async def assert_no_room(self, host, max_wait_s):
        try:
            await self.acquire(host, max_wait_s)
        except NoRoom as error:
            return error
        return self.fail("the request was not refused")

    @with_own_system("run_fleet")
    async def test_cancelled_request_gives_its_place_back_at_once(self):
        """A caller that has left, a stop or a deadline must not block the queue."""
        for host in (self.host, self.owner):
            permit = await self.acquire(self.other)
            for wait_s in (0.0, 0.0015, 0.2):
                with anyio.move_on_after(wait_s):
                    await self.acquire(host, 2.0)
                    self.fail("there is no room")
                await anyio.sleep(ROUND_S)
                self.assertEqual(1, len(self.tickets()))
            permit.end()
            await anyio.sleep(ROUND_S)
            self.assertEqual([], self.tickets())

    @with_own_system("run_fleet")
    async def test_permit_that_comes_after_a_cancellation_is_returned(self):
        """It would take a place until the deadline of the request."""
        # The request is on its way to the owner, or the permit back.
        for wait_s in (0.0, 0.0005, 0.0015):
            with anyio.move_on_after(wait_s):
                await self.acquire(self.host)
            await anyio.sleep(2 * ROUND_S)
            self.assertEqual([], self.tickets())

    def test_lost_request_or_answer_is_made_up_for(self):
        """A lost datagram must cost no permit, and no second place."""
        for message_type in (DispatchRequest, DispatchReply):

            async def check(message_type=message_type):
                self.lose(message_type, 1)
                started_at = anyio.current_time()
                permit = await self.acquire(self.host)
                self.assertIsNotNone(permit)
                waited_s = anyio.current_time() - started_at
                self.assertLess(waited_s, ANSWER_TIMEOUT_S + ROUND_S)
                self.assertEqual(1, len(self.tickets()))

            self.run_fleet(check, slots=2)

    @with_own_system("run_fleet")
    async def test_lost_permit_of_a_queued_request_is_asked_for_again(self):
        """The request would wait until its time is up while its place is unused."""
        permit = await self.acquire(self.host)
        async with anyio.create_task_group() as group:

            async def wait():
                self.permit = await self.acquire(self.other, 2.0)
                self.permitted_at = anyio.current_time()

            group.start_soon(wait)
            await anyio.sleep(0.5)
            self.lose(DispatchReply, 1)
            ended_at = anyio.current_time()
            permit.end(Outcome.SERVED, 0.1)
        self.assertIsNotNone(self.permit)
        self.assertLess(
            self.permitted_at - ended_at, REPEAT_S + ANSWER_TIMEOUT_S + ROUND_S
        )

    @with_own_system("run_fleet")
    async def test_request_goes_without_a_permit_if_its_owner_is_silent(self):
        """Requests must not fail for the permits, which only make things better."""
        self.owner.endpoint.up = False
        started_at = anyio.current_time()
        self.assertIsNone(await self.acquire(self.host))
        waited_s = anyio.current_time() - started_at
        self.assertLessEqual(waited_s, MAX_UNANSWERED * ANSWER_TIMEOUT_S + 0.01)
        # The next one asks the next owner.
        self.assertIsNotNone(await self.acquire(self.host))

    @with_own_system("run_fleet")
    async def test_queued_request_does_not_wait_for_an_owner_that_has_stopped(self):
        """It would wait until its time is up."""
        await self.acquire(self.host)
        async with anyio.create_task_group() as group:

            async def wait():
                self.assertIsNone(await self.acquire(self.other, 3.0))

            group.start_soon(wait)
            await anyio.sleep(0.5)
            self.owner.endpoint.up = False
            stopped_at = anyio.current_time()
        waited_s = anyio.current_time() - stopped_at
        self.assertLess(waited_s, REPEAT_S + 2 * ANSWER_TIMEOUT_S + ROUND_S)

    @with_own_system("run_fleet", host_count=8)
    async def test_isolated_host_sends_without_asking(self):
        """Each of its requests would wait for the answer of another host."""
        self.fleet.network.isolate(self.host.name, self.fleet.hosts)
        self.host.dispatch.note_turned_away(BACKEND)
        for _ in range(MAX_SILENT_OWNERS):
            self.assertTrue(self.host.dispatch.must_ask(BACKEND))
            self.assertIsNone(await self.acquire(self.host))
        self.assertFalse(self.host.dispatch.must_ask(BACKEND))
        await anyio.sleep(ALONE_S)
        self.assertTrue(self.host.dispatch.must_ask(BACKEND))

    @with_own_system("run_fleet")
    async def test_requests_at_once_to_one_silent_owner_do_not_count_as_isolation(self):
        """Hosts sent without permits for 2 s whenever an owner stopped."""
        self.host.dispatch.note_turned_away(BACKEND)
        self.owner.endpoint.up = False
        async with anyio.create_task_group() as group:
            for _ in range(MAX_SILENT_OWNERS + 1):
                group.start_soon(self.acquire, self.host)
        self.assertTrue(self.host.dispatch.must_ask(BACKEND))

    @with_own_system("run_fleet")
    async def test_owner_without_the_backend_lets_requests_go(self):
        """A host that lists the replicas later must not refuse requests to them."""
        self.owner.directory.unlist("r0")
        self.assertIsNone(await self.acquire(self.host))
        self.assertEqual([], self.tickets())
