"""Shows near misses of lost requests in the logs of runs of the bench.

Usage: PYTHONPATH=. python -m benchmarks.near_misses LOG..., or make near-misses

Each LOG is the output of ``fleetbench run ... --log all``. Rule (a): beside planned work,
a request that its host had read whole ended early without a complete answer. Rule (b): of
the streams that callers take up again, too few go on. The last line of the output is one
JSON object.
"""

import argparse
import collections
import json
import sys

from benchmarks.near_misses_ends import Verdict, cut_rates, find_endings, judge_by_rate
from benchmarks.near_misses_log import RunLog
from benchmarks.near_misses_take_ups import (
    MIN_GO_ON_SHARE,
    PERIOD_S,
    SHOWN_REQUESTS,
    take_up_report,
)
from benchmarks.near_misses_work import PlannedWork
from snipetrestle.cli.output import print_table

# The fields of an Ending that name its kind.
KIND_FIELDS = ("verdict", "work", "how", "kind", "resumable", "evidence")


def report_of(log):
    """Returns the figures of a RunLog as plain data."""
    work = PlannedWork(log)
    endings = find_endings(log, work)
    rates_by_host = cut_rates(log, work, endings)
    judge_by_rate(endings, rates_by_host)
    return {
        "near_misses": sum(item.verdict is Verdict.COUNTED for item in endings),
        "endings": _rows(endings),
        "take_ups": take_up_report(log),
        "hosts": {
            host: {
                "beside": rates.beside,
                "beside_per_s": round(rates.beside_per_s, 3),
                "elsewhere": rates.elsewhere,
                "elsewhere_per_s": round(rates.elsewhere_per_s, 3),
                "is_raised": rates.is_raised,
            }
            for host, rates in rates_by_host.items()
        },
        "configuration_s": round(work.configuration_s(), 3),
        "end_s": round(log.end_s, 3),
        "suppressed": log.suppressed_counts(),
        "bench": log.broken_rules,
        "is_complete": log.is_complete,
    }


def _rows(endings):
    """Returns the endings by kind, those that count first."""
    groups = collections.defaultdict(list)
    for ending in endings:
        groups[tuple(getattr(ending, name) for name in KIND_FIELDS)].append(ending)
    rows = []
    for key, group in groups.items():
        row = dict(zip(KIND_FIELDS, key, strict=True))
        row["rule"] = "a" if row["verdict"] is Verdict.COUNTED else None
        row["count"] = len(group)
        row["requests"] = [item.request for item in group[:SHOWN_REQUESTS]]
        rows.append(row)
    return sorted(rows, key=lambda row: (row["rule"] is None, -row["count"]))


def print_report(path, report):
    """Prints the tables of one log."""
    print(f"{path}: {report['near_misses']} near misses by rule (a)")
    print_table(
        ("n", "rule", "verdict", "work", "how", "kind", "resum.", "evidence", "first"),
        [
            (
                row["count"],
                row["rule"] or "-",
                row["verdict"],
                row["work"] or "-",
                row["how"],
                row["kind"] or "-",
                "-" if row["resumable"] is None else row["resumable"],
                row["evidence"],
                " ".join(str(item) for item in row["requests"]),
            )
            for row in report["endings"]
        ],
    )
    _print_take_ups(report["take_ups"])
    print(
        f"requests cut beside configurations ({report['configuration_s']} s) and not:"
    )
    print_table(
        ("host", "beside", "per s", "elsewhere", "per s", "raised"),
        [(host, *rates.values()) for host, rates in report["hosts"].items()],
    )
    if report["suppressed"]:
        print(
            f"lines left out (EV-1406), so counts are too low: {report['suppressed']}"
        )
    for text in report["bench"]:
        print(f"the bench: {text}")
    if not report["is_complete"]:
        print("the log has no end: the run goes on, or was broken off")
    print()


def _print_take_ups(take_ups):
    print(
        f"rule (b): {take_ups['went_on']} of {take_ups['streams']} taken-up streams went "
        f"on ({take_ups['requests']} requests); refused: {take_ups['refused']}, "
        f"first {' '.join(take_ups['first_refused'])}"
    )
    worst = take_ups["worst"]
    if worst is not None:
        verdict = "a near miss" if take_ups["is_near_miss"] else "no near miss"
        print(
            f"worst {PERIOD_S:g} s, from {worst['from_s']:.3f} s: {worst['went_on']} of "
            f"{worst['streams']}: {verdict} (limit {MIN_GO_ON_SHARE}, as if all new "
            "streams began)"
        )


def main(arguments):
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("logs", nargs="+", metavar="LOG")
    reports = {}
    for path in parser.parse_args(arguments).logs:
        reports[path] = report_of(RunLog.from_path(path))
        print_report(path, reports[path])
    print(json.dumps(reports))


if __name__ == "__main__":
    main(sys.argv[1:])
