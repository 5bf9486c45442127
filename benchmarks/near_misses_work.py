"""The periods of planned work in a run: configurations, reloads and planned stops."""

import enum

from snipetrestle.events import Event

# Planned work is taken for the cause of a cut until this time after it.
AFTER_WORK_S = 3.0


class Work(enum.StrEnum):
    """Kind of planned work."""

    CONFIGURATION = "configuration"
    RELOAD = "reload"
    STOP = "stop"


class PlannedWork:
    """The periods (begin, end) of planned work in a RunLog.

    A configuration lasts from the first host that applies it, since no line tells when
    it was sent, until AFTER_WORK_S after the last one that was running at the start.
    """

    def __init__(self, log):
        self._log = log
        self.configuration_periods = _merged(self._configurations())
        self._reloads = [
            (line.host, line.at_s, line.at_s + AFTER_WORK_S)
            for line in log.of_event(Event.SETTINGS_RELOADED)
        ]
        self._stops = [
            (line.host, line.at_s, self._stop_end_s(line))
            for line in log.of_event(Event.DRAIN_STARTED)
        ]

    def at(self, host, at_s):
        """Returns the Work that goes on at a host, or None."""
        if _is_within(host, at_s, self._stops):
            return Work.STOP
        if _is_within(host, at_s, self._reloads):
            return Work.RELOAD
        is_configured = any(
            begin_s <= at_s <= end_s for begin_s, end_s in self.configuration_periods
        )
        return Work.CONFIGURATION if is_configured else None

    def configuration_s(self):
        """Returns the time of traffic within periods of configurations."""
        end_s = self._log.end_s
        return sum(
            max(0.0, min(end, end_s) - max(begin, 0.0))
            for begin, end in self.configuration_periods
        )

    def _configurations(self):
        lines = self._log.of_event(Event.CONFIGURATION_ACCEPTED)
        started_at = {
            (line.host, line.at_s) for line in self._log.of_event(Event.STARTED)
        }
        periods = []
        for revision in sorted({line.fields["revision"] for line in lines}):
            applied_at_by_host = {}
            for line in lines:
                if line.fields["revision"] >= revision:
                    applied_at_by_host.setdefault(line.host, line.at_s)
            begin_s = min(applied_at_by_host.values())
            applied_at = [
                at_s
                for host, at_s in applied_at_by_host.items()
                if self._log.first_at_by_host[host] < begin_s
                and not any(
                    name == host and begin_s < started_s <= at_s
                    for name, started_s in started_at
                )
            ]
            end_s = max(applied_at, default=begin_s)
            periods.append((begin_s, end_s + AFTER_WORK_S))
        return periods

    def _stop_end_s(self, start):
        """Returns when a planned stop ends: at its last line, or at the next start."""
        ends = [
            line.at_s
            for event in (Event.STOPPED, Event.STARTED)
            for line in self._log.of_event(event)
            if line.host == start.host and line.at_s >= start.at_s
        ]
        return min(ends, default=self._log.end_s)


def _is_within(host, at_s, periods):
    return any(
        name == host and begin_s <= at_s <= end_s for name, begin_s, end_s in periods
    )


def _merged(periods):
    """Returns periods without overlaps, by time."""
    merged = []
    for begin_s, end_s in sorted(periods):
        if merged and begin_s <= merged[-1][1]:
            merged[-1] = (merged[-1][0], max(end_s, merged[-1][1]))
        else:
            merged.append((begin_s, end_s))
    return merged
