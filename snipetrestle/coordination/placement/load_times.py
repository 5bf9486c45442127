"""Estimates how long adapter loads take, and adapts the limit of loads in flight.

Beyond a number that is not published, loads in flight from the store slow each other
down. The limit is lowered when loads take clearly longer than the fastest ones, and
raised while they do not.
"""

import math

import anyio

INITIAL_ESTIMATE_S = 0.25
ESTIMATE_WEIGHT = 0.3
# A load that had ended by its first check may have ended earlier, so the estimate
# decays to a little above the duration of the fastest loads.
DECAY_WEIGHT = 0.05
FASTEST_MARGIN = 1.04
# Loads that take this many times as long as the fastest ones show that too many are in
# flight.
SLOWDOWN_FACTOR = 1.4
MIN_LIMIT = 4
# Added to the limit for each load at full speed while the limit is in use.
LIMIT_INCREMENT = 0.25
LIMIT_DECREASE_FACTOR = 0.85
# A load that ended sooner did not come from the store.
MIN_STORE_LOAD_S = 0.12


class AdapterLoadLimiter:
    """Limits the adapter loads in flight from the store by the durations of past loads.

    ``estimate_s`` is the expected duration of a load, and ``max_in_flight`` the limit,
    whose fraction is ignored.
    """

    def __init__(self):
        self.estimate_s = INITIAL_ESTIMATE_S
        self._min_limit = MIN_LIMIT
        self.max_in_flight = float(self._min_limit)
        self._fastest_s = None
        self._lowered_at = -math.inf

    def set_replicas(self, count):
        """Raises the lower bound of the limit to one load for each replica."""
        self._min_limit = max(MIN_LIMIT, count)
        self.max_in_flight = max(self.max_in_flight, self._min_limit)

    def may_start(self, in_flight):
        """Tells whether one more load may start beside ``in_flight`` others."""
        return in_flight < int(self.max_in_flight)

    def record_ended(self, ordered_at, was_late, in_flight):
        """Records a load that was confirmed just now, one of ``in_flight``.

        ``was_late`` tells whether it had not ended at its first check; only then is its
        duration known, otherwise the time until now is an upper bound.
        """
        now = anyio.current_time()
        duration_s = now - ordered_at
        if duration_s < MIN_STORE_LOAD_S:
            return
        if self._fastest_s is None or duration_s < self._fastest_s:
            self._fastest_s = duration_s
        if was_late:
            self.estimate_s += ESTIMATE_WEIGHT * (duration_s - self.estimate_s)
        else:
            expected_s = FASTEST_MARGIN * self._fastest_s
            self.estimate_s += DECAY_WEIGHT * (expected_s - self.estimate_s)
        if was_late and duration_s > SLOWDOWN_FACTOR * self._fastest_s:
            self._lower(ordered_at, now)
        elif in_flight >= self.max_in_flight - 1:
            self.max_in_flight += LIMIT_INCREMENT

    def _lower(self, ordered_at, now):
        # Loads ordered before the last decrease do not show its effect.
        if ordered_at > self._lowered_at:
            lowered = self.max_in_flight * LIMIT_DECREASE_FACTOR
            self.max_in_flight = max(self._min_limit, lowered)
            self._lowered_at = now
