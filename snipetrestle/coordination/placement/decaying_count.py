"""Estimates recent rates of events without keeping the time of each."""

import math


class DecayingCount:
    """A count that decays exponentially, by half in ``half_life_s`` seconds."""

    __slots__ = ("_value", "_updated_at", "_half_life_s")

    def __init__(self, half_life_s):
        self._value = 0.0
        self._updated_at = 0.0
        self._half_life_s = half_life_s

    def add(self, count, now):
        """Adds to the count. ``now`` is in seconds of any one clock."""
        self._value = self.value(now) + count
        self._updated_at = now

    def value(self, now):
        """Returns what is left of the count."""
        return self._value * math.exp2((self._updated_at - now) / self._half_life_s)

    def rate(self, now):
        """Returns the estimated number of counted events per second."""
        return self.value(now) * math.log(2) / self._half_life_s
