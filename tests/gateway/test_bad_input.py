"""Tests that invalid requests get an error and affect no other request."""

import asyncio

import testtools

from snipetrestle_standins.gateway_fleet import HOSTNAME, Caller
from tests.gateway.running import run_fleet
from tests.systems import with_system

HEAD = f"Host: {HOSTNAME}\r\nX-Request-Id: bad-1\r\n".encode()


class BadInputTest(testtools.TestCase):
    async def send(self, fleet, content, rest=b"", pause_s=0.0):
        """Sends ``content``, then ``rest`` after a pause, and returns the Response."""
        async with Caller(fleet.gateways[0].settings.callers) as caller:
            caller.writer.write(content)
            if pause_s:
                await asyncio.sleep(pause_s)
            caller.writer.write(rest)
            return await caller.read_response()

    def received_requests(self, fleet):
        return [
            request
            for replica in fleet.registers
            for request in replica.arrived_requests
        ]

    def test_malformed_requests_are_refused_and_reach_no_replica(self):
        """Two parsers could frame a request differently (request smuggling)."""
        smuggled = b"POST /entry/evil HTTP/1.1\r\n" + HEAD + b"\r\n"
        cases = {
            "two lengths": b"POST /entry/a HTTP/1.1\r\n"
            + HEAD
            + b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
            "length and chunks": b"POST /entry/a HTTP/1.1\r\n"
            + HEAD
            + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
            + smuggled,
            "unknown coding": b"POST /entry/a HTTP/1.1\r\n"
            + HEAD
            + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
            "bad chunk size": b"POST /entry/a HTTP/1.1\r\n"
            + HEAD
            + b"Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
            "negative length": b"POST /entry/a HTTP/1.1\r\n"
            + HEAD
            + b"Content-Length: -1\r\n\r\n",
            "no host": b"POST /entry/a HTTP/1.1\r\nX-Request-Id: bad-1\r\n\r\n",
            "two hosts": b"POST /entry/a HTTP/1.1\r\nHost: b\r\n" + HEAD + b"\r\n",
            "no request id": f"POST /entry/a HTTP/1.1\r\nHost: {HOSTNAME}\r\n\r\n".encode(),
            "deadline is no number": b"POST /entry/a HTTP/1.1\r\n"
            + HEAD
            + b"X-Deadline-Ms: soon\r\n\r\n",
            "space in a name": b"POST /entry/a HTTP/1.1\r\n"
            + HEAD
            + b"X y : 1\r\n\r\n",
            "not HTTP": b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n",
        }

        async def check(fleet):
            for name, content in cases.items():
                answer = await self.send(fleet, content)
                self.assertEqual(400, answer.status, name)
            self.assertEqual([], self.received_requests(fleet))
            self.assertEqual(200, (await fleet.send_request("/entry/a")).status)

        run_fleet(check)

    def test_numbers_without_end_get_an_answer(self):
        """A number of 5,000 digits ended the connection without an answer."""
        digits = b"9" * 5000

        async def check(fleet):
            for header, status in (
                (b"X-Deadline-Ms: " + digits, 400),
                (b"Last-Event-Id: " + digits, 200),
                (b"X-Token-Count: 1," + digits, 200),
            ):
                answer = await self.send(
                    fleet,
                    b"POST /entry/a HTTP/1.1\r\n" + HEAD + header + b"\r\n\r\n",
                )
                self.assertEqual(status, answer.status, header[:20])

        run_fleet(check)

    @with_system(run_fleet)
    async def test_unknown_route_and_model_are_refused(self, fleet):
        """Routes and models that do not exist must get the right status."""
        self.assertEqual(404, (await fleet.send_request("/nowhere/a")).status)
        self.assertEqual(404, (await fleet.send_request("/entry")).status)
        answer = await fleet.send_request(
            "/draft/a", headers=[("X-Model", "m9/a1"), ("X-Deadline-Ms", "400")]
        )
        self.assertEqual(503, answer.status)

    @with_system(run_fleet)
    async def test_large_requests_are_refused(self, fleet):
        """Guards against callers that exhaust the memory of a host."""
        large = b"X-Large: " + b"x" * 20_000 + b"\r\n"
        answer = await self.send(
            fleet, b"POST /entry/a HTTP/1.1\r\n" + HEAD + large + b"\r\n"
        )
        self.assertEqual(431, answer.status)
        answer = await self.send(
            fleet,
            b"POST /entry/a HTTP/1.1\r\n" + HEAD + b"Content-Length: 99999999\r\n\r\n",
        )
        self.assertEqual(413, answer.status)

    @with_system(run_fleet)
    async def test_slow_request_head_is_refused(self, fleet):
        """Callers could otherwise occupy connections with unfinished requests."""
        answer = await self.send(fleet, b"POST /entry/a HTTP/1.1\r\nHost: d")
        self.assertEqual(408, answer.status)
        self.assertEqual([], self.received_requests(fleet))

    @with_system(run_fleet)
    async def test_pipelined_requests_are_answered_in_order(self, fleet):
        """If requests are pipelined, their responses must not be mixed up."""
        async with Caller(fleet.gateways[0].settings.callers) as caller:
            for number in range(5):
                caller.writer.write(
                    f"GET /lookup/{number} HTTP/1.1\r\nHost: {HOSTNAME}\r\n"
                    f"X-Request-Id: together-{number}\r\n\r\n".encode()
                )
            for number in range(5):
                answer = await caller.read_response()
                self.assertEqual(f"register GET /lookup/{number}".encode(), answer.body)
                self.assertEqual(f"together-{number}", answer.headers["x-request-id"])

    @with_system(run_fleet)
    async def test_chunked_body_is_forwarded_whole(self, fleet):
        """A chunked body must arrive whole when its framing changes."""
        answer = await self.send(
            fleet,
            b"POST /entry/a HTTP/1.1\r\n"
            + HEAD
            + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
            b"4\r\ndefg\r\n0\r\n\r\n",
            pause_s=0.05,
        )
        self.assertEqual(200, answer.status)
        self.assertEqual(
            [b"abcdefg"],
            [request.body for request in self.received_requests(fleet)],
        )
