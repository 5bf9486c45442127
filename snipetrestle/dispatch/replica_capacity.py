"""Learns how many requests one process of a replica serves at a time, and how fast.

Published numbers are only where it starts: a replica may turn requests away before, or
slow down so much that more requests at a time are not served any faster.
"""

import math

import anyio

from snipetrestle.gateway.backends.replicas import AVERAGE_WEIGHT

# Service time of a replica before the first measurement.
DEFAULT_SERVICE_S = 0.1
# The limit rises after this time without a refusal. After a rise that was too much, the
# time doubles up to the longest, as each such rise costs a refusal.
FIRST_RISE_S = 0.5
LONGEST_RISE_S = 32.0
# A refusal lowers the limit at most to this part: what hosts send without permits is
# known late, so it may be what has filled the replica.
FALL_PART = 0.6
# Nor does it lower the limit below a number at which a request was served within this
# time.
PROVEN_S = 0.1
MAX_LIMIT = 1024
# Weight of one service time in the moving average of its level. With it, service times
# that vary by a third give averages that vary by a twentieth.
LEVEL_WEIGHT = 0.05
MIN_LEVEL_SAMPLES = 20
MAX_LEVEL_AGE_S = 10.0
# The service time at the limit is compared with that at levels of at most this part of
# it: between neighbouring levels, the averages differ by no more than by chance.
COMPARED_LEVEL_PART = 0.8
# Requests at a time beyond a level that serve less than this part more are too many.
MIN_THROUGHPUT_GAIN = 0.05
# How long a replica that accepts no connection is passed over; doubles each time.
FIRST_FAILURE_S = 0.5
LONGEST_FAILURE_S = 4.0


class _Level:
    """Service time while a certain number of requests were under way."""

    __slots__ = ("count", "mean_s", "noted_at")

    def __init__(self):
        self.count = 0
        self.mean_s = 0.0
        self.noted_at = 0.0

    def note(self, service_s, now):
        self.count += 1
        weight = max(LEVEL_WEIGHT, 1 / self.count)
        self.mean_s += weight * (service_s - self.mean_s)
        self.noted_at = now

    def is_usable(self, now):
        is_recent = now - self.noted_at <= MAX_LEVEL_AGE_S
        return is_recent and self.count >= MIN_LEVEL_SAMPLES


class ReplicaCapacity:
    """What is known of one process of a replica.

    ``limit`` is the number of requests to send to it at a time, and ``service_s`` the
    moving average of its service times. Levels are numbers of requests under way, with
    the one that they are measured by.
    """

    __slots__ = (
        "limit",
        "service_s",
        "_has_service",
        "_levels",
        "_changed_at",
        "_rise_s",
        "_is_trying",
        "_served_level",
        "_served_at",
        "_failure_s",
        "_failed_until",
    )

    def __init__(self, slots, service_s=None):
        self.limit = max(1, min(slots, MAX_LIMIT))
        self._has_service = service_s is not None
        self.service_s = service_s or DEFAULT_SERVICE_S
        self._levels = {}
        self._changed_at = anyio.current_time()
        self._rise_s = FIRST_RISE_S
        # Whether the limit has risen, and nothing shows yet that it was not too much.
        self._is_trying = False
        self._served_level = 0
        self._served_at = 0.0
        self._failure_s = FIRST_FAILURE_S
        self._failed_until = 0.0

    @property
    def has_failed(self):
        """Whether the replica accepted no connection a short time ago."""
        return anyio.current_time() < self._failed_until

    def note_failed(self):
        """Records that the replica did not accept a connection."""
        now = anyio.current_time()
        if now >= self._failed_until:
            self._failed_until = now + self._failure_s
            self._failure_s = min(2 * self._failure_s, LONGEST_FAILURE_S)

    def note_full(self):
        """Records that ``limit`` requests are under way; it may rise then."""
        now = anyio.current_time()
        if now - self._changed_at >= self._rise_s and self.limit < MAX_LIMIT:
            self.limit += 1
            self._changed_at = now
            self._is_trying = True

    def note_turned_away(self, level, permitted_at):
        """Records that the replica turned a request away, one of ``level`` under way.

        One that was permitted before the limit last changed says nothing about it.
        """
        self._failed_until = 0.0
        if permitted_at >= self._changed_at:
            least = min(self.limit - 1, math.ceil(FALL_PART * self.limit))
            self._fall(max(1, level - 1, least, self._proven_level()))

    def note_served(self, level, service_s):
        """Records the service time of a request."""
        now = anyio.current_time()
        self._failure_s = FIRST_FAILURE_S
        self._failed_until = 0.0
        if not self._has_service:
            self.service_s = service_s
            self._has_service = True
        if level >= self._served_level or now - self._served_at > PROVEN_S:
            self._served_level = level
            self._served_at = now
        self.service_s += AVERAGE_WEIGHT * (service_s - self.service_s)
        self._levels.setdefault(level, _Level()).note(service_s, now)
        if level >= self.limit:
            self._check_throughput(level, now)

    def _proven_level(self):
        """Returns the level at which the replica has just served; 0 during a trial."""
        is_recent = anyio.current_time() - self._served_at <= PROVEN_S
        return self._served_level if is_recent and not self._is_trying else 0

    def _check_throughput(self, level, now):
        """Lowers the limit if the replica serves as many requests at a lower level."""
        present = self._levels[level]
        if not present.is_usable(now):
            return
        lower = [
            (key / item.mean_s, key)
            for key, item in self._levels.items()
            if key <= COMPARED_LEVEL_PART * level and item.is_usable(now)
        ]
        throughput, best = max(lower, default=(0.0, level))
        if level / present.mean_s < (1 + MIN_THROUGHPUT_GAIN) * throughput:
            self._fall(best)
            # A replica that is slower at each level must not look slow at the best one
            # by what was measured before.
            self._levels.clear()
        elif self._is_trying:
            self._is_trying = False
            self._rise_s = max(FIRST_RISE_S, self._rise_s / 2)

    def _fall(self, limit):
        self._changed_at = anyio.current_time()
        if self._is_trying:
            self._rise_s = min(2 * self._rise_s, LONGEST_RISE_S)
            self._is_trying = False
        self.limit = min(self.limit, limit)
        # A request under way here may have ended at the replica before.
        for level in [item for item in self._levels if item > self.limit]:
            del self._levels[level]
