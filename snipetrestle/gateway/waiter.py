"""Lets a task wait until a callback wakes it."""

import asyncio


class Waiter:
    """Wakes one waiting task. ``wake()`` has no effect while no task waits."""

    __slots__ = ("_future",)

    def __init__(self):
        self._future = None

    def wake(self):
        if self._future is not None and not self._future.done():
            self._future.set_result(None)

    async def wait(self, timeout_s=None):
        """Returns when woken, or after ``timeout_s`` seconds; None means no limit."""
        loop = asyncio.get_running_loop()
        self._future = loop.create_future()
        timeout_handle = (
            None if timeout_s is None else loop.call_later(timeout_s, self.wake)
        )
        try:
            await self._future
        finally:
            if timeout_handle is not None:
                timeout_handle.cancel()
            self._future = None
