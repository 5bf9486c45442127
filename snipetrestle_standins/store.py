"""Stand-in for a store of adapter weights, which limits rate and parallel loads."""

import anyio


class StandInWeightStore:
    """Serves loads at a limited rate; too many loads at once slow each other down.

    Transfers start one after another at ``loads_per_second``. A transfer takes
    ``load_s`` seconds if at most ``parallel_loads`` are transferred at once and at most
    ``full_speed_in_flight`` loads of all engines are in flight, which includes those in
    the store's queue. Beyond either limit it takes longer in proportion.
    """

    def __init__(
        self, loads_per_second, parallel_loads, load_s=0.25, full_speed_in_flight=8
    ):
        self.loads_per_second = loads_per_second
        self.parallel_loads = parallel_loads
        self.load_s = load_s
        self.full_speed_in_flight = full_speed_in_flight
        self.in_flight = 0
        self.transferring = 0
        self.loads = 0
        self._next_start_s = 0.0

    def slowdown_factor(self):
        """Returns the factor by which transfers take longer now; at least 1."""
        return max(
            1.0,
            self.transferring / self.parallel_loads,
            self.in_flight / self.full_speed_in_flight,
        )

    async def load(self):
        """Loads an adapter's weights; returns once they have arrived."""
        self.in_flight += 1
        self.loads += 1
        try:
            now = anyio.current_time()
            # Queued loads start 1 / rate seconds apart.
            start = max(now, self._next_start_s)
            self._next_start_s = start + 1.0 / self.loads_per_second
            await anyio.sleep(start - now)
            await self._transfer()
        finally:
            self.in_flight -= 1

    async def _transfer(self):
        self.transferring += 1
        try:
            await anyio.sleep(self.load_s * self.slowdown_factor())
        finally:
            self.transferring -= 1
