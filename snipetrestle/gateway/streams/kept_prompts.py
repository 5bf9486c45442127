"""Tells which software version has run a request, by the prompts that replicas keep.

The last part of a prompt belongs to its request alone, or to the session of its caller.
A replica that keeps it has read that prompt. That helps when no host knows what
began a stream, as after a restart of all of them.
"""

import asyncio
import collections
import typing

import anyio

from snipetrestle.events import Event
from snipetrestle.gateway.backends.http_client import ConnectFailed, ExchangeFailed
from snipetrestle.gateway.publication.published_items import StorePosition
from snipetrestle.gateway.streams import part_findings
from snipetrestle.gateway.streams.part_findings import Finding
from snipetrestle.limits.rate_pool import RatePool

# Questions that come within this time share the listings of replicas.
GATHER_S = 0.01
# Between two rounds of listings of a backend: each delays the replicas, and has a price.
MIN_INTERVAL_S = 0.25
# A round takes no longer, with the read of the store.
ROUND_TIMEOUT_S = 0.6
# A round whose read of the store takes longer knows nothing.
READ_TIMEOUT_S = 0.5
# A question is not answered if the next round begins later than this.
MAX_ROUND_WAIT_S = 0.5
# Replicas of one backend that are listed.
MAX_REPLICAS = 512
# Listings that this host has in progress; an answer may have 256 KiB.
MAX_OPEN_LISTINGS = 128
# Listings of all replicas by this host: callers can go on naming unknown streams, and
# one with 5,000 parts takes 1.8 ms to parse. The burst lasts for 7 s of rounds of 70
# replicas, longer than callers take to come back after a restart of all hosts.
LISTINGS_PER_S = 16
LISTINGS_BURST = 2048
# A listing that fails is repeated: a replica may have closed an idle connection, or
# reset a new one while it has too many.
MAX_TRIES = 3
RETRY_PAUSE_S = 0.12
# Replicas without an answer that the line about a round names.
MAX_LOGGED_REPLICAS = 16


class KeptAt(typing.NamedTuple):
    """The only software version that can keep a prompt part, empty if not known.

    ``position`` is that of the list of replicas, None if nothing was listed.
    """

    version: str = ""
    position: StorePosition | None = None


class _Round:
    """A listing of all replicas of a backend, for all questions that have come.

    ``asked`` contains a (model, prompt part) for each, and ``version_by_part`` what is
    known of some of them once the ``task`` has ended. ``counts`` has the number of parts
    by Finding. ``position`` is that of the list of replicas, None unless the store was
    read for the round.
    """

    __slots__ = ("backend", "asked", "position", "version_by_part", "counts", "task")

    def __init__(self, backend):
        self.backend = backend
        self.asked = set()
        self.position = None
        self.version_by_part = {}
        self.counts = collections.Counter()
        self.task = None


class KeptPrompts:
    """Asks replicas for the prompt parts that they keep.

    ``replicas`` is the ReplicaDirectory. ``read_kept_parts(replica)`` returns a set of
    (model, id of a prompt part), and raises ConnectFailed or ExchangeFailed. ``reads``
    is the FreshReads of the prefix that lists the replicas, and ``log`` the
    RequestLines for a line about each round.
    """

    def __init__(self, replicas, read_kept_parts, reads, log):
        self._replicas = replicas
        self._read_kept_parts = read_kept_parts
        self._reads = reads
        self._log = log
        # The rounds that have not begun yet: those that have may lack what a replica
        # has read since.
        self._next_by_backend = {}
        self._begun_at_by_backend = {}
        self._listings = RatePool(LISTINGS_PER_S, LISTINGS_BURST)
        self._slots = asyncio.Semaphore(MAX_OPEN_LISTINGS)

    @property
    def lists_all_replicas(self):
        """Whether no replica that runs may be missing in what the store lists."""
        return self._reads.incomplete_for_s == 0

    async def only_version(self, backend, model, part):
        """Returns the only software version whose replicas can keep a prompt part.

        Returns an empty text if none keeps it, or if more than one version may: a
        replica that does not answer may do so as well.
        """
        return (await self.find(backend, model, part)).version

    async def find(self, backend, model, part):
        """Returns what ``only_version`` does as KeptAt, with the list's position."""
        next_round = self._next_round(backend)
        if next_round is None:
            return KeptAt()
        next_round.asked.add((model, part))
        # The round goes on for others if this question is cancelled.
        await asyncio.wait([next_round.task])
        version = next_round.version_by_part.get((model, part), "")
        return KeptAt(version, next_round.position)

    def _next_round(self, backend):
        """Returns the round of a backend that begins next; None if that is too late."""
        next_round = self._next_by_backend.get(backend)
        if next_round is not None:
            return next_round
        wait_s = self._wait_s(backend)
        count = len(self._replicas.listed_replicas(backend))
        if wait_s > MAX_ROUND_WAIT_S or not 0 < count <= MAX_REPLICAS:
            return None
        next_round = self._next_by_backend[backend] = _Round(backend)
        next_round.task = asyncio.create_task(self._run(next_round, wait_s))
        return next_round

    def _wait_s(self, backend):
        begun_at = self._begun_at_by_backend.get(backend)
        interval_s = 0.0
        if begun_at is not None:
            interval_s = begun_at + MIN_INTERVAL_S - anyio.current_time()
        # A round may list more replicas than are left of the burst.
        listings_s = self._listings.wait_s(0)
        return max(GATHER_S, interval_s, listings_s, self._reads.incomplete_for_s)

    async def _run(self, this_round, wait_s):
        await anyio.sleep(wait_s)
        del self._next_by_backend[this_round.backend]
        self._note_begun(this_round.backend)
        ends_at = anyio.current_time() + ROUND_TIMEOUT_S
        kept_by_replica = {}
        if await self._read_list():
            this_round.position = self._reads.position
            replicas = list(self._replicas.listed_replicas(this_round.backend))
            self._listings.take(len(replicas))
            kept_by_replica = await self._list_all(replicas, this_round.asked, ends_at)
            self._note_findings(this_round, kept_by_replica)
        self._log_round(this_round, kept_by_replica)

    async def _read_list(self):
        """Returns whether this host has read a list of all replicas.

        Another host may have used a replica that this one has not seen yet.
        """
        if not self.lists_all_replicas:
            return False
        has_read = await self._reads.read(READ_TIMEOUT_S)
        return has_read and self.lists_all_replicas

    def _log_round(self, this_round, kept_by_replica):
        silent = [item.id for item, kept in kept_by_replica.items() if kept is None]
        position = this_round.position
        self._log.log(
            Event.KEPT_PROMPTS_LISTED,
            backend=this_round.backend,
            replicas=len(kept_by_replica),
            unanswered=len(silent),
            unanswered_ids=silent[:MAX_LOGGED_REPLICAS],
            asked=len(this_round.asked),
            **{str(finding): this_round.counts[finding] for finding in Finding},
            store_read=position is not None,
            epoch=None if position is None else position.epoch,
            revision=None if position is None else position.revision,
        )

    def _note_begun(self, backend):
        """Notes that a round begins, and forgets those that delay no other any more."""
        now = anyio.current_time()
        begun_at = {
            name: at
            for name, at in self._begun_at_by_backend.items()
            if now - at < MIN_INTERVAL_S
        }
        begun_at[backend] = now
        self._begun_at_by_backend = begun_at

    async def _list_all(self, replicas, asked, ends_at):
        """Returns the asked parts that each Replica keeps, None without an answer.

        Replicas that have left meanwhile are missing, as they are from later rounds.
        Not those whose ids have new processes, which this round does not list.
        """
        task_by_replica = {
            replica: asyncio.create_task(self._list(replica, asked))
            for replica in replicas
        }
        if task_by_replica:
            timeout_s = ends_at - anyio.current_time()
            await asyncio.wait(task_by_replica.values(), timeout=timeout_s)
        for task in task_by_replica.values():
            task.cancel()
        kept_by_replica = {item: _result(task_by_replica[item]) for item in replicas}
        return {
            replica: kept
            for replica, kept in kept_by_replica.items()
            if kept is not None or replica.id in self._replicas.by_id
        }

    def _is_listed(self, replica):
        return self._replicas.by_id.get(replica.id) is replica

    async def _list(self, replica, asked):
        """Returns the asked prompt parts that a replica keeps, or None.

        A replica that has asked for a pause is listed after it.
        """
        tries = 0
        while tries < MAX_TRIES and self._is_listed(replica):
            if not replica.pause.is_active:
                tries += 1
                kept = await self._try_to_list(replica)
                if kept is not None:
                    return asked & kept
            await anyio.sleep(RETRY_PAUSE_S)
        return None

    async def _try_to_list(self, replica):
        async with self._slots:
            try:
                return await self._read_kept_parts(replica)
            except (ConnectFailed, ExchangeFailed):
                return None

    def _version_of(self, replica):
        """Returns the version of a replica, empty if another process has its id.

        That one may have answered, also if the entry was deleted before its own came.
        """
        if self._replicas.by_id.get(replica.id, replica) is not replica:
            return ""
        return replica.software_version

    def _note_findings(self, this_round, kept_by_replica):
        """Notes what the answers tell of each part; None stands for no answer."""
        silent = set()
        versions_by_part = {part: set() for part in this_round.asked}
        for replica, kept in kept_by_replica.items():
            version = self._version_of(replica)
            if kept is None:
                silent.add(version)
                continue
            for part in kept:
                versions_by_part[part].add(version)
        for part, versions in versions_by_part.items():
            finding = part_findings.find(versions, silent)
            this_round.counts[finding] += 1
            if finding is Finding.KNOWN:
                (this_round.version_by_part[part],) = versions


def _result(task):
    """Returns the result of a listing; None if it has not ended, or has failed."""
    if not task.done() or task.cancelled() or task.exception() is not None:
        return None
    return task.result()
