"""Stand-ins of OrderActivity for hosts without replicas."""

import math

import anyio

from snipetrestle.coordination.placement.order_activity import UNUSED_TIMEOUT_S


class NoReplicas:
    """OrderActivity of a system that has no replicas to order."""

    def quiet_s(self):
        return math.inf


class OrdersWhileLeading:
    """OrderActivity of replicas that every leader orders all the time.

    ``leaders()`` returns the current leaders, also those behind a cut.
    """

    def __init__(self, leaders):
        self._leaders = leaders
        self._asked_at = -math.inf
        self._quiet_since = 0.0

    def quiet_s(self):
        now = anyio.current_time()
        if self._leaders() or now - self._asked_at > UNUSED_TIMEOUT_S:
            self._quiet_since = now
        self._asked_at = now
        return now - self._quiet_since
