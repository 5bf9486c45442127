"""Tests of calls through a gateway to replicas that fail in various ways."""

import asyncio

import testtools

from snipetrestle_standins.gateway_fleet import Caller, configuration, route
from snipetrestle_standins.platform_replica import Fault
from tests.gateway.running import run_fleet
from tests.systems import with_system
from tests.waiting import wait_until


class CallTest(testtools.TestCase):
    def set_fault_on_both(self, fleet, fault):
        """Injects a fault into the next request at each register replica."""
        for replica in fleet.registers:
            replica.faults = [fault]

    def run_count(self, fleet):
        """Returns how many requests the register replicas have run."""
        return sum(len(replica.runs) for replica in fleet.registers)

    @with_system(run_fleet)
    async def test_call_is_forwarded_unchanged(self, fleet):
        """Requests must not change on the way, nor may callers set reserved headers."""
        answer = await fleet.send_request(
            "/entry/a%20b?x=1&y=%2F",
            body=b"content",
            headers=[
                ("X-Prompt-Prefix", "ab:3"),
                ("X-Hold", "stolen"),
                ("X-Pin-Ms", "4000"),
                ("X-Expect-Instance", "other"),
                ("X-Deadline-Ms", "2000"),
                ("Connection", "X-Private, X-Request-Id"),
                ("X-Private", "1"),
            ],
        )
        self.assertEqual(200, answer.status)
        self.assertEqual(b"register POST /entry/a%20b?x=1&y=%2F", answer.body)
        self.assertTrue(answer.headers["x-server-signature"].startswith("signed."))
        (request,) = [
            item for replica in fleet.registers for item in replica.arrived_requests
        ]
        self.assertEqual(b"content", request.body)
        self.assertEqual("ab:3", request.headers["x-prompt-prefix"])
        self.assertIn("x-request-id", request.headers)
        for name in ("x-hold", "x-pin-ms", "x-private"):
            self.assertNotIn(name, request.headers)
        self.assertLessEqual(int(request.headers["x-deadline-ms"]), 2000)
        self.assertGreater(int(request.headers["x-deadline-ms"]), 1000)

    @with_system(run_fleet)
    async def test_failed_idempotent_call_is_retried_on_another_replica(self, fleet):
        """A look-up must not fail while another replica could answer it."""
        for fault in (
            Fault.RESET,
            Fault.TRUNCATED,
            Fault.UNSIGNED,
            Fault.CONTENT_ENCODED,
            Fault.MALFORMED,
            Fault.SERVER_ERROR,
            Fault.REFUSED,
            Fault.NO_RESPONSE,
        ):
            # The replicas share one list, so the first one asked takes the fault.
            shared_faults = [fault]
            for replica in fleet.registers:
                replica.faults = shared_faults
            answer = await fleet.send_request("/lookup/a", method="GET")
            self.assertEqual([], shared_faults)
            self.assertEqual(200, answer.status, fault)
            self.assertEqual(b"register GET /lookup/a", answer.body)

    @with_system(run_fleet)
    async def test_write_that_may_have_run_is_never_retried(self, fleet):
        """Guards against a write that runs twice after an unusable first response."""
        for fault in (
            Fault.RESET,
            Fault.TRUNCATED,
            Fault.UNSIGNED,
            Fault.CONTENT_ENCODED,
            Fault.MALFORMED,
        ):
            self.set_fault_on_both(fleet, fault)
            before = self.run_count(fleet)
            answer = await fleet.send_request("/entry/a")
            self.assertEqual(502, answer.status, fault)
            self.assertEqual(before + 1, self.run_count(fleet), fault)
            for replica in fleet.registers:
                replica.faults = []

    @with_system(run_fleet)
    async def test_write_that_did_not_run_is_retried_on_another_replica(self, fleet):
        """While another replica has capacity, a refusal would be wrong.

        Once all replicas refuse, status 503 must state that the write did not run.
        """
        shared_faults = [Fault.REFUSED]
        for replica in fleet.registers:
            replica.faults = shared_faults
        self.assertEqual(200, (await fleet.send_request("/entry/a")).status)
        self.assertEqual([], shared_faults)
        for replica in fleet.registers:
            replica.faults = [Fault.REFUSED] * 4
        answer = await fleet.send_request("/entry/a")
        self.assertEqual(503, answer.status)
        self.assertIn("retry-after", answer.headers)

    @with_system(run_fleet)
    async def test_error_response_is_forwarded_with_its_signature(self, fleet):
        """The gateway must not replace a replica's error with its own."""
        self.set_fault_on_both(fleet, Fault.SERVER_ERROR)
        answer = await fleet.send_request("/entry/a")
        self.assertEqual(500, answer.status)
        self.assertIn("x-server-signature", answer.headers)

    @with_system(run_fleet)
    async def test_second_response_to_a_request_is_dropped(self, fleet):
        """If a replica responds twice, a caller could get another one's response."""
        for replica in fleet.registers:
            replica.faults = [Fault.EXTRA_RESPONSE] * 3
        for number in range(8):
            answer = await fleet.send_request(f"/lookup/{number}", method="GET")
            self.assertEqual(f"register GET /lookup/{number}".encode(), answer.body)

    @with_system(run_fleet)
    async def test_response_without_length_ends_with_its_connection(self, fleet):
        """If a replica sends no length, its response must not be lost."""
        self.set_fault_on_both(fleet, Fault.NO_CONTENT_LENGTH)
        answer = await fleet.send_request("/lookup/a", method="GET")
        self.assertEqual((200, True), (answer.status, answer.complete))
        self.assertEqual(b"register GET /lookup/a", answer.body)

    @with_system(run_fleet)
    async def test_route_timeout_ends_the_wait(self, fleet):
        """No caller may wait past its route's timeout."""
        routes = [route("entry", "non_idempotent", "register", timeout_ms=300)]
        fleet.store.put("op/config", configuration(2, routes))
        await wait_until(lambda: fleet.gateways[0].state.configuration.version == 2)
        self.set_fault_on_both(fleet, Fault.NO_RESPONSE)
        answer = await fleet.send_request(
            "/entry/a", headers=[("X-Deadline-Ms", "60000")]
        )
        self.assertEqual(504, answer.status)
        self.assertEqual(1, self.run_count(fleet))

    @with_system(run_fleet)
    async def test_reused_address_gets_no_request_of_the_previous_service(self, fleet):
        """The service that has the address now must not run the request."""
        fleet.registers[0].id = "another"
        fleet.registers[1].id = "another-too"
        answer = await fleet.send_request("/entry/a")
        self.assertEqual(503, answer.status)
        self.assertEqual(0, self.run_count(fleet))

    @with_system(run_fleet)
    async def test_draining_replica_gets_no_request(self, fleet):
        """Guards against new requests for a replica that is leaving."""
        draining_replica = fleet.registers[0]
        fleet.publish(draining_replica, state="draining")
        replicas = fleet.gateways[0].replicas
        await wait_until(lambda: not replicas.by_id[draining_replica.id].takes_requests)
        before = len(draining_replica.arrived_requests)
        for _ in range(6):
            self.assertEqual(200, (await fleet.send_request("/entry/a")).status)
        self.assertEqual(before, len(draining_replica.arrived_requests))

    @with_system(run_fleet)
    async def test_disconnected_caller_ends_its_idempotent_call(self, fleet):
        """Guards against retries for callers that have disconnected."""
        for replica in fleet.registers:
            replica.faults = [Fault.REFUSED, Fault.NO_RESPONSE, Fault.NO_RESPONSE]
        async with Caller(fleet.gateways[0].settings.callers) as caller:
            request_task = asyncio.create_task(
                caller.send_request("/lookup/a", method="GET")
            )
            await wait_until(lambda: self.run_count(fleet))
            request_task.cancel()
        await wait_until(
            lambda: (
                not any(item.in_flight for item in self.own_replicas(fleet).values())
            )
        )

    def own_replicas(self, fleet):
        """Returns the replicas by id, as the first gateway sees them."""
        return fleet.gateways[0].replicas.by_id
