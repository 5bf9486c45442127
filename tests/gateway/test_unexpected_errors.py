"""Tests of errors that no part of the gateway expects while it handles a request."""

import testtools

from snipetrestle.dispatch.replica_choice import ReplicaChooser
from snipetrestle.gateway.backends.replicas import Replica
from snipetrestle_standins.gateway_fleet import Caller, configuration, route
from tests.gateway.running import run_fleet
from tests.systems import with_system
from tests.waiting import wait_until


class UnexpectedErrorTest(testtools.TestCase):
    def fail_unexpectedly(self, *arguments):
        raise KeyError("replica")

    async def publish(self, fleet, fields):
        """Publishes version 2, with changed fields of a route, until it is read."""
        entry = {**route("entry", "non_idempotent", "register"), **fields}
        fleet.store.put("op/config", configuration(2, [entry]))
        state = fleet.gateways[0].state
        await wait_until(
            lambda: state.newest_positions()[""].revision >= fleet.store.revision
        )

    @with_system(run_fleet)
    async def test_route_whose_weights_are_all_zero(self, fleet):
        """Guards against a request that gets no answer after a change of weights."""
        split = [{"backend": "register", "weight": 0.0}] * 2
        await self.publish(fleet, {"split": split})
        self.assertEqual(1, fleet.gateways[0].state.configuration.version)
        answer = await fleet.send_request("/entry/a")
        self.assertEqual((200, True), (answer.status, answer.complete))

    @with_system(run_fleet)
    async def test_route_to_a_backend_that_is_not_listed(self, fleet):
        """Guards against a request that gets no answer after a change of routes."""
        await self.publish(fleet, {"backend": "unlisted"})
        self.assertEqual(2, fleet.gateways[0].state.configuration.version)
        answer = await fleet.send_request("/entry/a")
        self.assertEqual((503, True), (answer.status, answer.complete))
        self.assertIn("retry-after", answer.headers)
        self.assertEqual(
            [], [run for replica in fleet.registers for run in replica.runs]
        )

    @with_system(run_fleet)
    async def test_request_that_was_not_sent_is_answered(self, fleet):
        """Guards against a connection closed without an answer after an error."""
        fleet.gateways[0].replicas.ready_replicas = self.fail_unexpectedly
        answer = await fleet.send_request("/entry/a")
        self.assertEqual((500, True), (answer.status, answer.complete))

    @with_system(run_fleet)
    async def test_request_that_may_have_run_is_answered(self, fleet):
        """Guards against an answer that says that a request has not run."""
        self.patch(Replica, "note_success", self.fail_unexpectedly)
        answer = await fleet.send_request("/entry/a")
        self.assertEqual((502, True), (answer.status, answer.complete))

    @with_system(run_fleet)
    async def test_error_after_the_response_sends_no_second_one(self, fleet):
        """Guards against a second response, which the next request could be given."""
        fleet.gateways[0].metrics.observe = self.fail_unexpectedly
        async with Caller(fleet.gateways[0].settings.callers) as caller:
            answer = await caller.send_request("/entry/a")
            self.assertEqual((200, True), (answer.status, answer.complete))
            self.assertEqual(b"", await caller.reader.read())

    @with_system(run_fleet)
    async def test_error_before_the_request_is_read_is_answered(self, fleet):
        """Guards against a connection closed without an answer after an error."""
        fleet.gateways[0].state.routes.match = self.fail_unexpectedly
        answer = await fleet.send_request("/entry/a")
        self.assertEqual((500, True), (answer.status, answer.complete))

    @with_system(run_fleet)
    async def test_place_that_another_request_removes_during_the_choice(self, fleet):
        """Guards against a KeyError when two requests use one adapter's locations."""
        await fleet.send_request("/draft/a", adapter="a1")
        locator = fleet.gateways[0].locator
        choose = ReplicaChooser.choose
        removed = []

        async def choose_and_remove(chooser, job, candidates):
            replica = await choose(chooser, job, candidates)
            if not removed:
                removed.append(replica.id)
                locator.forget(job.metadata.adapter, replica.id)
            return replica

        self.patch(ReplicaChooser, "choose", choose_and_remove)
        answer = await fleet.send_request("/draft/a", adapter="a1")
        self.assertEqual(1, len(removed))
        self.assertEqual((200, True), (answer.status, answer.complete))
