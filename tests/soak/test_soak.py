"""Short runs of the soak test with fixed seeds, and tests of its oracle."""

import asyncio
import pathlib

import testtools

from snipetrestle_standins.gateway_fleet import Response
from snipetrestle_standins.platform_replica import PlatformReplica
from tests.process_logs import log_folder
from tests.soak.hosts import HostProcess
from tests.soak.oracle import Oracle, SentRequest, event_writers
from tests.soak.soak import Soak, is_interrupted

FAULT_PHASE_S = 8.0


class SoakTest(testtools.TestCase):
    def check_seed(self, seed):
        with log_folder(f"soak-{seed}") as folder:
            soak = Soak(seed, FAULT_PHASE_S, folder)
            asyncio.run(soak.run())
            (folder / "violations.txt").write_text("\n".join(soak.violations))
            self.assertEqual([], soak.violations)
            self.assertGreater(sum(soak.oracle.served_by_route.values()), 100)
            self.assertGreater(soak.endless_bodies.body_count, 20)
            self.assertGreater(soak.oracle.sound_call_count, 100)

    def test_first_seed(self):
        """Guards against promises that break when faults overlap."""
        self.check_seed(1)

    def test_second_seed(self):
        """Guards against promises that break when faults overlap."""
        self.check_seed(2)

    def test_seed_with_orders_to_an_empty_replica(self):
        """Guards against a stand-in replica that accepts adapters before its model.

        It did not report them, so LIMIT was violated at model-2.
        """
        self.check_seed(2762472277)


class HostProcessTest(testtools.TestCase):
    def test_host_counts_as_stopped_until_its_new_process_exists(self):
        """Guards against two faults that both start a host: one of the processes found
        its addresses in use, and the other was never ended."""
        seen = []

        async def create_process(*arguments, **options):
            seen.append(host.stopping)

        with log_folder("host") as folder:
            ports = dict.fromkeys(("front", "ready", "control", "peers"), 1)
            host = HostProcess(0, pathlib.Path(folder), ports, [], ("127.0.0.1", 1))
            host.stopping = True
            self.patch(asyncio, "create_subprocess_exec", create_process)
            asyncio.run(host.start())
        self.assertEqual([True], seen)
        self.assertFalse(host.stopping)


class OracleTest(testtools.TestCase):
    """Guards against checks of the oracle that cannot fail."""

    def setUp(self):
        super().setUp()
        self.oracle = Oracle(frozenset({"draft"}))
        self.replica = PlatformReplica("register-0", "register")

    def add_request(self, request_id, route, expected=None):
        sent = SentRequest(request_id, route, "entry-0", expected, 1.0)
        self.oracle.record_request(sent)
        return sent

    def add_answer(self, sent, status=200, body=b"", complete=True, **headers):
        defaults = {"x-request-id": sent.id, "x-server-signature": "signed"}
        answer = Response(status, {**defaults, **headers}, body, complete)
        self.oracle.record_answer(sent, answer, 2.0)

    def violated_rules(self):
        self.oracle.check_replicas([self.replica])
        return [line.split(" ")[0] for line in self.oracle.violations]

    def test_write_that_ran_twice(self):
        self.add_request("w1", "entry", b"x")
        self.replica.runs += [("w1", None), ("w1", None)]
        self.assertEqual(["TWICE"], self.violated_rules())

    def test_write_that_ran_but_was_refused(self):
        sent = self.add_request("w1", "entry", b"x")
        self.replica.runs.append(("w1", None))
        self.add_answer(sent, 503)
        self.assertEqual(["REFUSED"], self.violated_rules())

    def test_request_that_no_caller_sent(self):
        self.replica.runs.append(("w9", None))
        self.assertEqual(["UNASKED"], self.violated_rules())

    def test_answer_of_another_request(self):
        sent = self.add_request("w1", "entry", b"right")
        self.add_answer(sent, 200, b"wrong", **{"x-request-id": "w2"})
        self.assertEqual(["MIXED", "MIXED"], self.violated_rules())

    def test_stream_with_a_gap_and_one_that_ends_early(self):
        self.add_answer(self.add_request("s1", "draft"), 200, b"id: 1\nid: 3\n")
        self.add_answer(self.add_request("s2", "draft"), 200, b"id: 1\nid: 2\n")
        self.assertEqual(["ORDER", "ORDER"], self.violated_rules())

    def add_stream(self, request_id, *versions, last_event_id=0, replica="model-0"):
        """Adds an answer that broke off, with an event by each of the versions."""
        sent = SentRequest(request_id, "draft", "entry-0", None, 1.0, last_event_id)
        self.oracle.record_request(sent)
        body = "".join(
            f"id: {number}\ndata: token {number} models {version} {replica} 1\n\n"
            for number, version in enumerate(versions, last_event_id + 1)
        )
        self.add_answer(sent, 200, body.encode(), complete=False)
        return sent

    def test_answer_with_events_of_two_versions(self):
        self.add_stream("s1", "v1", "v1", "v2")
        self.assertEqual(["ORDER"], self.violated_rules())

    def test_stream_that_another_version_takes_up(self):
        refused = SentRequest("s2", "draft", "entry-1", None, 1.0, 1)
        self.add_answer(refused, 503)
        first = self.add_stream("s1", "v1")
        last = self.add_stream("s3", "v2", last_event_id=1)
        self.oracle.check_attempts([first, refused, last])
        self.assertEqual(["ORDER"], self.violated_rules())

    def test_stream_that_goes_on_at_another_backend(self):
        first = self.add_stream("s1", "v1")
        sent = SentRequest("s2", "draft", "entry-0", None, 1.0, 1)
        body = b"id: 2\ndata: token 2 others v1 other-0 1\n\n"
        self.add_answer(sent, 200, body, complete=False)
        self.oracle.check_attempts([first, sent])
        self.assertEqual(["ORDER"], self.violated_rules())

    def test_stream_that_goes_on_at_its_version_is_no_violation(self):
        first = self.add_stream("s1", "v1", "v1")
        last = self.add_stream("s2", "v1", last_event_id=2, replica="model-1")
        self.oracle.check_attempts([first, last])
        self.assertEqual([], self.violated_rules())

    def test_stream_that_is_taken_up_with_a_gap_or_a_repetition(self):
        for body in (b"id: 3\n", b"id: 1\n"):
            sent = SentRequest("s2", "draft", "entry-0", None, 1.0, 1)
            self.add_answer(sent, 200, body, complete=False)
        self.assertEqual(["ORDER", "ORDER"], self.violated_rules())

    def test_stand_in_names_the_writer_of_each_event(self):
        """Guards against events whose versions the oracle cannot read."""
        self.replica.names_origin = True
        self.replica.event_padding = 9
        self.replica.software_version = "v7"
        data = self.replica._event_text(3)
        writers = event_writers(f"id: 3\ndata: {data}\n\n".encode())
        self.assertEqual([("register", "v7", "register-0", "1")], writers)

    def test_two_holders_with_one_token_and_too_many_adapters(self):
        self.replica.orders += [
            {"fence_token": 5, "holder": "entry-0"},
            {"fence_token": 5, "holder": "entry-1"},
        ]
        self.replica.overfilled = True
        self.assertEqual(["LIMIT", "ONE"], self.violated_rules())

    def check_sound_calls(self, *took_s):
        for seconds in took_s:
            self.oracle.record_sound_call(seconds, 1.0)
        self.oracle.check_sound_calls()
        return self.violated_rules()

    def test_sound_calls_that_are_answered_late(self):
        self.assertEqual(["CONFIG"], self.check_sound_calls(*[1.1] * 4, *[1.6] * 5))

    def test_quarter_of_the_unanswered_sound_calls_is_late(self):
        self.assertEqual(["CONFIG"], self.check_sound_calls(*[1.1] * 20, *[6.0] * 8))

    def test_sound_calls_that_are_answered_at_their_timeout(self):
        self.assertEqual(
            [], self.check_sound_calls(*[0.1] * 90, *[1.1] * 30, *[1.6] * 9)
        )

    def test_interrupted_stream_is_no_violation(self):
        """The caller sees that the stream is not complete, so no promise is broken."""
        self.add_answer(
            self.add_request("s1", "draft"), 200, b"id: 1\n", complete=False
        )
        self.assertEqual([], self.violated_rules())

    def test_request_that_ran_and_got_no_answer_of_a_replica(self):
        for status in (0, 502):
            sent = self.add_request("r1", "draft")
            self.add_answer(sent, status, complete=status != 0)
            self.assertTrue(is_interrupted(sent, {"r1"}))
            self.assertFalse(is_interrupted(sent, set()))

    def test_request_that_ran_and_got_nothing_at_all(self):
        sent = self.add_request("r1", "draft")
        self.assertTrue(is_interrupted(sent, {"r1"}))

    def test_refused_or_whole_answer_is_no_interruption(self):
        for status in (200, 503):
            sent = self.add_request("r1", "entry", b"x")
            self.add_answer(sent, status, b"x")
            self.assertFalse(is_interrupted(sent, {"r1"}))
