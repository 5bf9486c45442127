"""Tests of callers in trouble: endless, trickling and unread messages."""

import asyncio

import testtools

from snipetrestle.gateway.callers import http_server
from snipetrestle_standins.gateway_fleet import HOSTNAME, Caller
from tests.gateway.running import run_fleet
from tests.memory import assert_bounded_memory
from tests.waiting import wait_until

CHUNKED_HEAD = (
    f"POST /entry/a HTTP/1.1\r\nHost: {HOSTNAME}\r\nX-Request-Id: bad\r\n"
    "Transfer-Encoding: chunked\r\n\r\n"
).encode()
FILLER = b"x" * 1000
MAX_SENT_BYTES = 64 * 1024 * 1024
GOOD_CALLERS = 20

ENDLESS_MESSAGES = {
    "head": (b"POST /entry/a HTTP/1.1\r\n", b"X-F: %b\r\n" % FILLER),
    "empty lines": (b"", b"\r\n" * 500),
    "chunk extension": (CHUNKED_HEAD + b"5;", FILLER),
    "trailers": (CHUNKED_HEAD + b"0\r\n", b"X-F: %b\r\n" % FILLER),
    "body": (CHUNKED_HEAD, b"3e8\r\n%b\r\n" % FILLER),
}


class EndlessRequestTest(testtools.TestCase):
    async def send_without_end(self, fleet, start, part):
        """Sends until the gateway stops reading. Returns (bytes sent, Response)."""
        async with Caller(fleet.gateways[0].settings.callers) as caller:
            caller.writer.write(start)
            sent_bytes = 0
            response_task = asyncio.create_task(caller.read_response())
            try:
                while sent_bytes < MAX_SENT_BYTES and not response_task.done():
                    caller.writer.write(part)
                    sent_bytes += len(part)
                    await caller.writer.drain()
            except ConnectionError:
                pass
            return sent_bytes, await response_task

    def test_endless_message_is_refused(self):
        """Trailer fields were kept without a bound, and extensions read for ever: one
        caller could fill the memory of a host in seconds."""

        async def check(fleet):
            for name, (start, part) in ENDLESS_MESSAGES.items():
                with assert_bounded_memory(self, name):
                    bad = asyncio.create_task(self.send_without_end(fleet, start, part))
                    others = await asyncio.gather(
                        *(
                            fleet.send_request("/lookup/good", method="GET")
                            for _ in range(GOOD_CALLERS)
                        )
                    )
                    sent_bytes, answer = await bad
                self.assertEqual({200}, {answer.status for answer in others}, name)
                self.assertLess(sent_bytes, MAX_SENT_BYTES, name)
                self.assertIn(answer.status, (400, 413, 431), name)
            arrived = [
                request.headers["x-request-id"]
                for replica in fleet.registers
                for request in replica.arrived_requests
            ]
            self.assertNotIn("bad", arrived)

        run_fleet(check)

    def test_trailers_do_not_become_headers(self):
        """A trailer could name an adapter after all checks of the head were made."""

        async def check(fleet):
            async with Caller(fleet.gateways[0].settings.callers) as caller:
                caller.writer.write(
                    CHUNKED_HEAD + b"3\r\nabc\r\n0\r\nX-Model: m9/a1\r\n"
                    b"Host: other\r\nX-Deadline-Ms: 1\r\n\r\n"
                )
                answer = await caller.read_response()
            self.assertEqual(200, answer.status)
            (request,) = [
                item for replica in fleet.registers for item in replica.arrived_requests
            ]
            self.assertEqual(b"abc", request.body)
            self.assertNotIn("x-model", request.headers)
            self.assertEqual(HOSTNAME, request.headers["host"])

        run_fleet(check)

    def test_trickling_body_is_refused(self):
        """Each byte counted as progress, so a body could be sent for ever."""
        self.patch(http_server, "MAX_BODY_PAUSE_S", 0.5)

        async def check(fleet):
            async with Caller(fleet.gateways[0].settings.callers) as caller:
                head = CHUNKED_HEAD.replace(
                    b"Transfer-Encoding: chunked", b"Content-Length: 1000"
                )
                caller.writer.write(head)
                response_task = asyncio.create_task(caller.read_response())
                sent_bytes = 0
                while not response_task.done() and sent_bytes < 200:
                    caller.writer.write(b"x")
                    sent_bytes += 1
                    await asyncio.sleep(0.05)
                self.assertEqual(408, (await response_task).status)

        run_fleet(check)

    def test_slow_sound_body_is_read(self):
        """A body that arrives slowly, but steadily, must not be cut."""
        self.patch(http_server, "MAX_BODY_PAUSE_S", 0.5)

        async def check(fleet):
            async with Caller(fleet.gateways[0].settings.callers) as caller:
                head = CHUNKED_HEAD.replace(
                    b"Transfer-Encoding: chunked", b"Content-Length: 3000"
                )
                caller.writer.write(head)
                for _ in range(15):
                    await asyncio.sleep(0.1)
                    caller.writer.write(b"x" * 200)
                self.assertEqual(200, (await caller.read_response()).status)

        run_fleet(check)

    def test_unread_responses_end_the_connection(self):
        """Responses to pipelined requests filled the memory if nobody read them."""
        self.patch(http_server, "MAX_RESPONSE_PAUSE_S", 0.3)

        async def check(fleet):
            for replica in fleet.registers:
                replica.body_for = lambda request: b"x" * 1_000_000
            request = (
                f"GET /lookup/a HTTP/1.1\r\nHost: {HOSTNAME}\r\n"
                "X-Request-Id: unread\r\n\r\n"
            ).encode()
            server = fleet.gateways[0].caller_server
            async with Caller(fleet.gateways[0].settings.callers) as caller:
                caller.writer.transport.pause_reading()
                caller.writer.write(request * 60)
                await wait_until(lambda: server.connections)
                await wait_until(lambda: not server.connections)
            runs = sum(len(replica.runs) for replica in fleet.registers)
            self.assertLess(runs, 30)

        run_fleet(check)
