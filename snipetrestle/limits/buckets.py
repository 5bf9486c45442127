"""Token bucket that uses the clock of anyio."""

import math

import anyio


class TokenBucket:
    """Holds up to ``burst_s`` seconds of its rate, and at least one unit.

    ``rate`` is in units per second. The bucket starts with its burst. Taking more than
    its capacity makes the level negative, so that a large request is admitted and the
    following ones wait for it.
    """

    __slots__ = ("rate", "burst_s", "level", "_refilled_at")

    def __init__(self, rate, burst_s):
        self.rate = rate
        self.burst_s = burst_s
        self.level = rate * burst_s
        self._refilled_at = anyio.current_time()

    @property
    def capacity(self):
        """Returns the maximum level, in units."""
        return max(1.0, self.rate * self.burst_s)

    def refill(self):
        """Adds what has accrued since the last refill."""
        now = anyio.current_time()
        gained = (now - self._refilled_at) * self.rate
        self._refilled_at = now
        if self.level < self.capacity:
            self.level = min(self.capacity, self.level + gained)

    def set_rate(self, rate):
        self.refill()
        self.rate = rate
        self.level = min(self.level, self.capacity)

    def wait_s(self, amount):
        """Returns 0 if ``amount`` can be taken now, else the seconds until then."""
        self.refill()
        missing = min(amount, self.capacity) - self.level
        if missing <= 1e-9:
            return 0.0
        return missing / self.rate if self.rate > 0 else math.inf

    def take(self, amount):
        """Takes ``amount`` units, also if the level becomes negative."""
        self.level -= amount
