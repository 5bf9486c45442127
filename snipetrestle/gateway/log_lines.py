"""Bounds the log lines about single requests."""

import anyio

from snipetrestle.events import Event, log_event

LINES_A_SECOND = 20
BURST_LINES = 60


class RequestLines:
    """Logs events of requests up to a rate; counts what it suppresses by event."""

    def __init__(self):
        self._level = BURST_LINES
        self._at = anyio.current_time()
        self._suppressed_by_event = {}

    def log(self, event, **fields):
        now = anyio.current_time()
        self._level = min(BURST_LINES, self._level + (now - self._at) * LINES_A_SECOND)
        self._at = now
        if self._level < 1:
            count = self._suppressed_by_event.get(event, 0)
            self._suppressed_by_event[event] = count + 1
            return
        self._level -= 1
        if self._suppressed_by_event:
            counts = {
                str(kind): count for kind, count in self._suppressed_by_event.items()
            }
            self._suppressed_by_event.clear()
            log_event(Event.LINES_SUPPRESSED, counts=counts)
        log_event(event, **fields)
