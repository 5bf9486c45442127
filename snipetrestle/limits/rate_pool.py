"""Token bucket that can be booked ahead, with the clock of anyio.

The quotas of tenants, the permits for limited replicas and the buckets of the product's
own daemon use it.
"""

import math

import anyio

# Rounding of sums of accrued units, as a part of the amount that is wanted.
ROUNDING = 1e-9


class RatePool:
    """Accrues ``rate_per_s`` units a second, up to ``burst`` units.

    With ``may_overdraw``, an amount above the burst can be taken while the pool is full.
    The level is then negative, so later amounts wait until it has accrued. Units can
    also be booked ahead: they are taken at once and used after the wait.
    """

    __slots__ = ("rate_per_s", "burst", "may_overdraw", "level", "_refilled_at")

    def __init__(self, rate_per_s, burst, level=None):
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.may_overdraw = True
        self.level = burst if level is None else level
        self._refilled_at = anyio.current_time()

    @property
    def is_full(self):
        self.refill()
        return self.level >= self.burst

    def refill(self):
        """Adds what has accrued since the last refill."""
        now = anyio.current_time()
        gained = (now - self._refilled_at) * self.rate_per_s
        self._refilled_at = now
        if self.level < self.burst:
            self.level = min(self.burst, self.level + gained)

    def set_limit(self, rate_per_s, burst, may_overdraw=True):
        """Applies a limit from now on. The level is at most the new burst."""
        self.refill()
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.may_overdraw = may_overdraw
        self.level = min(self.level, burst)

    def wait_s(self, amount, reserved=0.0):
        """Returns 0 if an amount can be taken now, else the seconds until it can.

        ``reserved`` units of the burst are left to others.
        """
        self.refill()
        if amount > self.burst and not self.may_overdraw:
            return math.inf
        missing = min(amount + reserved, self.burst) - self.level
        if missing <= ROUNDING * max(1.0, amount):
            return 0.0
        return missing / self.rate_per_s if self.rate_per_s > 0 else math.inf

    def available_within(self, duration_s):
        """Returns the units that can be taken now or booked within a duration."""
        self.refill()
        return min(self.burst, self.level + self.rate_per_s * duration_s)

    def take(self, amount):
        """Takes an amount, also if the level becomes negative."""
        self.refill()
        self.level -= amount

    def put_back(self, amount):
        """Adds units that were taken and not used."""
        self.refill()
        self.level = max(self.level, min(self.burst, self.level + amount))
