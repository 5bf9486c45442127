"""Stalls of processes that the machine did not run."""

import asyncio
import bisect
import contextlib
import os
import pathlib

NS_PER_S = 1_000_000_000
# Shorter waits for a processor are part of any run, and no stalls.
MIN_STALL_S = 0.05


def _read_delay_s(pid):
    """Returns the time for which a process was ready to run, but did not, since its start.

    The time is that of its first thread. Raises OSError if the process has gone.
    """
    _, delay_ns, _ = pathlib.Path(f"/proc/{pid}/schedstat").read_text().split()
    return int(delay_ns) / NS_PER_S


class Stalls:
    """The stalls of this process and another one, found by samples.

    Tests of real processes take them off the times that they measure: the product cannot
    know of them. A stall is a wait for a processor of MIN_STALL_S or more between two
    samples; it shows once the process has run again. Times are those of the event loop.
    """

    def __init__(self, pid):
        self._delays_s_by_pid = {pid: 0.0, os.getpid(): 0.0}
        self._times = []
        self._totals_s = []

    def sample(self):
        total_s = self._totals_s[-1] if self._totals_s else 0.0
        for pid, delay_s in self._delays_s_by_pid.items():
            # A process that has gone keeps the delay that it had.
            with contextlib.suppress(OSError):
                self._delays_s_by_pid[pid] = _read_delay_s(pid)
            added_s = self._delays_s_by_pid[pid] - delay_s
            if self._times and added_s >= MIN_STALL_S:
                total_s += added_s
        self._times.append(asyncio.get_running_loop().time())
        self._totals_s.append(total_s)

    def between(self, start, end):
        """Returns the stalls from the last sample before ``start`` to the first one after
        ``end``, in seconds."""
        first = max(0, bisect.bisect_right(self._times, start) - 1)
        last = min(len(self._times) - 1, bisect.bisect_left(self._times, end))
        return self._totals_s[last] - self._totals_s[first]
