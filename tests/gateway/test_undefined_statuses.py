"""Tests of replicas and stores that answer with a status that HTTP does not define."""

import anyio
import testtools

from snipetrestle.gateway.backends.calls import call
from snipetrestle.gateway.backends.connection_pool import ConnectionPool
from snipetrestle.gateway.backends.http_client import ExchangeFailed
from snipetrestle_standins.platform_http import response
from snipetrestle_standins.platform_replica import Fault
from snipetrestle_standins.raw_http import UNDEFINED_STATUSES, ok, raw_server
from tests.gateway.running import run_fleet

# Longer than any answer takes, and shorter than the time-out of the call below.
MAX_CALL_S = 20.0
CALL_TIMEOUT_S = 60.0
REQUEST_ID = [("X-Request-Id", "one")]
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


def odd_head(status):
    """Returns a whole answer without a body."""
    return b"HTTP/1.1 %b Odd\r\nContent-Length: 0\r\n\r\n" % status.encode()


class UndefinedStatusTest(testtools.TestCase):
    def prepare(self, replicas, status, body):
        for replica in replicas:
            replica.faults = [Fault.PREPARED] * 9
            replica.prepared_head = f"HTTP/1.1 {status} Odd\r\nContent-Length: 0\r\n"
            replica.prepared_body = body

    def check_attempts(self, body):
        """Each answer of a replica begins with an undefined status."""

        async def check(fleet):
            for status in UNDEFINED_STATUSES:
                for path, replicas, options in (
                    ("/entry/a", fleet.registers, {}),
                    ("/lookup/a", fleet.registers, {"method": "GET"}),
                    ("/lookup/a", fleet.registers, {"method": "HEAD"}),
                    ("/draft/a", fleet.models, {"adapter": ""}),
                ):
                    self.prepare(replicas, status, body)
                    answer = await fleet.send_request(
                        path, headers=REQUEST_ID, **options
                    )
                    self.assertEqual(502, answer.status, (status, path, options))

        run_fleet(check)

    def test_undefined_status_fails_the_attempt(self):
        """A caller got 600 and 999 as they came, and 000 to 099 counted as interim
        responses, so that it waited for its deadline. 502 tells that the request may
        have run."""
        self.check_attempts(b"")

    def test_sound_answer_behind_an_undefined_status_is_not_taken(self):
        """What follows a malformed answer on its connection cannot be trusted."""
        self.check_attempts(response(200, REQUEST_ID, b"late answer"))

    def test_idempotent_request_is_answered_by_another_replica(self):
        """An attempt that failed may be repeated as after any other failure."""

        async def check(fleet):
            for status in UNDEFINED_STATUSES:
                shared_faults = [Fault.PREPARED]
                self.prepare(fleet.registers, status, b"")
                for replica in fleet.registers:
                    replica.faults = shared_faults
                answer = await fleet.send_request("/lookup/a", method="GET")
                self.assertEqual((200, True), (answer.status, answer.complete), status)
                self.assertEqual([], shared_faults)

        run_fleet(check)

    def test_connection_is_not_used_again(self):
        """The sound answer came with the malformed one, as the answer to the next
        request."""

        async def check(status, content):
            async with raw_server(content) as server:
                pool = ConnectionPool("127.0.0.1", server.port)
                with anyio.fail_after(MAX_CALL_S):
                    with testtools.ExpectedException(ExchangeFailed):
                        await call(pool, REQUEST, CALL_TIMEOUT_S)
                self.assertEqual(0, pool.open_count, status)

        for status in UNDEFINED_STATUSES:
            for content in (odd_head(status), odd_head(status) + ok(b"late")):
                anyio.run(check, status, content)

    def test_defined_statuses_are_passed_on(self):
        """The limits of the range belong to it; 1xx stays an interim response."""

        async def check(fleet):
            for status in (200, 299, 404, 599):
                self.prepare(fleet.registers, status, b"")
                answer = await fleet.send_request("/entry/a")
                self.assertEqual(status, answer.status)

        run_fleet(check)

        async def interim():
            content = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 199 Odd\r\n\r\n" + ok(
                b"x"
            )
            async with raw_server(content) as server:
                pool = ConnectionPool("127.0.0.1", server.port)
                return await call(pool, REQUEST, CALL_TIMEOUT_S)

        self.assertEqual((200, b"x"), anyio.run(interim)[::2])
