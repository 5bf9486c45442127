"""Lets connections parse what they have received in turns, so that none blocks others."""

import asyncio
import collections


class ParseTurns:
    """Gives one connection a turn in each iteration of the event loop.

    However many connections have much to parse, all other work of the process waits for
    one turn at most.
    """

    __slots__ = ("_waiting", "_is_scheduled")

    def __init__(self):
        self._waiting = collections.deque()
        self._is_scheduled = False

    async def wait(self):
        """Waits for the turn of the caller, which lasts until its next ``await``."""
        loop = asyncio.get_running_loop()
        turn = loop.create_future()
        self._waiting.append(turn)
        if not self._is_scheduled:
            self._is_scheduled = True
            loop.call_soon(self._begin_next)
        await turn

    def _begin_next(self):
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                break
        self._is_scheduled = bool(self._waiting)
        if self._waiting:
            asyncio.get_running_loop().call_soon(self._begin_next)
