"""Watches whether replicas take orders while this host sends none.

Hosts behind a cut cannot be asked whether one of them leads. The replicas can: each
counts the orders that it has taken, whoever sent them.
"""

import asyncio
import math

import anyio

from snipetrestle.gateway.backends.http_client import ConnectFailed, ExchangeFailed

POLL_INTERVAL_S = 0.5
REPORT_TIMEOUT_S = 0.4
# Among more, so many are watched; a leader orders all of them in turn.
MAX_WATCHED_REPLICAS = 32
# Watching ends if nobody has asked for this long.
UNUSED_TIMEOUT_S = 2.0
IDLE_CHECK_INTERVAL_S = 0.1


class OrderActivity:
    """Reads the order counts of some replicas as long as ``quiet_s`` is called.

    ``client.report(replica)`` returns a ReplicaReport, ``state`` is the PublishedState.
    """

    def __init__(self, state, client, rng):
        self._state = state
        self._client = client
        self._rng = rng
        self._asked_at = -math.inf
        self._watched = None
        # The last known order count of each watched replica, by its process.
        self._count_by_process = {}
        self._quiet_since = None

    def quiet_s(self):
        """Returns for how long no watched replica has taken an order.

        This is 0 while it is unknown, and infinite if there are no replicas to order.
        """
        self._asked_at = anyio.current_time()
        if self._quiet_since is None:
            return 0.0
        return self._asked_at - self._quiet_since

    async def run(self):
        while True:
            if anyio.current_time() - self._asked_at > UNUSED_TIMEOUT_S:
                self._stop_watching()
                await anyio.sleep(IDLE_CHECK_INTERVAL_S)
                continue
            await self._poll()
            await anyio.sleep(POLL_INTERVAL_S)

    def _stop_watching(self):
        self._watched = None
        self._count_by_process.clear()
        self._quiet_since = None

    async def _poll(self):
        if not self._state.ready.is_set():
            return
        replicas = self._choose_replicas()
        if not replicas:
            self._quiet_since = -math.inf
            return
        started_at = anyio.current_time()
        counts = await asyncio.gather(*map(self._order_count, replicas))
        answered = {
            replica.process_id: count
            for replica, count in zip(replicas, counts, strict=True)
            if count is not None
        }
        if not answered:
            self._quiet_since = None
        elif self._quiet_since is None or self._has_changed(answered):
            self._quiet_since = started_at
        self._count_by_process.update(answered)

    def _has_changed(self, counts):
        known = self._count_by_process
        return any(
            known.get(process, count) != count for process, count in counts.items()
        )

    def _choose_replicas(self):
        """Returns the replicas to ask, mostly the same as the last time."""
        available = {
            replica.process_id: replica
            for name, backend in self._state.backends_by_name.items()
            if backend.serves_models
            for replica in self._state.replicas.ready_replicas(name)
            if replica.is_willing
        }
        chosen = [process for process in self._watched or () if process in available]
        others = sorted(available.keys() - set(chosen))
        self._rng.shuffle(others)
        self._watched = (chosen + others)[:MAX_WATCHED_REPLICAS]
        return [available[process] for process in self._watched]

    async def _order_count(self, replica):
        """Returns the number of orders that a replica has taken; None if unknown."""
        try:
            async with asyncio.timeout(REPORT_TIMEOUT_S):
                report = await self._client.report(replica)
        except (ConnectFailed, ExchangeFailed, TimeoutError):
            return None
        return report.order_count
