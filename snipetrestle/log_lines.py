"""Rate limit for log lines about single requests."""

import anyio

from snipetrestle.events import Event, log_event

LINES_PER_SECOND = 20
BURST_LINES = 60


class RequestLines:
    """Logs request events through a token bucket.

    Suppressed lines are counted by event; the counts are logged with the next line.
    """

    def __init__(self):
        self._tokens = BURST_LINES
        self._refilled_at = anyio.current_time()
        self._suppressed_by_event = {}

    def log(self, event, **fields):
        now = anyio.current_time()
        self._tokens = min(
            BURST_LINES, self._tokens + (now - self._refilled_at) * LINES_PER_SECOND
        )
        self._refilled_at = now
        if self._tokens < 1:
            count = self._suppressed_by_event.get(event, 0)
            self._suppressed_by_event[event] = count + 1
            return
        self._tokens -= 1
        if self._suppressed_by_event:
            counts = {
                str(suppressed_event): count
                for suppressed_event, count in self._suppressed_by_event.items()
            }
            self._suppressed_by_event.clear()
            log_event(Event.LINES_SUPPRESSED, counts=counts)
        log_event(event, **fields)
