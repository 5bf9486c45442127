"""Notices that this process was paused, for the components that must then start anew.

A pause shows as a gap between ticks (a stopped process), or as a difference between the
clocks of the machine (a suspended machine).
"""

import anyio

from snipetrestle.coordination.membership.leadership import (
    MIN_SUSPENSION_S,
    total_suspended_s,
)

TICK_S = 0.25
# A longer time between two ticks is a pause; busy machines delay ticks by less.
MAX_TICK_GAP_S = 1.0


class PauseWatch:
    """Calls the listeners after a pause.

    Decisions that a pause makes void are preceded by ``check()``: after a pause, other
    tasks may run before the next tick.
    """

    def __init__(self):
        self._listeners = []
        self._ticked_at = anyio.current_time()
        self._suspended_s = total_suspended_s()

    def on_pause(self, listener):
        """Registers ``listener(paused_s)``, called after each pause."""
        self._listeners.append(listener)

    async def run(self):
        while True:
            self.check()
            self._ticked_at = anyio.current_time()
            await anyio.sleep(TICK_S)

    def check(self):
        """Calls the listeners if this process was paused since the last tick."""
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
