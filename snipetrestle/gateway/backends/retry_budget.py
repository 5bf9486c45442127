"""Limits the retries of this host, within a budget that all hosts share.

In a sliding window, all hosts together may retry ``ratio`` times a backend's requests
plus ``slack``. Each host may use the ratio of its own requests and an equal part of the
slack, so the hosts together stay within the budget without communication.
"""

import collections

import anyio

# The rest is a reserve, since a host that restarts forgets its retries in the window.
USED_FRACTION = 0.7


class RetryBudget:
    """One host's retry budget for one backend, by the event loop's clock."""

    __slots__ = ("_ratio", "_slack", "_window_s", "_requests", "_retries")

    def __init__(self, ratio, slack, window_s):
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._requests = collections.deque()
        self._retries = collections.deque()

    def note_request(self):
        """Counts a caller's request to the backend."""
        self._requests.append(anyio.current_time())

    def has_room(self, hosts, share=1.0):
        """Whether one more retry is within ``share`` of the budget.

        ``hosts`` is the number of hosts that share the slack.
        """
        self._discard_before(anyio.current_time() - self._window_s)
        slack_share = self._slack * USED_FRACTION / max(1, hosts)
        allowed = self._ratio * USED_FRACTION * len(self._requests) + slack_share
        return len(self._retries) + 1 <= share * allowed

    def try_spend(self, hosts, share=1.0):
        """Counts a retry and returns True; returns False if ``share`` is used up."""
        if not self.has_room(hosts, share):
            return False
        self._retries.append(anyio.current_time())
        return True

    @property
    def retries_in_window(self):
        """The number of retries in the window that ends now."""
        self._discard_before(anyio.current_time() - self._window_s)
        return len(self._retries)

    def _discard_before(self, start):
        for times in (self._requests, self._retries):
            while times and times[0] < start:
                times.popleft()


class RetryBudgets:
    """Retry budgets by backend name."""

    def __init__(self, settings):
        self._settings = settings
        self._by_backend = {}

    def set_settings(self, settings):
        """Applies settings. Only changed ones reset the budgets."""
        if settings != self._settings:
            self._settings = settings
            self._by_backend.clear()

    def for_backend(self, backend):
        budget = self._by_backend.get(backend)
        if budget is None:
            settings = self._settings
            budget = RetryBudget(settings.ratio, settings.slack, settings.window_s)
            self._by_backend[backend] = budget
        return budget
