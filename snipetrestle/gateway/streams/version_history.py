"""Tells whether one software version only can have begun a stream.

That is asked about streams of which no host knows the origin. The answer comes from
what the platform's store has listed, and is never a guess.
"""

import asyncio
import itertools
import math

import anyio
import msgspec

from snipetrestle.events import Event, log_event
from snipetrestle.gateway.configuration import ReplicaEntry
from snipetrestle.gateway.publication.fresh_reads import READ_PAUSE_S, FreshReads
from snipetrestle.gateway.publication.published_items import (
    LAST_UNBROKEN_EPOCH,
    HistoryLost,
    Unlisted,
)
from snipetrestle.gateway.streams.listed_versions import (
    UNKNOWN_SOFTWARE,
    ListedVersions,
)
from snipetrestle.gateway.streams.store_history import IncompleteHistory, StoreHistory
from snipetrestle.gateway.streams.stream_origin import StreamOrigin
from snipetrestle.publication.sources import SourceUnreachable

# A request waits no longer for the store.
ANSWER_TIMEOUT_S = 0.5
EXTENSION_TIMEOUT_S = 3.0
# How often the store's history is read after a gap in what is known, if it fails.
MAX_EXTENSION_ATTEMPTS = 2
# Heartbeats come about each ``heartbeat_s``; no two of them closer than this share.
MIN_INTERVAL_SHARE = 0.8
# The heartbeats before the oldest known one of a replica may contain such that came
# out of turn, since the entry had changed. At least this share was regular.
MIN_REGULAR_SHARE = 0.5
# The heartbeats of one replica alone prove nothing: another writer may have written
# its entry.
MIN_WITNESSES = 2


class VersionHistory:
    """The software versions of each backend, and since when all of them are known.

    ``prefix`` is that of the feed of PublishedState that lists the replicas. After its
    removal a replica may be in use for ``removal_margin_s``, by hosts that have not
    learned of it.

    ``history_s`` is for how long the store keeps its history as a rule. If it is None,
    nothing is known of the time before this host's first read. ``heartbeat_s`` is the
    time between the heartbeats of a replica. If it is 0, only a store that has
    discarded nothing shows anything of that time. ``reads`` is the FreshReads of the
    prefix if others share it.
    """

    def __init__(
        self,
        state,
        prefix,
        removal_margin_s,
        history_s=None,
        heartbeat_s=0.0,
        reads=None,
    ):
        self._state = state
        self._reads = reads or FreshReads(state, prefix)
        self._prefix = prefix
        self._removal_margin_s = removal_margin_s
        self._history_s = history_s
        self._heartbeat_s = heartbeat_s
        self._store_history = StoreHistory(state, prefix)
        self._versions = ListedVersions()
        # The questions that wait for the next read of the store.
        self._questions = set()
        self._asked = anyio.Event()
        # The attempts to read the history, and the gap that they were made after.
        self._attempts = 0
        self._attempted_gap = 0
        state.observe_entries(self)

    # What the store lists.

    def note_entry(self, entry):
        """Records a ReplicaEntry that the store lists."""
        self._versions.note_entry(entry)

    def note_unlisted(self, unlisted):
        """Records the deletion of an entry, or one that is unusable, as Unlisted."""
        self._versions.note_unlisted(unlisted)

    def note_gap(self, prefix):
        """Records that changes of a prefix before this time may be missing."""
        if prefix == self._prefix:
            self._versions.note_gap()

    # Questions.

    async def only_origin(self, backend, since_s):
        """Returns the only StreamOrigin that streams of a backend can have, or None.

        They are the streams whose requests were sent to a replica at most ``since_s``
        seconds ago. None also stands for everything that is not certain.
        """
        since = anyio.current_time() - since_s - self._removal_margin_s
        if not self._may_know(backend, since):
            return None
        question = _Question(since)
        self._questions.add(question)
        self._asked.set()
        try:
            with anyio.move_on_after(ANSWER_TIMEOUT_S):
                if await question.is_fresh:
                    return self._known_origin(backend, since)
        finally:
            self._questions.discard(question)
        return None

    def _may_know(self, backend, since):
        """Whether reading the store can lead to an answer."""
        if len(self._versions.versions(backend, since)) > 1:
            return False
        return self._versions.covers(since) or self._may_extend()

    def _known_origin(self, backend, since):
        versions = self._versions.versions(backend, since)
        if not self._versions.covers(since) or len(versions) != 1:
            return None
        (version,) = versions
        return StreamOrigin(backend, version) if version else None

    async def run(self):
        """Reads the store whenever there are questions, once for all that wait."""
        while True:
            await self._asked.wait()
            self._asked = anyio.Event()
            questions, self._questions = self._questions, set()
            if questions:
                await self._answer(questions)
                # Questions that come meanwhile share the next read.
                await anyio.sleep(READ_PAUSE_S)

    async def _answer(self, questions):
        """Reads what the store lists by now, and answers questions.

        Another host may have used a replica whose entry has not reached this one.
        """
        is_fresh = await self._reads.read(ANSWER_TIMEOUT_S)
        if is_fresh and self._need_history(questions):
            await self._extend()
        for question in questions:
            question.answer(is_fresh)

    def _need_history(self, questions):
        is_covered = all(self._versions.covers(item.since) for item in questions)
        return not is_covered and self._may_extend()

    # The history of the store.

    def _may_extend(self):
        """Whether the history of the store may show more of the past.

        It is read once after each gap, again only if that has failed.
        """
        if self._history_s is None or self._versions.covered_since is None:
            return False
        if self._state.feeds[self._prefix].epoch > LAST_UNBROKEN_EPOCH:
            return False
        if self._attempted_gap != self._versions.gap_count:
            return True
        return self._attempts < MAX_EXTENSION_ATTEMPTS

    async def _extend(self):
        gap = self._versions.gap_count
        if gap != self._attempted_gap:
            self._attempted_gap, self._attempts = gap, 0
        self._attempts += 1
        try:
            with anyio.fail_after(EXTENSION_TIMEOUT_S):
                history = await self._store_history.read()
        except (SourceUnreachable, HistoryLost, IncompleteHistory, TimeoutError):
            return
        if gap == self._versions.gap_count:
            self._attempts = MAX_EXTENSION_ATTEMPTS
            self._add(history)

    def _add(self, history):
        """Adds what the History shows, unless this host knows as much by itself."""
        changes = [
            (item, change)
            for item in history.items
            if (change := self._decode(item)) is not None
        ]
        covered_s = self._covered_s(history, changes)
        log_event(
            Event.VERSION_HISTORY_READ,
            prefix=self._prefix,
            after=history.start,
            changes=len(changes),
            covered_s=None if math.isinf(covered_s) else round(covered_s, 3),
        )
        since = history.read_at - covered_s
        if since < self._versions.covered_since:
            self._note_past(history, changes, covered_s)
            self._versions.extend(since)

    def _note_past(self, history, changes, covered_s):
        """Records the versions of a History. Nothing tells when its changes were made.

        So each of them counts as if it had been listed until now.
        """
        for item, change in _first_of_each_key(changes):
            if not history.is_complete and not self._shows_past(
                change, item.revision in history.created_revisions, covered_s
            ):
                self._versions.note_left(UNKNOWN_SOFTWARE)
        for _, change in changes:
            if isinstance(change, ReplicaEntry):
                software = StreamOrigin(change.backend, change.software_version)
                self._versions.note_left(software)
            elif change.reason:
                self._versions.note_left(UNKNOWN_SOFTWARE)

    def _decode(self, item):
        """Returns the ReplicaEntry or Unlisted of an item, None for other items."""
        try:
            change = self._state.feeds[self._prefix].feed.decode(item)
        except ValueError:
            return None
        return change if isinstance(change, (ReplicaEntry, Unlisted)) else None

    def _covered_s(self, history, changes):
        """Returns for how long before its reading a History goes back at least.

        The store may discard history sooner than it says, so that alone shows nothing,
        even if the oldest revision is known. Heartbeats of replicas in it do.
        """
        if history.is_complete:
            return math.inf
        entries = [change for _, change in changes if isinstance(change, ReplicaEntry)]
        return min(self._history_s, proven_span_s(entries, self._heartbeat_s))

    def _shows_past(self, change, is_new, covered_s):
        """Whether the first change of a replica shows what was listed for it before.

        An older entry may be that of an earlier process with another version, unless
        this process has run for all the time. A deletion tells nothing of the entry.
        """
        if is_new:
            return True
        if isinstance(change, Unlisted):
            return False
        runs_s = MIN_REGULAR_SHARE * change.report_number * self._heartbeat_s
        return runs_s >= covered_s


class _Question:
    """One question that waits. ``is_fresh`` tells whether the store was read for it."""

    __slots__ = ("since", "is_fresh")

    def __init__(self, since):
        self.since = since
        self.is_fresh = asyncio.get_running_loop().create_future()

    def answer(self, is_fresh):
        if not self.is_fresh.done():
            self.is_fresh.set_result(is_fresh)


def _first_of_each_key(changes):
    """Returns the first change of each key, with its item."""
    first_by_key = {}
    for item, change in changes:
        first_by_key.setdefault(item.key, (item, change))
    return first_by_key.values()


def proven_span_s(entries, heartbeat_s):
    """Returns a time that has certainly passed between the first and the last entry.

    ``entries`` are ReplicaEntry objects in the order in which they were written. Their
    report numbers count heartbeats. Each heartbeat that changed an entry may have come
    out of turn, unless only its adapters changed. The others, of which the store keeps
    few, came after the usual interval.
    """
    spans_s = []
    for run in _runs(entries):
        heartbeats = run[-1].report_number - run[0].report_number
        out_of_turn = sum(not _came_in_turn(*pair) for pair in itertools.pairwise(run))
        # The first of the others may have come right after an entry.
        regular = max(0, heartbeats - out_of_turn - 1)
        spans_s.append(regular * MIN_INTERVAL_SHARE * heartbeat_s)
    if len(spans_s) < MIN_WITNESSES:
        return 0.0
    return sorted(spans_s)[-MIN_WITNESSES]


def _came_in_turn(previous, entry):
    """Whether an entry came with a regular heartbeat of its replica.

    Loads and unloads of adapters change entries, but cause no heartbeat. An entry with
    no visible change may differ in a field that is not read.
    """
    if previous.models == entry.models:
        return False
    return _facts_but_adapters(previous) == _facts_but_adapters(entry)


def _facts_but_adapters(entry):
    models = tuple(model.name for model in entry.models)
    return msgspec.structs.replace(entry, models=models, report_number=0)


def _runs(entries):
    """Returns the entries of each process of a replica."""

    def process(entry):
        return entry.id, entry.boot

    by_process = itertools.groupby(sorted(entries, key=process), process)
    return [list(run) for _, run in by_process]
