"""Sessions of single calls through a gateway, before replicas that fail."""

import asyncio

import testtools

from snipetrestle_standins.gateway_fleet import Caller, configuration, route
from snipetrestle_standins.platform_replica import Fault
from tests.gateway.running import run_fleet
from tests.waiting import wait_until


class CallTest(testtools.TestCase):
    def both(self, fleet, fault):
        """Gives the next request at either register replica a fault."""
        for replica in fleet.registers:
            replica.faults = [fault]

    def runs(self, fleet):
        return sum(len(replica.runs) for replica in fleet.registers)

    def test_call_is_passed_unchanged(self):
        """Guards against changed requests, and headers that only the gateway sets."""

        async def check(fleet):
            answer = await fleet.ask(
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
            (request,) = [item for r in fleet.registers for item in r.seen]
            self.assertEqual(b"content", request.body)
            self.assertEqual("ab:3", request.headers["x-prompt-prefix"])
            self.assertIn("x-request-id", request.headers)
            for name in ("x-hold", "x-pin-ms", "x-private"):
                self.assertNotIn(name, request.headers)
            self.assertLessEqual(int(request.headers["x-deadline-ms"]), 2000)
            self.assertGreater(int(request.headers["x-deadline-ms"]), 1000)

        run_fleet(check)

    def test_idempotent_call_goes_on_elsewhere(self):
        """Guards against failed look-ups while another replica could answer."""

        async def check(fleet):
            for fault in (
                Fault.RESET,
                Fault.TRUNCATED,
                Fault.UNPROVEN,
                Fault.ENCODED,
                Fault.GARBAGE,
                Fault.ERROR,
                Fault.FULL,
                Fault.SILENT,
            ):
                # Whichever replica is asked first has the fault.
                shared = [fault]
                for replica in fleet.registers:
                    replica.faults = shared
                answer = await fleet.ask("/lookup/a", method="GET")
                self.assertEqual([], shared)
                self.assertEqual(200, answer.status, fault)
                self.assertEqual(b"register GET /lookup/a", answer.body)

        run_fleet(check)

    def test_write_is_never_sent_again(self):
        """Guards against a doubled entry: whatever happens, it runs once at most."""

        async def check(fleet):
            for fault in (
                Fault.RESET,
                Fault.TRUNCATED,
                Fault.UNPROVEN,
                Fault.ENCODED,
                Fault.GARBAGE,
            ):
                self.both(fleet, fault)
                before = self.runs(fleet)
                answer = await fleet.ask("/entry/a")
                self.assertEqual(502, answer.status, fault)
                self.assertEqual(before + 1, self.runs(fleet), fault)
                for replica in fleet.registers:
                    replica.faults = []

        run_fleet(check)

    def test_write_that_did_not_run_may_be_sent_elsewhere(self):
        """Guards against a refusal while a replica has room, and a false promise."""

        async def check(fleet):
            shared = [Fault.FULL]
            for replica in fleet.registers:
                replica.faults = shared
            self.assertEqual(200, (await fleet.ask("/entry/a")).status)
            self.assertEqual([], shared)
            for replica in fleet.registers:
                replica.faults = [Fault.FULL] * 4
            answer = await fleet.ask("/entry/a")
            self.assertEqual(503, answer.status)
            self.assertIn("retry-after", answer.headers)

        run_fleet(check)

    def test_own_failure_of_a_replica_is_passed_with_its_proof(self):
        """Guards against a replica's failure told as another one."""

        async def check(fleet):
            self.both(fleet, Fault.ERROR)
            answer = await fleet.ask("/entry/a")
            self.assertEqual(500, answer.status)
            self.assertIn("x-server-signature", answer.headers)

        run_fleet(check)

    def test_second_answer_reaches_nobody(self):
        """Guards against an answer to one caller that another one gets."""

        async def check(fleet):
            for replica in fleet.registers:
                replica.faults = [Fault.EXTRA] * 3
            for number in range(8):
                answer = await fleet.ask(f"/lookup/{number}", method="GET")
                self.assertEqual(f"register GET /lookup/{number}".encode(), answer.body)

        run_fleet(check)

    def test_answer_without_length_ends_with_its_connection(self):
        """Guards against a lost answer of a replica that sends no length."""

        async def check(fleet):
            self.both(fleet, Fault.UNFRAMED)
            answer = await fleet.ask("/lookup/a", method="GET")
            self.assertEqual((200, True), (answer.status, answer.complete))
            self.assertEqual(b"register GET /lookup/a", answer.body)

        run_fleet(check)

    def test_timeout_of_the_route_ends_the_wait(self):
        """Guards against a caller kept waiting past its route's timeout."""

        async def check(fleet):
            routes = [route("entry", "non_idempotent", "register", timeout_ms=300)]
            fleet.store.put("op/config", configuration(2, routes))
            await wait_until(lambda: fleet.gateways[0].state.configuration.version == 2)
            self.both(fleet, Fault.SILENT)
            answer = await fleet.ask("/entry/a", headers=[("X-Deadline-Ms", "60000")])
            self.assertEqual(504, answer.status)
            self.assertEqual(1, self.runs(fleet))

        run_fleet(check)

    def test_replica_at_a_used_address_gets_no_request_of_another_service(self):
        """Guards against a request run by the service that has the address now."""

        async def check(fleet):
            fleet.registers[0].id = "another"
            fleet.registers[1].id = "another-too"
            answer = await fleet.ask("/entry/a")
            self.assertEqual(503, answer.status)
            self.assertEqual(0, self.runs(fleet))

        run_fleet(check)

    def test_draining_replica_gets_no_request(self):
        """Guards against new work for a replica that leaves."""

        async def check(fleet):
            leaving = fleet.registers[0]
            fleet.publish(leaving, state="draining")
            replicas = fleet.gateways[0].replicas
            await wait_until(lambda: not replicas.by_id[leaving.id].takes_requests)
            before = len(leaving.seen)
            for _ in range(6):
                self.assertEqual(200, (await fleet.ask("/entry/a")).status)
            self.assertEqual(before, len(leaving.seen))

        run_fleet(check)

    def test_caller_that_leaves_ends_its_idempotent_call(self):
        """Guards against work for callers that are gone, sent on seconds later."""

        async def check(fleet):
            for replica in fleet.registers:
                replica.faults = [Fault.FULL, Fault.SILENT, Fault.SILENT]
            async with Caller(fleet.gateways[0].settings.callers) as caller:
                asking = asyncio.create_task(caller.ask("/lookup/a", method="GET"))
                await wait_until(lambda: self.runs(fleet))
                asking.cancel()
            await wait_until(
                lambda: not any(r.in_flight for r in self.own(fleet).values())
            )

        run_fleet(check)

    def own(self, fleet):
        return fleet.gateways[0].replicas.by_id
