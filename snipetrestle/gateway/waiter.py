"""One task's wait for a wake-up from callbacks."""

import asyncio


class Waiter:
    """Lets one task wait until it is woken; waking nobody has no effect."""

    __slots__ = ("_future",)

    def __init__(self):
        self._future = None

    def wake(self):
        if self._future is not None and not self._future.done():
            self._future.set_result(None)

    async def wait(self, limit_s=None):
        """Returns once woken, and after ``limit_s`` seconds at the latest."""
        loop = asyncio.get_running_loop()
        self._future = loop.create_future()
        timer = None if limit_s is None else loop.call_later(limit_s, self.wake)
        try:
            await self._future
        finally:
            if timer is not None:
                timer.cancel()
            self._future = None
