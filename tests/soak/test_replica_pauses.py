"""Short runs of the soak in which sound replicas pause, and tests of its checks."""

import asyncio
import types

import testtools

from snipetrestle_standins.gateway_fleet import REGISTER_BACKEND, Caller, Response
from tests.process_logs import log_folder
from tests.soak.oracle import Oracle, SentRequest
from tests.soak.replica_pauses import (
    EVENT_PATIENCE_S,
    MAX_PAUSE_S,
    MIN_RUN_S,
    MIN_TIMEOUT_S,
    PatientCaller,
    ReplicaPauses,
    is_lost,
    longest_pause_s,
    merge_pauses,
)
from tests.soak.replica_process import HEARTBEAT_S, ReplicaProcess
from tests.systems import in_virtual_time

PAUSE_PHASE_S = 6.0
# A run with fewer has not shown much.
MIN_PAUSES = 10
MIN_OPEN_DURING_PAUSES = 30
EVENT = b"id: %d\ndata: token\n\n"


def make_request(request_id="r1", expected=None, took_s=1.0):
    """Returns a SentRequest that was sent at 10 s, a stream if nothing is expected."""
    sent = SentRequest(request_id, "night", "entry-0", expected, 10.0)
    sent.ended_at = sent.sent_at + took_s
    return sent


def make_replica(*pauses, runs=(), replica_id="models-0"):
    return types.SimpleNamespace(
        id=replica_id,
        pauses=list(pauses),
        runs=[(run_id, None) for run_id in runs],
        orders=[],
        overfilled=False,
    )


class ReplicaPausesTest(testtools.TestCase):
    def check_seed(self, seed):
        with log_folder(f"replica-pauses-{seed}") as folder:
            soak = ReplicaPauses(seed, PAUSE_PHASE_S, folder)
            asyncio.run(soak.run())
            lines = [soak.summary(), *soak.violations]
            (folder / "violations.txt").write_text("\n".join(lines))
            self.assertEqual([], soak.violations)
            self.assertGreater(soak.pause_count, MIN_PAUSES)
            self.assertGreater(soak.open_during_pauses_count, MIN_OPEN_DURING_PAUSES)

    def test_first_seed(self):
        """Guards against answers that are lost though each replica goes on."""
        self.check_seed(1)

    def test_second_seed(self):
        """Guards against answers that are lost though each replica goes on."""
        self.check_seed(2)


class LostAnswerTest(testtools.TestCase):
    """Guards against checks of lost answers that cannot fail, or excuse too much."""

    def setUp(self):
        super().setUp()
        self.soak = ReplicaPauses(1, 1.0, "")
        self.soak._callers_stopped_at = 100.0

    def check(self, sent, *replicas, status=0, body=b"", complete=False):
        """Returns how many of the requests are lost: one, or none."""
        sent.answer = Response(status, {}, body, complete)
        self.soak.oracle.record_request(sent)
        self.soak._replicas = list(replicas)
        self.soak.check_requests()
        rules = [line.split(" ")[0] for line in self.soak.violations]
        self.assertEqual(["LOST"] * len(rules), rules)
        return len(rules)

    def test_answer_that_broke_off(self):
        lost = self.check(make_request(), status=200, body=EVENT % 1)
        self.assertEqual(1, lost)

    def test_request_that_ran_and_got_no_answer_of_a_replica(self):
        replica = make_replica((9.0, 10.5), runs=["r1"])
        for status in (0, 502, 503, 504):
            sent = make_request(expected=b"x")
            self.assertTrue(is_lost(sent, True))
            self.soak.violations.clear()
            self.assertEqual(1, self.check(sent, replica, status=status))

    def test_whole_answer_and_request_that_did_not_run(self):
        replica = make_replica(runs=["r1"])
        whole = make_request(expected=b"x")
        self.assertEqual(0, self.check(whole, replica, status=200, complete=True))
        for status in (0, 404, 503):
            refused = make_request("r2", expected=b"x")
            self.assertEqual(0, self.check(refused, replica, status=status))

    def test_answer_that_its_timeout_may_have_ended(self):
        replica = make_replica(runs=["r1"])
        for took_s, lost in ((MIN_TIMEOUT_S - 0.5, 1), (MIN_TIMEOUT_S, 0)):
            self.soak.violations.clear()
            sent = make_request(expected=b"x", took_s=took_s)
            self.assertEqual(lost, self.check(sent, replica, status=504))

    def test_pause_that_was_too_long_excuses_the_requests_there(self):
        """Only those that ran at this replica."""
        paused = make_replica((8.0, 10.5), runs=["r1"])
        self.assertEqual(0, self.check(make_request(), paused, status=502))
        sound = make_replica((9.0, 10.5), runs=["r2"])
        sent = make_request("r2")
        self.assertEqual(1, self.check(sent, paused, sound, status=502))

    def test_pauses_with_little_time_between_them_are_one(self):
        near = make_replica((8.0, 9.0), (9.0 + MIN_RUN_S / 2, 10.5))
        far = make_replica((8.0, 9.0), (9.0 + MIN_RUN_S, 10.5))
        self.assertEqual([(8.0, 10.5)], merge_pauses(near.pauses))
        self.assertEqual(2.5, longest_pause_s(make_request(), [near]))
        self.assertLess(longest_pause_s(make_request(), [far]), MAX_PAUSE_S)

    def test_stream_without_an_event_when_its_caller_gives_up(self):
        """It is lost if its replica was not paused then, or if it had an event."""
        paused = make_replica((11.0, 12.2), runs=["r1"])
        earlier = make_replica((10.0, 11.9), runs=["r1"])
        took_s = EVENT_PATIENCE_S - 0.1
        for replica, body, lost in (
            (paused, b"", 0),
            (earlier, b"", 1),
            (paused, EVENT % 1, 1),
        ):
            self.soak.violations.clear()
            sent = make_request(took_s=took_s)
            status = 200 if body else 504
            self.assertEqual(lost, self.check(sent, replica, status=status, body=body))

    def test_stream_that_its_caller_gave_up_after_a_gap(self):
        """It is excused only if two of its replicas paused in the gap."""
        first = make_replica((11.0, 12.9), runs=["r1"])
        second = make_replica((12.0, 13.5), runs=["r1"], replica_id="models-1")
        self.soak._gaps_by_id["r1"] = (11.0, 13.4)
        for replicas, lost in (([first], 1), ([first, second], 0)):
            self.soak.violations.clear()
            sent = make_request(took_s=3.4)
            self.assertEqual(
                lost, self.check(sent, *replicas, status=200, body=EVENT % 1)
            )

    @in_virtual_time
    async def test_caller_gives_up_a_stream_after_a_gap(self):
        caller = PatientCaller(None)
        caller.reader = asyncio.StreamReader()
        caller.reader.feed_data(b"%x\r\n%b\r\n" % (len(EVENT % 1), EVENT % 1))
        self.assertEqual((EVENT % 1, False), await caller._read_chunks())
        self.assertEqual((0.0, EVENT_PATIENCE_S), caller.last_gap)

    def test_verdict_on_a_process(self):
        oracle = Oracle(frozenset())
        lines = ['{"event":"EV-1413"}', '{"event":"EV-1453","replica":"models-0"}']
        oracle.check_verdicts("entry-0", lines)
        (violation,) = oracle.violations
        self.assertIn("VERDICT entry-0", violation)


class ReplicaProcessTest(testtools.TestCase):
    def test_paused_process_takes_requests_and_serves_them_later(self):
        """Guards against pauses that do not stop a replica, or lose its requests."""
        asyncio.run(self.check_pause())

    async def check_pause(self):
        entries = []
        replica = ReplicaProcess("register-0", REGISTER_BACKEND, None, entries.append)
        try:
            await replica.start()
            replica.pause()
            async with Caller(("127.0.0.1", replica.port)) as caller:
                call = asyncio.create_task(caller.send_request("/entry/a"))
                await asyncio.sleep(2 * HEARTBEAT_S)
                entry_count = len(entries)
                self.assertFalse(call.done())
                await asyncio.sleep(HEARTBEAT_S)
                self.assertEqual(entry_count, len(entries))
                replica.resume()
                self.assertEqual(200, (await call).status)
            replica.leave()
            await replica.stop()
        finally:
            await replica.kill()
        self.assertGreater(len(entries), entry_count)
        self.assertEqual("draining", entries[-1].entry["state"])
        self.assertEqual(1, len(replica.runs))
        ((start, end),) = replica.pauses
        self.assertGreater(end - start, 2 * HEARTBEAT_S)
