"""Runs random sequences of requests with fixed seeds, and with faults to be found."""

import asyncio

import testtools
from loguru import logger

from snipetrestle.codes import ResultCode
from snipetrestle.gateway.callers import response_writer
from snipetrestle.gateway.callers.http_server import CallerConnection
from snipetrestle_standins.platform_replica import PlatformReplica
from tests.gateway import sequence_fuzz
from tests.gateway.raw_answers import Incomplete, NotAnAnswer, read_answer
from tests.gateway.sequence_fuzz import WrongAnswers, run_sequences

SEEDS = (1, 2)
SEQUENCES = 250
# Each fault was found after far fewer sequences.
FAULT_SEQUENCES = 200


def send_to_replicas(test, target):
    """Lets each stand-in replica get a request without an id once it has started."""
    start = PlatformReplica.start

    async def start_and_send(replica, *arguments):
        await start(replica, *arguments)
        reader, writer = await asyncio.open_connection("127.0.0.1", replica.port)
        writer.write(f"GET {target} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
        await reader.read(1)
        writer.close()

    test.patch(PlatformReplica, "start", start_and_send)


class SequenceTestCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        logger.disable("snipetrestle")
        self.addCleanup(logger.enable, "snipetrestle")


class FixedSeedsTest(SequenceTestCase):
    def test_calls_of_hosts_of_other_runs_are_no_requests(self):
        """A host whose store had ended could call the stand-in that took its port, and
        its call counted as a request without an id."""
        send_to_replicas(self, "/-/kv-watch?prefix=&after=1&wait_ms=1")
        self.assertGreater(asyncio.run(run_sequences(1, 1)), 0)

    def test_each_request_gets_exactly_one_answer(self):
        """Answers could be missing, repeated, swapped or framed for another method."""
        for seed in SEEDS:
            request_count = asyncio.run(run_sequences(seed, SEQUENCES))
            self.assertGreater(request_count, SEQUENCES)


class FaultsTest(SequenceTestCase):
    """An oracle that finds nothing looks like success: each test adds a fault."""

    def assert_found(self, reason=""):
        error = self.assertRaises(
            WrongAnswers, lambda: asyncio.run(run_sequences(1, FAULT_SEQUENCES))
        )
        self.assertIn(reason, str(error))

    def patch_method(self, name, function):
        self.patch(CallerConnection, name, function)

    def test_finds_a_body_that_is_read_as_a_request(self):
        send_to_replicas(self, "/entry/decoy")
        self.assert_found("without an id: GET /entry/decoy")

    def test_finds_a_second_answer_to_an_offered_protocol(self):
        def refuse(connection, following):
            connection._refuse(ResultCode.MALFORMED_REQUEST)

        self.patch_method("_ignore_upgrade", refuse)
        self.assert_found()

    def test_finds_a_body_in_response_to_head(self):
        send_head_response = CallerConnection.send_head_response

        def send_with_body(connection, status, headers, content_length):
            send_head_response(connection, status, headers, content_length)
            connection._transport.write(b"x" * (content_length or 0))

        self.patch_method("send_head_response", send_with_body)
        self.assert_found()

    def test_finds_an_interim_response_ahead_of_an_earlier_answer(self):
        on_headers_complete = CallerConnection.on_headers_complete

        def continue_at_once(connection):
            on_headers_complete(connection)
            connection._send_continue_if_awaited()

        self.patch_method("on_headers_complete", continue_at_once)
        self.assert_found("interim response")

    def test_finds_a_missing_interim_response(self):
        self.patch(sequence_fuzz, "ANSWER_TIMEOUT_S", 3.0)
        self.patch_method("_send_continue_if_awaited", lambda connection: None)
        self.assert_found("answers are missing")

    def test_finds_an_end_that_is_not_announced(self):
        self.patch(response_writer, "_CLOSING_CODES", frozenset())
        self.assert_found()

    def test_finds_answers_in_another_order(self):
        next_request = CallerConnection._next_request

        async def take_last(connection):
            connection._pending_requests.reverse()
            return await next_request(connection)

        self.patch_method("_next_request", take_last)
        self.assert_found()


class ReadAnswerTest(testtools.TestCase):
    def test_wrong_framing_is_no_answer(self):
        """The oracle's own reader must not pass over what a caller could not read."""
        for content in (
            b"x\r\n\r\n",
            b"HTTP/1.0 200 OK\r\ncontent-length: 0\r\n\r\n",
            b"HTTP/1.1 200 OK\r\n\r\nabc",
            b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\ncontent-length: 1\r\n\r\na",
            b"HTTP/1.1 200 OK\r\ncontent-length: 1x\r\n\r\na",
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n",
            b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n"
            b"transfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        ):
            with self.subTest(content=content):
                self.assertRaises(NotAnAnswer, read_answer, content, 0, "GET")

    def test_cut_answer_is_incomplete(self):
        """A part of an answer must not count as one."""
        content = (
            b"HTTP/1.1 100 Continue\r\n\r\n"
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
        )
        for size in range(len(content)):
            self.assertRaises(Incomplete, read_answer, content[:size], 0, "GET")
        answer, position = read_answer(content, 0, "GET")
        self.assertEqual((200, b"abc", (100,)), answer[:1] + answer[2:])
        self.assertEqual(len(content), position)
