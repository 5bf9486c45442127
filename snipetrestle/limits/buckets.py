"""Token bucket on the runtime's clock."""

import math

import anyio


class TokenBucket:
    """Holds up to ``burst_s`` seconds of its rate, and room for at least one unit.

    It starts with its burst. Taking more than it can hold leaves a debt, so that a
    large request is admitted once and paid for by those after it.
    """

    __slots__ = ("rate", "burst_s", "level", "_since")

    def __init__(self, rate, burst_s):
        self.rate = rate
        self.burst_s = burst_s
        self.level = rate * burst_s
        self._since = anyio.current_time()

    @property
    def capacity(self):
        return max(1.0, self.rate * self.burst_s)

    def refill(self):
        now = anyio.current_time()
        gained = (now - self._since) * self.rate
        self._since = now
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
        self.level -= amount
