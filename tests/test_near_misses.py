"""Tests of the check that finds near misses of lost requests in logs."""

import pathlib
import tempfile

import msgspec
import testtools

from benchmarks.near_misses import report_of
from benchmarks.near_misses_log import RunLog

HOST = "front-1"


def text_of(at_s, event, host=HOST, **fields):
    """Returns a line as the bench prints it."""
    fields = {"time": "2026-02-18T01:08:09+00:00", "event": event, **fields}
    return f"{at_s:9.4f} {host} {msgspec.json.encode(fields).decode()}"


def end_of(at_s, request, **fields):
    """Returns the line of a caller that left a stream in time, unless told otherwise."""
    fields = {
        "reason": "caller_timed_out",
        "unanswered": "partial_response",
        "silent_ms": 2433,
        "replica_silent_ms": 2433,
        "deadline_ms": 9000,
        "after_ms": 4000,
        "timeout_ms": 30000,
        "kind": "stream",
        "resumable": True,
        "sent_to": ["i-1"],
        "configuration_age_ms": 500,
        "request": request,
    } | fields
    return text_of(at_s, "EV-1437", **fields)


# Two hosts apply a configuration, the second one 0.5 s later; traffic ends at 40 s.
CONFIGURATION = [
    text_of(-1.0, "EV-1001"),
    text_of(-1.0, "EV-1001", "front-2"),
    text_of(10.0, "EV-1101", revision=2),
    text_of(10.5, "EV-1101", "front-2", revision=2),
    text_of(40.0, "EV-1431", "front-2"),
]


class NearMissTest(testtools.TestCase):
    def report(self, *lines):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "log"
            path.write_text("\n".join(["built in 0.4 s", *CONFIGURATION, *lines]))
            return report_of(RunLog.from_path(path))

    def verdicts(self, *lines):
        """Returns the verdict for each request."""
        return {
            request: row["verdict"]
            for row in self.report(*lines)["endings"]
            for request in row["requests"]
        }

    def test_held_stream_beside_a_configuration_counts_with_its_evidence(self):
        """Guards against a near miss that is not shown, or without its cause."""
        report = self.report(
            text_of(12.0, "EV-1413", replica="i-1"),
            text_of(12.5, "EV-1410", request="r1", sent_to=["i-1"], reason="no place"),
            end_of(13.4, "r1"),
        )
        (row,) = report["endings"]
        self.assertEqual(
            ("a", "stream", True), tuple(row[k] for k in ("rule", "kind", "resumable"))
        )
        self.assertEqual(
            "not replaced: no place; EV-1413; configuration < 1 s", row["evidence"]
        )
        self.assertIn("silent 2.4 s", row["how"])

    def test_end_at_a_process_known_to_have_ended_is_told(self):
        """Guards against a held stream not told from one at a replica that goes on."""
        listed = {"address": "10.0.0.1:80", "boot": 1}
        later = {"address": "10.0.0.1:80", "boot": 2}
        report = self.report(
            text_of(-1.0, "EV-1411", replica="i-1", **listed),
            text_of(5.0, "EV-1411", replica="i-1", state="draining"),
            text_of(11.0, "EV-1411", replica="i-2", **later),
            end_of(10.9, "r0"),
            end_of(13.4, "r1"),
            end_of(13.4, "r2", after_ms=1000),
        )
        self.assertEqual(
            {
                "r0": "configuration < 1 s",
                "r1": "ended process, known; configuration < 1 s",
                "r2": "ended process, known before the request; configuration < 1 s",
            },
            {row["requests"][0]: row["evidence"] for row in report["endings"]},
        )

    def test_ends_that_rule_a_excludes_are_named_and_not_counted(self):
        """Guards against losses seen where the caller or the replica ended a request."""
        closed = {"code": "SN-1301", "outcome": "outcome_unknown"}
        closed["reason"] = "the connection was closed: None"
        verdicts = self.verdicts(
            end_of(12.0, "late", after_ms=6300),
            end_of(12.0, "timeout", deadline_ms=None, after_ms=30000),
            end_of(12.0, "left", reason="caller_closed"),
            end_of(12.0, "unread", unanswered="unread_bytes"),
            end_of(14.0, "elsewhere"),
            text_of(11.9, "EV-1404", request="cut", **closed),
            end_of(12.0, "cut", reason="response_aborted", replica_silent_ms=None),
            text_of(12.0, "EV-1404", request="told", after_ms=630, **closed),
        )
        self.assertEqual(
            {
                "late": "late",
                "timeout": "late",
                "left": "caller's choice",
                "unread": "not read",
                "elsewhere": "no planned work",
                "cut": "replica broke off",
                "told": "answered",
            },
            verdicts,
        )

    def test_host_that_cuts_as_often_at_other_times_is_not_counted(self):
        """Guards against usual cuts that are put down to a configuration."""
        # 2 cuts in 3.5 s are under three times 10 cuts in 36.5 s.
        usual = [end_of(20.0 + number, f"o{number}") for number in range(10)]
        beside = [end_of(12.0, "r1"), end_of(12.1, "r2")]
        self.assertEqual("usual rate", self.verdicts(*beside, *usual)["r1"])
        self.assertEqual("counted", self.verdicts(*beside, *usual[:6])["r1"])
        # Beside a planned stop the rate does not matter.
        stop = text_of(11.0, "EV-1003")
        self.assertEqual("counted", self.verdicts(stop, *beside)["r1"])

    def test_rule_b_counts_from_twelve_take_ups_on(self):
        """Guards against streams that break off for good without being shown."""

        def take_ups(accepted, refused):
            results = ["accepted"] * accepted + ["refused"] * refused
            lines = [
                text_of(
                    12.0,
                    "EV-1446",
                    request=f"t{number}",
                    result=result,
                    reason="no place",
                )
                for number, result in enumerate(results)
            ]
            # Streams that go on later must not hide those that do not.
            lines += [
                text_of(15.0, "EV-1446", request=f"l{number}", result="accepted")
                for number in range(20)
            ]
            return self.report(*lines)["take_ups"]["is_near_miss"]

        self.assertEqual(
            (True, False, False),
            (take_ups(5, 7), take_ups(6, 6), take_ups(1, 10)),
        )

    def test_lines_that_were_left_out_are_told(self):
        """Guards against counts that look complete though lines were left out."""
        lines = [text_of(12.0, "EV-1406", counts={"EV-1437": 3})] * 2
        self.assertEqual({"EV-1437": 6}, self.report(*lines)["suppressed"])
