"""Tests of the command that draws days, plays them and reads their logs."""

import contextlib
import io
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import tomllib

import testtools

from benchmarks.near_misses_log import RunLog
from benchmarks.near_misses_verdicts import verdict_report
from benchmarks.trouble_days import main
from benchmarks.trouble_days_draw import draw_days
from benchmarks.trouble_days_kinds import PLANNED_WORK, TROUBLE, variants_by_kind
from tests.test_near_misses import CONFIGURATION, HOST, end_of, text_of

WORKS = variants_by_kind(PLANNED_WORK, {item.kind for item in PLANNED_WORK})
TROUBLES = variants_by_kind(TROUBLE, {item.kind for item in TROUBLE})
UNTIL_S = 16.0
ROOT = pathlib.Path(__file__).resolve().parent.parent
# Only detects a hang.
LIMIT_S = 60.0
END = "to play it took 1.0 s"
ADDRESS = {"address": "10.0.0.1:80", "state": "ready"}
# The time of day of ``text_of`` is 1771376889000 ms, so the second process begins at 5 s.
FIRST_BOOT, SECOND_BOOT = 1771376888000, 1771376894000
# Plays what the file ``logs`` beside it holds for the day's kind of trouble.
BENCH = """#!{python}
import json, pathlib, sys, time, tomllib
folder = pathlib.Path(__file__).parent
if sys.argv[1] == "kinds":
    print("general: text\\n\\nhup: text\\nsrv_crash: text\\nlossy: text\\nburst: text")
    sys.exit()
day = tomllib.loads(pathlib.Path(sys.argv[3]).read_text())
kind = day["name"].rpartition("-")[2]
log = json.loads((folder / "logs").read_text())[kind]
print("begun", flush=True)
time.sleep(log["wait_s"])
print(log["text"])
sys.exit(log["exit_code"])
"""


def draw(seed, count=60):
    return draw_days("site", WORKS, TROUBLES, seed, count, UNTIL_S)


class DrawTest(testtools.TestCase):
    def test_same_seed_draws_the_same_days(self):
        """Guards against days that cannot be played again."""
        texts = [day.to_toml() for day in draw(3)]
        self.assertEqual(texts, [day.to_toml() for day in draw(3)])
        self.assertEqual(texts[:5], [day.to_toml() for day in draw(3, 5)])
        self.assertNotEqual(texts, [day.to_toml() for day in draw(4)])

    def test_files_hold_the_drawn_entries_within_the_play(self):
        """Guards against files that the bench refuses, and trouble without effect."""
        for day in draw(5, 200):
            data = tomllib.loads(day.to_toml())
            self.assertEqual((day.plan, day.faults), (data["plan"], data["faults"]))
            self.assertIn(day.work, [entry["kind"] for entry in day.plan])
            self.assertIn(day.trouble, [entry["kind"] for entry in day.faults])
            for entry in day.faults:
                self.assertTrue(3.5 <= entry["at"] <= UNTIL_S - 5.0, entry)

    def test_each_trouble_comes_beside_each_kind_of_planned_work(self):
        """Guards against pairs that are never played."""
        days = draw(1, len(WORKS) * len(TROUBLES))
        pairs = {(day.work, day.trouble) for day in days}
        self.assertEqual(len(days), len(pairs))


class VerdictTest(testtools.TestCase):
    def wrong_signs(self, *later):
        """Returns the first signs after a verdict at 8 s on the first process."""
        listed = text_of(0.0, "EV-1411", replica="i-1", boot=FIRST_BOOT, **ADDRESS)
        verdict = {"evidence": "e", "silent_ms": 900, "boot": FIRST_BOOT}
        lines = [
            text_of(0.0, "EV-1001"),
            listed,
            text_of(0.0, "EV-1428", replica="i-1", result="ACCEPTED"),
            text_of(8.0, "EV-1453", replica="i-1", **verdict),
            *later,
        ]
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "log"
            path.write_text("\n".join(lines))
            report = verdict_report(RunLog.from_path(path))
        self.assertEqual(1, report["verdicts"])
        return [item["sign"] for item in report["wrong"]]

    def test_sign_after_a_verdict_shows_that_it_was_wrong(self):
        """Guards against requests ended at running processes without being shown."""
        entry = {"replica": "i-1", "boot": FIRST_BOOT}
        again = [
            text_of(8.5, "EV-1412", **entry),
            text_of(9.0, "EV-1411", **entry, **ADDRESS),
        ]
        for sign, lines in (
            ("EV-1411, listed again", again),
            (
                "EV-1411, state draining",
                [text_of(9.0, "EV-1411", replica="i-1", state="draining")],
            ),
            (
                "EV-1446, accepted",
                [text_of(9.0, "EV-1446", "f-2", replica="i-1", result="accepted")],
            ),
            (
                "EV-1439, ACCEPTED",
                [text_of(9.0, "EV-1439", "f-2", replica="i-1", result="ACCEPTED")],
            ),
            (
                "EV-1405, status 500",
                [text_of(9.0, "EV-1405", sent_to=["i-1"], reason="status 500")],
            ),
            (
                "EV-1413, heard",
                [text_of(9.0, "EV-1413", replica="i-1", last_heard_s=0.9)],
            ),
        ):
            self.assertEqual([sign], self.wrong_signs(*lines), sign)

    def test_right_verdict_is_not_shown(self):
        """Guards against faults seen in lines that are no sign of the process."""
        entry = {"replica": "i-1", "boot": FIRST_BOOT}
        later_listed = text_of(
            7.0, "EV-1411", "f-3", replica="i-1", boot=SECOND_BOOT, **ADDRESS
        )
        order = text_of(9.0, "EV-1428", "f-2", replica="i-1", result="ACCEPTED")
        for name, lines in {
            "first listing": [text_of(9.0, "EV-1411", "f-2", **entry, **ADDRESS)],
            "listed by a host that has started again": [
                text_of(8.5, "EV-1412", **entry),
                text_of(8.8, "EV-1001"),
                text_of(9.0, "EV-1411", **entry, **ADDRESS),
            ],
            "change told late": [
                text_of(0.0, "EV-1411", "f-2", **entry, **ADDRESS),
                text_of(7.0, "EV-1411", replica="i-1", state="draining"),
                text_of(9.0, "EV-1411", "f-2", replica="i-1", state="draining"),
            ],
            "refused order": [
                text_of(9.0, "EV-1428", replica="i-1", result="WRONG_REPLICA")
            ],
            "heard before": [
                text_of(9.0, "EV-1413", replica="i-1", last_heard_s=1.1),
                text_of(9.0, "EV-1413", "f-2", replica="i-1", last_heard_s=None),
            ],
            "order to a later process": [later_listed, order],
            "order to a later process that is listed late": [
                order,
                later_listed.replace("7.0000", "9.5000"),
            ],
        }.items():
            self.assertEqual([], self.wrong_signs(*lines), name)


class CommandTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.bench = self.folder / "bench"
        self.bench.write_text(BENCH.format(python=sys.executable))
        self.bench.chmod(0o755)

    def write_logs(self, logs):
        """Sets what the bench does, and returns the arguments that play these days.

        ``logs`` are (text, exit code, wait in seconds) by kind of trouble.
        """
        logs = {
            kind: dict(zip(("text", "exit_code", "wait_s"), log, strict=True))
            for kind, log in logs.items()
        }
        (self.folder / "logs").write_text(json.dumps(logs))
        arguments = ["--bench", str(self.bench), "--site", str(self.folder / "site")]
        arguments += ["--folder", str(self.folder / "out"), "--days", str(len(logs))]
        arguments += ["--checkout", str(self.folder)]
        return arguments + [word for kind in logs for word in ("--only", kind)]

    def play(self, logs, *options):
        """Plays the days of ``write_logs``; returns (exit code, text, summary)."""
        arguments = self.write_logs(logs)
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            exit_code = main([*arguments, *options])
        text = output.getvalue()
        return exit_code, text, json.loads(text.splitlines()[-1])

    def test_table_counts_what_the_logs_show(self):
        """Guards against losses in a log that the table leaves out."""
        code = {"code": "SN-1303", "outcome": "outcome_unknown"}
        lines = [
            *CONFIGURATION,
            end_of(12.0, "r1"),
            end_of(12.1, "r2", after_ms=9000),
            text_of(12.2, "EV-1404", request="r3", **code),
            end_of(12.2, "r3", after_ms=9000),
            end_of(12.3, "r4", reason="caller_closed"),
            *(
                text_of(12.4, "EV-1446", request=f"t{n}", result="refused", reason="x")
                for n in range(12)
            ),
            "TWICE request r9 ran twice",
            END,
        ]
        exit_code, text, summary = self.play({"lossy": ("\n".join(lines), 0, 0.0)})
        (row,) = summary["pairs"]
        self.assertEqual(
            {
                "work": "hup",
                "trouble": "lossy",
                "plays": 1,
                "failed": 0,
                "near_misses_a": 1,
                "near_misses_b": 1,
                "verdicts": 0,
                "wrong_verdicts": 0,
                "at_deadline": 2,
                "after_silence": 1,
                "broken_rules": 1,
            },
            row,
        )
        self.assertEqual(1, exit_code)
        self.assertIn("the bench: TWICE request r9 ran twice", text)
        (day,) = summary["days"]
        self.assertIn(day["replay"], text)

    def test_play_that_breaks_off_or_cannot_be_read_is_told(self):
        """Guards against a play without a complete log that counts as a good one."""
        unreadable = text_of(9.0, "EV-1437", HOST, reason="caller_timed_out")
        exit_code, text, summary = self.play(
            {
                "lossy": ("error: no such kind", 3, 0.0),
                "burst": ("\n".join([unreadable, END]), 0, 0.0),
                "srv_crash": ("\n".join([*CONFIGURATION, END]), 0, 0.0),
            }
        )
        problems = {day["trouble"]: day["problem"] for day in summary["days"]}
        self.assertEqual(
            "no complete log, exit code 3: error: no such kind", problems["lossy"]
        )
        self.assertIn("the log cannot be read: KeyError", problems["burst"])
        self.assertIsNone(problems["srv_crash"])
        self.assertIn(problems["lossy"], text)
        self.assertEqual(1, exit_code)
        self.assertEqual(2, sum(row["failed"] for row in summary["pairs"]))

    def test_interrupted_command_ends_its_plays_and_tells_them(self):
        """Guards against benches that go on alone, and days that count as played."""
        arguments = self.write_logs({"lossy": ("", 0, 60.0), "burst": ("", 0, 60.0)})
        command = [sys.executable, "-m", "benchmarks.trouble_days", *arguments]
        process = subprocess.Popen(
            [*command, "--jobs", "1"],
            cwd=ROOT,
            env=os.environ | {"PYTHONPATH": str(ROOT)},
            stdout=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(process.kill)
        # The bench writes its traceback after an interrupt, but only if it has begun.
        (log_path,) = self.wait_for_begun_log()
        process.send_signal(signal.SIGTERM)
        text, _ = process.communicate(timeout=LIMIT_S)
        days = json.loads(text.splitlines()[-1])["days"]
        problems = sorted(day["problem"] for day in days)
        self.assertEqual(
            (1, ["broken off", "not played"]), (process.returncode, problems)
        )
        self.assertIn("KeyboardInterrupt", log_path.read_text())

    def wait_for_begun_log(self):
        """Returns the logs into which the bench has written, once there is one."""
        end_at = time.monotonic() + LIMIT_S
        while time.monotonic() < end_at:
            paths = (self.folder / "out").glob("*.log")
            begun = [path for path in paths if path.stat().st_size]
            if begun:
                return begun
            time.sleep(0.02)
        raise AssertionError("no play has begun")

    def test_days_do_not_depend_on_the_number_of_jobs(self):
        """Guards against results whose order or days differ with --jobs."""
        text = "\n".join([*CONFIGURATION, END])
        # The first day of one kind ends last if the days are played beside each other.
        logs = {"lossy": (text, 0, 0.3), "burst": (text, 0, 0.0)}
        first, second = (
            self.play(logs, "--jobs", jobs, "--days", "4")[2] for jobs in ("1", "4")
        )
        self.assertEqual(4, len(first["days"]))
        self.assertEqual(first, second)
