"""Notices that this process stood still, by its clock or by that of the machine."""

import anyio

from snipetrestle.coordination.leadership import MIN_SUSPENSION_S, total_suspended_s

TICK_S = 0.25
# A longer time between two ticks is a pause; busy machines delay ticks by less.
MAX_TICK_GAP_S = 1.0


class PauseWatch:
    """Calls ``listener(paused_s)`` of ``on_pause`` after a pause.

    ``check()`` is called before a decision that a pause makes void, since the first
    thing that a process does after it may be anything.
    """

    def __init__(self):
        self._listeners = []
        self._ticked_at = anyio.current_time()
        self._suspended_s = total_suspended_s()

    def on_pause(self, listener):
        self._listeners.append(listener)

    async def run(self):
        while True:
            self.check()
            self._ticked_at = anyio.current_time()
            await anyio.sleep(TICK_S)

    def check(self):
        """Calls the listeners if this process has stood still since the last check."""
        now = anyio.current_time()
        suspended_s = total_suspended_s()
        gap_s = now - self._ticked_at
        newly_suspended_s = suspended_s - self._suspended_s
        if gap_s <= MAX_TICK_GAP_S and newly_suspended_s <= MIN_SUSPENSION_S:
            return
        self._ticked_at = now
        self._suspended_s = suspended_s
        for listener in self._listeners:
            listener(max(gap_s, newly_suspended_s))
