"""Tests of calls to servers of plain services that are in trouble."""

import asyncio
import types

import anyio
import testtools

from snipetrestle.services.http_client import HttpServiceClient
from snipetrestle.services.protocol import (
    ServiceAnswer,
    ServiceCall,
    ServiceUnreachable,
)
from snipetrestle_standins.raw_http import (
    ENDLESS_ANSWERS,
    MAX_ENDLESS_BYTES,
    UNDEFINED_STATUSES,
    ok,
    raw_server,
)
from tests.memory import assert_bounded_memory
from tests.systems import with_own_system

TIMEOUT_S = 1.0
# Of a call that ends by its time-out, for a busy machine.
MAX_CALL_S = 4 * TIMEOUT_S


def client_of(server):
    client = HttpServiceClient()
    backend_server = types.SimpleNamespace(
        name="s1", address=server.address, region="r"
    )
    client.apply(
        types.SimpleNamespace(servers_by_service={"register": [backend_server]})
    )
    return client


def call(operation):
    return ServiceCall("register", operation, b"{}", timeout=TIMEOUT_S)


class BadServerTest(testtools.TestCase):
    def run_with_server(self, function, *answers):
        async def main():
            async with raw_server(*answers) as server:
                client = client_of(server)
                await function(server, client)
                await client.aclose()

        anyio.run(main)

    @with_own_system("run_with_server", ok(b"first"), ok(b"second"))
    async def test_late_second_copy_does_not_answer_the_next_call(self, server, client):
        """The second copy of an answer came after the next call was sent on the same
        connection, and that call's caller got it."""
        server.second_copy_delay_s = 0.05
        first = await client.call(call("first"))
        server.answer_delay_s = 0.2
        second = await client.call(call("second"))
        self.assertEqual((b"first", b"second"), (first.body, second.body))

    def test_endless_answer_fails_the_call_in_time(self):
        """Each byte counted as progress, and all were kept: a call neither ended by its
        time-out nor stayed within any memory."""
        for name, answer in ENDLESS_ANSWERS.items():

            async def check(server, client, name=name):
                with assert_bounded_memory(self, name), anyio.fail_after(MAX_CALL_S):
                    try:
                        await client.call(call("write"))
                    except ServiceUnreachable as error:
                        # The call may have run.
                        self.assertTrue(error.sent, name)
                    else:
                        self.fail(f"{name}: an endless answer must not succeed")
                self.assertLess(server.sent_bytes, MAX_ENDLESS_BYTES, name)

            self.run_with_server(check, answer)

    def test_malformed_fencing_number_is_no_unexpected_error(self):
        """A header that is no number raised an error that nothing expects."""

        async def check(server, client):
            for _ in range(2):
                with testtools.ExpectedException(ServiceUnreachable):
                    await client.call(call("write"))

        answer = b"HTTP/1.1 412 X\r\nFencing-Number: many\r\nContent-Length: 0\r\n\r\n"
        self.run_with_server(check, answer)

    def test_undefined_status_fails_the_call(self):
        """A caller got the answer with status 600 or 999 as that of the service."""

        async def check(server, client):
            with anyio.fail_after(MAX_CALL_S):
                try:
                    await client.call(call("write"))
                except ServiceUnreachable as error:
                    # The call may have run.
                    self.assertTrue(error.sent)
                else:
                    self.fail("an undefined status must not succeed")

        for status in UNDEFINED_STATUSES:
            odd = ok(b"first").replace(b"200", status.encode())
            for answer in (odd, odd + ok(b"second")):
                self.run_with_server(check, answer)

    @with_own_system("run_with_server", b"")
    async def test_truncated_answer_is_no_success(self, server, client):
        """An answer that broke off halfway could reach the caller as complete."""

        async def close_after_answer(request, writer):
            writer.write(ok(b"complete answer")[:-3])
            writer.close()

        server.serve = close_after_answer
        with testtools.ExpectedException(ServiceUnreachable):
            await client.call(call("write"))

    @with_own_system("run_with_server", b"")
    async def test_slow_sound_answer_is_not_cut(self, server, client):
        """An answer that comes in parts within the time-out must arrive whole."""

        async def answer_in_parts(request, writer):
            for start in range(0, len(answer), 20):
                writer.write(answer[start : start + 20])
                await asyncio.sleep(0.05)

        answer = ok(b"part " * 20)
        server.serve = answer_in_parts
        self.assertEqual(
            ServiceAnswer(200, b"part " * 20, "application/octet-stream"),
            await client.call(call("read")),
        )
