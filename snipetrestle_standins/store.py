"""Stand-in for the weight store: a rate limit and a limit of loads at full speed."""

import anyio


class WeightStoreCore:
    """Serves loads at a limited rate; loads slow down beyond the full-speed limits.

    At most ``parallel_loads`` leave the store at once, each takes a share of the rate.
    A load takes ``load_s`` while no more than ``full_speed_in_flight`` are in flight
    over all engines, and longer in proportion beyond that.
    """

    def __init__(
        self, loads_per_second, parallel_loads, load_s=0.25, full_speed_in_flight=8
    ):
        self.loads_per_second = loads_per_second
        self.parallel_loads = parallel_loads
        self.load_s = load_s
        self.full_speed_in_flight = full_speed_in_flight
        self.in_flight = 0
        self.loads = 0
        self._next_free_s = 0.0

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
            excess = max(1.0, self.in_flight / self.full_speed_in_flight)
            await anyio.sleep(self.load_s * excess)
        finally:
            self.in_flight -= 1
