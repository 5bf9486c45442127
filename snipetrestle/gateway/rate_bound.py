"""Bounds how often something is done, and allows bursts."""

import anyio


class RateBound:
    """Allows ``burst`` at once and ``per_s`` a second in the long run."""

    __slots__ = ("_interval_s", "_burst_s", "_refilled_at")

    def __init__(self, per_s, burst):
        self._interval_s = 1.0 / per_s
        self._burst_s = burst * self._interval_s
        # When all that was taken will have been refilled.
        self._refilled_at = anyio.current_time()

    def wait_s(self):
        """Returns the time in seconds until more may be taken; 0 for now."""
        return max(0.0, self._refilled_at - self._burst_s - anyio.current_time())

    def take(self, count=1):
        """Notes that ``count`` was taken; the last one may exceed what was left."""
        now = anyio.current_time()
        self._refilled_at = max(self._refilled_at, now) + count * self._interval_s

    def try_take(self):
        """Takes one and returns True; returns False if none may be taken now."""
        if self.wait_s() > 0.0:
            return False
        self.take()
        return True
