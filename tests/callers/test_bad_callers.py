"""Tests of callers that send more than their requests, over in-memory connections."""

import json

import anyio
import testtools

from snipetrestle_standins.clock import run_in_virtual_time
from snipetrestle_standins.data_path import API_KEY, OTHER_API_KEY, DataPath
from tests.callers.caller import completion_body
from tests.memory import assert_bounded_memory
from tests.systems import with_own_system

FILLER = b"x" * 1000
MAX_SENT_BYTES = 16 * 1024 * 1024
# A request may take this long to arrive, with the default settings.
MAX_REQUEST_S = 120.0


def request_head(key, *headers):
    lines = [
        b"POST /v1/completions HTTP/1.1",
        b"Host: entry",
        b"Authorization: Bearer " + key.encode(),
        b"Transfer-Encoding: chunked",
        *headers,
    ]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


class BadCallerTest(testtools.TestCase):
    def run_with_connection(self, function):
        """Runs ``function(fleet, connection)`` with a connection to a daemon."""

        async def main():
            async with DataPath() as fleet:
                connection = fleet.daemons_by_name["entry-1"].listener.connect()
                await function(fleet, connection)

        run_in_virtual_time(main)

    @with_own_system("run_with_connection")
    async def test_trailers_do_not_become_headers(self, fleet, connection):
        """A trailer that came in the same packet replaced the caller's key, after all
        checks of the headers."""
        body = chunk(json.dumps(completion_body()).encode())
        trailer = b"Authorization: Bearer " + OTHER_API_KEY.encode()
        for key, trailers, status in (
            (API_KEY, b"Authorization: Bearer unknown\r\n", b"200"),
            ("unknown", trailer + b"\r\n", b"401"),
        ):
            connection = fleet.daemons_by_name["entry-1"].listener.connect()
            connection.send(request_head(key) + body + b"0\r\n" + trailers + b"\r\n")
            answer = await connection.receive_until(b"\r\n\r\n")
            self.assertIn(b"HTTP/1.1 " + status, answer)

    @with_own_system("run_with_connection")
    async def test_request_that_arrives_slowly_is_answered_in_a_planned_stop(
        self, fleet, connection
    ):
        """A connection was closed in the middle of a request's head, without an
        answer, as the listener stopped."""
        body = chunk(json.dumps(completion_body()).encode())
        request = request_head(API_KEY) + body + b"0\r\n\r\n"
        connection.send(request[:30])
        await anyio.sleep(0.01)
        connection.protocol.shutdown()
        await anyio.sleep(0.01)
        connection.send(request[30:])
        answer = await connection.receive_until(b"\r\n\r\n")
        self.assertIn(b"HTTP/1.1 200", answer)
        while not connection.ended:
            await connection.receive()

    @with_own_system("run_with_connection")
    async def test_idle_connection_is_closed_in_a_planned_stop(self, fleet, connection):
        """A stop must not wait for connections that send nothing."""
        await anyio.sleep(0.01)
        connection.protocol.shutdown()
        self.assertTrue(connection.ended)

    def test_endless_parts_of_a_request_end_the_connection(self):
        """A caller could send trailers or a chunk extension for ever."""
        for start, part in (
            (b"0\r\n", b"X-F: %b\r\n" % FILLER),
            (b"5;", FILLER),
        ):

            async def check(fleet, connection, start=start, part=part):
                connection.send(request_head(API_KEY) + start)
                sent_bytes = 0
                with (
                    assert_bounded_memory(self, start),
                    anyio.fail_after(MAX_REQUEST_S),
                ):
                    while not connection.ended and sent_bytes < MAX_SENT_BYTES:
                        connection.send(part)
                        sent_bytes += len(part)
                        await anyio.sleep(0.01)
                self.assertTrue(connection.ended, start)

            self.run_with_connection(check)
