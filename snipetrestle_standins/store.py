"""Stand-in for the weight store: a rate limit and limits of loads at full speed."""

import anyio


class WeightStoreCore:
    """Serves loads at a limited rate; loads slow down beyond the full-speed limits.

    Loads leave the store one after another at ``loads_per_second``. A load then takes
    ``load_s`` while at most ``parallel_loads`` leave at once and at most
    ``full_speed_in_flight`` are in flight over all engines, which counts those that
    queue at the store; beyond either limit it takes longer in proportion.
    """

    def __init__(
        self, loads_per_second, parallel_loads, load_s=0.25, full_speed_in_flight=8
    ):
        self.loads_per_second = loads_per_second
        self.parallel_loads = parallel_loads
        self.load_s = load_s
        self.full_speed_in_flight = full_speed_in_flight
        self.in_flight = 0
        self.leaving = 0
        self.loads = 0
        self._next_free_s = 0.0

    def slow_down(self):
        """Returns the factor by which loads take longer now."""
        return max(
            1.0,
            self.leaving / self.parallel_loads,
            self.in_flight / self.full_speed_in_flight,
        )

    async def load(self):
        """Returns when the weights have arrived."""
        self.in_flight += 1
        self.loads += 1
        try:
            now = anyio.current_time()
            # The rate limit is a queue whose entries are 1 / rate apart.
            start = max(now, self._next_free_s)
            self._next_free_s = start + 1.0 / self.loads_per_second
            await anyio.sleep(start - now)
            await self._transfer()
        finally:
            self.in_flight -= 1

    async def _transfer(self):
        self.leaving += 1
        try:
            await anyio.sleep(self.load_s * self.slow_down())
        finally:
            self.leaving -= 1
