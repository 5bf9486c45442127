"""Tests of requests with an Expect field (RFC 9110, 10.1.1)."""

import asyncio

import testtools

from snipetrestle.gateway.callers import http_server
from snipetrestle.gateway.configuration import CallerLimits
from tests.gateway.running import run_connection

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
# Time in which an interim response would come.
QUIET_S = 0.1
MAX_BODY_BYTES = 1000


def encode_head(number, *lines, version="1.1"):
    start = [f"POST /{number} HTTP/{version}", "Host: example", *lines]
    return "\r\n".join(start).encode() + b"\r\n\r\n"


async def answer(request, connection):
    """Answers with the target and the body of a request, after a moment."""
    await asyncio.sleep(0.01)
    connection.send_response(200, [], request.target + request.body)


def expected_answer(number, body=b""):
    content = b"/%d%b" % (number, body)
    return b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b" % (len(content), content)


async def read_quiet(reader):
    """Returns what comes until nothing has come for QUIET_S."""
    received = b""
    try:
        while True:
            async with asyncio.timeout(QUIET_S):
                data = await reader.read(65_536)
            if not data:
                return received
            received += data
    except TimeoutError:
        return received


class ExpectationTest(testtools.TestCase):
    def test_interim_response_follows_the_answers_to_earlier_requests(self):
        """The interim response came first, so a caller took it for another request's."""

        async def check(reader, writer):
            writer.write(
                encode_head(0, "Content-Length: 0")
                + encode_head(1, "Content-Length: 3", "Expect: 100-continue")
            )
            self.assertEqual(expected_answer(0) + CONTINUE, await read_quiet(reader))
            writer.write(b"abc")
            self.assertEqual(expected_answer(1, b"abc"), await read_quiet(reader))

        run_connection(answer, check)

    def test_each_waiting_request_gets_one_interim_response(self):
        """Without it, the caller holds its body back until it gives up."""

        async def check(reader, writer):
            for number, (framing, content) in enumerate(
                (
                    ("Content-Length: 3", b"abc"),
                    ("Transfer-Encoding: chunked", b"3\r\nabc\r\n0\r\n\r\n"),
                )
            ):
                head = encode_head(number, framing, "Expect: 100-Continue")
                writer.write(head[:20])
                await asyncio.sleep(0.01)
                writer.write(head[20:])
                self.assertEqual(CONTINUE, await read_quiet(reader))
                for byte in content:
                    writer.write(bytes([byte]))
                    await asyncio.sleep(0)
                self.assertEqual(
                    expected_answer(number, b"abc"), await read_quiet(reader)
                )

        run_connection(answer, check)

    def test_no_interim_response_where_no_body_is_awaited(self):
        """Unasked bytes stood before the answer, also where nothing was awaited."""
        cases = {
            "no body": encode_head(0, "Expect: 100-continue"),
            "empty body": encode_head(0, "Content-Length: 0", "Expect: 100-continue"),
            "body that has come": encode_head(
                0, "Content-Length: 3", "Expect: 100-continue"
            )
            + b"abc",
            "HTTP/1.0": encode_head(
                0, "Content-Length: 3", "Expect: 100-continue", version="1.0"
            ),
            "other expectation": encode_head(
                0, "Content-Length: 3", "Expect: something"
            ),
        }
        for name, content in cases.items():

            async def check(reader, writer, name=name, content=content):
                writer.write(content)
                received = await read_quiet(reader)
                if name in ("HTTP/1.0", "other expectation"):
                    self.assertEqual(b"", received, name)
                    writer.write(b"abc")
                    received = await read_quiet(reader)
                self.assertTrue(received.startswith(b"HTTP/1.1 200 OK\r\n"), name)
                self.assertEqual(1, received.count(b"HTTP/1.1"), name)

            run_connection(answer, check)

    def test_refused_request_gets_no_interim_response(self):
        """The caller was asked for a body that was then refused for its length."""

        async def check(reader, writer):
            writer.write(
                encode_head(
                    0, "Expect: 100-continue", f"Content-Length: {MAX_BODY_BYTES + 1}"
                )
            )
            received = await read_quiet(reader)
            self.assertTrue(received.startswith(b"HTTP/1.1 413 "), received)
            self.assertEqual(1, received.count(b"HTTP/1.1"))

        run_connection(
            answer, check, lambda: CallerLimits(max_body_bytes=MAX_BODY_BYTES)
        )

    def test_time_for_a_body_begins_with_the_interim_response(self):
        """A slow answer to an earlier request used up the time for the body: 408."""
        self.patch(http_server, "MAX_BODY_PAUSE_S", 0.3)

        async def answer_slowly(request, connection):
            if request.target == b"/0":
                await asyncio.sleep(0.6)
            await answer(request, connection)

        async def check(reader, writer):
            writer.write(
                encode_head(0)
                + encode_head(1, "Content-Length: 3", "Expect: 100-continue")
            )
            expected = expected_answer(0) + CONTINUE
            self.assertEqual(expected, await reader.readexactly(len(expected)))
            writer.write(b"abc")
            self.assertEqual(expected_answer(1, b"abc"), await read_quiet(reader))

        run_connection(answer_slowly, check)
