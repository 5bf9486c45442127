"""Finds wrong verdicts of hosts that the process of a replica has ended (EV-1453).

A verdict is wrong if the process gives a sign of itself later, at any host. A process is
a replica's id with its boot, the time of its start in milliseconds. Signs that name only
the id belong to the last process of that id that had begun by then.
"""

import bisect
import collections
import datetime

from snipetrestle.events import Event

# Results of orders that only the process with the id of the order answers.
ANSWERED_RESULTS = ("ACCEPTED", "HOLDS_ALREADY")
# Start of the reason of EV-1404 and EV-1405 if a replica has answered with an error. A
# refusal, which another process at the address may send, has another reason.
ANSWERED_REASON = "status "
# The report of EV-1427 is no sign, as another process at the address may answer it.
ORDER_EVENTS = (
    Event.ADAPTER_ORDERED,
    Event.MODEL_ORDERED,
    Event.ADAPTER_UNLOAD_ORDERED,
)


class Sign:
    """A line that shows that a process was running at ``at_s``."""

    __slots__ = ("at_s", "host", "text")

    def __init__(self, at_s, host, text):
        self.at_s = at_s
        self.host = host
        self.text = text


def verdict_report(log):
    """Returns the verdicts of a RunLog, and the wrong ones, as plain data."""
    verdicts = log.of_event(Event.PROCESS_ENDED)
    signs = _Signs(log).by_process if verdicts else {}
    wrong = []
    for line in verdicts:
        process = line.fields["replica"], line.fields["boot"]
        later = [sign for sign in signs.get(process, ()) if sign.at_s > line.at_s]
        if later:
            wrong.append(_wrong_verdict(line, later))
    return {
        "verdicts": len(verdicts),
        "processes": len(
            {(line.fields["replica"], line.fields["boot"]) for line in verdicts}
        ),
        "wrong": wrong,
    }


def _wrong_verdict(line, later):
    first = min(later, key=lambda sign: sign.at_s)
    fields = line.fields
    return {
        "at_s": line.at_s,
        "host": line.host,
        "replica": fields["replica"],
        "boot": fields["boot"],
        "evidence": fields["evidence"],
        "silent_ms": fields["silent_ms"],
        "sign": first.text,
        "sign_at_s": round(first.at_s, 3),
        "sign_host": first.host,
        "later_signs": len(later),
    }


class _Signs:
    """The signs of all processes in a RunLog, by (id, boot)."""

    def __init__(self, log):
        self._log = log
        self._boots = _Boots(log)
        self.by_process = collections.defaultdict(list)
        # The last state that a host has told of each process.
        self._last_states = {}
        self._add_listings()
        self._add_take_ups()
        self._add_orders()
        self._add_error_answers()
        self._add_heard()

    def _add(self, line, replica, text, at_s=None):
        """Adds a sign that names only the id of the process."""
        at_s = line.at_s if at_s is None else at_s
        boot = self._boots.running_at(replica, at_s)
        if boot is None:
            return
        self.by_process[replica, boot].append(Sign(at_s, line.host, text))

    def _add_listings(self):
        """Adds entries that were listed again, and changes of their states.

        A host that starts may read an old store, so its first listing is no sign.
        """
        listings = _Listings()
        for line in _merged_lines(
            self._log, Event.STARTED, Event.REPLICA_LISTED, Event.REPLICA_UNLISTED
        ):
            if line.fields["event"] == str(Event.STARTED):
                listings.forget_host(line.host)
            elif line.fields["event"] == str(Event.REPLICA_UNLISTED):
                listings.unlist(line)
            elif "address" in line.fields:
                self._add_listing(line, listings.is_listed_again(line))
            else:
                self._add_change(line, listings.boot(line))

    def _add_listing(self, line, is_listed_again):
        process = line.fields["replica"], line.fields["boot"]
        self._last_states.setdefault(process, line.fields["state"])
        if is_listed_again:
            sign = Sign(line.at_s, line.host, "EV-1411, listed again")
            self.by_process[process].append(sign)

    def _add_change(self, line, boot):
        """Adds a change of state, unless it is one that another host told before."""
        process = line.fields["replica"], boot
        state = line.fields["state"]
        if self._last_states.get(process) == state:
            return
        self._last_states[process] = state
        sign = Sign(line.at_s, line.host, f"EV-1411, state {state}")
        self.by_process[process].append(sign)

    def _add_take_ups(self):
        for line in self._log.of_event(Event.STREAM_TAKEN_UP):
            if line.fields["result"] == "accepted":
                self._add(line, line.fields["replica"], "EV-1446, accepted")

    def _add_orders(self):
        for line in _merged_lines(self._log, *ORDER_EVENTS):
            if line.fields["result"] in ANSWERED_RESULTS:
                text = f"{line.fields['event']}, {line.fields['result']}"
                self._add(line, line.fields["replica"], text)

    def _add_error_answers(self):
        """Adds errors that replicas answered; of several, none tells which it was."""
        for line in _merged_lines(
            self._log, Event.REQUEST_FAILED, Event.REQUEST_REPEATED
        ):
            reason = line.fields.get("reason") or ""
            sent_to = line.fields.get("sent_to") or ()
            if reason.startswith(ANSWERED_REASON) and len(sent_to) == 1:
                self._add(line, sent_to[0], f"{line.fields['event']}, {reason}")

    def _add_heard(self):
        """Adds the times at which hosts last heard replicas that they suspect."""
        for line in self._log.of_event(Event.REPLICA_SUSPECTED):
            heard_s = line.fields["last_heard_s"]
            if heard_s is not None:
                heard_at_s = line.at_s - heard_s
                self._add(line, line.fields["replica"], "EV-1413, heard", heard_at_s)


class _Listings:
    """Which processes each host lists, and has listed before, since its start."""

    def __init__(self):
        self._boots = {}
        self._unlisted = set()

    def forget_host(self, host):
        self._boots = {key: boot for key, boot in self._boots.items() if key[0] != host}
        self._unlisted = {item for item in self._unlisted if item[0] != host}

    def boot(self, line):
        """Returns the boot that the line's host lists for its replica, or None."""
        return self._boots.get((line.host, line.fields["replica"]))

    def unlist(self, line):
        self._unlisted.add((line.host, line.fields["replica"], line.fields["boot"]))

    def is_listed_again(self, line):
        """Lists a process; returns whether the host has unlisted it before."""
        replica, boot = line.fields["replica"], line.fields["boot"]
        self._boots[line.host, replica] = boot
        return (line.host, replica, boot) in self._unlisted


class _Boots:
    """Which process of a replica's id runs at a time.

    A process runs from its boot on, or since a host has listed it: the clock of its
    machine may be ahead.
    """

    def __init__(self, log):
        origin_ms = _origin_ms(log)
        begun_at_by_process = {}
        for line in log.of_event(Event.REPLICA_LISTED):
            boot = line.fields.get("boot")
            if boot is None:
                continue
            begun_at_s = min(line.at_s, (boot - origin_ms) / 1000)
            process = line.fields["replica"], boot
            known = begun_at_by_process.get(process, begun_at_s)
            begun_at_by_process[process] = min(known, begun_at_s)
        self._begun_by_id = collections.defaultdict(list)
        for (replica, boot), begun_at_s in sorted(begun_at_by_process.items()):
            # A later boot must not come before an earlier one.
            begun = self._begun_by_id[replica]
            last_s = begun[-1][0] if begun else begun_at_s
            begun.append((max(last_s, begun_at_s), boot))

    def running_at(self, replica, at_s):
        """Returns the boot of the last process that has begun, or None."""
        begun = self._begun_by_id.get(replica, ())
        index = bisect.bisect_right(begun, at_s, key=lambda item: item[0])
        return begun[index - 1][1] if index else None


def _origin_ms(log):
    """Returns the time of day at the start of traffic, by the first line of the log."""
    lines = log.of_event(Event.STARTED) or log.of_event(Event.REPLICA_LISTED)
    if not lines:
        return 0.0
    first_at = datetime.datetime.fromisoformat(lines[0].fields["time"])
    return (first_at.timestamp() - lines[0].at_s) * 1000


def _merged_lines(log, *events):
    """Returns the lines of several events by time."""
    lines = [line for event in events for line in log.of_event(event)]
    return sorted(lines, key=lambda line: line.at_s)
