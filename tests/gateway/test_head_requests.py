"""Tests that HEAD requests are answered at once and without a body."""

import asyncio

import testtools

from snipetrestle_standins.gateway_fleet import Caller
from snipetrestle_standins.platform_replica import Fault
from tests.gateway.running import run_fleet

# Within this time nothing may follow the head of a response.
QUIET_S = 0.05


class HeadRequestTest(testtools.TestCase):
    async def send_both(self, caller, path, **options):
        """Sends a HEAD request and then a GET request. Returns both Responses."""
        return [
            await caller.send_request(path, method=method, **options)
            for method in ("HEAD", "GET")
        ]

    def test_response_to_head_is_not_awaited_as_if_it_had_a_body(self):
        """The declared body never came: the caller got 502, or 504 at its deadline."""

        async def check(fleet):
            async with Caller(fleet.gateways[0].settings.callers) as caller:
                for path in ("/lookup/a", "/entry/a"):
                    head, full = await self.send_both(caller, path)
                    self.assertEqual((200, 200), (head.status, full.status), path)
                    self.assertIn("x-server-signature", head.headers)
                    # The body of GET names the method, which is one byte shorter.
                    self.assertEqual(
                        str(len(full.body) + 1), head.headers["content-length"]
                    )

        run_fleet(check)

    def test_head_of_a_stream_is_answered(self):
        """It was awaited until its first event, which a HEAD request never gets."""

        async def check(fleet):
            async with Caller(fleet.gateways[0].settings.callers) as caller:
                for path in ("/draft/a", "/night/a"):
                    head, full = await self.send_both(caller, path, adapter="")
                    self.assertEqual((200, 200), (head.status, full.status), path)
                    self.assertNotIn("content-length", head.headers)
                    self.assertEqual(6, len(full.event_ids), path)

        run_fleet(check)

    def test_error_responses_to_head_are_passed_on_without_a_body(self):
        """A failure that a replica reports is framed like a success."""

        async def check(fleet):
            (replica,) = fleet.registers
            replica.faults = [Fault.SERVER_ERROR] * 2
            async with Caller(fleet.gateways[0].settings.callers) as caller:
                head, full = await self.send_both(caller, "/entry/a")
            self.assertEqual((500, 500), (head.status, full.status))
            self.assertIn("x-server-signature", head.headers)

        run_fleet(check, registers=1)

    def test_body_of_a_replica_that_answers_head_wrongly_reaches_no_caller(self):
        """The unasked body would be read as the start of the next response."""

        async def check(fleet):
            (replica,) = fleet.registers
            for _ in range(5):
                replica.faults = [Fault.BODY_TO_HEAD]
                async with Caller(fleet.gateways[0].settings.callers) as caller:
                    head, full = await self.send_both(caller, "/entry/a")
                    self.assertEqual((200, 200), (head.status, full.status))
                    self.assertEqual(b"register GET /entry/a", full.body)
                    await asyncio.sleep(QUIET_S)
            self.assertEqual(10, len(replica.runs))

        run_fleet(check, registers=1)

    def test_response_to_head_without_a_length_declares_none(self):
        """A length of 0 would tell the caller that the content is empty."""

        async def check(fleet):
            (replica,) = fleet.registers
            replica.faults = [Fault.NO_CONTENT_LENGTH]
            async with Caller(fleet.gateways[0].settings.callers) as caller:
                head, full = await self.send_both(caller, "/entry/a")
            self.assertEqual((200, 200), (head.status, full.status))
            self.assertNotIn("content-length", head.headers)

        run_fleet(check, registers=1)
