"""Tests that no accepted batch is lost without an error."""

import anyio
import testtools
from loguru import logger

from snipetrestle.batches import BatchHolder, BatchTimes
from snipetrestle.batches.messages import UpdateBatch
from snipetrestle.codes import ResultCode, ServingError
from snipetrestle.peers.members import MemberState
from snipetrestle_standins.batch_fleet import (
    CUSTOMER,
    BatchFleet,
    expected_answer,
    make_items,
)
from snipetrestle_standins.clock import run_in_virtual_time
from tests.systems import with_own_system

ITEMS = make_items(40)
FINISH_WITHIN_S = 3600.0


class BatchTest(testtools.TestCase):
    def run_fleet(self, function, **options):
        async def main():
            async with BatchFleet(**options) as fleet:
                await function(fleet)

        logger.disable("snipetrestle")
        self.addCleanup(logger.enable, "snipetrestle")
        run_in_virtual_time(main)

    async def submit(self, fleet, items=ITEMS, **options):
        return await fleet.holder().submit(CUSTOMER, items, FINISH_WITHIN_S, **options)

    async def check_complete(self, fleet, batch_id, items=ITEMS):
        status = await fleet.wait_finished(batch_id)
        self.assertEqual(("finished", len(items), 0), _counts(status))
        for name in fleet.daemons_by_name:
            results = await fleet.holder(name).results(batch_id)
            self.assertEqual(
                [expected_answer(item) for item in items],
                [item.text for item in results],
            )

    def assert_code(self, code, error):
        self.assertIs(code, error.code)


def _counts(status):
    return status.state, status.done, status.failed


class AcceptanceTest(BatchTest):
    @with_own_system("run_fleet")
    async def test_two_failure_domains_hold_an_accepted_batch(self, fleet):
        """No batch may be accepted that a single failure can lose."""
        batch_id = await self.submit(fleet)
        primary, second = fleet.holders_of(batch_id)
        self.assertNotEqual(
            fleet.failure_domain_of(primary), fleet.failure_domain_of(second)
        )
        for name in (primary, second):
            incarnation = fleet.daemons_by_name[name].membership.own_incarnation
            self.assertIn(f"~{name}~{incarnation}", batch_id)
        await self.check_complete(fleet, batch_id)

    @with_own_system("run_fleet", daemons=1)
    async def test_no_second_failure_domain(self, fleet):
        """Guards against accepting a batch with only one copy."""
        try:
            await self.submit(fleet)
        except ServingError as error:
            self.assert_code(ResultCode.BATCH_NOT_HELD, error)
        else:
            self.fail("the batch was accepted")
        self.assertEqual(0, fleet.holder().held_batches)

    @with_own_system("run_fleet")
    async def test_repeated_submission_is_one_batch(self, fleet):
        """A retry of a submission must not queue the whole batch again."""
        ids = []

        async def submit(name):
            holder = fleet.holder(name)
            ids.append(
                await holder.submit(CUSTOMER, ITEMS, FINISH_WITHIN_S, key="night")
            )

        async with anyio.create_task_group() as group:
            for name in fleet.names:
                group.start_soon(submit, name)
        await submit(fleet.names[0])
        self.assertEqual(1, len(set(ids)), ids)
        await self.check_complete(fleet, ids[0])
        self.assertEqual({1}, set(fleet.runs_by_prompt.values()))

    @with_own_system("run_fleet", allowance=100, item_s=20.0)
    async def test_allowance_is_counted_over_all_daemons(self, fleet):
        """By submitting at several daemons, a customer could exceed the allowance."""
        for name in fleet.names[:2]:
            await fleet.holder(name).submit(CUSTOMER, ITEMS, FINISH_WITHIN_S)
        for pause in (0.0, 12.0):
            await anyio.sleep(pause)
            try:
                await fleet.holder(fleet.names[2]).submit(
                    CUSTOMER, ITEMS, FINISH_WITHIN_S
                )
            except ServingError as error:
                self.assert_code(ResultCode.BATCH_ALLOWANCE, error)
            else:
                self.fail("the allowance was exceeded")
        await anyio.sleep(120.0)
        await fleet.holder(fleet.names[2]).submit(CUSTOMER, ITEMS, FINISH_WITHIN_S)

    @with_own_system("run_fleet")
    async def test_failed_items_keep_their_code_and_others_are_repeated(self, fleet):
        """Items must not be missing, nor fail on a retryable error."""
        fleet.failures_by_prompt = {
            "prompt 1": [ResultCode.UNKNOWN_ADAPTER],
            "prompt 2": [ResultCode.NO_REPLICA, ResultCode.STREAM_BROKEN],
        }
        batch_id = await self.submit(fleet)
        status = await fleet.wait_finished(batch_id)
        self.assertEqual(("finished", len(ITEMS), 1), _counts(status))
        results = await fleet.holder().results(batch_id)
        self.assertEqual(ResultCode.UNKNOWN_ADAPTER.number, results[1].code)
        self.assertEqual(expected_answer(ITEMS[2]), results[2].text)


class LossTest(BatchTest):
    def test_loss_of_any_one_host(self):
        """The loss of one host must not lose a batch."""

        async def check(fleet, lost_host):
            batch_id = await self.submit(fleet)
            await anyio.sleep(1.5)
            fleet.kill(lost_host)
            fleet.set_member_states()
            await self.check_complete(fleet, batch_id)
            self.assertEqual(2, len(fleet.holders_of(batch_id)))

        for number in range(6):
            self.run_fleet(lambda fleet, n=number: check(fleet, f"entry-{n}"))

    def test_loss_of_any_one_failure_domain(self):
        """Both copies of a batch must not be lost with one failure domain."""

        async def check(fleet, domain):
            batch_id = await self.submit(fleet)
            await anyio.sleep(1.5)
            for name in fleet.names:
                if fleet.failure_domain_of(name) == domain:
                    fleet.kill(name)
            fleet.set_member_states()
            await self.check_complete(fleet, batch_id)

        for domain in ("palermo", "catania", "messina"):
            self.run_fleet(lambda fleet, domain=domain: check(fleet, domain))

    def test_copies_in_one_domain_are_lost_together(self):
        """Shows that a batch is lost if both holders are in one failure domain."""

        class SingleDomainHolder(BatchHolder):
            def _candidates(
                self, held_batch, remaining_holder, allow_same_domain=False
            ):
                return [
                    name
                    for name in self._membership.routable()
                    if name != remaining_holder
                    and self._failure_domain_of(name)
                    == self._failure_domain_of(remaining_holder)
                ]

        async def check(fleet):
            batch_id = await self.submit(fleet)
            domain = fleet.failure_domain_of(fleet.holders_of(batch_id)[0])
            for name in fleet.names:
                if fleet.failure_domain_of(name) == domain:
                    fleet.kill(name)
            fleet.set_member_states()
            status = await fleet.wait_finished(batch_id)
            self.assertEqual("lost", status.state)

        self.run_fleet(check, holder_class=SingleDomainHolder)

    @with_own_system("run_fleet", item_s=5.0)
    async def test_successive_losses(self, fleet):
        """If a lost copy is not replaced, the next losses can lose the batch."""
        batch_id = await self.submit(fleet)
        for _ in range(4):
            await anyio.sleep(3.0)
            fleet.kill(fleet.holders_of(batch_id)[0])
            fleet.set_member_states()
        await self.check_complete(fleet, batch_id)

    @with_own_system("run_fleet", item_s=5.0)
    async def test_restarted_holder_has_no_copy(self, fleet):
        """A holder that restarted without its copy must not be counted."""
        batch_id = await self.submit(fleet)
        for position in (0, 1):
            await anyio.sleep(3.0)
            fleet.start(fleet.holders_of(batch_id)[position])
        await self.check_complete(fleet, batch_id)

    @with_own_system("run_fleet")
    async def test_all_holders_lost(self, fleet):
        """Guards against a lost batch that is not reported as lost."""
        batch_id = await self.submit(fleet)
        for name in fleet.holders_of(batch_id):
            fleet.start(name)
        status = await fleet.holder().status(batch_id)
        self.assertEqual("lost", status.state)
        self.assertIs(ResultCode.BATCH_LOST, status.code)
        try:
            await fleet.holder().results(batch_id)
        except ServingError as error:
            self.assert_code(ResultCode.BATCH_LOST, error)
        else:
            self.fail("results of a lost batch")

    @with_own_system("run_fleet")
    async def test_silent_holders_are_not_called_lost(self, fleet):
        """While the holders are only unreachable, "lost" must not be reported."""
        batch_id = await self.submit(fleet)
        holders = fleet.holders_of(batch_id)
        others = [name for name in fleet.names if name not in holders]
        fleet.network.partition(holders, others)
        try:
            await fleet.holder(others[0]).status(batch_id)
        except ServingError as error:
            self.assert_code(ResultCode.PEER_UNREACHABLE, error)
        else:
            self.fail("holders that do not answer may still hold the batch")
        fleet.network.heal()
        await self.check_complete(fleet, batch_id)


class HandoverTest(BatchTest):
    def test_drain_of_the_holders(self):
        """A planned stop must neither lose nor repeat items (promise P7)."""

        async def check(fleet, position):
            batch_id = await self.submit(fleet)
            await anyio.sleep(1.5)
            name = fleet.holders_of(batch_id)[position]
            fleet.set_member_states(**{name.replace("-", "_"): MemberState.LEAVING})
            await fleet.holder(name).drain()
            self.assertEqual(0, fleet.holder(name).held_batches)
            fleet.kill(name)
            fleet.set_member_states()
            self.assertEqual(2, len(fleet.holders_of(batch_id)))
            await self.check_complete(fleet, batch_id)
            self.assertEqual({1}, set(fleet.runs_by_prompt.values()))

        for position in (0, 1):
            self.run_fleet(lambda fleet, p=position: check(fleet, p))

    @with_own_system("run_fleet", item_s=8.0)
    async def test_drain_of_one_daemon_after_the_other(self, fleet):
        """Queries must still find a batch after a rolling restart."""
        batch_id = await self.submit(fleet)
        for name in fleet.names:
            fleet.set_member_states(**{name.replace("-", "_"): MemberState.LEAVING})
            await fleet.holder(name).drain()
            fleet.start(name)
            await anyio.sleep(2.0)
            self.assertEqual(2, len(fleet.holders_of(batch_id)))
        await self.check_complete(fleet, batch_id)
        self.assertEqual({1}, set(fleet.runs_by_prompt.values()))

    @with_own_system("run_fleet", item_s=20.0)
    async def test_paused_primary_resumes_after_the_takeover(self, fleet):
        """After a takeover, two primaries could both keep running a batch."""
        batch_id = await self.submit(fleet)
        primary = fleet.holders_of(batch_id)[0]
        fleet.network.pause(primary)
        await anyio.sleep(30.0)
        fleet.network.resume(primary)
        await anyio.sleep(30.0)
        self.assertEqual(2, len(fleet.holders_of(batch_id)))
        await self.check_complete(fleet, batch_id)

    @with_own_system("run_fleet", item_s=25.0)
    async def test_sides_of_a_partition_converge(self, fleet):
        """Guards against two lineages of a batch that remain after a partition."""
        batch_id = await self.submit(fleet)
        primary, second = fleet.holders_of(batch_id)
        others = [name for name in fleet.names if name not in (primary, second)]
        fleet.network.partition([primary, *others[:2]], [second, *others[2:]])
        await anyio.sleep(40.0)
        self.assertEqual(4, len(fleet.holders_of(batch_id)))
        fleet.network.heal()
        await anyio.sleep(40.0)
        self.assertEqual(2, len(fleet.holders_of(batch_id)))
        await self.check_complete(fleet, batch_id)

    @with_own_system("run_fleet", item_s=10.0)
    async def test_late_messages_change_nothing(self, fleet):
        """Late messages must not restore an old holder or result."""
        batch_id = await self.submit(fleet)
        unique = batch_id.split("~")[0]
        primary, second = fleet.holders_of(batch_id)
        held_batch = fleet.holder(primary)._batches_by_unique[unique]
        old_copy = held_batch.hold_message(held_batch.lineage)
        await anyio.sleep(11.0)
        old_update = UpdateBatch(
            unique, held_batch.lineage, next(held_batch.result_pages([0]))
        )
        fleet.kill(primary)
        fleet.set_member_states()
        await anyio.sleep(5.0)
        sender = next(name for name in fleet.names if name not in (primary, second))
        transport = fleet.daemons_by_name[sender].transport
        for name in fleet.daemons_by_name:
            for message in (old_update, old_copy, old_update):
                await transport.call(name, message, 1.0)
        self.assertIn(second, fleet.holders_of(batch_id)[:1])
        await anyio.sleep(60.0)
        self.assertEqual(2, len(fleet.holders_of(batch_id)))
        await self.check_complete(fleet, batch_id)

    @with_own_system("run_fleet", times=BatchTimes(result_retention_s=700.0))
    async def test_results_are_kept_for_the_stated_time(self, fleet):
        """Guards against results that are never removed, or removed too early."""
        batch_id = await self.submit(fleet)
        await self.check_complete(fleet, batch_id)
        await anyio.sleep(500.0)
        await self.check_complete(fleet, batch_id)
        await anyio.sleep(500.0)
        self.assertEqual([], fleet.holders_of(batch_id))
        self.assertEqual(0, fleet.holder().held_bytes)
        try:
            await fleet.holder().status(batch_id)
        except ServingError as error:
            self.assert_code(ResultCode.UNKNOWN_BATCH, error)
        else:
            self.fail("the batch should have expired")
