"""When data arrived that the event loop reads late, since one of its turns took long.

Callers count their deadlines from when they send a request, so the time that it waits
in the socket is theirs.
"""

import asyncio
import selectors
import time

# A call of the selector that takes longer has waited for what it returns.
MIN_WAIT_S = 0.001


class TurnSelector(selectors.DefaultSelector):
    """Notes since when what it returns may have been ready.

    ``ready_since`` is in seconds of the event loop's clock.
    """

    def __init__(self):
        super().__init__()
        self.ready_since = self._looked_at = time.monotonic()

    def select(self, timeout=None):
        started_at = time.monotonic()
        events = super().select(timeout)
        now = time.monotonic()
        has_waited = now - started_at >= MIN_WAIT_S
        self.ready_since = now if has_waited else self._looked_at
        self._looked_at = now
        return events


class ArrivalTimingLoop(asyncio.SelectorEventLoop):
    """An event loop that tells how early the data that it reads may have arrived."""

    def __init__(self):
        self._turn_selector = TurnSelector()
        super().__init__(self._turn_selector)

    def data_arrived_at(self):
        """Returns the earliest time at which what is read in this turn has arrived.

        That is the end of the last look for data, if there was no wait since then.
        """
        return self._turn_selector.ready_since


# Of anyio.run, for programs that answer callers.
RUN_OPTIONS = {"loop_factory": ArrivalTimingLoop}
