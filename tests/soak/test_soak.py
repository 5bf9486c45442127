"""Short seeded runs of the soak, and tests that its oracle finds what it looks for."""

import asyncio
import pathlib
import tempfile

import testtools

from snipetrestle_standins.gateway_fleet import Response
from snipetrestle_standins.platform_replica import PlatformReplica
from tests.soak.oracle import Oracle, Sent
from tests.soak.soak import Soak

SECONDS = 8.0


class SoakTest(testtools.TestCase):
    def check_seed(self, seed):
        with tempfile.TemporaryDirectory() as folder:
            soak = Soak(seed, SECONDS, pathlib.Path(folder))
            asyncio.run(soak.run())
        self.assertEqual([], soak.broken)
        self.assertGreater(sum(soak.oracle.served.values()), 100)

    def test_first_seed(self):
        """Guards against promises that break when faults overlap."""
        self.check_seed(1)

    def test_second_seed(self):
        """Guards against promises that break when faults overlap."""
        self.check_seed(2)

    def test_seed_with_orders_to_an_empty_replica(self):
        """LIMIT at model-2: the stand-in took adapters while it held no model, and
        did not report them."""
        self.check_seed(2762472277)


class OracleTest(testtools.TestCase):
    """Each test guards against a check of the soak that cannot fail."""

    def setUp(self):
        super().setUp()
        self.oracle = Oracle(frozenset({"draft"}))
        self.replica = PlatformReplica("register-0", "register")

    def send(self, request_id, route, expected=None):
        sent = Sent(request_id, route, "entry-0", expected, 1.0)
        self.oracle.note_sent(sent)
        return sent

    def answer(self, sent, status=200, body=b"", complete=True, **headers):
        proof = {"x-request-id": sent.id, "x-server-signature": "signed"}
        answer = Response(status, {**proof, **headers}, body, complete)
        self.oracle.note_answer(sent, answer, 2.0)

    def rules(self):
        self.oracle.check_replicas([self.replica])
        return [line.split(" ")[0] for line in self.oracle.broken]

    def test_write_that_ran_twice(self):
        self.send("w1", "entry", b"x")
        self.replica.runs += [("w1", None), ("w1", None)]
        self.assertEqual(["TWICE"], self.rules())

    def test_write_that_ran_and_was_refused(self):
        sent = self.send("w1", "entry", b"x")
        self.replica.runs.append(("w1", None))
        self.answer(sent, 503)
        self.assertEqual(["REFUSED"], self.rules())

    def test_request_that_nobody_sent(self):
        self.replica.runs.append(("w9", None))
        self.assertEqual(["UNASKED"], self.rules())

    def test_answer_of_another_request(self):
        sent = self.send("w1", "entry", b"right")
        self.answer(sent, 200, b"wrong", **{"x-request-id": "w2"})
        self.assertEqual(["MIXED", "MIXED"], self.rules())

    def test_stream_with_a_gap_and_one_that_ends_early(self):
        self.answer(self.send("s1", "draft"), 200, b"id: 1\nid: 3\n")
        self.answer(self.send("s2", "draft"), 200, b"id: 1\nid: 2\n")
        self.assertEqual(["ORDER", "ORDER"], self.rules())

    def test_two_holders_with_one_token_and_too_many_adapters(self):
        self.replica.orders += [
            {"fence_token": 5, "holder": "entry-0"},
            {"fence_token": 5, "holder": "entry-1"},
        ]
        self.replica.overfilled = True
        self.assertEqual(["LIMIT", "ONE"], self.rules())

    def test_stream_that_broke_off_and_said_so(self):
        """Nothing is broken: the caller sees that the stream is not complete."""
        self.answer(self.send("s1", "draft"), 200, b"id: 1\n", complete=False)
        self.assertEqual([], self.rules())
