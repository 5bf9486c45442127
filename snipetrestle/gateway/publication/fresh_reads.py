"""Reads of the store's changes that are as new as the question that needs them.

A host's list of replicas lags behind the store, by seconds if the host was cut off or
stood still. What is inferred from it needs a read that was begun after the question.
"""

import asyncio
import math

import anyio

from snipetrestle.gateway.publication.published_items import HistoryLost
from snipetrestle.gateway.publication.replica_entries import STORE_RETURN_GRACE_S
from snipetrestle.publication.sources import SourceUnreachable
from snipetrestle.supervision import log_unexpected

# Between two reads, so that many questions need few calls.
READ_PAUSE_S = 0.1
# After this time, a read that has failed is repeated until the store answers. Else a
# host for which others read the store would count as cut off from it from then on.
RETRY_PAUSE_S = 2.0


class FreshReads:
    """Reads the changes of a prefix of a PublishedState, once for all that wait."""

    def __init__(self, state, prefix):
        self._state = state
        self._prefix = prefix
        # The read that has not begun yet; calls during one that has need another.
        self._next = None
        # Keeps the task of the read in progress from being collected.
        self._current = None
        self._reading = asyncio.Lock()
        self._ended_at = -math.inf
        self._retry = None

    @property
    def position(self):
        """The StorePosition up to which changes of the prefix are applied."""
        return self._state.feeds[self._prefix].position

    @property
    def incomplete_for_s(self):
        """For how long the store may lack entries of replicas that run, in seconds.

        After it has gone back to a copy, replicas that are not in the copy write again.
        Nothing tells a host when an epoch began that it has just seen, so the time
        counts from then.
        """
        replaced_at = self._state.feeds[self._prefix].replaced_at
        return max(0.0, replaced_at + STORE_RETURN_GRACE_S - anyio.current_time())

    async def read(self, timeout_s):
        """Applies the store's changes of the prefix by a read that begins after this.

        Returns whether that has succeeded within a time.
        """
        this_read = self._begin()
        # The read goes on for others if this call is cancelled.
        await asyncio.wait([this_read], timeout=timeout_s)
        return this_read.done() and this_read.result()

    def _begin(self):
        """Returns the task of the read that begins next."""
        if self._next is None:
            self._next = asyncio.create_task(self._run())
        return self._next

    async def _run(self):
        async with self._reading:
            await anyio.sleep_until(self._ended_at + READ_PAUSE_S)
            self._current, self._next = self._next, None
            if self._retry is not None:
                self._retry.cancel()
            succeeded = await self._read_changes()
            self._ended_at = anyio.current_time()
            if not succeeded:
                loop = asyncio.get_running_loop()
                self._retry = loop.call_later(RETRY_PAUSE_S, self._begin)
            return succeeded

    async def _read_changes(self):
        """Returns whether the store has answered with all changes."""
        try:
            await self._state.read_changes(self._prefix)
        except (SourceUnreachable, HistoryLost):
            return False
        except Exception as error:
            log_unexpected("fresh read", error)
            return False
        return True
