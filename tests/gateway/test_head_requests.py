"""Tests that HEAD requests are answered at once and without a body."""

import asyncio

import testtools

from snipetrestle_standins.gateway_fleet import HOSTNAME, Caller
from snipetrestle_standins.platform_replica import Fault
from tests.gateway.running import run_fleet
from tests.systems import with_system

# Within this time nothing may follow the head of a response.
QUIET_S = 0.05


class HeadRequestTest(testtools.TestCase):
    async def send_both(self, caller, path, **options):
        """Sends a HEAD request and then a GET request. Returns both Responses."""
        return [
            await caller.send_request(path, method=method, **options)
            for method in ("HEAD", "GET")
        ]

    @with_system(run_fleet)
    async def test_response_to_head_is_not_awaited_as_if_it_had_a_body(self, fleet):
        """The declared body never came: the caller got 502, or 504 at its deadline."""
        async with Caller(fleet.gateways[0].settings.callers) as caller:
            for path in ("/lookup/a", "/entry/a"):
                head, full = await self.send_both(caller, path)
                self.assertEqual((200, 200), (head.status, full.status), path)
                self.assertIn("x-server-signature", head.headers)
                # The body of GET names the method, which is one byte shorter.
                self.assertEqual(
                    str(len(full.body) + 1), head.headers["content-length"]
                )

    @with_system(run_fleet)
    async def test_head_of_a_stream_is_answered(self, fleet):
        """It was awaited until its first event, which a HEAD request never gets."""
        async with Caller(fleet.gateways[0].settings.callers) as caller:
            for path in ("/draft/a", "/night/a"):
                head, full = await self.send_both(caller, path, adapter="")
                self.assertEqual((200, 200), (head.status, full.status), path)
                self.assertNotIn("content-length", head.headers)
                self.assertEqual(6, len(full.event_ids), path)

    @with_system(run_fleet)
    async def test_gateway_answers_head_without_a_body(self, fleet):
        """Callers took the body of a refusal for the start of their next answer."""
        settings = fleet.gateways[0].settings
        async with Caller(settings.callers) as caller:
            head, full = await self.send_both(caller, "/unknown/a")
            self.assertEqual((404, 404), (head.status, full.status))
            self.assertEqual(str(len(full.body)), head.headers["content-length"])
        async with Caller(settings.metrics) as caller:
            head, full = await self.send_both(caller, "/metrics")
            self.assertEqual((200, 200), (head.status, full.status))
            self.assertNotEqual("0", head.headers["content-length"])

    def test_refused_head_is_answered_without_a_body(self):
        """The refusal of a request that is not read whole has the right framing too."""
        start = f"/lookup/a HTTP/1.1\r\nHost: {HOSTNAME}\r\n"
        endings = {
            "malformed": (b"No colon\r\n\r\n", b"400"),
            "ambiguous": (b"Host: other\r\n\r\n", b"400"),
            "unfinished": (b"X-Request-Id: a\r\n", b"408"),
        }

        async def check(fleet):
            for name, (ending, status) in endings.items():
                for method in ("HEAD", "GET"):
                    async with Caller(fleet.gateways[0].settings.callers) as caller:
                        caller.writer.write(f"{method} {start}".encode() + ending)
                        received = await caller.reader.read()
                    head, _, body = received.partition(b"\r\n\r\n")
                    self.assertEqual(status, head.split(b" ")[1], name)
                    self.assertEqual(method == "HEAD", not body, (name, method))
                    self.assertIn(b"connection: close", head)

        run_fleet(check)

    @with_system(run_fleet)
    async def test_malformed_request_behind_head_is_refused_with_a_body(self, fleet):
        """The method of an earlier request must not frame a refusal."""
        request = (
            f"HEAD /lookup/a HTTP/1.1\r\nHost: {HOSTNAME}\r\nX-Request-Id: a\r\n\r\n"
        ).encode()
        async with Caller(fleet.gateways[0].settings.callers) as caller:
            caller.writer.write(request + b"BOGUS / HTTP/1.1\r\n\r\n")
            answer = await caller.read_response(has_body=False)
            refusal = await caller.read_response()
        self.assertEqual((200, 400), (answer.status, refusal.status))
        self.assertEqual(b"SN-1002", refusal.body)

    @with_system(run_fleet, registers=1)
    async def test_error_responses_to_head_are_passed_on_without_a_body(self, fleet):
        """A failure that a replica reports is framed like a success."""
        (replica,) = fleet.registers
        replica.faults = [Fault.SERVER_ERROR] * 2
        async with Caller(fleet.gateways[0].settings.callers) as caller:
            head, full = await self.send_both(caller, "/entry/a")
        self.assertEqual((500, 500), (head.status, full.status))
        self.assertIn("x-server-signature", head.headers)

    @with_system(run_fleet, registers=1)
    async def test_body_of_a_replica_that_answers_head_wrongly_reaches_no_caller(
        self, fleet
    ):
        """The unasked body would be read as the start of the next response."""
        (replica,) = fleet.registers
        for _ in range(5):
            replica.faults = [Fault.BODY_TO_HEAD]
            async with Caller(fleet.gateways[0].settings.callers) as caller:
                head, full = await self.send_both(caller, "/entry/a")
                self.assertEqual((200, 200), (head.status, full.status))
                self.assertEqual(b"register GET /entry/a", full.body)
                await asyncio.sleep(QUIET_S)
        self.assertEqual(10, len(replica.runs))

    @with_system(run_fleet, registers=1)
    async def test_response_to_head_without_a_length_declares_none(self, fleet):
        """A length of 0 would tell the caller that the content is empty."""
        (replica,) = fleet.registers
        replica.faults = [Fault.NO_CONTENT_LENGTH]
        async with Caller(fleet.gateways[0].settings.callers) as caller:
            head, full = await self.send_both(caller, "/entry/a")
        self.assertEqual((200, 200), (head.status, full.status))
        self.assertNotIn("content-length", head.headers)
