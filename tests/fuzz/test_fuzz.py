"""Runs the fuzzing machines with fixed seeds, and with faults that they must find."""

import contextlib
import io

import testtools
from loguru import logger

from snipetrestle.batches import BatchHolder
from snipetrestle.coordination.placement import order_messages, order_sender, orders
from snipetrestle.coordination.placement.adapter_places import BackendPlacement
from snipetrestle.engines.ownership import ReplicaOwnership
from snipetrestle.peers import configuration_spread
from snipetrestle.placement import slots
from snipetrestle.writes import outcomes
from snipetrestle_standins import engine
from snipetrestle_standins.orders_fleet import AcceptedOrder, OrdersFleet
from tests.fuzz import __main__ as command
from tests.fuzz.batches import BatchMachine
from tests.fuzz.configuration import ConfigurationMachine
from tests.fuzz.oracle import PromiseBroken
from tests.fuzz.orders import OrdersMachine, OrdersOracle
from tests.fuzz.replicas import ReplicaMachine
from tests.fuzz.running import run_batch
from tests.fuzz.writes import WriteMachine
from tests.writes import faults

STEPS = 40
# Each fault was found after far fewer examples.
FAULT_EXAMPLES = 400


class FuzzTestCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        logger.disable("snipetrestle")
        self.addCleanup(logger.enable, "snipetrestle")


class FixedSeedsTest(FuzzTestCase):
    def run_seed(self, machine, seed, examples, steps=STEPS):
        report = run_batch(machine, seed, examples, steps)
        if report.failure is not None:
            raise report.failure
        self.assertGreaterEqual(report.examples, examples)
        return report

    def test_writes(self):
        """Guards against violations of P3, P4, P5 and P9 by writes."""
        for seed in (1, 2):
            self.run_seed(WriteMachine, seed, 40)

    def test_replicas(self):
        """Generations must not violate P1, P2, P3, P6 or P9."""
        self.run_seed(ReplicaMachine, 1, 8)

    def test_batches(self):
        """P3, P7 and P9 must hold for batches."""
        self.run_seed(BatchMachine, 1, 40)

    def test_configuration(self):
        """The spread of the configuration could violate P8."""
        self.run_seed(ConfigurationMachine, 1, 15)

    def test_orders(self):
        """Orders could violate LIMIT and ONE, and lookups P9."""
        self.run_seed(OrdersMachine, 1, 6, steps=25)

    def test_seed_repeats_the_same_cases(self):
        """Guards against a printed seed that does not reproduce its failure."""
        reports = [self.run_seed(WriteMachine, 3, 5) for _ in range(2)]
        self.assertEqual(reports[0].steps, reports[1].steps)


class FaultsTest(FuzzTestCase):
    """Oracles that find nothing look like success: each test adds a fault to find."""

    def assert_found(self, machine, promise, **class_attributes):
        """Asserts that a machine with these class attributes breaks the promise."""
        faulty = type("FaultyMachine", (machine,), class_attributes)
        report = run_batch(faulty, 1, FAULT_EXAMPLES, STEPS, shrink=False)
        self.assertIsInstance(report.failure, PromiseBroken)
        self.assertEqual(promise, report.failure.promise, report.failure)

    def test_finds_tokens_of_another_version(self):
        class WrongVersionStream(engine._Stream):
            def __init__(self, request, order):
                super().__init__(request, order)
                self.version = "1"

        self.patch(engine, "_Stream", WrongVersionStream)
        self.assert_found(ReplicaMachine, "P1")

    def test_finds_evictions_of_copies_in_use(self):
        self.patch(slots.Copy, "evictable", slots.Copy.ready)
        self.assert_found(ReplicaMachine, "P2")

    def test_finds_swapped_answers(self):
        self.assert_found(
            WriteMachine, "P3", coordinator_class=faults.SwappedAnswerCoordinator
        )

    def test_finds_did_not_run_at_a_service_that_ignores_fencing_numbers(self):
        self.assert_found(WriteMachine, "P4", service_checks_as_published=False)

    def test_finds_votes_for_two_claims(self):
        self.assert_found(WriteMachine, "P5", keeper_class=faults.DoubleVotingKeeper)

    def test_finds_keepers_without_recovery(self):
        self.assert_found(WriteMachine, "P5", keeper_class=faults.UnrecoveredKeeper)

    def test_finds_outcomes_returned_without_recording(self):
        register = outcomes.OutcomeRegister
        self.patch(register, "record_as_claimant", faults.skip_recording)
        self.assert_found(WriteMachine, "P5")

    def test_finds_new_work_at_a_leaving_engine(self):
        class LeavingIgnoredOwnership(ReplicaOwnership):
            def set_leaving(self, names):
                return

        self.assert_found(ReplicaMachine, "P6", ownership_class=LeavingIgnoredOwnership)

    def test_finds_a_planned_stop_that_moves_no_batch(self):
        class UndrainedHolder(BatchHolder):
            async def drain(self):
                return

        self.assert_found(BatchMachine, "P7", holder_class=UndrainedHolder)

    def test_finds_a_change_that_is_not_applied(self):
        build = configuration_spread.build_configuration
        self.patch(
            configuration_spread,
            "build_configuration",
            lambda base, content: base or build(base, content),
        )
        self.assert_found(ConfigurationMachine, "P8")

    def test_finds_more_adapters_than_slots(self):
        adapter_slots = orders.adapter_slots
        self.patch(orders, "adapter_slots", lambda *args: adapter_slots(*args) + 1)
        self.assert_found(OrdersMachine, "LIMIT")

    def test_finds_orders_that_are_taken_late(self):
        def without_count(*args):
            return order_messages.Order(*args[:5], None, *args[6:])

        self.patch(order_sender, "Order", without_count)
        self.assert_found(OrdersMachine, "LIMIT")

    def test_oracle_finds_one_token_of_two_leaders(self):
        """Tests the oracle directly: no injected fault led to this in 150 s."""
        fleet = OrdersFleet(["entry-0"])
        replica = fleet.replicas_by_id["replica-0"]
        replica.accepted += [
            AcceptedOrder(1, 5, "entry-0", 0.0),
            AcceptedOrder(1, 5, "entry-1", 60.0),
        ]
        failure = self.assertRaises(PromiseBroken, OrdersOracle(fleet).check)
        self.assertEqual("ONE", failure.promise)

    def test_oracle_finds_leaders_that_take_turns(self):
        """The oracle passed two leaders that raised their tokens in turn for good."""
        fleet = OrdersFleet(["entry-0"])
        replica = fleet.replicas_by_id["replica-0"]
        replica.accepted += [
            AcceptedOrder(1, token, f"entry-{token % 2}", token * 1.0)
            for token in range(3)
        ]
        failure = self.assertRaises(PromiseBroken, OrdersOracle(fleet).check)
        self.assertEqual("ONE", failure.promise)

    def test_finds_lookups_without_a_location(self):
        self.patch(
            BackendPlacement, "choose_replica", lambda placement, key, avoid=(): None
        )
        self.assert_found(OrdersMachine, "P9")

    def test_finds_callers_without_an_answer(self):
        self.assert_found(
            WriteMachine, "P9", coordinator_class=faults.UnansweringCoordinator
        )


class CommandTest(FuzzTestCase):
    def test_prints_seed_steps_and_the_shortest_failing_case(self):
        machine = type(
            "UnansweringMachine",
            (WriteMachine,),
            {"coordinator_class": faults.UnansweringCoordinator},
        )
        self.patch(command, "MACHINES_BY_NAME", {"writes": machine})
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            status = command.main(["--seed", "5", "--examples", "20", "--steps", "6"])
        self.assertEqual(1, status)
        for text in (
            "seed 5",
            "steps in",
            "shortest failing case",
            # The only step of each failing case; others depend on the set of rules.
            "state.teardown()",
            "PromiseBroken: P9",
        ):
            self.assertIn(text, output.getvalue())
