"""Runs an asynchronous fleet step by step from the synchronous rules of a machine."""

import anyio
import anyio.lowlevel

from snipetrestle_standins.clock import VirtualTimeLoop


class World:
    """One fleet on its own event loop with the advanced clock.

    The fleet lives in a task of its own. Each call of ``run`` lets the loop go on until
    a coroutine ends; between calls the time stands still.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.callers = []
        self._loop = VirtualTimeLoop()
        started = self._loop.create_future()
        self._host = self._loop.create_task(self._hold(started))
        self.run(started)

    async def _hold(self, started):
        stopped = anyio.Event()
        self._stop = stopped.set
        async with self.fleet:
            started.set_result(None)
            await stopped.wait()

    def run(self, coroutine):
        """Runs a coroutine to its end. Raises the failure of any daemon's task."""
        result = self._loop.run_until_complete(coroutine)
        if self._host.done():
            self._host.result()
        return result

    def do(self, function, *arguments):
        """Calls a plain function inside the event loop."""

        async def call():
            return function(*arguments)

        return self.run(call())

    def advance(self, seconds):
        self.run(anyio.sleep(seconds))

    def send(self, caller):
        """Starts a caller; it goes on during later steps."""
        self.callers.append(self._loop.create_task(caller))
        self.run(anyio.lowlevel.checkpoint())

    def open_callers(self):
        """Returns how many callers have no answer. Raises a caller's failure."""
        for caller in self.callers:
            if caller.done():
                caller.result()
        return sum(not caller.done() for caller in self.callers)

    def close(self):
        for caller in self.callers:
            caller.cancel()
        try:
            if not self._host.done():
                self._stop()
                self._loop.run_until_complete(self._host)
        finally:
            self._loop.close()
