"""Tables of the plays of drawn days: counts by pairs of kinds, and each day."""

import collections

from snipetrestle.cli.output import print_table

COLUMNS = (
    "plays",
    "failed",
    "near_misses_a",
    "near_misses_b",
    "verdicts",
    "wrong_verdicts",
    "at_deadline",
    "after_silence",
    "broken_rules",
)
TITLES = (
    "planned work",
    "trouble",
    *("plays", "failed", "rule a", "rule b", "verdicts", "wrong"),
    *("deadline", "silence", "broken rules"),
)


def result_of(play, figures, replay):
    """Returns the result of a Play as plain data.

    ``figures`` is None without a log; ``replay`` is the command that plays it again.
    """
    day = play.day
    return {
        "name": day.name,
        "site": day.site,
        "work": day.work,
        "trouble": day.trouble,
        "seed": day.seed,
        "log": str(play.log_path),
        "replay": replay,
        "exit_code": play.exit_code,
        "problem": _problem(play, figures),
        **(figures or {}),
    }


def _problem(play, figures):
    """Tells why the figures of a play are none or too low; None if they are whole."""
    if play.problem is not None:
        return play.problem
    if figures["is_complete"]:
        return None
    return f"no complete log, exit code {play.exit_code}: {figures['last_text']}"


def pair_counts(results):
    """Returns counts by (kind of planned work, kind of trouble), as rows."""
    counts_by_pair = collections.defaultdict(collections.Counter)
    for result in results:
        counts_by_pair[result["work"], result["trouble"]].update(_counts(result))
    return [
        {"work": work, "trouble": trouble} | {name: counts[name] for name in COLUMNS}
        for (work, trouble), counts in sorted(counts_by_pair.items())
    ]


def _counts(result):
    counts = {"plays": 1, "failed": int(result["problem"] is not None)}
    if "verdicts" not in result:
        return counts
    counts["verdicts"] = result["verdicts"]["verdicts"]
    counts["wrong_verdicts"] = len(result["verdicts"]["wrong"])
    counts["broken_rules"] = len(result["broken_rules"])
    for name in ("near_misses_a", "near_misses_b", "at_deadline", "after_silence"):
        counts[name] = result[name]
    return counts


def print_results(results):
    """Prints the table of pairs, with a sum, and what was found on each day."""
    rows = pair_counts(results)
    total = {name: sum(row[name] for row in rows) for name in COLUMNS}
    rows.append({"work": "all", "trouble": "all"} | total)
    print_table(TITLES, [tuple(row.values()) for row in rows])
    for result in results:
        print()
        _print_day(result)


def summary_of(result):
    """Returns a line about a day, with its counts."""
    counts = _counts(result)
    found = ", ".join(f"{name} {counts[name]}" for name in COLUMNS if counts.get(name))
    text = f"{result['name']}: {found}"
    return text if result["problem"] is None else f"{text}: {result['problem']}"


def _print_day(result):
    print(summary_of(result))
    print(f"  {result['replay']}")
    if result["problem"] is None and result["exit_code"]:
        print(f"  exit code of the bench: {result['exit_code']}")
    if "verdicts" not in result:
        return
    if result["worth"]:
        print(f"  {result['worth']}")
    for text in result["broken_rules"]:
        print(f"  the bench: {text}")
    for row in result["endings"]:
        print(
            f"  rule (a): {row['count']} beside {row['work']}: {row['how']}; "
            f"{row['evidence']}; first {' '.join(row['requests'])}"
        )
    if result["near_misses_b"]:
        worst = result["worst_take_ups"]
        print(
            f"  rule (b): {worst['went_on']} of {worst['streams']} taken-up streams "
            f"went on from {worst['from_s']:.3f} s"
        )
    for wrong in result["verdicts"]["wrong"]:
        print(f"  {_wrong_verdict_text(wrong)}")
    if result["suppressed"]:
        print(f"  lines left out (EV-1406), counts too low: {result['suppressed']}")


def _wrong_verdict_text(wrong):
    return (
        f"wrong verdict: {wrong['at_s']:.3f} s {wrong['host']} {wrong['replica']} boot "
        f"{wrong['boot']} ({wrong['evidence']}); {wrong['sign_at_s']:.3f} s "
        f"{wrong['sign_host']} {wrong['sign']}; {wrong['later_signs']} signs in all"
    )
