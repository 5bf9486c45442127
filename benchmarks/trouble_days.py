"""Draws days of planned work beside trouble, plays them and shows what went wrong.

Usage: PYTHONPATH=. python -m benchmarks.trouble_days --bench PROGRAM --site SITE...

The days are drawn from a seed and played beside each other by the users' bench. Their
logs are read for near misses (see ``benchmarks.near_misses``) and for wrong verdicts that
a replica's process has ended. The last line of the output is one JSON object. The exit
code is 1 if a play failed, gave no complete log or broke a rule of the bench.
"""

import argparse
import json
import pathlib
import shutil
import signal
import sys

from benchmarks.trouble_days_draw import draw_days
from benchmarks.trouble_days_figures import figures_of
from benchmarks.trouble_days_kinds import PLANNED_WORK, TROUBLE, variants_by_kind
from benchmarks.trouble_days_play import Bench, BenchFailed
from benchmarks.trouble_days_report import (
    pair_counts,
    print_results,
    result_of,
    summary_of,
)

DEFAULT_UNTIL_S = 16.0
DEFAULT_FOLDER = "target/trouble-days"
DEFAULT_DAYS = 8
DEFAULT_JOBS = 2
CHECKOUT = pathlib.Path(__file__).resolve().parent.parent


def parse_arguments(arguments):
    """Returns the options of the command line."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--bench", required=True, help="program of the bench")
    parser.add_argument(
        "--site",
        action="extend",
        nargs="+",
        required=True,
        type=pathlib.Path,
        help="files of sites",
    )
    parser.add_argument("--seed", type=int, default=1, help="seed of the days")
    parser.add_argument(
        "--days", type=_count, default=DEFAULT_DAYS, help="days drawn for each site"
    )
    parser.add_argument(
        "--jobs", type=_count, default=DEFAULT_JOBS, help="plays at a time at most"
    )
    parser.add_argument(
        "--until",
        type=float,
        default=DEFAULT_UNTIL_S,
        help="simulated seconds of each play",
    )
    parser.add_argument(
        "--folder",
        type=pathlib.Path,
        default=pathlib.Path(DEFAULT_FOLDER),
        help="folder for the days and logs",
    )
    parser.add_argument(
        "--checkout",
        type=pathlib.Path,
        default=CHECKOUT,
        help="checkout whose code is played",
    )
    parser.add_argument(
        "--only",
        action="append",
        choices=sorted({item.kind for item in TROUBLE}),
        metavar="KIND",
        help="draw only this kind of trouble; may be given several times",
    )
    options = parser.parse_args(arguments)
    if len({path.stem for path in options.site}) < len(options.site):
        parser.error("the files of the sites need different names")
    return options


def _count(text):
    """Returns a number from 1 on. Raises ValueError."""
    number = int(text)
    if number < 1:
        raise ValueError(text)
    return number


def plan_plays(bench, options):
    """Returns the Plays of all sites; their files are written. Raises BenchFailed."""
    plays = []
    for site_path in options.site:
        site_path = site_path.resolve()
        listed_kinds = bench.listed_kinds(site_path)
        troubles = variants_by_kind(TROUBLE, listed_kinds)
        if options.only:
            troubles = {
                kind: troubles[kind] for kind in troubles if kind in options.only
            }
        works = variants_by_kind(PLANNED_WORK, listed_kinds)
        if not works or not troubles:
            raise BenchFailed(f"{site_path}: the site has no such kinds")
        days = draw_days(
            site_path.stem, works, troubles, options.seed, options.days, options.until
        )
        plays += [bench.prepare(day, site_path) for day in days]
    return plays


def read_play(bench, play):
    """Returns the result of a play, with the figures of its log if there is one."""
    figures = None
    if play.log_path.exists():
        try:
            figures = figures_of(play.log_path)
        except Exception as error:
            # One unreadable log must not hide the others.
            play.problem = f"the log cannot be read: {error!r}"
    return result_of(play, figures, bench.replay_text(play))


def play_days(bench, plays, jobs):
    """Plays all days; returns the results in the order of the days.

    An interrupt ends the plays in progress; the results of the others are returned.
    """
    results = {}

    def on_end(play):
        result = results[play.day.name] = read_play(bench, play)
        print(f"{len(results)} of {len(plays)}: {summary_of(result)}", flush=True)

    try:
        bench.play_all(plays, jobs, on_end)
    except KeyboardInterrupt:
        print("interrupted", flush=True)
    for play in plays:
        if play.day.name not in results:
            results[play.day.name] = read_play(bench, play)
    return [results[play.day.name] for play in plays]


def main(arguments):
    """Runs the command and returns its exit code."""
    options = parse_arguments(arguments)
    options.folder.mkdir(parents=True, exist_ok=True)
    program = shutil.which(options.bench)
    if program is None:
        print(f"{options.bench}: no such program", file=sys.stderr)
        return 2
    bench = Bench(
        str(pathlib.Path(program).absolute()),
        options.checkout.resolve(),
        options.folder.resolve(),
        options.until,
    )
    try:
        plays = plan_plays(bench, options)
    except BenchFailed as error:
        print(error, file=sys.stderr)
        return 2
    results = play_days(bench, plays, options.jobs)
    print_results(results)
    summary = {
        "seed": options.seed,
        "until_s": options.until,
        "pairs": pair_counts(results),
        "days": results,
    }
    print(json.dumps(summary))
    is_good = all(
        result["problem"] is None and not result["broken_rules"] for result in results
    )
    return 0 if is_good else 1


def handle_signals():
    """Lets SIGTERM and SIGINT interrupt the command, so that it ends its plays.

    A shell may start a command in the background with SIGINT ignored, and the bench
    would inherit that.
    """
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, signal.default_int_handler)


if __name__ == "__main__":
    handle_signals()
    sys.exit(main(sys.argv[1:]))
