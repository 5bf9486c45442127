"""Tests of engines in trouble: endless, trickling, late and malformed answers."""

import anyio
import testtools

from snipetrestle.engines import http_client
from snipetrestle.engines.http_client import HttpEngineClient
from snipetrestle.engines.protocol import (
    EngineError,
    GenerateRequest,
    LoadOrder,
    NotResident,
)
from snipetrestle_standins.raw_http import (
    CHUNKED_START,
    ENDLESS_ANSWERS,
    MAX_ENDLESS_BYTES,
    UNDEFINED_STATUSES,
    Endless,
    ok,
    raw_server,
)
from tests.memory import assert_bounded_memory
from tests.systems import with_own_system

TIMEOUT_S = 1.0
# Of a call that ends by its time-out, for a busy machine.
MAX_CALL_S = 4 * TIMEOUT_S
LOAD = LoadOrder("workshop-0@1", "workshop-0", "1", 1)
GENERATE = GenerateRequest(
    request_id="r1",
    handle="workshop-0@1",
    prompt="Size 8?",
    prompt_tokens=4,
    max_tokens=6,
    priority=0,
    fencing_number=1,
)
REFUSAL = b'HTTP/1.1 409 Conflict\r\nContent-Length: 23\r\n\r\n{"error":"NotResident"}'


class BadEngineTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        for name in ("READ_TIMEOUT_S", "LOAD_TIMEOUT_S", "CHANNEL_TIMEOUT_S"):
            self.patch(http_client, name, TIMEOUT_S)

    def run_with_engine(self, function, *answers):
        async def main():
            async with raw_server(*answers) as server:
                client = HttpEngineClient(server.address)
                await function(server, client)
                await client.aclose()

        anyio.run(main)

    async def generate(self, client):
        async with client.generate(GENERATE) as batches:
            async for _ in batches:
                pass

    async def assert_fails_in_time(self, server, name, awaitable):
        with (
            assert_bounded_memory(self, name),
            anyio.fail_after(MAX_CALL_S),
            testtools.ExpectedException(EngineError),
        ):
            await awaitable
        self.assertLess(server.sent_bytes, MAX_ENDLESS_BYTES, name)

    def test_endless_answer_fails_an_order_in_time(self):
        """Each byte counted as progress, and all were kept: an order neither ended by
        its time-out nor stayed within any memory."""
        for name, answer in ENDLESS_ANSWERS.items():

            async def check(server, client, name=name):
                await self.assert_fails_in_time(server, name, client.load(LOAD))

            self.run_with_engine(check, answer)

    def test_endless_event_fails_the_channel(self):
        """A daemon kept the bytes of an event that never ends."""
        event = Endless(CHUNKED_START, b"3e8\r\n%b\r\n" % (b"x" * 1000))

        async def check(server, client):
            await self.assert_fails_in_time(server, "event", self.generate(client))

        self.run_with_engine(check, event)

    def test_refusal_of_an_export_is_bounded(self):
        """The body of a refusal had the limit of a KV cache, 1 GB."""
        body = ENDLESS_ANSWERS["body"]
        refusal = Endless(body.start.replace(b"200 OK", b"500 Odd"), body.part)

        async def check(server, client):
            await self.assert_fails_in_time(server, "export", client.export_kv("r1"))

        self.run_with_engine(check, refusal)

    def test_refusal_of_a_channel_is_bounded(self):
        """All of its body was kept, 703 MB in 5 s."""
        body = ENDLESS_ANSWERS["body"]
        refusal = Endless(body.start.replace(b"200 OK", b"500 Odd"), body.part)

        async def check(server, client):
            await self.assert_fails_in_time(server, "refusal", self.generate(client))

        self.run_with_engine(check, refusal)

    def test_undefined_status_is_no_refusal(self):
        """The body of an answer with status 600 or 999 was believed: an order that may
        have run counted as refused."""
        refused = b'{"error":"NotResident"}'

        async def check(server, client):
            for orders in (client.load(LOAD), self.generate(client)):
                with anyio.fail_after(MAX_CALL_S):
                    try:
                        await orders
                    except EngineError as error:
                        self.assertIs(EngineError, type(error))
                        self.assertTrue(error.sent)
                    else:
                        self.fail("an undefined status must not succeed")

        for status in UNDEFINED_STATUSES:
            odd = ok(refused).replace(b"200", status.encode())
            for answer in (odd, odd + ok(b"")):
                self.run_with_engine(check, answer)

    def test_deeply_nested_answers_are_malformed(self):
        """The error is one that no task expects, which ends a daemon."""
        nested = b'{"new": ' + b"[" * 100_000 + b"]" * 100_000 + b"}"
        refusal = ok(nested).replace(b"200 OK", b"409 Conflict")

        async def check(server, client):
            for call in (client.status, client.status, lambda: client.load(LOAD)):
                with testtools.ExpectedException(EngineError):
                    await call()

        self.run_with_engine(check, ok(nested), refusal)

    def test_deeply_nested_event_fails_the_channel(self):
        """Its streams must end with the error, and not at their time-out."""
        event = b'data: {"new": ' + b"[" * 100_000 + b"]" * 100_000 + b"}\n\n"

        async def check(server, client):
            with anyio.fail_after(MAX_CALL_S), testtools.ExpectedException(EngineError):
                async with client.generate(GENERATE) as batches:
                    async for _ in batches:
                        pass

        self.run_with_engine(check, ok(event))

    @with_own_system("run_with_engine", ok(b""), REFUSAL)
    async def test_late_second_copy_does_not_answer_the_next_order(
        self, server, client
    ):
        """The second copy of an answer came after the next order was sent on the same
        connection: a refused load was taken for done."""
        server.second_copy_delay_s = 0.05
        await client.load(LOAD)
        server.answer_delay_s = 0.2
        with testtools.ExpectedException(NotResident):
            await client.load(LOAD)
