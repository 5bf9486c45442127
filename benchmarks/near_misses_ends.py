"""How requests of a run ended without a complete answer, and which of them count."""

import enum

from benchmarks.near_misses_work import Work
from snipetrestle.codes import ResultCode
from snipetrestle.events import Event
from snipetrestle.gateway.callers.connection_end import EndReason, Unanswered

# An end counts only before this part of the time that the caller had given.
COUNTED_SHARE = 0.7
# A host must cut this many times as often beside configurations as at other times.
CONFIGURATION_RATIO = 3.0
# Lines of a replica this long before and after the end are evidence.
EVIDENCE_S = 3.0
# Limits of the age of the configuration in force at the end, for the table.
AGE_LIMITS_MS = (1000, 3000)
# Silences of this host are told in steps, so that callers with one limit share a row.
SILENCE_STEP_MS = 200
# Reasons by which EV-1404 and EV-1405 say that the replica broke its response off.
BROKEN_OFF_REASONS = ("the connection was closed", "the stream ended", "status 5")
# Longer reasons hold a connection's error after this mark, which differs by request.
DETAIL_MARK = ":"


class Verdict(enum.StrEnum):
    """Whether the end of a request counts as a near miss, or else why not."""

    COUNTED = "counted"
    # Beside a configuration, but its host cuts no more often then.
    USUAL_RATE = "usual rate"
    NO_PLANNED_WORK = "no planned work"
    LATE = "late"
    BROKEN_OFF = "replica broke off"
    CALLERS_CHOICE = "caller's choice"
    NOT_READ = "not read"
    # The caller got a whole answer, which says that the outcome is unknown.
    ANSWERED = "answered"


class Ending:
    """The end of one request. ``work`` is the Work that went on then, or None."""

    __slots__ = (
        "at_s",
        "host",
        "request",
        "how",
        "kind",
        "resumable",
        "evidence",
        "work",
        "verdict",
    )

    def __init__(self, line, how, facts, evidence, work, verdict):
        self.at_s = line.at_s
        self.host = line.host
        self.request = line.fields.get("request")
        self.how = how
        self.kind = facts.get("kind")
        self.resumable = facts.get("resumable")
        self.evidence = evidence
        self.work = work
        # Set by ``judge_by_rate`` if it depends on other ends.
        self.verdict = verdict

    @property
    def is_cut(self):
        """Whether the host cut the request, whatever went on beside that."""
        return self.verdict in (Verdict.COUNTED, Verdict.NO_PLANNED_WORK)


def find_endings(log, work):
    """Returns the Endings of a RunLog by time. ``work`` is its PlannedWork."""
    endings = [
        _connection_end(log, work, line)
        for line in log.of_event(Event.CONNECTION_ENDED_EARLY)
    ]
    endings += [
        _unknown_answer(log, work, line)
        for line in log.of_event(Event.REQUEST_FAILED)
        if _is_unknown_answer(log, line)
    ]
    return sorted(endings, key=lambda ending: ending.at_s)


def judge_by_rate(endings, rates_by_host):
    """Takes back what hosts cut no more often beside configurations."""
    for ending in endings:
        is_beside = ending.work is Work.CONFIGURATION
        is_counted = ending.verdict is Verdict.COUNTED
        if is_counted and is_beside and not rates_by_host[ending.host].is_raised:
            ending.verdict = Verdict.USUAL_RATE


class CutRates:
    """How many requests a host cut beside configurations and at other times."""

    __slots__ = ("beside", "elsewhere", "beside_s", "elsewhere_s")

    def __init__(self, beside, elsewhere, beside_s, elsewhere_s):
        self.beside = beside
        self.elsewhere = elsewhere
        self.beside_s = beside_s
        self.elsewhere_s = elsewhere_s

    @property
    def beside_per_s(self):
        return self.beside / self.beside_s if self.beside_s else 0.0

    @property
    def elsewhere_per_s(self):
        return self.elsewhere / self.elsewhere_s if self.elsewhere_s else 0.0

    @property
    def is_raised(self):
        """Whether the host cuts too often beside configurations."""
        return self.beside_per_s > CONFIGURATION_RATIO * self.elsewhere_per_s


def cut_rates(log, work, endings):
    """Returns the CutRates of each host that has cut a request."""
    beside_s = work.configuration_s()
    elsewhere_s = max(0.0, log.end_s - beside_s)
    cuts = [ending for ending in endings if ending.is_cut]
    rates_by_host = {}
    for host in sorted({ending.host for ending in cuts}):
        own = [ending for ending in cuts if ending.host == host]
        # Cuts by a planned stop or a reload count beside these only.
        beside = sum(ending.work is Work.CONFIGURATION for ending in own)
        elsewhere = sum(ending.work is None for ending in own)
        rates_by_host[host] = CutRates(beside, elsewhere, beside_s, elsewhere_s)
    return rates_by_host


def _connection_end(log, work, line):
    fields = line.fields
    facts = _facts(log, line)
    work_kind = work.at(line.host, line.at_s)
    how = f"{fields['reason']}, {fields['unanswered']}"
    if fields["reason"] == EndReason.CALLER_TIMED_OUT:
        step = fields["silent_ms"] // SILENCE_STEP_MS
        how += f", silent {step * SILENCE_STEP_MS / 1000:.1f} s"
    verdict = _verdict(log, line, facts, work_kind)
    return Ending(line, how, facts, _evidence(log, line, facts), work_kind, verdict)


def _verdict(log, line, facts, work_kind):
    fields = line.fields
    if fields["unanswered"] not in (Unanswered.REQUEST, Unanswered.PARTIAL_RESPONSE):
        return Verdict.NOT_READ
    if fields["reason"] in (
        EndReason.CALLER_CLOSED,
        EndReason.CALLER_LOST,
        EndReason.RESPONSE_UNREAD,
    ):
        return Verdict.CALLERS_CHOICE
    if not _is_early(facts):
        return Verdict.LATE
    if fields.get("replica_silent_ms") is None and _is_broken_off(log, line):
        return Verdict.BROKEN_OFF
    return Verdict.NO_PLANNED_WORK if work_kind is None else Verdict.COUNTED


def _is_early(facts):
    """Whether an end came before the deadline, the time-out and most of the time."""
    after_ms, deadline_ms = facts["after_ms"], facts["deadline_ms"]
    if deadline_ms is not None and after_ms >= COUNTED_SHARE * deadline_ms:
        return False
    return facts["timeout_ms"] is None or after_ms < facts["timeout_ms"]


def _is_broken_off(log, line):
    """Whether the last failure of a request was that its replica broke off."""
    failures = [
        item.fields.get("reason") or ""
        for item in log.of_request(line.host, line.fields.get("request"))
        if item.fields["event"]
        in (str(Event.REQUEST_FAILED), str(Event.REQUEST_REPEATED))
        and item.at_s <= line.at_s
    ]
    return bool(failures) and failures[-1].startswith(BROKEN_OFF_REASONS)


def _is_unknown_answer(log, line):
    """Whether EV-1404 tells of a whole answer with an unknown outcome, in time."""
    fields = line.fields
    if fields["outcome"] != "outcome_unknown":
        return False
    if fields["code"] == str(ResultCode.DEADLINE_PASSED):
        return False
    lines = log.of_request(line.host, fields["request"])
    is_cut = any(
        item.fields["event"] == str(Event.CONNECTION_ENDED_EARLY) for item in lines
    )
    return not is_cut and _is_early(_facts(log, line))


def _unknown_answer(log, work, line):
    fields = line.fields
    facts = _facts(log, line)
    reason = (fields.get("reason") or "").partition(DETAIL_MARK)[0]
    evidence = "; ".join(filter(None, [reason, _evidence(log, line, facts)]))
    work_kind = work.at(line.host, line.at_s)
    how = f"answered {fields['code']}"
    return Ending(line, how, facts, evidence, work_kind, Verdict.ANSWERED)


def _facts(log, line):
    """Returns what the line tells of its request, or else earlier lines of it.

    Lines of older versions lack the route's kind; ``after_ms`` is the time since the
    last byte of the caller there.
    """
    facts = dict.fromkeys(
        ("kind", "resumable", "timeout_ms", "deadline_ms", "sent_to"), None
    )
    facts["replacement_dropped"] = None
    for item in [*log.of_request(line.host, line.fields.get("request")), line]:
        if item.at_s > line.at_s:
            continue
        if item.fields["event"] == str(Event.REPLACEMENT_DROPPED):
            facts["replacement_dropped"] = item.fields["reason"]
        if item.fields["event"] == str(Event.REQUEST_REPEATED):
            # It does not name the replica of the next attempt.
            facts["sent_to"] = facts["replacement_dropped"] = None
            continue
        for name in facts:
            if item.fields.get(name) is not None:
                facts[name] = item.fields[name]
    fields = line.fields
    facts["after_ms"] = fields.get("after_ms", fields.get("quiet_ms", 0))
    return facts


def _evidence(log, line, facts):
    """Returns a text about the replacement, the replica and the configuration."""
    parts = []
    if facts["replacement_dropped"]:
        reason = facts["replacement_dropped"].partition(DETAIL_MARK)[0]
        parts.append(f"not replaced: {reason}")
    if line.fields.get("replacement"):
        parts.append(f"replacement {line.fields['replacement']}")
    parts += _replica_evidence(log, line, facts["sent_to"])
    parts.append(_age_text(line.fields.get("configuration_age_ms")))
    return "; ".join(filter(None, parts))


def _replica_evidence(log, line, replicas):
    """Returns the events of its replicas near the end; its host may list them late."""
    if replicas is None:
        return ["replica not named"]
    if not replicas:
        return ["no replica"]
    begin_s, end_s = line.at_s - EVIDENCE_S, line.at_s + EVIDENCE_S
    near = [
        item
        for replica in replicas
        for item in log.of_replica(line.host, replica, begin_s, end_s)
    ]
    shown = (
        str(Event.REPLICA_SUSPECTED),
        str(Event.REPLICA_UNLISTED),
        str(Event.REPLICA_REMOVED),
        str(Event.REPLICA_LISTED),
    )
    events = {item.fields["event"] for item in near}
    return _process_evidence(log, line, replicas) + sorted(events.intersection(shown))


def _process_evidence(log, line, replicas):
    """Tells whether the host knew, when the request came or later, of an ended process."""
    after_ms = line.fields.get("after_ms", line.fields.get("quiet_ms", 0))
    received_at_s = line.at_s - after_ms / 1000
    # A request may have been sent to several; the last one held it up.
    if log.knows_later_process(line.host, replicas[-1], received_at_s):
        return ["ended process, known before the request"]
    if log.knows_later_process(line.host, replicas[-1], line.at_s):
        return ["ended process, known"]
    return []


def _age_text(age_ms):
    if age_ms is None:
        return ""
    for limit_ms in AGE_LIMITS_MS:
        if age_ms < limit_ms:
            return f"configuration < {limit_ms / 1000:g} s"
    return f"configuration >= {AGE_LIMITS_MS[-1] / 1000:g} s"
