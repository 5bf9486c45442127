"""Event loop that runs on virtual time, for fast and deterministic tests.

Virtual time does not pass while a task is ready to run. When all tasks wait, it jumps
to the next timer. ``anyio.current_time`` and ``anyio.sleep`` use the loop's time, so a
run never waits and takes the same steps each time.
"""

import asyncio
import selectors

import anyio


class _VirtualTimeSelector:
    """Selector that advances the loop's time by a time-out instead of waiting."""

    def __init__(self, loop):
        self._selector = selectors.DefaultSelector()
        self._loop = loop

    def select(self, timeout=None):
        events = self._selector.select(0)
        if events or timeout == 0:
            return events
        if timeout is None:
            # No timer is scheduled, so only a call from another thread wakes the loop.
            return self._selector.select(1.0)
        self._loop.now += timeout
        return events

    def __getattr__(self, name):
        return getattr(self._selector, name)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop whose virtual time starts at 0 and advances without waiting."""

    # One nanosecond above the loop's resolution keeps rounding from starving a timer.
    _RESOLUTION_S = 1e-9

    def __init__(self):
        self.now = 0.0
        super().__init__(_VirtualTimeSelector(self))
        self._clock_resolution = self._RESOLUTION_S

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
