"""Bounds how often this host sends requests again, within a budget of all hosts.

The budget of a service is ``ratio`` times its requests plus ``slack`` in a sliding
window, over all hosts. A host may use the ratio of its own requests and an equal part
of the slack, so the hosts together stay within it without exchanging anything.
"""

import collections

import anyio

# Left unused, since a host that restarts forgets what it has spent in the window.
USED_FRACTION = 0.7


class RetryBudget:
    """Budget of one service at one host. Times come from the runtime's clock."""

    __slots__ = ("_ratio", "_slack", "_window_s", "_requests", "_retries")

    def __init__(self, ratio, slack, window_s):
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._requests = collections.deque()
        self._retries = collections.deque()

    def note_request(self):
        """Counts a caller's request for the service."""
        self._requests.append(anyio.current_time())

    def take(self, hosts):
        """Counts one more sending and returns True, or False if the budget is used up.

        ``hosts`` is the number of hosts that share the slack.
        """
        now = anyio.current_time()
        self._forget_before(now - self._window_s)
        share = self._slack * USED_FRACTION / max(1, hosts)
        allowed = self._ratio * USED_FRACTION * len(self._requests) + share
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(now)
        return True

    @property
    def used(self):
        """Sendings again in the window that ends now."""
        self._forget_before(anyio.current_time() - self._window_s)
        return len(self._retries)

    def _forget_before(self, start):
        for times in (self._requests, self._retries):
            while times and times[0] < start:
                times.popleft()
