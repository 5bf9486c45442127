"""Runs an asynchronous fleet from the synchronous rules of a state machine."""

import anyio
import anyio.lowlevel

from snipetrestle_standins.clock import VirtualTimeLoop


class FleetRunner:
    """Runs one fleet, and its callers, on an event loop with a simulated clock.

    The fleet is open in a task until ``close``. Each call of ``run`` runs the loop
    until a coroutine ends; between calls the clock stands still.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.callers = []
        self._loop = VirtualTimeLoop()
        started = self._loop.create_future()
        self._fleet_task = self._loop.create_task(self._keep_open(started))
        self.run(started)

    async def _keep_open(self, started):
        stopped = anyio.Event()
        self._stop_fleet = stopped.set
        async with self.fleet:
            started.set_result(None)
            await stopped.wait()

    def run(self, coroutine):
        """Runs a coroutine to its end and returns its result.

        Raises the error with which the task of the fleet has ended, if it has.
        """
        result = self._loop.run_until_complete(coroutine)
        if self._fleet_task.done():
            self._fleet_task.result()
        return result

    def call(self, function, *arguments):
        """Calls a synchronous function inside the event loop and returns its result."""

        async def call_function():
            return function(*arguments)

        return self.run(call_function())

    def advance(self, seconds):
        self.run(anyio.sleep(seconds))

    def start_caller(self, caller):
        """Starts a coroutine as a task that goes on during later steps."""
        self.callers.append(self._loop.create_task(caller))
        self.run(anyio.lowlevel.checkpoint())

    def open_callers(self):
        """Returns how many callers wait for an answer. Raises a caller's error."""
        for caller in self.callers:
            if caller.done():
                caller.result()
        return sum(not caller.done() for caller in self.callers)

    def close(self):
        """Cancels the callers and closes the fleet and the loop."""
        for caller in self.callers:
            caller.cancel()
        try:
            if not self._fleet_task.done():
                self._stop_fleet()
                self._loop.run_until_complete(self._fleet_task)
        finally:
            self._loop.close()
