"""Event loop whose clock tests pause and advance.

The loop's time stands still while tasks are ready and jumps to the next timer when all
tasks wait. ``anyio.current_time`` and ``anyio.sleep`` follow it, so runs are fast and
give the same result each time.
"""

import asyncio
import selectors

import anyio


class _AdvancingSelector:
    """Selector that advances the clock by the time-out instead of waiting for it."""

    def __init__(self, clock):
        self._selector = selectors.DefaultSelector()
        self._clock = clock

    def select(self, timeout=None):
        events = self._selector.select(0)
        if events or timeout == 0:
            return events
        if timeout is None:
            # No timer is left, so only another thread's call can wake the loop.
            return self._selector.select(1.0)
        self._clock.now += timeout
        return events

    def __getattr__(self, name):
        return getattr(self._selector, name)


class AdvancedClockLoop(asyncio.SelectorEventLoop):
    """Event loop that starts at time 0 and advances without waiting."""

    # One nanosecond above the loop's resolution keeps rounding from starving a timer.
    _RESOLUTION_S = 1e-9

    def __init__(self):
        self.now = 0.0
        super().__init__(_AdvancingSelector(self))
        self._clock_resolution = self._RESOLUTION_S

    def time(self):
        return self.now


def run_advanced(function, *args):
    """Runs an async function on an advanced clock and returns its result."""
    return anyio.run(
        function,
        *args,
        backend="asyncio",
        backend_options={"loop_factory": AdvancedClockLoop},
    )
