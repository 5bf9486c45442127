"""Tests of blank lines around requests, which are no part of one (RFC 9112, 2.2)."""

import asyncio

import testtools

from snipetrestle.gateway.configuration import CallerLimits
from tests.gateway.running import run_connection

HEADER_TIMEOUT_S = 0.1
IDLE_TIMEOUT_S = 0.5
REQUEST = b"POST /a HTTP/1.1\r\nHost: example\r\nContent-Length: 3\r\n\r\nabc"
ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc"


async def answer(request, connection):
    connection.send_response(200, [], request.body)


def short_limits():
    return CallerLimits(
        header_timeout_s=HEADER_TIMEOUT_S, idle_timeout_s=IDLE_TIMEOUT_S
    )


class BlankLineTest(testtools.TestCase):
    def test_blank_line_behind_a_request_gets_no_answer(self):
        """It was timed as a head, and a 408 stood before the next answer."""

        async def check(reader, writer):
            for blank in (b"\r\n", b"\r\n\r\n", b"\n", b"\r"):
                writer.write(REQUEST)
                self.assertEqual(ANSWER, await reader.readexactly(len(ANSWER)))
                writer.write(blank)
                await asyncio.sleep(2 * HEADER_TIMEOUT_S)
                writer.write(b"\n" if blank == b"\r" else b"")
            writer.write(REQUEST)
            self.assertEqual(ANSWER, await reader.read(65_536))

        run_connection(answer, check, short_limits)

    def test_blank_lines_alone_end_as_an_idle_connection(self):
        """They must not keep the connection open, and have no answer either."""

        async def check(reader, writer):
            loop = asyncio.get_running_loop()
            latest_end = loop.time() + 10 * IDLE_TIMEOUT_S
            received = asyncio.create_task(reader.read(65_536))
            while not received.done() and loop.time() < latest_end:
                writer.write(b"\r\n")
                await asyncio.sleep(HEADER_TIMEOUT_S / 2)
            self.assertEqual(b"", await received)
            self.assertLess(loop.time(), latest_end)

        run_connection(answer, check, short_limits)

    def test_unfinished_head_behind_a_request_is_timed_as_a_head(self):
        """In one piece with a request, it had the time of an idle connection."""
        limits = CallerLimits(header_timeout_s=HEADER_TIMEOUT_S, idle_timeout_s=60.0)

        async def check(reader, writer):
            writer.write(REQUEST + REQUEST[:30])
            self.assertEqual(ANSWER, await reader.readexactly(len(ANSWER)))
            async with asyncio.timeout(20 * HEADER_TIMEOUT_S):
                received = await reader.read(65_536)
            self.assertTrue(received.startswith(b"HTTP/1.1 408 "), received)

        run_connection(answer, check, lambda: limits)
