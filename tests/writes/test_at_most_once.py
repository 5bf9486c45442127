"""Tests that a write runs at most once (promise P5) and that answers are true (P4).

Tests named ``..._breaks_without_...`` switch one safeguard off and check that the
promise is then broken, so that the other tests are known to be able to fail.
"""

import anyio
import testtools

from snipetrestle.writes import coordinator, outcomes
from snipetrestle.writes.groups import choose_keepers
from snipetrestle_standins.clock import run_in_virtual_time
from snipetrestle_standins.service import ServiceFaults
from snipetrestle_standins.writes_fleet import (
    WritesFleet,
    daemon_entries,
    make_configuration,
)
from tests.systems import with_own_system
from tests.writes.faults import (
    DoubleVotingKeeper,
    PromiseBreakingKeeper,
    UnrecoveredKeeper,
    skip_recording,
)

OK, UNKNOWN, DID_NOT_RUN, IN_PROGRESS = 0, 1401, 1402, 1404
NO_OUTCOME = {UNKNOWN, IN_PROGRESS}


class PausingServiceClient:
    """Service client that pauses its daemon before (or after) its first call."""

    def __init__(self, fleet, name, after=False):
        self.daemon = fleet.daemons_by_name[name]
        self.network = fleet.network
        self.inner = self.daemon.coordinator._services
        self.after = after
        self.daemon.coordinator._services = self

    async def call(self, call):
        self.daemon.coordinator._services = self.inner
        if not self.after:
            self.network.pause(self.daemon.name)
            return await self.inner.call(call)
        answer = await self.inner.call(call)
        self.network.pause(self.daemon.name)
        await self.inner.wait_while_paused()
        return answer


class DelayedTransport:
    """Delays calls to some members by the given seconds."""

    def __init__(self, inner, delays_by_name):
        self.inner = inner
        self.delays_by_name = delays_by_name

    async def call(self, member, message, timeout):
        await anyio.sleep(self.delays_by_name.get(member, 0))
        return await self.inner.call(member, message, timeout)


def codes_of(answers):
    return {code for code, _ in answers}


def results_of(answers):
    return {(item.status, item.body) for code, item in answers if code == OK}


class WritesTestCase(testtools.TestCase):
    def run_with(self, scenario, **arguments):
        """Runs a scenario on a fleet; raises its failure outside the task groups."""
        failures = []

        async def main():
            async with WritesFleet(**arguments) as fleet:
                try:
                    await scenario(fleet)
                except Exception as failure:
                    failures.append(failure)

        run_in_virtual_time(main)
        if failures:
            raise failures[0]


class ClaimantPausesTest(WritesTestCase):
    async def pause_claimant(self, fleet, operation="plain", after=False):
        """Pauses the claimant at its service call while callers retry elsewhere.

        Returns the answers to these retries, and to another round after it has resumed.
        """
        claimant = fleet.coordinator_of()
        PausingServiceClient(fleet, claimant, after)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(fleet.write, fleet.names[0], "k1", operation)
            await anyio.sleep(0.5)
            while_paused = []
            for name in [name for name in fleet.names if name != claimant]:
                while_paused.append(await fleet.write(name, operation=operation))
            await anyio.sleep(300)
            fleet.network.resume(claimant)
        await fleet.settle()
        return while_paused, await fleet.write_everywhere(operation=operation)

    @with_own_system("run_with")
    async def test_claimant_paused_for_minutes_runs_the_write_once(self, fleet):
        """A claimant that is only paused must not cause a second run of its key."""
        while_paused, afterwards = await self.pause_claimant(fleet)
        self.assertTrue(codes_of(while_paused) <= NO_OUTCOME, while_paused)
        self.assertTrue(codes_of(afterwards) <= {OK} | NO_OUTCOME, afterwards)
        self.assertEqual(1, fleet.executions())

    @with_own_system("run_with", keeper_class=DoubleVotingKeeper)
    async def test_breaks_without_single_votes(self, fleet):
        await self.pause_claimant(fleet)
        self.assertGreater(fleet.executions(), 1)

    def fencing_arguments(self, service_checks):
        return {
            "configuration": make_configuration(checks_fencing_numbers=True),
            "faults": ServiceFaults(checks_fencing_numbers=service_checks),
        }

    def test_higher_number_makes_did_not_run_certain(self):
        """Once a caller was told "did not run", the write must not run (promise P4)."""

        async def scenario(fleet):
            while_paused, afterwards = await self.pause_claimant(fleet, "enter")
            self.assertEqual({DID_NOT_RUN}, codes_of(while_paused))
            self.assertEqual({DID_NOT_RUN}, codes_of(afterwards))
            self.assertEqual(0, fleet.executions())

        self.run_with(scenario, **self.fencing_arguments(True))

    def test_did_not_run_breaks_without_the_check_of_fencing_numbers(self):
        async def scenario(fleet):
            while_paused, _ = await self.pause_claimant(fleet, "enter")
            self.assertIn(DID_NOT_RUN, codes_of(while_paused))
            self.assertEqual(1, fleet.executions())

        self.run_with(scenario, **self.fencing_arguments(False))

    @with_own_system("run_with")
    async def test_lookup_without_fencing_proves_only_that_a_write_ran(self, fleet):
        """An empty lookup does not justify the answer "did not run" (promise P4)."""
        while_paused, afterwards = await self.pause_claimant(fleet, "enter")
        self.assertTrue(codes_of(while_paused) <= NO_OUTCOME, while_paused)
        self.assertEqual({OK}, codes_of(afterwards))
        self.assertEqual(1, fleet.executions())

    @with_own_system("run_with")
    async def test_all_retries_get_one_result_when_lookup_and_claimant_disagree(
        self, fleet
    ):
        """Guards against the claimant's answer replacing a result already returned."""
        while_paused, afterwards = await self.pause_claimant(fleet, "enter", after=True)
        self.assertEqual({OK}, codes_of(while_paused + afterwards))
        self.assertEqual(1, len(results_of(while_paused + afterwards)))
        self.assertEqual(200, while_paused[0][1].status)

    @with_own_system("run_with", keeper_class=PromiseBreakingKeeper)
    async def test_one_result_breaks_without_ballots(self, fleet):
        while_paused, afterwards = await self.pause_claimant(fleet, "enter", after=True)
        self.assertEqual(2, len(results_of(while_paused + afterwards)))


class ViewsAndPartitionsTest(WritesTestCase):
    async def write_with_single_member_views(self, fleet):
        for name in fleet.names:
            fleet.set_visible_members(name, [name])
        return await fleet.write_everywhere()

    @with_own_system("run_with")
    async def test_retries_to_all_daemons_at_one_instant_run_once(self, fleet):
        """Simultaneous retries could start two attempts at one coordinator.

        Their results could also differ.
        """
        answers = await fleet.write_everywhere()
        self.assertEqual({OK}, codes_of(answers))
        self.assertEqual(1, len(results_of(answers)))
        self.assertEqual(1, fleet.executions())

    @with_own_system("run_with")
    async def test_daemons_that_each_see_only_themselves_run_once(self, fleet):
        """Safety must not depend on equal membership views."""
        answers = await self.write_with_single_member_views(fleet)
        answers += await fleet.write_everywhere()
        self.assertTrue(codes_of(answers) <= {OK} | NO_OUTCOME, answers)
        self.assertEqual(1, len(results_of(answers)))
        self.assertEqual(1, fleet.executions())

    @with_own_system("run_with", keeper_class=DoubleVotingKeeper)
    async def test_differing_views_break_without_single_votes(self, fleet):
        await self.write_with_single_member_views(fleet)
        self.assertGreater(fleet.executions(), 1)

    async def write_on_both_sides(self, fleet):
        keepers = fleet.keepers()
        others = [name for name in fleet.names if name not in keepers]
        minority = [*keepers[:2], others[0]]
        majority = [name for name in fleet.names if name not in minority]
        fleet.network.partition(minority, majority)
        for _ in range(3):
            for name in (*minority, *majority):
                yield name in minority, await fleet.write(name)
        fleet.network.heal()
        await fleet.settle()
        yield False, await fleet.write(minority[0])

    @with_own_system("run_with")
    async def test_partition_with_retries_on_both_sides_runs_once(self, fleet):
        """The side without a majority of the keepers must not run the write."""
        answers = [item async for item in self.write_on_both_sides(fleet)]
        minority = [answer for in_minority, answer in answers if in_minority]
        majority = [answer for in_minority, answer in answers if not in_minority]
        self.assertTrue(codes_of(minority) <= NO_OUTCOME, minority)
        self.assertEqual(1, len(results_of(majority)))
        self.assertEqual(OK, majority[-1][0])
        self.assertEqual(1, fleet.executions())

    @with_own_system("run_with")
    async def test_loss_of_a_failure_domain_keeps_results_and_new_writes(self, fleet):
        """Guards against keepers that are placed in too few failure domains."""
        before = await fleet.write("entry-1")
        for name in ("entry-0", "entry-3", "entry-6"):
            fleet.kill(name)
        self.assertEqual(before, await fleet.write("entry-2"))
        code, _ = await fleet.write("entry-2", key="k2", time_left_s=10)
        self.assertEqual(OK, code)
        self.assertEqual((1, 1), (fleet.executions(), fleet.executions("k2")))

    def test_no_failure_domain_has_a_majority_of_keepers(self):
        entries = make_configuration().daemons
        domains_by_name = {item.name: item.failure_domain for item in entries}
        for number in range(200):
            names = choose_keepers(f"partition-{number}", entries, 5)
            used = [domains_by_name[name] for name in names]
            self.assertEqual(5, len(set(names)))
            self.assertLess(max(used.count(domain) for domain in used), 3)


class ReplacedKeepersTest(WritesTestCase):
    async def replace_keepers(self, fleet, count, one_by_one, operation="plain"):
        """Replaces keepers while the claimant is paused after it won; then retries."""
        claimant = fleet.coordinator_of()
        PausingServiceClient(fleet, claimant)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(fleet.write, fleet.names[0], "k1", operation)
            await anyio.sleep(0.5)
            for name in [name for name in fleet.keepers() if name != claimant][:count]:
                fleet.start(name)
                await fleet.settle(1.0 if one_by_one else 0)
            await fleet.settle()
            names = [name for name in fleet.names if name != claimant]
            answers = [
                await fleet.write(name, "k1", operation, time_left_s=20)
                for name in names
            ]
            fleet.network.resume(claimant)
            await fleet.settle(15)
        return answers

    @with_own_system("run_with")
    async def test_keepers_replaced_in_turn_keep_the_claim(self, fleet):
        """Keepers replaced in turn could vote although they lost an earlier vote."""
        answers = await self.replace_keepers(fleet, 4, True, "enter")
        self.assertTrue(codes_of(answers) <= NO_OUTCOME, answers)
        self.assertEqual(1, fleet.executions())
        after = await fleet.write_everywhere(operation="enter")
        self.assertEqual({OK}, codes_of(after))

    @with_own_system("run_with")
    async def test_loss_of_a_majority_makes_answers_unknown(self, fleet):
        """Guards against empty keepers that start the group anew, for any key."""
        fleet.publish(make_configuration(start="existing"))
        answers = await self.replace_keepers(fleet, 4, one_by_one=False)
        answers.append(await fleet.write("entry-0", key="k2"))
        self.assertTrue(codes_of(answers) <= NO_OUTCOME, answers)
        self.assertEqual(1, fleet.executions())
        self.assertEqual(0, fleet.executions("k2"))

    @with_own_system("run_with", keeper_class=UnrecoveredKeeper)
    async def test_replacement_breaks_without_recovery(self, fleet):
        await self.replace_keepers(fleet, 4, one_by_one=True)
        self.assertGreater(fleet.executions(), 1)

    async def vote_before_and_after_restart(self, fleet):
        """Lets a keeper vote for one claim, and its replacement for another."""
        first, second, third, fourth, fifth = fleet.keepers()
        first_claimant, second_claimant = [
            name for name in fleet.names if name not in fleet.keepers()
        ]
        late = {second: 0.5, third: 0.5, fourth: 10, fifth: 10}
        self.delay_calls(fleet, first_claimant, late)
        self.delay_calls(fleet, second_claimant, {second: 10, third: 10})
        for name in (first_claimant, second_claimant):
            fleet.set_visible_members(name, [name])
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(fleet.write, first_claimant)
            await anyio.sleep(0.1)
            fleet.start(first)
            await anyio.sleep(0.2)
            tasks.start_soon(fleet.write, second_claimant)

    def delay_calls(self, fleet, name, delays_by_name):
        keeper_client = fleet.daemons_by_name[name].coordinator._keeper_client
        keeper_client._transport = DelayedTransport(
            keeper_client._transport, delays_by_name
        )

    @with_own_system("run_with")
    async def test_vote_of_a_replaced_incarnation_is_discarded(self, fleet):
        """If two incarnations of one keeper both count, two majorities can form."""
        await self.vote_before_and_after_restart(fleet)
        self.assertEqual(1, fleet.executions())

    def test_old_votes_break_without_known_incarnations(self):
        self.patch(coordinator, "consistent_replies", lambda replies: replies)

        async def scenario(fleet):
            await self.vote_before_and_after_restart(fleet)
            self.assertEqual(2, fleet.executions())

        self.run_with(scenario)

    @with_own_system("run_with")
    async def test_replacement_with_an_earlier_clock_still_recovers(self, fleet):
        """Neither safety nor recovery may depend on the wall clock."""
        name = fleet.keepers()[0]
        fleet.start(name)
        await fleet.settle()
        daemon = fleet.start(name, incarnation_number=1)
        await fleet.settle()
        self.assertTrue(daemon.keeper.is_ready())
        partition = daemon.keeper.current_partitions()[0]
        self.assertGreater(partition.incarnation.number, len(fleet.names))


class ServiceFaultsTest(WritesTestCase):
    async def retry_after_late_answer(self, fleet, operation):
        first = await fleet.write("entry-0", operation=operation, time_left_s=1)
        second = await fleet.write("entry-1", operation=operation)
        await fleet.settle(60)
        answers = await fleet.write_everywhere(operation=operation)
        self.assertEqual(1, fleet.executions())
        return first, second, answers

    @with_own_system("run_with", faults=ServiceFaults(answer_delay_s=5))
    async def test_answer_after_the_time_out_stays_unknown(self, fleet):
        """After a timeout there must be no second attempt."""
        first, second, answers = await self.retry_after_late_answer(fleet, "plain")
        self.assertTrue(codes_of([first, second, *answers]) <= NO_OUTCOME)

    @with_own_system("run_with", faults=ServiceFaults(answer_delay_s=5))
    async def test_lookup_turns_unknown_into_done(self, fleet):
        first, second, answers = await self.retry_after_late_answer(fleet, "enter")
        self.assertEqual({OK}, codes_of([second, *answers]))
        self.assertEqual(1, len(results_of([second, *answers])))

    async def refuse_then_accept(self, fleet):
        first = await fleet.write("entry-0", time_left_s=10)
        fleet.service.faults.refuse_connections = 0
        return first, await fleet.write_everywhere()

    @with_own_system("run_with", faults=ServiceFaults(refuse_connections=1000))
    async def test_did_not_run_forbids_a_later_run(self, fleet):
        """No run may follow after the caller was told "did not run" (promise P4)."""
        first, later = await self.refuse_then_accept(fleet)
        self.assertEqual({DID_NOT_RUN}, codes_of([first, *later]))
        self.assertEqual(0, fleet.executions())

    def test_did_not_run_breaks_without_a_recorded_outcome(self):
        self.patch(outcomes.OutcomeRegister, "record_as_claimant", skip_recording)

        async def scenario(fleet):
            first, _ = await self.refuse_then_accept(fleet)
            self.assertEqual(DID_NOT_RUN, first[0])
            self.assertEqual(1, fleet.executions())

        self.run_with(scenario, faults=ServiceFaults(refuse_connections=1000))


class RecordsTest(WritesTestCase):
    @with_own_system("run_with")
    async def test_key_with_another_body_is_refused(self, fleet):
        await fleet.write("entry-0", body=b"one")
        answers = await fleet.write_everywhere(body=b"two")
        self.assertEqual({1009}, codes_of(answers))
        self.assertEqual([b"one"], fleet.service.bodies_by_key["k1"])

    def test_key_stays_known_after_the_result_has_expired(self):
        """When the result of a key is no longer kept, the key must not run again."""

        async def scenario(fleet):
            await fleet.write("entry-0")
            await fleet.settle(9)
            self.assertEqual({OK}, codes_of(await fleet.write_everywhere()))
            await fleet.settle(11)
            self.assertEqual({1403}, codes_of(await fleet.write_everywhere()))
            self.assertEqual({1009}, codes_of([await fleet.write("entry-1", body=b"")]))
            self.assertEqual(1, fleet.executions())
            for daemon in fleet.daemons_by_name.values():
                self.assertEqual(0, daemon.keeper.table.result_bytes)

        configuration = make_configuration(result_retention_s=15.0)
        self.run_with(scenario, configuration=configuration)

    @with_own_system("run_with", configuration=make_configuration(max_records=3))
    async def test_full_table_refuses_new_keys_and_forgets_none(self, fleet):
        for number in range(3):
            await fleet.write("entry-0", key=f"old-{number}")
        answers = await fleet.write_everywhere(key="new")
        self.assertEqual({1405}, codes_of(answers))
        self.assertEqual(0, fleet.executions("new"))
        for number in range(3):
            code, _ = await fleet.write("entry-1", key=f"old-{number}")
            self.assertEqual((OK, 1), (code, fleet.executions(f"old-{number}")))

    @with_own_system("run_with", faults=ServiceFaults(answer_delay_s=1))
    async def test_drain_finishes_the_attempt_and_refuses_new_writes(self, fleet):
        """A planned stop must not leave a write unknown (promise P7)."""
        daemon = fleet.daemons_by_name[fleet.coordinator_of()]
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(fleet.write, daemon.name)
            await anyio.sleep(0.1)
            await daemon.coordinator.drain()
        self.assertEqual(1406, (await fleet.write(daemon.name, key="k2"))[0])
        fleet.kill(daemon.name)
        self.assertEqual({OK}, codes_of(await fleet.write_everywhere()))


class EpochsTest(WritesTestCase):
    async def replace_daemon_name(self, fleet, **writes):
        """Replaces a daemon name in the published configuration, in a second epoch."""
        names = [*fleet.names[1:], "entry-7"]
        fleet.names.append("entry-7")
        fleet.publish(make_configuration(names=names, epoch=2, **writes))
        fleet.start("entry-7")
        await fleet.settle(10)

    def previous_epoch(self, fleet):
        return {"epoch": 1, "daemons": daemon_entries(fleet.names)}

    async def change_keepers_while_paused(self, fleet, **writes):
        """Changes the keepers while the claimant, which is not a keeper, is paused."""
        await fleet.write("entry-0", key="old")
        entries = make_configuration(names=[*fleet.names[1:], "entry-7"]).daemons
        keepers = choose_keepers("partition-0", entries, 5)
        claimant = next(name for name in fleet.names[1:] if name not in keepers)
        for name in fleet.names:
            fleet.set_visible_members(name, [claimant])
        PausingServiceClient(fleet, claimant)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(fleet.write, fleet.names[0], "k1", "enter")
            await anyio.sleep(0.5)
            await self.replace_daemon_name(fleet, **writes)
            names = [name for name in fleet.names if name != claimant]
            answers = [await fleet.write(name, "k1", "enter") for name in names]
            self.new_key_answer = await fleet.write("entry-7", key="new")
            fleet.network.resume(claimant)
            await fleet.settle(15)
        return answers

    @with_own_system("run_with")
    async def test_handover_keeps_claims_and_results(self, fleet):
        """Guards against a second run after the keepers of a key have changed."""
        previous = self.previous_epoch(fleet)
        answers = await self.change_keepers_while_paused(
            fleet, start="existing", previous=previous
        )
        self.assertTrue(codes_of(answers) <= NO_OUTCOME, answers)
        after = await fleet.write_everywhere(operation="enter")
        self.assertEqual({OK}, codes_of(after))
        self.assertEqual({OK}, codes_of(await fleet.write_everywhere(key="old")))
        self.assertEqual((1, 1), (fleet.executions(), fleet.executions("old")))
        self.assertEqual(OK, self.new_key_answer[0])

    @with_own_system("run_with")
    async def test_epoch_without_previous_answers_unknown(self, fleet):
        answers = await self.change_keepers_while_paused(fleet, start="existing")
        self.assertTrue(codes_of(answers) <= NO_OUTCOME, answers)
        self.assertEqual(UNKNOWN, self.new_key_answer[0])
        self.assertEqual(1, fleet.executions())

    @with_own_system("run_with")
    async def test_epoch_declared_new_without_handover_can_run_twice(self, fleet):
        """Shows why the handover is needed: ``start: new`` drops the old records."""
        await self.change_keepers_while_paused(fleet, start="new")
        self.assertEqual(2, fleet.executions())

    @with_own_system("run_with")
    async def test_previous_that_is_published_late_still_hands_over(self, fleet):
        """Keepers must not start empty once ``previous`` allows a start."""
        await fleet.write("entry-0")
        previous = self.previous_epoch(fleet)
        names = [*fleet.names[1:], "entry-7"]
        await self.replace_daemon_name(fleet, start="existing")
        changes = {"names": names, "epoch": 2, "start": "existing"}
        complete = make_configuration(**changes, previous=previous)
        for name in fleet.names:
            # Daemons that have the late configuration must not start a group with
            # those that lack it.
            fleet.publish(complete, [name])
            await fleet.settle(7)
        answers = await fleet.write_everywhere()
        self.assertEqual({OK}, codes_of(answers))
        self.assertEqual(1, fleet.executions())

    @with_own_system("run_with")
    async def test_changed_names_without_an_epoch_answer_unknown(self, fleet):
        """Changed names must not start an empty group beside one that has records."""
        before = await fleet.write("entry-0")
        original = fleet.configuration
        names = [*fleet.names[2:], "entry-7"]
        fleet.publish(make_configuration(names=names))
        await fleet.settle(10)
        self.assertEqual({UNKNOWN}, codes_of(await fleet.write_everywhere()))
        fleet.publish(original)
        await fleet.settle(10)
        self.assertEqual(before, await fleet.write("entry-0"))


class UnresolvedClaimsTest(WritesTestCase):
    async def retry_after_time_out(self, fleet, clear_unresolved_claims):
        """Lets the service call time out, then retries, which ask for the claim."""
        await fleet.write("entry-0", time_left_s=6)
        write_coordinator = fleet.daemons_by_name[fleet.coordinator_of()].coordinator
        self.assertEqual({}, write_coordinator._attempts_by_key)
        if clear_unresolved_claims:
            write_coordinator._unresolved_claims.clear()
        await fleet.settle(10)
        return await fleet.write_everywhere()

    @with_own_system("run_with", faults=ServiceFaults(lose_answers=1))
    async def test_unknown_attempt_is_never_withdrawn(self, fleet):
        """As long as a write may have run, its claim must not be withdrawn."""
        answers = await self.retry_after_time_out(fleet, clear_unresolved_claims=False)
        self.assertTrue(codes_of(answers) <= NO_OUTCOME, answers)
        self.assertEqual(1, fleet.executions())

    @with_own_system("run_with", faults=ServiceFaults(lose_answers=1))
    async def test_unknown_attempt_breaks_without_unresolved_claims(self, fleet):
        await self.retry_after_time_out(fleet, clear_unresolved_claims=True)
        self.assertEqual(2, fleet.executions())
