"""Stand-ins of OrderActivity for hosts without replicas."""

import math

import anyio


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
        self._last_order_at = -math.inf

    def quiet_s(self):
        now = anyio.current_time()
        if self._leaders():
            self._last_order_at = now
        return now - self._last_order_at
