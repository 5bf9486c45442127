"""Tests of bad answers to reports and orders, and of a bad store."""

import contextlib
import random

import anyio
import testtools

from snipetrestle.coordination.placement.order_messages import (
    Order,
    OrderKind,
    OrderResult,
)
from snipetrestle.gateway.backends.http_client import ConnectFailed, ExchangeFailed
from snipetrestle.gateway.backends.replicas import ReplicaDirectory
from snipetrestle.gateway.configuration import ReplicaEntry, ReplicaState
from snipetrestle.platform.calls import OrderClient, StoreSource
from snipetrestle.publication.sources import SourceUnreachable
from snipetrestle_standins.raw_http import (
    ENDLESS_ANSWERS,
    MAX_ENDLESS_BYTES,
    Closing,
    raw_server,
)
from tests.memory import assert_bounded_memory

ORDER = Order(OrderKind.LOAD, "m0", "a1", "entry-0", 1)
REPORT = b'{"seq":3,"busy":false,"models":[{"name":"m0","adapters":["a1@2"]}]}'
RANGE = b'{"items":[],"has_more":false,"at":7}'
WATCH = b'{"events":[],"at":8}'
# Longer than any time-out without progress.
MAX_CALL_S = 3.0
FAILURES = (ExchangeFailed, ConnectFailed, SourceUnreachable)


def replica_at(server):
    """Returns the Replica that a server stands for."""
    directory = ReplicaDirectory("zone-1", random.Random(1))
    directory.list_replica(
        ReplicaEntry(
            "r1", 1, "models", "127.0.0.1", server.port, "zone-1", ReplicaState.READY
        )
    )
    return directory.by_id["r1"]


@contextlib.contextmanager
def expect_failure(test, name):
    """Fails ``test`` unless the call inside fails as its users expect."""
    try:
        yield
    except FAILURES:
        return
    test.fail(f"{name}: the answer must not succeed")


async def report(server):
    return await OrderClient().report(replica_at(server))


async def order(server):
    return await OrderClient().send(replica_at(server), ORDER)


async def read(server):
    return await StoreSource("127.0.0.1", server.port).read("servers/")


async def watch(server):
    return await StoreSource("127.0.0.1", server.port).watch("servers/", 7, 0.1)


class EndlessAnswerTest(testtools.TestCase):
    """Bytes that are no answer may come until the connection is closed."""

    async def assert_fails_in_time(self, call, name, answer):
        async with raw_server(answer) as server:
            with anyio.fail_after(MAX_CALL_S), expect_failure(self, name):
                await call(server)
            self.assertGreater(server.sent_bytes, 0, name)
            self.assertLess(server.sent_bytes, MAX_ENDLESS_BYTES, name)

    def test_order_or_report_fails_in_time(self):
        """A leader has one of them in progress for each replica, so none may fill its
        memory or last for ever."""
        for name, answer in ENDLESS_ANSWERS.items():
            for call in (report, order):
                with assert_bounded_memory(self, name):
                    anyio.run(self.assert_fails_in_time, call, name, answer)

    def test_store_counts_as_unreachable(self):
        """A host that reads without end gets no news, and asks no other host."""
        for name, answer in ENDLESS_ANSWERS.items():
            for call in (read, watch):
                anyio.run(self.assert_fails_in_time, call, name, answer)


class UnframedAnswerTest(testtools.TestCase):
    """Answers with neither a length nor chunks end with their connection."""

    async def answer_to(self, call, answer):
        async with raw_server(answer) as server:
            with anyio.fail_after(MAX_CALL_S):
                return await call(server)

    def test_closed_answers_are_complete(self):
        """A sound answer must not be taken for a failure."""
        for head in (
            b"HTTP/1.1 200 OK\r\n\r\n",
            b"HTTP/1.0 200 OK\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
        ):
            known = anyio.run(self.answer_to, report, Closing(head + REPORT))
            self.assertEqual(3, known.order_count)
            self.assertEqual([2], list(known.versions_by_adapter.values()))
            result = anyio.run(self.answer_to, order, Closing(head + b"{}"))
            self.assertIs(OrderResult.HOLDS_ALREADY, result)
            items = anyio.run(self.answer_to, read, Closing(head + RANGE))
            self.assertEqual(7, items.revision)
            items = anyio.run(self.answer_to, watch, Closing(head + WATCH))
            self.assertEqual(8, items.revision)

    def test_odd_numbers_of_requests_are_unknown(self):
        """Guards against a replica with requests taken for one without, and against a
        report that is lost for an odd number."""
        head = b"HTTP/1.1 200 OK\r\n\r\n"
        counts = {
            b'"queued":0,"running":0': 0,
            b'"queued":2,"running":1': 3,
            b'"running":0': None,
            b'"queued":0,"running":-1': None,
            b'"queued":0,"running":false': None,
            b'"queued":"0","running":0.0': None,
        }
        for fields, count in counts.items():
            body = REPORT[:-1] + b"," + fields + b"}"
            known = anyio.run(self.answer_to, report, Closing(head + body))
            self.assertEqual((3, count), (known.order_count, known.request_count))

    def test_cut_or_reset_answers_are_not_complete(self):
        """The start of a list must not be taken for all of it."""
        head = b"HTTP/1.1 200 OK\r\n\r\n"
        for call, body in ((report, REPORT), (read, RANGE), (watch, WATCH)):
            answers = [Closing(head + body[:size]) for size in range(len(body))]
            answers.append(Closing(head + body, is_reset=True))
            for answer in answers:
                with expect_failure(self, answer.content):
                    anyio.run(self.answer_to, call, answer)
        with expect_failure(self, "reset order"):
            anyio.run(self.answer_to, order, Closing(head, is_reset=True))
