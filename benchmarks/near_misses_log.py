"""The lines of one run of the bench, by event, request and replica."""

import collections
import pathlib

from snipetrestle.cli.story import read_prefixed_lines
from snipetrestle.events import Event

# Start of a line that the bench prints after all others of a run.
END_MARK = "to play it took"


class LogLine:
    """One JSON line of a host. ``at_s`` is the time since the start of traffic."""

    __slots__ = ("at_s", "host", "fields")

    def __init__(self, at_s, host, fields):
        self.at_s = at_s
        self.host = host
        self.fields = fields


class RunLog:
    """The lines of a run, indexed. ``end_s`` is the time of the last one.

    ``broken_rules`` are the lines in which the bench says that LOST was broken, and
    ``is_complete`` tells whether its output has come to its end.
    """

    def __init__(self, lines, broken_rules=(), is_complete=True):
        self.broken_rules = list(broken_rules)
        self.is_complete = is_complete
        self.end_s = max((line.at_s for line in lines), default=0.0)
        self.first_at_by_host = {}
        self._by_event = collections.defaultdict(list)
        self._by_request = collections.defaultdict(list)
        self._by_replica = collections.defaultdict(list)
        self._listed_by_host = collections.defaultdict(list)
        for line in sorted(lines, key=lambda line: line.at_s):
            fields = line.fields
            self.first_at_by_host.setdefault(line.host, line.at_s)
            self._by_event[fields.get("event")].append(line)
            if fields.get("request"):
                self._by_request[line.host, fields["request"]].append(line)
            if "replica" in fields and "request" not in fields:
                self._by_replica[line.host, fields["replica"]].append(line)
            # A change of a replica's state has the same event, without an address.
            if fields.get("event") == str(Event.REPLICA_LISTED) and "address" in fields:
                self._listed_by_host[line.host].append(line)

    @classmethod
    def from_path(cls, path):
        """Reads the output of ``fleetbench run ... --log all``."""
        path = pathlib.Path(path)
        lines = []
        for prefix, fields in read_prefixed_lines(path):
            words = prefix.split()
            if len(words) == 2:
                lines.append(LogLine(float(words[0]), words[1], fields))
        texts = path.read_text(errors="replace").splitlines()
        broken_rules = [text for text in texts if text.startswith("LOST ")]
        is_complete = any(text.startswith(END_MARK) for text in texts)
        return cls(lines, broken_rules, is_complete)

    def of_event(self, event):
        """Returns the lines of an event by time."""
        return self._by_event.get(str(event), [])

    def of_request(self, host, request):
        """Returns a host's lines about a request by time."""
        return self._by_request.get((host, request), [])

    def of_replica(self, host, replica, begin_s, end_s):
        """Returns a host's lines about a replica in a period."""
        lines = self._by_replica.get((host, replica), [])
        return [line for line in lines if begin_s <= line.at_s <= end_s]

    def knows_later_process(self, host, replica, at_s):
        """Whether a host has listed another replica at the address, begun later.

        The process of ``replica`` has ended then.
        """
        listed = [
            line.fields for line in self._listed_by_host[host] if line.at_s <= at_s
        ]
        entry = next((item for item in listed if item["replica"] == replica), None)
        return entry is not None and any(
            item["address"] == entry["address"]
            and item["replica"] != replica
            and (item["boot"] or 0) > (entry["boot"] or 0)
            for item in listed
        )

    def suppressed_counts(self):
        """Returns how many lines of each event were left out by the bound of lines."""
        counts = collections.Counter()
        for line in self.of_event(Event.LINES_SUPPRESSED):
            counts.update(line.fields["counts"])
        return dict(counts)
