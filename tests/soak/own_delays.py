"""Delays of the soak's own event loop, which are taken off the times it measures."""

import asyncio

INTERVAL_S = 0.02


class OwnDelays:
    """Measures how late the event loop runs what is due."""

    def __init__(self):
        # Pairs of the time at which the loop was due to run, and its delay in s.
        self._delays = []

    async def measure(self):
        """Measures until it is cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + INTERVAL_S
            await asyncio.sleep(INTERVAL_S)
            self._delays.append((due, loop.time() - due))

    def between(self, start, end):
        """Returns the sum of the delays that overlap a time, in s."""
        return sum(
            delay_s
            for due, delay_s in self._delays
            if start <= due + delay_s and due <= end
        )
