"""Figures of the play of one drawn day, read from its log."""

from benchmarks.near_misses import report_of
from benchmarks.near_misses_log import RunLog
from benchmarks.near_misses_verdicts import verdict_report
from snipetrestle.codes import ResultCode
from snipetrestle.events import Event
from snipetrestle.gateway.callers.connection_end import EndReason

# The bench begins a line with the name of a rule that was broken.
RULES = frozenset(
    (
        *("DRAIN", "LOST", "BUDGET", "CONFIG", "TWICE", "REFUSED", "UNASKED"),
        *("MIXED", "ORDER", "GONE", "DENIED", "LIMIT", "ONE", "VERSION", "CEILING"),
        *("ROUTE", "RECOVER"),
    )
)
WORTH_MARK = "worth "
# Of a play that failed, this much of the last line is shown.
MAX_SHOWN_LENGTH = 200


def figures_of(path):
    """Returns the figures of a log as plain data."""
    log = RunLog.from_path(path)
    report = report_of(log)
    texts = path.read_text(errors="replace").splitlines()
    at_deadline, after_silence = _left_callers(log)
    return {
        "near_misses_a": report["near_misses"],
        "endings": [row for row in report["endings"] if row["rule"] is not None],
        "near_misses_b": int(report["take_ups"]["is_near_miss"]),
        "worst_take_ups": report["take_ups"]["worst"],
        "verdicts": verdict_report(log),
        "at_deadline": at_deadline,
        "after_silence": after_silence,
        "broken_rules": [text for text in texts if text.partition(" ")[0] in RULES],
        "worth": next((text for text in texts if _is_worth(text)), None),
        "suppressed": report["suppressed"],
        "is_complete": report["is_complete"],
        "last_text": texts[-1][:MAX_SHOWN_LENGTH] if texts else "",
    }


def _is_worth(text):
    return text.startswith(WORTH_MARK) and "=" in text


def _left_callers(log):
    """Returns the tries that ended at the deadline, and callers that left before.

    The latter left after a silence of their host. Tries are told by host and request.
    """
    at_deadline = {
        (line.host, line.fields["request"])
        for line in log.of_event(Event.REQUEST_FAILED)
        if line.fields["code"] == str(ResultCode.DEADLINE_PASSED)
    }
    after_silence = set()
    for line in log.of_event(Event.CONNECTION_ENDED_EARLY):
        if line.fields["reason"] != EndReason.CALLER_TIMED_OUT:
            continue
        tries = at_deadline if _is_at_deadline(line.fields) else after_silence
        tries.add((line.host, line.fields["request"]))
    return len(at_deadline), len(after_silence - at_deadline)


def _is_at_deadline(fields):
    limits = [fields.get("deadline_ms"), fields.get("timeout_ms")]
    limits_ms = [limit for limit in limits if limit is not None]
    # Lines of a request whose head has not come whole have no time of their own.
    after_ms = fields.get("after_ms", fields.get("quiet_ms", 0))
    return bool(limits_ms) and after_ms >= min(limits_ms)
