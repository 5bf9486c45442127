"""Tests of replica ownership: two owners, takeovers and hand-overs.

P1, P2 and so on are the numbers of the design's correctness properties.
"""

import asyncio
import contextlib

import anyio
import testtools
from loguru import logger

from snipetrestle.codes import ServingError
from snipetrestle.engines import loading
from snipetrestle.engines.owner import ReplicaOwner
from snipetrestle.engines.ownership import ReplicaOwnership
from snipetrestle.engines.protocol import EngineError
from snipetrestle.peers.members import MemberState
from snipetrestle_standins.clock import run_in_virtual_time
from snipetrestle_standins.engine import expected_text
from snipetrestle_standins.replica_fleet import ReplicaFleet, engine_configuration
from tests.systems import with_own_system

# Takeover target of the design, in seconds of the simulated clock.
TAKEOVER_TARGET_S = 3.0
LONG_TOKENS = 400


class OwnershipTest(testtools.TestCase):
    """Base class. ``first``, ``second``, ``third`` are a replica's owner candidates."""

    def run_fleet(self, function, checks_fencing_numbers=True, replicas=1, **options):
        async def main():
            configuration = engine_configuration(replicas, checks_fencing_numbers)
            async with ReplicaFleet(configuration, **options) as fleet:
                await function(fleet)

        logger.disable("snipetrestle")
        self.addCleanup(logger.enable, "snipetrestle")
        run_in_virtual_time(main)

    def run_with_and_without_fencing(self, function, **options):
        """Runs with an engine that checks fencing numbers and one that does not."""
        for checks_fencing_numbers in (True, False):
            self.run_fleet(function, checks_fencing_numbers, **options)

    async def serve(self, fleet, name, adapter="adapter-0", max_tokens=20, **options):
        """Sends a request and checks that each token is that of the named adapter."""
        version = options.setdefault("version", "1")
        prompt, text = await fleet.send_request(
            name, adapter=adapter, max_tokens=max_tokens, **options
        )
        self.assertEqual(expected_text(adapter, version, prompt, max_tokens), text)

    async def fill(self, fleet, name, count):
        """Loads ``count`` adapters by requests that the daemon ``name`` receives."""
        for number in range(count):
            await self.serve(fleet, name, f"adapter-{number}")


class UnconfirmedTakeoverTest(OwnershipTest):
    async def resume_with_queued_unload(self, fleet, wait_for_requests=True):
        """Resumes the paused owner while its successor uses the same adapter."""
        first, second, third = fleet.owner_candidates()
        await self.fill(fleet, third, fleet.engine().adapter_slots)
        async with anyio.create_task_group() as group:
            fleet.network.pause(first)
            # This request makes the paused owner evict its oldest copy, adapter-0 or
            # adapter-1; the unload order waits until the daemon resumes.
            group.start_soon(fleet.send_request, first, "adapter-5")
            await fleet.settle(0.5)
            for adapter in ("adapter-0", "adapter-1"):
                group.start_soon(self.serve, fleet, third, adapter, LONG_TOKENS)
            await fleet.settle(3.0)
            self.assertIn(second, fleet.owners_of())
            fleet.network.resume(first)
            await fleet.settle(1.0)
            if not wait_for_requests:
                group.cancel_scope.cancel()

    @with_own_system("run_with_and_without_fencing")
    async def test_paused_owner_resumes_with_queued_unload(self, fleet):
        """A resumed old owner could evict a copy that its successor uses (P2).

        Its unload order was queued while its daemon was paused.
        """
        await self.resume_with_queued_unload(fleet)
        self.assertEqual([], fleet.engine().in_use_evictions)

    def test_queued_unload_evicts_without_fencing_and_handles(self):
        """Shows the failure without fencing numbers and without handle suffixes."""

        def make_owner_without_suffix(server, engine, permits, number, suffix):
            return ReplicaOwner(server, engine, permits, number, None)

        class AdoptingOwnership(ReplicaOwnership):
            def _update_foreign_copies(self, replica, status):
                if not replica.owner.resident_handles():
                    replica.adopt_resident_copies(status)

        async def check(fleet):
            await self.resume_with_queued_unload(fleet, wait_for_requests=False)
            self.assertNotEqual([], fleet.engine().in_use_evictions)

        self.run_fleet(
            check,
            checks_fencing_numbers=False,
            owner_class=make_owner_without_suffix,
            ownership_class=AdoptingOwnership,
        )

    async def take_over_during_stream(self, fleet):
        """Makes the successor need all slots while a stream of the old owner runs."""
        first, second, third = fleet.owner_candidates()
        async with anyio.create_task_group() as group:
            # A request of the daemon that is paused next: its stream continues at the
            # engine.
            group.start_soon(self.serve, fleet, first, "adapter-0", LONG_TOKENS)
            await fleet.settle(1.0)
            fleet.network.pause(first)
            for number in range(1, 6):
                await self.serve(fleet, third, f"adapter-{number}")
            self.assertEqual(
                [second], [name for name in fleet.owners_of() if name != first]
            )
            fleet.network.resume(first)

    @with_own_system("run_with_and_without_fencing")
    async def test_successor_keeps_copies_in_use(self, fleet):
        """A successor must not evict the copy of an old owner's stream (P2).

        It needs all slots while that stream still runs.
        """
        await self.take_over_during_stream(fleet)
        self.assertEqual([], fleet.engine().in_use_evictions)

    def test_copies_in_use_are_evicted_without_inherited_pins(self):
        """Shows that the inherited pin is what protects the stream."""

        class UnpinnedAdoptionOwner(ReplicaOwner):
            def adopt_copy(self, handle, pins=0, own=True):
                super().adopt_copy(handle, 0, own)

        async def check(fleet):
            first, _, third = fleet.owner_candidates()
            async with anyio.create_task_group() as group:
                group.start_soon(
                    fleet.send_request, first, "adapter-0", "1", LONG_TOKENS
                )
                await fleet.settle(1.0)
                fleet.network.pause(first)
                for number in range(1, 6):
                    await self.serve(fleet, third, f"adapter-{number}")
                fleet.network.resume(first)
                await fleet.settle(1.0)
                group.cancel_scope.cancel()
            self.assertNotEqual([], fleet.engine().in_use_evictions)

        self.run_fleet(check, owner_class=UnpinnedAdoptionOwner)

    def test_failed_owner_is_replaced_within_the_target(self):
        """Takeover must not wait until all members know the failure."""

        async def check(fleet, stop_daemon):
            first, second, third = fleet.owner_candidates()
            await self.serve(fleet, third)
            stop_daemon(first)
            start = anyio.current_time()
            await self.serve(fleet, third)
            self.assertTrue(anyio.current_time() - start < TAKEOVER_TARGET_S)
            self.assertIn(second, fleet.owners_of())

        self.run_with_and_without_fencing(lambda fleet: check(fleet, fleet.kill))
        self.run_with_and_without_fencing(
            lambda fleet: check(fleet, fleet.network.pause)
        )

    @with_own_system("run_with_and_without_fencing")
    async def test_two_failed_owners_are_replaced(self, fleet):
        """If the successor fails too, a replica could be left unserved."""
        first, second, third = fleet.owner_candidates()
        fleet.kill(first)
        fleet.kill(second)
        start = anyio.current_time()
        await self.serve(fleet, third)
        self.assertTrue(anyio.current_time() - start < TAKEOVER_TARGET_S)

    @with_own_system("run_with_and_without_fencing")
    async def test_failed_load_during_takeover(self, fleet):
        """Failed loads in a takeover must not leave a replica without an owner."""
        first, second, third = fleet.owner_candidates()
        fleet.engine().loads_to_fail = 2
        fleet.kill(first)
        await self.serve(fleet, third, "adapter-3", version="2")
        self.assertEqual([second], fleet.owners_of())


class PartitionTest(OwnershipTest):
    async def ask_on_both_sides(self, fleet, seconds=20.0):
        """Sends requests on both sides of a partition and counts those served."""
        first, second, third = fleet.owner_candidates()
        fleet.network.partition([first], [second, third])
        served = {first: 0, third: 0}

        async def ask(name):
            number = 0
            while True:
                await self.serve(
                    fleet, name, f"adapter-{number % 6}", 30, time_left_s=1000.0
                )
                served[name] += 1
                number += 1

        async with anyio.create_task_group() as group:
            for name in (first, first, third, third):
                group.start_soon(ask, name)
            await fleet.settle(seconds)
            group.cancel_scope.cancel()
        fleet.network.heal()
        await fleet.settle(10.0)
        return first, third, served

    @with_own_system("run_with_and_without_fencing")
    async def test_two_owners_in_a_partition(self, fleet):
        """In a partition, two owners could mix answers and evict copies in use.

        The promises P1 and P2 exclude this.
        """
        first, third, served = await self.ask_on_both_sides(fleet)
        self.assertEqual([], fleet.engine().in_use_evictions)
        self.assertTrue(served[third] > 10, served)
        if not fleet.engine().checks_fencing_numbers:
            self.assertTrue(served[first] > 10, served)
        self.assertEqual([first], fleet.owners_of())
        await self.serve(fleet, first)

    @with_own_system("run_fleet")
    async def test_two_daemons_do_not_fence_each_other_repeatedly(self, fleet):
        """Guards against owners that take a replica from each other forever."""
        before = fleet.engine().fencing_number >> 32
        await self.ask_on_both_sides(fleet, 60.0)
        # One term by a takeover, and one by a confirmed hand-over after the
        # partition.
        self.assertEqual(before + 2, fleet.engine().fencing_number >> 32)

    @with_own_system("run_fleet")
    async def test_fenced_owner_returns_only_with_a_new_view(self, fleet):
        """While its view is unchanged, a fenced owner must not claim again."""
        first, second, third = fleet.owner_candidates()
        fleet.network.partition([first], [second, third])
        await self.serve(fleet, third)
        await fleet.settle(10.0)
        self.assertEqual([second], fleet.owners_of())
        fleet.daemons_by_name[first].update_member_state(second, MemberState.FAILED)
        fleet.daemons_by_name[first].update_member_state(third, MemberState.FAILED)
        await fleet.settle(5.0)
        self.assertIn(first, fleet.owners_of())


class ForeignCopyTest(OwnershipTest):
    """Copies of earlier terms at an engine that ignores fencing numbers."""

    async def take_over(self, fleet, stop_daemon):
        """Makes the second daemon take over an engine with three foreign copies."""
        first, second, third = fleet.owner_candidates()
        await self.fill(fleet, third, 3)
        stop_daemon(first)
        await self.serve(fleet, third, "adapter-4")
        await fleet.settle(20.0)
        self.assertEqual(3, self.foreign_copy_count(fleet, second))
        return first, second

    def foreign_copy_count(self, fleet, name):
        suffix = f".{name}"
        return sum(not item.endswith(suffix) for item in fleet.engine()._resident)

    def test_foreign_copies_stay_until_their_owner_is_known_to_be_gone(self):
        """No eviction of a foreign copy may be based on a timeout alone (P2)."""

        async def resume_owner(fleet):
            first, second = await self.take_over(fleet, fleet.network.pause)
            fleet.network.resume(first)

        async def replace_owner(fleet):
            first, second = await self.take_over(fleet, fleet.kill)
            fleet.start(first)

        async def restart_engine(fleet):
            await self.take_over(fleet, fleet.kill)
            fleet.engine().restart()

        async def confirm_host_stopped(fleet):
            first, second = await self.take_over(fleet, fleet.kill)
            fleet.daemons_by_name[second].ownership.confirm_stopped(first)

        async def check(fleet, end_term):
            await end_term(fleet)
            await fleet.settle(10.0)
            (owner,) = fleet.owners_of()
            self.assertEqual(0, self.foreign_copy_count(fleet, owner))
            await self.fill(fleet, owner, 6)
            self.assertEqual([], fleet.engine().in_use_evictions)

        for end_term in (
            resume_owner,
            replace_owner,
            restart_engine,
            confirm_host_stopped,
        ):
            self.run_fleet(
                lambda fleet, end_term=end_term: check(fleet, end_term),
                checks_fencing_numbers=False,
            )


class EngineRestartTest(OwnershipTest):
    @with_own_system("run_with_and_without_fencing")
    async def test_restarted_engine_is_loaded_again(self, fleet):
        """An owner must not use copies that its engine lost in a restart."""
        first, _, third = fleet.owner_candidates()
        await self.fill(fleet, third, 3)
        number = fleet.engine().fencing_number
        fleet.engine().restart()
        await fleet.settle(1.0)
        self.assertEqual(number, fleet.engine().fencing_number)
        await self.fill(fleet, third, 3)
        self.assertEqual([first], fleet.owners_of())

    @with_own_system("run_with_and_without_fencing")
    async def test_stream_continues_after_an_engine_restart(self, fleet):
        """After an engine restart, an answer must go on where it stopped.

        It could be truncated or restart in the middle.
        """
        third = fleet.owner_candidates()[2]
        async with anyio.create_task_group() as group:
            group.start_soon(self.serve, fleet, third, "adapter-0", 200)
            await fleet.settle(1.5)
            fleet.engine().restart()


class HandOverTest(OwnershipTest):
    async def hand_over(self, fleet):
        """Starts the first daemon while its successor serves a long stream."""
        first, _, third = fleet.owner_candidates()
        fleet.kill(first)
        fleet.set_member_state_everywhere(first, MemberState.FAILED)
        await fleet.settle()
        async with anyio.create_task_group() as group:
            # Four requests run and the others are queued when the owner changes.
            for number in range(8):
                group.start_soon(self.serve, fleet, third, f"adapter-{number % 2}", 200)
            await fleet.settle(1.0)
            fleet.start(first)
            await fleet.settle(2.0)
            self.assertEqual([first], fleet.owners_of())
            for number in range(2, 6):
                group.start_soon(self.serve, fleet, third, f"adapter-{number}")
        return first

    @with_own_system("run_with_and_without_fencing")
    async def test_streams_of_an_ended_term_end_with_the_engine(self, fleet):
        """Guards against streams that wait at an engine process that has ended.

        The engine lost power after a hand-over, so no connection was closed.
        """
        first = fleet.owner_candidates()[0]
        async with anyio.create_task_group() as group:
            group.start_soon(self.serve, fleet, first, "adapter-0", 400)
            await anyio.sleep(1.0)
            replica = fleet.daemons_by_name[first].ownership._replicas_by_name[
                "engine-0"
            ]
            fleet.daemons_by_name[first].leave()
            fleet.set_member_state_everywhere(first, MemberState.LEAVING)
            await fleet.settle(1.0)
            self.assertEqual(1, len(replica.ended_owners))
            fleet.engine().restarts += 1
            fleet.engine()._reset()
            await anyio.sleep(1.5)
            self.assertEqual([], replica.ended_owners)

    @with_own_system("run_with_and_without_fencing")
    async def test_running_streams_finish_and_queued_requests_move(self, fleet):
        """A hand-over could break streams, lose requests or evict copies in use.

        The promises P2, P7 and P9 exclude this.
        """
        await self.hand_over(fleet)
        self.assertEqual([], fleet.engine().in_use_evictions)

    def test_lost_confirmation_leaves_one_owner(self):
        """Two owners could use the same handles (P2) if a confirmation is lost."""

        class UnconfirmedHandOverOwnership(ReplicaOwnership):
            async def _on_hand_over(self, sender, message):
                await super()._on_hand_over(sender, message)
                await anyio.sleep(100.0)

        async def check(fleet):
            first = await self.hand_over(fleet)
            await fleet.settle(5.0)
            self.assertEqual([first], fleet.owners_of())
            self.assertEqual([], fleet.engine().in_use_evictions)

        self.run_with_and_without_fencing(
            check, ownership_class=UnconfirmedHandOverOwnership
        )


class LeavingServerTest(OwnershipTest):
    @with_own_system("run_with_and_without_fencing")
    async def test_leaving_server_gets_no_new_requests(self, fleet):
        """Guards against new requests at a leaving server, and broken streams (P6)."""
        owner, _, third = fleet.owner_candidates()
        async with anyio.create_task_group() as group:
            group.start_soon(self.serve, fleet, third, "adapter-0", 300)
            await fleet.settle(1.0)
            for daemon in fleet.daemons_by_name.values():
                daemon.ownership.set_leaving(["engine-0"])
            started = fleet.engine()._arrival_count
            server = fleet.configuration.servers_by_name["engine-0"]
            for daemon in fleet.daemons_by_name.values():
                self.assertIs(None, daemon.ownership.owner_name(server))
            with testtools.ExpectedException(ServingError):
                await fleet.send_request(owner, time_left_s=3.0)
        self.assertEqual(started, fleet.engine()._arrival_count)
        for daemon in fleet.daemons_by_name.values():
            daemon.ownership.set_leaving([])
        await self.serve(fleet, third)


class DifferentViewsTest(OwnershipTest):
    @with_own_system("run_fleet")
    async def test_replica_does_not_move_back_and_forth(self, fleet):
        """Daemons with different membership views could claim a replica in turn."""
        first, second, third = fleet.owner_candidates()
        fleet.kill(first)
        fleet.set_member_state_everywhere(first, MemberState.FAILED)
        await self.serve(fleet, third)
        fleet.start(first)
        # The second and third daemons do not know about the replacement yet.
        fleet.daemons_by_name[second].update_member_state(first, MemberState.FAILED)
        fleet.daemons_by_name[third].update_member_state(first, MemberState.FAILED)
        before = fleet.engine().fencing_number >> 32
        for name in (first, second, third) * 10:
            await self.serve(fleet, name, max_tokens=5)
        self.assertEqual([second], fleet.owners_of())
        self.assertEqual(before, fleet.engine().fencing_number >> 32)
        fleet.daemons_by_name[second].update_member_state(first, MemberState.ALIVE)
        await fleet.settle()
        self.assertEqual([first], fleet.owners_of())


class CancelledOrderTest(OwnershipTest):
    @with_own_system("run_fleet")
    async def test_load_of_a_cancelled_call_is_recorded(self, fleet):
        """After a gRPC cancellation, an adapter could stay "loading"."""
        first, _, third = fleet.owner_candidates()
        owner = fleet.daemons_by_name[first].ownership.owners()[0]
        # grpc.aio cancels the handler's asyncio task and not an anyio scope.
        task = asyncio.ensure_future(fleet.send_request(first))
        await anyio.sleep(0.1)
        task.cancel()
        await anyio.sleep(1.0)
        self.assertEqual(["adapter-0@1"], list(owner.resident_handles()))
        await self.serve(fleet, third)

    def test_cancelled_load_is_stuck_without_a_detached_task(self):
        """Shows that sending the order in a detached task keeps the adapter usable."""

        async def check(fleet):
            first = fleet.owner_candidates()[0]
            owner = fleet.daemons_by_name[first].ownership.owners()[0]
            task = asyncio.ensure_future(fleet.send_request(first))
            await anyio.sleep(0.1)
            task.cancel()
            await anyio.sleep(1.0)
            self.assertEqual([], list(owner.resident_handles()))

        async def run_in_place(coroutine):
            with anyio.CancelScope(shield=True):
                return await coroutine

        self.patch(loading, "run_detached", run_in_place)
        self.run_fleet(check)


class LateUnloadTest(OwnershipTest):
    async def lose_the_reply_of_an_unload(self, fleet, serve):
        """Makes an unload order arrive two seconds after its call has failed."""
        first = fleet.owner_candidates()[0]
        engine = fleet.engine()
        unload = engine.unload
        lost_handles = []

        async def unload_late(order):
            await anyio.sleep(2.0)
            with contextlib.suppress(EngineError):
                await unload(order)

        async def unload_with_lost_reply(order):
            if lost_handles:
                await unload(order)
                return
            lost_handles.append(order.handle)
            group.start_soon(unload_late, order)
            raise EngineError("no answer")

        engine.unload = unload_with_lost_reply
        async with anyio.create_task_group() as group:
            await self.fill(fleet, first, engine.adapter_slots)
            group.start_soon(fleet.send_request, first, "adapter-5")
            await fleet.settle(0.5)
            adapter = lost_handles[0].partition("@")[0]
            await serve(fleet, first, adapter)
        return engine.in_use_evictions

    def test_late_unload_evicts_no_copy_in_use(self):
        """An unload order that arrives late must not evict a copy in use (P2)."""

        async def serve(fleet, name, adapter):
            await self.serve(fleet, name, adapter, LONG_TOKENS)

        async def check(fleet):
            in_use_evictions = await self.lose_the_reply_of_an_unload(fleet, serve)
            self.assertEqual([], in_use_evictions)

        self.run_with_and_without_fencing(check)

    def test_late_unload_evicts_when_the_term_is_not_renewed(self):
        """Shows that the new term is what protects the copy."""

        class TermKeepingOwnership(ReplicaOwnership):
            def _renew_term(self, replica, owner):
                for copy in tuple(owner.slots.copies_by_handle):
                    owner.slots.cancel_unload(copy)

        async def serve(fleet, name, adapter):
            # The stream fails when its copy is unloaded.
            with contextlib.suppress(ServingError):
                await fleet.send_request(name, adapter, max_tokens=LONG_TOKENS)

        async def check(fleet):
            in_use_evictions = await self.lose_the_reply_of_an_unload(fleet, serve)
            self.assertNotEqual([], in_use_evictions)

        self.run_with_and_without_fencing(check, ownership_class=TermKeepingOwnership)


class UnresponsiveOwnerTest(OwnershipTest):
    @with_own_system("run_fleet", replicas=9)
    async def test_one_report_moves_all_replicas_of_an_unresponsive_owner(self, fleet):
        """Guards against replicas that are taken over only when they get a request."""
        first = fleet.owner_candidates()[0]
        owned = [
            name
            for name in fleet.engines_by_name
            if fleet.owner_candidates(name)[0] == first
        ]
        self.assertTrue(len(owned) > 1)
        fleet.network.pause(first)
        reporter = fleet.owner_candidates()[2]
        fleet.daemons_by_name[reporter].ownership.mark_unreachable(first)
        await fleet.settle(TAKEOVER_TARGET_S / 2)
        for name in owned:
            self.assertEqual(2, len(fleet.owners_of(name)), name)


class RoleOrderTest(OwnershipTest):
    @with_own_system("run_fleet")
    async def test_role_order_carries_the_number(self, fleet):
        """Cut off by a partition, an old owner could still change an engine's role."""
        first, second, third = fleet.owner_candidates()
        old, new = (fleet.daemons_by_name[name].ownership for name in (first, second))
        await old.change_role("engine-0", "prefill")
        self.assertEqual("prefill", fleet.engine().role)
        fleet.network.partition([first], [second, third])
        await self.serve(fleet, third)
        await new.change_role("engine-0", "decode")
        with testtools.ExpectedException(ServingError):
            await old.change_role("engine-0", "prefill")
        self.assertEqual("decode", fleet.engine().role)
