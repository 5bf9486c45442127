"""Exponentially decaying request rates of keys such as adapter handles."""

import math

import anyio

# The rates follow a shift of popularity within a few half-lives. A shorter half-life
# forgets the popular adapters between two requests of a moderately popular one.
HALF_LIFE_S = 120.0
# Enough for 15,000 adapters with two versions in use each.
MAX_KEYS = 30_000
# When the table is full, the coldest of this many least recently used keys is evicted.
EVICTION_SAMPLE = 8


class DemandTracker:
    """Decaying rate of each key, in units per second, for a bounded number of keys."""

    __slots__ = ("_decay_per_s", "_max_keys", "_values_by_key")

    def __init__(self, half_life_s=HALF_LIFE_S, max_keys=MAX_KEYS):
        self._decay_per_s = math.log(2) / half_life_s
        self._max_keys = max_keys
        # Ordered by last use, so that the eviction sample is the front of the table.
        self._values_by_key = {}

    def __len__(self):
        return len(self._values_by_key)

    def record(self, key, amount=1.0):
        """Adds demand for a key."""
        now = anyio.current_time()
        value, since = self._values_by_key.pop(key, (0.0, now))
        value = value * math.exp((since - now) * self._decay_per_s) + amount
        self._values_by_key[key] = (value, now)
        if len(self._values_by_key) > self._max_keys:
            self._evict_coldest(now)

    def rate(self, key):
        """Returns the demand per second."""
        item = self._values_by_key.get(key)
        if item is None:
            return 0.0
        return self._decayed(item, anyio.current_time()) * self._decay_per_s

    def _decayed(self, item, now):
        value, since = item
        return value * math.exp((since - now) * self._decay_per_s)

    def _evict_coldest(self, now):
        sample = []
        for key, item in self._values_by_key.items():
            sample.append((self._decayed(item, now), key))
            if len(sample) == EVICTION_SAMPLE:
                break
        del self._values_by_key[min(sample)[1]]
