"""Learns how long adapter loads take, and how many may be on their way at once.

Beyond a number that is not published, loads on their way slow each other down. The
bound is lowered when loads take clearly longer than the quickest ones, and raised while
they do not.
"""

import math

import anyio

FIRST_ESTIMATE_S = 0.25
ESTIMATE_WEIGHT = 0.3
# A load that was there when it was first looked for may have ended earlier, so the
# estimate returns to a little above the quickest loads.
RETURN_WEIGHT = 0.05
ABOVE_QUICKEST = 1.04
# A load that takes this much longer than the quickest ones shows that there are too many.
SLOWED = 1.4
LEAST_IN_TRANSIT = 4
# The bound is raised by this for each load at full speed while it is used.
RAISE = 0.25
LOWER_FACTOR = 0.85
# A shorter load did not come from the store.
SHORTEST_S = 0.12


class LoadTimes:
    """Durations of adapter loads from the store, and the bound that follows from them."""

    def __init__(self):
        self.estimate_s = FIRST_ESTIMATE_S
        self._least = LEAST_IN_TRANSIT
        self.most_in_transit = float(self._least)
        self._quickest_s = None
        self._lowered_at = -math.inf

    def set_replicas(self, count):
        """Raises the least bound to one load for each replica."""
        self._least = max(LEAST_IN_TRANSIT, count)
        self.most_in_transit = max(self.most_in_transit, self._least)

    def may_start(self, in_transit):
        """Tells whether one more load may start beside ``in_transit`` others."""
        return in_transit < int(self.most_in_transit)

    def note_ended(self, ordered_at, was_late, in_transit):
        """Takes in a load that was confirmed just now, one of ``in_transit``.

        ``was_late`` tells whether it was not there when it was first looked for; only
        then is its duration known, and an upper bound otherwise.
        """
        now = anyio.current_time()
        duration_s = now - ordered_at
        if duration_s < SHORTEST_S:
            return
        if self._quickest_s is None or duration_s < self._quickest_s:
            self._quickest_s = duration_s
        if was_late:
            self.estimate_s += ESTIMATE_WEIGHT * (duration_s - self.estimate_s)
        else:
            usual_s = ABOVE_QUICKEST * self._quickest_s
            self.estimate_s += RETURN_WEIGHT * (usual_s - self.estimate_s)
        if was_late and duration_s > SLOWED * self._quickest_s:
            self._lower(ordered_at, now)
        elif in_transit >= self.most_in_transit - 1:
            self.most_in_transit += RAISE

    def _lower(self, ordered_at, now):
        # Loads that were ordered before the last change say nothing about it.
        if ordered_at > self._lowered_at:
            lowered = self.most_in_transit * LOWER_FACTOR
            self.most_in_transit = max(self._least, lowered)
            self._lowered_at = now
