"""Reads as much of the past of the platform's store as the store still has."""

import typing

import anyio

from snipetrestle.gateway.publication.published_items import HistoryLost, PublishedItem

# Calls to the store have a price.
MAX_CALLS = 24
# Of these, so many are kept for reading what was found.
READ_CALLS = 4
# The first step back in revisions, and the growth of each further one.
FIRST_STEP = 256
STEP_FACTOR = 8
# The search ends when it may miss this share of the history at most.
MAX_MISSED_SHARE = 1 / 16
# Part of the known history that is given up if its start has gone meanwhile.
GONE_SHARE = 1 / 4


class IncompleteHistory(Exception):
    """Raised if answers of the store lack changes that are known to be in them."""


class History(typing.NamedTuple):
    """All changes after the revision ``start``, in the order of their revisions.

    ``created_revisions`` are those of the items that created their key. ``read_at`` is
    the time of the event loop at which the last change was read.
    """

    start: int
    items: list[PublishedItem]
    created_revisions: frozenset[int]
    read_at: float

    @property
    def is_complete(self):
        """Whether it has all changes since the store was empty.

        Revisions start above 0, and a store that has discarded any does not answer a
        watch from 0.
        """
        return self.start == 0


class StoreHistory:
    """Finds the oldest changes of a prefix that the store has, and reads all since.

    ``state`` is the PublishedState.
    """

    def __init__(self, state, prefix):
        self._state = state
        self._prefix = prefix
        # Nothing is written under this prefix, so answers to probes are short.
        self._probe_prefix = f"{prefix}-/history-probe/"
        self._calls_left = 0
        # The revision up to which this host knows the store.
        self._newest = 0

    async def read(self):
        """Returns the History. Raises SourceUnreachable, or IncompleteHistory.

        Raises HistoryLost if the store discards it faster than it can be read.
        """
        self._calls_left = MAX_CALLS
        self._newest = self._state.feeds[self._prefix].revision
        start = await self._find_start()
        while True:
            try:
                return await self._read_since(start)
            except HistoryLost:
                if start >= self._newest or not self._calls_left:
                    raise
                start += max(1, int(GONE_SHARE * (self._newest - start)))

    async def _find_start(self):
        """Returns about the oldest revision from which the store answers a watch."""
        if await self._has(0):
            return 0
        gone, kept = await self._step_back()
        while self._calls_left > READ_CALLS:
            if kept - gone <= max(1, MAX_MISSED_SHARE * (self._newest - kept)):
                break
            middle = (gone + kept) // 2
            if await self._has(middle):
                kept = middle
            else:
                gone = middle
        return kept

    async def _step_back(self):
        """Returns the last revision that is gone and the first one that is kept."""
        kept, step = self._newest, FIRST_STEP
        while self._newest - step > 0 and self._calls_left > READ_CALLS:
            revision = self._newest - step
            if not await self._has(revision):
                return revision, kept
            kept, step = revision, step * STEP_FACTOR
        return 0, kept

    async def _has(self, revision):
        try:
            await self._call(self._probe_prefix, revision)
        except HistoryLost:
            return False
        return True

    async def _call(self, prefix, revision):
        if not self._calls_left:
            raise IncompleteHistory("too many calls")
        self._calls_left -= 1
        return await self._state.read_history(self._prefix, prefix, revision)

    async def _read_since(self, start):
        items, created_revisions, revision = [], set(), start
        while True:
            changes = await self._call(self._prefix, revision)
            items += changes.items
            created_revisions |= changes.created_revisions
            if changes.revision >= self._newest:
                break
            if changes.revision <= revision:
                raise IncompleteHistory("the store does not get to its end")
            revision = changes.revision
        self._check_complete(items, start)
        items.sort(key=lambda item: item.revision)
        return History(start, items, frozenset(created_revisions), anyio.current_time())

    def _check_complete(self, items, start):
        """Raises IncompleteHistory unless the changes include the known items.

        The page of the store does not say how many changes one answer may have.
        """
        revisions = {item.revision for item in items}
        known_items = self._state.feeds[self._prefix].items_by_key.values()
        for item in known_items:
            if start < item.revision <= self._newest and item.revision not in revisions:
                raise IncompleteHistory(f"revision {item.revision} is missing")
