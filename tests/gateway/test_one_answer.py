"""Tests that each request of a caller gets exactly one answer on its connection."""

import asyncio
import random
import re

import testtools

from snipetrestle.gateway.callers.http_listener import HttpServer
from snipetrestle.gateway.configuration import CallerLimits
from tests.gateway.running import run_connection

ANSWER_TIMEOUT_S = 5.0
# Time in which a second answer to the last request would come.
QUIET_S = 0.05

OFFERS = (
    [],
    ["Connection: Upgrade, HTTP2-Settings", "Upgrade: h2c", "HTTP2-Settings: AAMA"],
    ["Connection: keep-alive, Upgrade", "Upgrade: websocket"],
    ["Connection: upgrade", "Upgrade: TLS/1.0, another/2"],
    ["Upgrade: h2c"],
)
ANSWER = re.compile(
    rb"HTTP/1\.1 (\d{3}) [^\r]*\r\n(?:[^\r]+\r\n)*?x-request-id: (\w+)\r\n"
    rb"(?:[^\r]+\r\n)*?content-length: (\d+)\r\n(?:[^\r]+\r\n)*\r\n"
)


def encode_request(number, offer, body, is_chunked):
    lines = [
        f"{'GET' if body is None else 'POST'} /{number} HTTP/1.1",
        "Host: example",
        f"X-Request-Id: r{number}",
        *offer,
    ]
    content = b""
    if body is not None and is_chunked:
        lines.append("Transfer-Encoding: chunked")
        chunk = b"%x\r\n%b\r\n" % (len(body), body) if body else b""
        content = chunk + b"0\r\n\r\n"
    elif body is not None:
        lines.append(f"Content-Length: {len(body)}")
        content = body
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + content


async def answer(request, connection):
    """Answers with the id and the body of a request, after a moment."""
    await asyncio.sleep(0.001)
    headers = [item for item in request.headers if item[0] == b"x-request-id"]
    connection.send_response(200, headers, request.body)


class Exchange:
    """One connection to a server, and all that came back on it."""

    async def run(self, pieces, pause_s=0.0):
        server = HttpServer(answer, CallerLimits)
        await server.open(("127.0.0.1", 0))
        address = server._server.sockets[0].getsockname()
        reader, writer = await asyncio.open_connection(*address)
        for piece in pieces:
            writer.write(piece)
            await asyncio.sleep(pause_s)
        received = b""
        while True:
            try:
                async with asyncio.timeout(ANSWER_TIMEOUT_S if not received else 0.2):
                    data = await reader.read(65_536)
            except TimeoutError:
                break
            if not data:
                break
            received += data
        await asyncio.sleep(QUIET_S)
        writer.close()
        server.close()
        return received


class OneAnswerTest(testtools.TestCase):
    def assert_answers(self, expected, received):
        """Checks the ids and bodies of all answers, and that nothing else came."""
        position = 0
        answers = []
        while match := ANSWER.match(received, position):
            end = match.end() + int(match[3])
            answers.append((match[2].decode(), received[match.end() : end]))
            self.assertEqual(b"200", match[1])
            position = end
        self.assertEqual(expected, answers)
        self.assertEqual(b"", received[position:])

    def test_offered_protocol_gets_no_second_answer(self):
        """The next request on the connection got a 400 that answered none."""
        for offer in OFFERS:
            for body in (None, b"", b"content"):
                for is_chunked in (False, True):
                    requests = [
                        encode_request(number, offer, body, is_chunked)
                        for number in range(3)
                    ]
                    received = asyncio.run(Exchange().run(requests, 0.02))
                    with self.subTest(offer=offer, body=body, chunked=is_chunked):
                        self.assert_answers(
                            [(f"r{number}", body or b"") for number in range(3)],
                            received,
                        )

    def test_requests_in_pieces_of_any_size_get_one_answer_each(self):
        """Pipelined requests behind an offer could be lost or answered twice."""
        rng = random.Random(20)
        for _ in range(60):
            expected = []
            content = b""
            for number in range(rng.randint(1, 6)):
                body = rng.choice([None, b"", b"x" * rng.randint(1, 3000)])
                expected.append((f"r{number}", body or b""))
                content += encode_request(
                    number, rng.choice(OFFERS), body, rng.random() < 0.5
                )
            pieces = []
            while content:
                size = rng.choice([1, 7, 64, 500, 5000])
                pieces.append(content[:size])
                content = content[size:]
            with self.subTest(expected=expected):
                self.assert_answers(expected, asyncio.run(Exchange().run(pieces)))

    def send_on_a_connection(self, content, max_answers=10):
        """Returns the targets that were answered and all that came back.

        The server stops answering after ``max_answers``, so that a test ends.
        """
        targets = []

        async def note_and_answer(request, connection):
            targets.append(request.target)
            if len(targets) > max_answers:
                connection.abort()
                return
            await answer(request, connection)

        async def check(reader, writer):
            writer.write(content)
            received = b""
            while True:
                try:
                    async with asyncio.timeout(4 * QUIET_S):
                        data = await reader.read(65_536)
                except (TimeoutError, ConnectionError):
                    return received
                if not data:
                    return received
                received += data

        return targets, run_connection(note_and_answer, check)

    def test_request_behind_the_end_of_a_connection_is_not_run(self):
        """With HTTP/1.0 and both options, the connection was kept."""
        next_request = encode_request(1, [], None, False)
        for lines in (
            "Connection: close",
            "Connection: keep-alive, close",
            "Connection: keep-alive\r\nConnection: Close",
        ):
            for version in ("1.0", "1.1"):
                head = f"GET /0 HTTP/{version}\r\nHost: example\r\n{lines}\r\n\r\n"
                for following in (next_request, b"\x00bytes"):
                    targets, received = self.send_on_a_connection(
                        head.encode() + following
                    )
                    with self.subTest(lines=lines, version=version):
                        self.assertEqual([b"/0"], targets)
                        self.assertEqual(1, received.count(b"HTTP/1.1"))
                        self.assertIn(b"connection: close", received)

    def test_connect_is_refused_once(self):
        """CONNECT with a path ran and was answered again and again, without end."""
        next_request = encode_request(1, [], None, False)
        for target in ("/0", "example:443", "*", "/"):
            for lines in ([], ["Upgrade: h2c", "Connection: upgrade"]):
                head = "\r\n".join(
                    [f"CONNECT {target} HTTP/1.1", "Host: example", *lines]
                )
                targets, received = self.send_on_a_connection(
                    head.encode() + b"\r\n\r\n" + next_request
                )
                with self.subTest(target=target, lines=lines):
                    self.assertEqual([], targets)
                    self.assertEqual(1, received.count(b"HTTP/1.1"))
                    self.assertTrue(received.startswith(b"HTTP/1.1 400 "))
                    self.assertIn(b"connection: close", received)

    def test_options_for_the_whole_server_keeps_the_connection(self):
        """A sound request was refused as malformed, and the next one was lost."""
        head = b"OPTIONS * HTTP/1.1\r\nHost: example\r\nX-Request-Id: r0\r\n\r\n"
        targets, received = self.send_on_a_connection(
            head + encode_request(1, [], None, False)
        )
        self.assertEqual([b"*", b"/1"], targets)
        self.assert_answers([("r0", b""), ("r1", b"")], received)

    def test_targets_that_are_no_paths_are_refused_once(self):
        """They must not be routed, nor what follows them be answered."""
        next_request = encode_request(1, [], None, False)
        for start in (
            "GET *",
            "HEAD *",
            "OPTIONS example:443",
            "GET http://example/0",
            "GET example",
            "OPTIONS **",
        ):
            head = f"{start} HTTP/1.1\r\nHost: example\r\n\r\n".encode()
            targets, received = self.send_on_a_connection(head + next_request)
            with self.subTest(start=start):
                self.assertEqual([], targets)
                self.assertEqual(1, received.count(b"HTTP/1.1"))
                self.assertTrue(received.startswith(b"HTTP/1.1 400 "))
                self.assertIn(b"connection: close", received)
