"""Tests of calls to plain services: retries, and the outcomes that callers get."""

import anyio
import testtools

from snipetrestle.codes import ResultCode, ServingError
from snipetrestle.services.http_client import HttpServiceClient
from snipetrestle.services.protocol import (
    OldFencingNumber,
    ServiceCall,
    ServiceUnreachable,
)
from snipetrestle.writes import WriteResult
from snipetrestle_standins.clock import run_in_virtual_time
from snipetrestle_standins.data_path import SERVICE, DataPath
from snipetrestle_standins.memory_http import MemoryBackend
from tests.callers.caller import Caller
from tests.systems import in_virtual_time, with_own_system

ENTER = f"/v1/services/{SERVICE}/enter"
LOOKUP = f"/v1/services/{SERVICE}/lookup"


class FakeWriteCoordinator:
    """Stands in for the WriteCoordinator; returns a result or raises ``error``."""

    def __init__(self):
        self.requests = []
        self.error = None

    async def run_write(self, request):
        self.requests.append(request)
        if self.error is not None:
            raise self.error
        return WriteResult(201, "application/json", b'{"entry": 7}')


class ServiceCallsTest(testtools.TestCase):
    def run_with_fleet(self, function, **changes):
        async def main():
            writes = FakeWriteCoordinator()
            async with DataPath(writes=writes, **changes) as fleet:
                caller = Caller(fleet.daemons_by_name["entry-1"])
                await function(fleet, caller, writes)

        run_in_virtual_time(main)

    @with_own_system("run_with_fleet")
    async def test_write_goes_to_the_coordinator(self, fleet, caller, writes):
        """No write may reach the service without a claim."""
        answer = await caller.send("POST", ENTER, b'{"size": 8}', Idempotency_Key="k-1")
        self.assertEqual((201, {"entry": 7}), (answer.status, answer.json))
        self.assertEqual([], fleet.service.calls)
        request = writes.requests[0]
        self.assertEqual(
            ("counter", SERVICE, "enter", "k-1", b'{"size": 8}'),
            (
                request.customer,
                request.service,
                request.operation,
                request.key,
                request.body,
            ),
        )

    @with_own_system("run_with_fleet")
    async def test_write_outcomes_are_reported(self, fleet, caller, writes):
        """One outcome of a write could be reported as another one."""
        for code, outcome in (
            (ResultCode.WRITE_UNKNOWN, "outcome_unknown"),
            (ResultCode.WRITE_DID_NOT_RUN, "did_not_run"),
            (ResultCode.WRITE_RESULT_EXPIRED, "ran"),
            (ResultCode.KEY_REUSED, "did_not_run"),
        ):
            writes.error = ServingError(code)
            answer = await caller.send("POST", ENTER, b"{}", Idempotency_Key="k")
            self.assertEqual(
                (code.http_status, str(code), outcome),
                (answer.status, answer.error["code"], answer.error["outcome"]),
            )
            self.assertEqual(code.retryable, "retry-after" in answer.headers)

    @with_own_system("run_with_fleet")
    async def test_write_without_a_key(self, fleet, caller, writes):
        """Without a key, a retry would run the write again: it is not accepted."""
        answer = await caller.send("POST", ENTER, b"{}")
        self.assertEqual((400, "SN-1008"), (answer.status, answer.error["code"]))
        self.assertEqual([], writes.requests)

    @with_own_system("run_with_fleet")
    async def test_unknown_operations(self, fleet, caller, writes):
        """Guards against calls that the contract forbids, and a wrong "did not run"."""
        target = f"/v1/services/{SERVICE}/erase"
        answer = await caller.send("POST", target, b"{}")
        self.assertEqual(
            (404, "SN-1007", "did_not_run"),
            (answer.status, answer.error["code"], answer.error["outcome"]),
        )
        answer = await caller.send("POST", target, b"{}", Idempotency_Key="k")
        self.assertEqual("outcome_unknown", answer.error["outcome"])
        answer = await caller.send("POST", "/v1/services/x", b"{}")
        self.assertEqual("SN-1011", answer.error["code"])
        self.assertEqual([], fleet.service.calls)

    @with_own_system("run_with_fleet", requests_per_second=3.0)
    async def test_refused_attempt_of_a_write_is_not_reported_as_not_run(
        self, fleet, caller, writes
    ):
        """While a retry of the key runs elsewhere, "did not run" would be wrong."""
        codes = set()
        for _ in range(8):
            answer = await caller.send("POST", ENTER, b"{}", Idempotency_Key="k")
            if answer.status != 201:
                error = answer.error
                codes.add((answer.status, error["code"], error["outcome"]))
                self.assertIn("retry-after", answer.headers)
        self.assertEqual({(429, "SN-1406", "outcome_unknown")}, codes)
        await fleet.daemons_by_name["entry-1"].interface.drain()
        answer = await caller.send("POST", ENTER, b"{}", Idempotency_Key="k")
        self.assertEqual("SN-1406", answer.error["code"])

    @with_own_system("run_with_fleet")
    async def test_write_continues_when_its_caller_disconnects(
        self, fleet, caller, writes
    ):
        """When its caller disconnects, a write could be cancelled halfway.

        Its result would then never be recorded.
        """
        finished = anyio.Event()

        async def slow_write(request):
            await anyio.sleep(1.0)
            finished.set()
            return WriteResult(201, "application/json", b"{}")

        writes.run_write = slow_write
        with anyio.move_on_after(0.5):
            await caller.send("POST", ENTER, b"{}", Idempotency_Key="k")
        with anyio.fail_after(10.0):
            await finished.wait()

    @with_own_system("run_with_fleet")
    async def test_idempotent_call_is_retried_within_limits(
        self, fleet, caller, writes
    ):
        """A lookup must survive a lost connection, but its retries must end."""
        listener = fleet.listeners_by_name["register-1"]
        fleet.service.faults.refuse_connections = 0
        answer = await caller.send("POST", LOOKUP, b"{}", Idempotency_Key="k")
        self.assertEqual(404, answer.status)
        self.assertEqual("k", fleet.service.calls[-1].idempotency_key)
        listener.down = True
        for connection in tuple(listener.connections):
            connection.break_connection()
        answer = await caller.send("POST", LOOKUP, b"{}")
        self.assertEqual(
            (502, "SN-1304", "did_not_run"),
            (answer.status, answer.error["code"], answer.error["outcome"]),
        )
        async with anyio.create_task_group() as group:
            group.start_soon(self.start_listener, listener)
            answer = await caller.send("POST", LOOKUP, b"{}")
        self.assertEqual(404, answer.status)

    async def start_listener(self, listener):
        await anyio.sleep(0.03)
        listener.down = False

    @with_own_system("run_with_fleet")
    async def test_service_that_does_not_answer(self, fleet, caller, writes):
        """If a service does not answer, the contract's timeout limits the wait."""
        fleet.service.delay_s = 60.0
        start = anyio.current_time()
        answer = await caller.send("POST", LOOKUP, b"{}")
        self.assertEqual(
            (504, "SN-1305", "outcome_unknown"),
            (answer.status, answer.error["code"], answer.error["outcome"]),
        )
        # The simulated clock is exact, so the time has no tolerance.
        self.assertEqual(2.0, round(anyio.current_time() - start, 1))


class HttpServiceClientTest(testtools.TestCase):
    @in_virtual_time
    async def test_errors_tell_whether_the_call_was_sent(self):
        """Guards against "did not run" for a call that may have run."""
        async with DataPath() as fleet:
            backend = MemoryBackend()
            backend.listeners_by_address = fleet.listeners_by_address
            client = HttpServiceClient("sicily", backend)
            call = ServiceCall(SERVICE, "enter", b"{}", timeout=1.0)
            await self.assert_unreachable(client, call, False)
            client.apply(fleet.configuration)
            listener = fleet.listeners_by_name["register-1"]
            listener.down = True
            await self.assert_unreachable(client, call, False)
            listener.down = False
            fleet.service.faults.lose_answers = 1
            await self.assert_unreachable(client, call, True)
            fleet.service.faults.answer_delay_s = 0.5
            async with anyio.create_task_group() as group:
                group.start_soon(self.assert_unreachable, client, call, True)
                await anyio.sleep(0.2)
                listener.break_connections()

    async def assert_unreachable(self, client, call, sent):
        try:
            await client.call(call)
        except ServiceUnreachable as error:
            self.assertEqual(sent, error.sent, str(error))
        else:
            self.fail("the call must not be answered")

    @in_virtual_time
    async def test_old_fencing_number(self):
        """A write refused for an old fencing number must not count as an answer."""
        async with DataPath() as fleet:
            fleet.service.faults.checks_fencing_numbers = True
            backend = MemoryBackend()
            backend.listeners_by_address = fleet.listeners_by_address
            client = HttpServiceClient("sicily", backend)
            client.apply(fleet.configuration)

            def call(number):
                return ServiceCall(
                    SERVICE,
                    "enter",
                    b"{}",
                    idempotency_key="k",
                    fencing_number=number,
                )

            self.assertEqual(201, (await client.call(call(5))).status)
            try:
                await client.call(call(4))
            except OldFencingNumber as error:
                self.assertEqual(5, error.highest)
            else:
                self.fail("the old number must be refused")
