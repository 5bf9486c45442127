"""Event loops for tests, whose times do not depend on the machine's load.

``anyio.current_time`` and ``anyio.sleep`` use the loop's time.

Virtual time does not pass while a task is ready to run. When all tasks wait, it jumps
to the next timer. So a run never waits and takes the same steps each time, but it can
use no sockets. The time of a StallFreeLoop passes with the real one, except in stalls.
"""

import asyncio
import selectors
import time

import anyio


class _TimingSelector:
    """Selector that tells its loop, in ``select``, how much time has passed."""

    def __init__(self, loop):
        self._selector = selectors.DefaultSelector()
        self._loop = loop

    def __getattr__(self, name):
        return getattr(self._selector, name)


class _OwnTimeLoop(asyncio.SelectorEventLoop):
    """Event loop whose time is not the machine's, with a ``selector_type``."""

    # One nanosecond above the loop's resolution keeps rounding from starving a timer.
    _RESOLUTION_S = 1e-9
    selector_type = _TimingSelector

    def __init__(self):
        super().__init__(self.selector_type(self))
        self._clock_resolution = self._RESOLUTION_S


class _VirtualTimeSelector(_TimingSelector):
    """Selector that advances the loop's time by a time-out instead of waiting."""

    def select(self, timeout=None):
        events = self._selector.select(0)
        if events or timeout == 0:
            return events
        if timeout is None:
            # No timer is scheduled, so only a call from another thread wakes the loop.
            return self._selector.select(1.0)
        self._loop.now += timeout
        return events


class VirtualTimeLoop(_OwnTimeLoop):
    """Event loop whose virtual time starts at 0 and advances without waiting."""

    selector_type = _VirtualTimeSelector

    def __init__(self):
        self.now = 0.0
        super().__init__()

    def time(self):
        return self.now


def run_in_virtual_time(function, *args):
    """Runs an async function on a loop with virtual time and returns its result."""
    return anyio.run(
        function,
        *args,
        backend="asyncio",
        backend_options={"loop_factory": VirtualTimeLoop},
    )


class _StallFreeSelector(_TimingSelector):
    """Selector that tells its loop how long it had to wait."""

    def select(self, timeout=None):
        # What is ready already was not waited for, however late the process runs.
        events = self._selector.select(0)
        if events or timeout == 0:
            return events
        started = time.monotonic()
        events = self._selector.select(timeout)
        waited_s = time.monotonic() - started
        if timeout is not None:
            waited_s = min(waited_s, max(0.0, timeout))
        self._loop.waited_s += waited_s
        return events


class StallFreeLoop(_OwnTimeLoop):
    """Event loop whose time leaves out the stalls of its process.

    The time passes while the loop waits for an event, until its next timer at most, and
    by the processor time of its thread. A machine that does not run the process thus
    makes nothing late, while each wait and each long computation counts. All that takes
    part must run on the loop, and a call that blocks without computing does not count.
    """

    selector_type = _StallFreeSelector

    def __init__(self):
        self.waited_s = 0.0
        super().__init__()

    def time(self):
        return self.waited_s + time.thread_time()
