"""Tells whether long content is on its way on the link of this host."""

import asyncio
import contextlib
import math

# What was queued on the link behind a transfer is read within this time after its end.
SETTLE_S = 0.02
# Transfers that follow each other within this time count as one. It is longer than
# SETTLE_S, after which a waiter looks again.
MAX_GAP_S = 2 * SETTLE_S


class Transfers:
    """Counts the transfers from and to this host that are in progress."""

    def __init__(self):
        self._count = 0
        self._busy_since = -math.inf
        self._quiet_since = -math.inf
        self._ended = asyncio.Event()

    @property
    def is_active(self):
        return self._count > 0

    @contextlib.contextmanager
    def in_progress(self):
        """Counts a transfer while the context lasts."""
        loop = asyncio.get_running_loop()
        if not self._count and loop.time() - self._quiet_since > MAX_GAP_S:
            self._busy_since = loop.time()
        self._count += 1
        try:
            yield
        finally:
            self._count -= 1
            if not self._count:
                self._quiet_since = loop.time()
                self._ended.set()
                self._ended = asyncio.Event()

    async def wait_until_quiet(self, max_busy_s):
        """Returns once no transfer is in progress.

        Returns at once while there have been transfers for ``max_busy_s``.
        """
        with contextlib.suppress(TimeoutError):
            while self._count:
                async with asyncio.timeout_at(self._busy_since + max_busy_s):
                    await self._ended.wait()
                await asyncio.sleep(SETTLE_S)
