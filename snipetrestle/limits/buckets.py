"""Token bucket of the product's own daemon."""

from snipetrestle.limits.rate_pool import RatePool


class TokenBucket(RatePool):
    """RatePool that holds up to ``burst_s`` seconds of its rate, and at least one unit.

    The bucket starts with its burst. Taking more than its capacity makes the level
    negative, so that a large request is admitted and the following ones wait for it.
    """

    __slots__ = ("burst_s",)

    def __init__(self, rate, burst_s):
        super().__init__(rate, _capacity(rate, burst_s), rate * burst_s)
        self.burst_s = burst_s

    @property
    def rate(self):
        return self.rate_per_s

    @property
    def capacity(self):
        """Returns the maximum level, in units."""
        return self.burst

    def set_rate(self, rate):
        self.set_limit(rate, _capacity(rate, self.burst_s))


def _capacity(rate, burst_s):
    return max(1.0, rate * burst_s)
