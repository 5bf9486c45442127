"""Spread of the published configuration: a few readers, the rest learns from peers.

Two daemons in each failure domain watch the service. Pings carry the revisions, and a
daemon that is behind fetches the changes once from the peer it heard of them. A
revision in effect is only ever replaced by a higher one.
"""

import collections
import itertools
import zlib

import anyio
import msgspec

from snipetrestle.checking import InvalidDocument
from snipetrestle.codes import ServingError
from snipetrestle.events import Event, log_event
from snipetrestle.hashing import rendezvous_order
from snipetrestle.peers.configuration_changes import (
    Content,
    build,
    changes_from_empty,
    changes_of,
    pack,
    unpack,
)
from snipetrestle.peers.configuration_reader import ConfigurationReader
from snipetrestle.peers.membership_messages import RevisionDigest
from snipetrestle.peers.messages import register_message
from snipetrestle.peers.transport import PeerUnreachable
from snipetrestle.publication.sources import SourceUnreachable

# Readers in each failure domain: one may fail without a gap.
READERS_PER_DOMAIN = 2
# Peers that a starting daemon asks for their revision, and rounds of asking.
READY_SAMPLE = 5
READY_ROUNDS = 3
READY_ROUND_S = 1.0
ASK_TIMEOUT_S = 1.0
# A daemon that has no configuration for this long after its start logs an event.
LEARN_S = 10.0
FETCH_TIMEOUT_S = 5.0
# Back-off of a reader while the service is down.
FIRST_BACKOFF_S = 1.0
MAX_BACKOFF_S = 60.0
# Changed names that are remembered, to answer a peer that is behind with changes only.
MAX_REMEMBERED_CHANGES = 4_096
# Problems of a refused revision that are logged.
MAX_LOGGED_PROBLEMS = 20
# Peers that are remembered to be ahead of this daemon.
MAX_SOURCES = 4


@register_message
class AskRevision(msgspec.Struct, frozen=True):
    """Asks a peer for its revisions."""


@register_message
class RevisionReply(msgspec.Struct, frozen=True):
    """Answer to AskRevision."""

    digest: RevisionDigest


@register_message
class FetchConfiguration(msgspec.Struct, frozen=True):
    """Asks for what the sender lacks beyond the revisions it has."""

    have: RevisionDigest


class PackedContent(msgspec.Struct, frozen=True, array_like=True):
    """A Content, compressed if it is large."""

    compressed: bool
    body: bytes


@register_message
class ConfigurationContent(msgspec.Struct, frozen=True):
    """The revision in effect and a refused one above it; None if nothing is lacking."""

    accepted: PackedContent | None = None
    refused: PackedContent | None = None


class ConfigurationSpread:
    """Keeps the published configuration of one daemon up to date.

    ``current`` is the configuration in effect, or None; ``revision`` is its revision
    and ``seen_revision`` the highest one seen, which may be a refused one. ``ready`` is
    set once a configuration is in effect and a sample of peers was asked for theirs.
    """

    def __init__(self, membership, transport, router, source, generator):
        self.current = None
        self.revision = 0
        self.seen_revision = 0
        self.ready = anyio.Event()
        self._membership = membership
        self._transport = transport
        self._generator = generator
        self._reader = ConfigurationReader(source)
        self._refused = None
        # Revision of the last change by (section, name), the latest at the end. Changes
        # since any revision from the floor on can be told from it.
        self._revision_by_change = collections.OrderedDict()
        self._floor = 0
        self._full = None
        self._sources = {}
        self._behind = anyio.Event()
        self._changed = anyio.Event()
        self._listeners = []
        self._source_down = False
        self._stale_revision = None
        router.on_call(AskRevision, self._on_ask)
        router.on_call(FetchConfiguration, self._on_fetch)
        membership.attach_digest(self.digest, self.hear)

    def digest(self):
        return RevisionDigest(self.revision, self.seen_revision)

    def on_change(self, listener):
        """Registers ``listener(configuration, revision)`` for each accepted revision."""
        self._listeners.append(listener)

    async def wait_changed(self, revision):
        """Returns once a revision other than ``revision`` is in effect."""
        while self.revision == revision:
            await self._changed.wait()

    async def run(self):
        # Before the join, the daemon knows no peers that it could ask.
        await self._membership.joined.wait()
        async with anyio.create_task_group() as group:
            group.start_soon(self._fetch_when_behind)
            group.start_soon(self._read_service)
            group.start_soon(self._become_ready)

    # Start

    async def _become_ready(self):
        answered = await self._ask_sample()
        for member, digest in sorted(answered, key=lambda item: item[1], reverse=True):
            if self._lacks(digest):
                await self._fetch_from(member)
        with anyio.move_on_after(LEARN_S):
            await self._wait_current()
        if self.current is None:
            log_event(Event.CONFIGURATION_NOT_LEARNED, peers_asked=len(answered))
        await self._wait_current()
        self.ready.set()

    async def _wait_current(self):
        while self.current is None:
            await self._changed.wait()

    async def _ask_sample(self):
        """Returns (member, digest) of a sample of peers. Some rounds may find none."""
        answered = []
        for _ in range(READY_ROUNDS):
            own_name = self._membership.own_name
            names = [name for name in self._membership.routable() if name != own_name]
            if not names:
                break
            count = min(READY_SAMPLE, len(names))
            async with anyio.create_task_group() as group:
                for name in self._generator.sample(names, count):
                    group.start_soon(self._ask, name, answered)
            if answered:
                break
            await anyio.sleep(READY_ROUND_S)
        return answered

    async def _ask(self, member, answered):
        try:
            reply = await self._transport.call(member, AskRevision(), ASK_TIMEOUT_S)
        except (PeerUnreachable, ServingError):
            return
        answered.append((member, reply.digest))

    # Learning from peers

    def hear(self, member, digest):
        """Notes a peer's revisions, which a ping carried."""
        if self._lacks(digest):
            self._sources.pop(member, None)
            self._sources[member] = digest
            if len(self._sources) > MAX_SOURCES:
                del self._sources[next(iter(self._sources))]
            self._behind.set()

    def _lacks(self, digest):
        return digest.accepted > self.revision or digest.seen > self.seen_revision

    async def _fetch_when_behind(self):
        while True:
            await self._behind.wait()
            self._behind = anyio.Event()
            while self._sources:
                member = max(self._sources, key=self._sources.get)
                if self._lacks(self._sources.pop(member)):
                    await self._fetch_from(member)

    async def _fetch_from(self, member):
        request = FetchConfiguration(self.digest())
        try:
            reply = await self._transport.call(member, request, FETCH_TIMEOUT_S)
            contents = [
                unpack(item.compressed, item.body)
                for item in (reply.accepted, reply.refused)
                if item is not None
            ]
        except (PeerUnreachable, ServingError, msgspec.DecodeError, zlib.error):
            # The next ping of any member that is ahead leads to another attempt.
            return
        for content in contents:
            self._take(content, member)

    async def _on_ask(self, sender, message):
        return RevisionReply(self.digest())

    async def _on_fetch(self, sender, message):
        accepted = refused = None
        if self.revision > message.have.accepted:
            accepted = self._packed_since(message.have.accepted)
        if self._refused is not None and self.seen_revision > message.have.seen:
            refused = PackedContent(*pack(self._refused))
        return ConfigurationContent(accepted, refused)

    def _packed_since(self, base):
        if not 0 < self._floor <= base:
            if self._full is None:
                changes = changes_from_empty(self.current)
                content = Content(self.revision, 0, changes=changes)
                self._full = PackedContent(*pack(content))
            return self._full
        names = [
            name
            for name, _ in itertools.takewhile(
                lambda item: item[1] > base, reversed(self._revision_by_change.items())
            )
        ]
        changes = changes_of(self.current, reversed(names))
        return PackedContent(*pack(Content(self.revision, base, changes=changes)))

    # Reading the service

    def is_reader(self):
        membership = self._membership
        domain = membership.failure_domain
        readers = rendezvous_order(
            f"configuration-reader:{domain}",
            membership.domain_members(domain),
            READERS_PER_DOMAIN,
        )
        return membership.own_name in readers

    async def _read_service(self):
        backoff = FIRST_BACKOFF_S
        while True:
            view_number = self._membership.view_number
            if not self.is_reader():
                await self._membership.wait_changed(view_number)
                continue
            try:
                reading = await self._reader.next_reading()
                if reading is not None:
                    await self._take_reading(reading)
            except SourceUnreachable as error:
                self._note_source_down(error)
                # Jitter keeps the readers from asking in step when it is back.
                await anyio.sleep(backoff * self._generator.uniform(0.5, 1.5))
                backoff = min(2 * backoff, MAX_BACKOFF_S)
                continue
            backoff = FIRST_BACKOFF_S
            self._note_source_back()

    async def _take_reading(self, reading):
        if reading.revision <= self._reader.revision or (
            reading.revision < self.revision
        ):
            self._note_stale(reading.revision)
            self._reader.skip(reading.revision)
            # A stale service that answers each watch at once must not be asked in a
            # tight loop.
            await anyio.sleep(FIRST_BACKOFF_S)
            return
        while True:
            base = self.revision
            content = await self._reader.content(reading, base, self.current)
            if self.revision == base:
                break
        self._take(content, "service")
        self._reader.settle(reading.revision, self.revision == reading.revision)

    def _note_stale(self, revision):
        if revision != self._stale_revision:
            self._stale_revision = revision
            log_event(
                Event.CONFIGURATION_SOURCE_STALE,
                revision=revision,
                in_effect=self.revision,
            )

    def _note_source_down(self, error):
        if not self._source_down:
            self._source_down = True
            log_event(Event.CONFIGURATION_SOURCE_DOWN, detail=str(error))

    def _note_source_back(self):
        if self._source_down:
            self._source_down = False
            log_event(Event.CONFIGURATION_SOURCE_BACK)

    # Taking a revision

    def _take(self, content, origin):
        """Puts a higher revision into effect, or refuses it as a whole."""
        if content.revision <= self.revision or content.base not in (0, self.revision):
            return
        base = self.current if content.base else None
        try:
            configuration = build(base, content)
        except InvalidDocument as error:
            self._refuse(content, error.problems, origin)
            return
        self.current = configuration
        self.revision = content.revision
        self.seen_revision = max(self.seen_revision, content.revision)
        self._refused = None
        self._full = None
        self._remember(content)
        log_event(
            Event.CONFIGURATION_ACCEPTED, revision=content.revision, origin=origin
        )
        for listener in self._listeners:
            listener(configuration, content.revision)
        self._changed.set()
        self._changed = anyio.Event()

    def _refuse(self, content, problems, origin):
        if content.revision <= self.seen_revision:
            return
        self.seen_revision = content.revision
        self._refused = content
        log_event(
            Event.CONFIGURATION_REFUSED,
            revision=content.revision,
            in_effect=self.revision,
            origin=origin,
            problem_count=len(problems),
            problems=[str(problem) for problem in problems[:MAX_LOGGED_PROBLEMS]],
        )

    def _remember(self, content):
        changes = self._revision_by_change
        if not content.base:
            changes.clear()
            self._floor = content.revision
            return
        for name in content.changes.names():
            changes[name] = content.revision
            changes.move_to_end(name)
        while len(changes) > MAX_REMEMBERED_CHANGES:
            _, self._floor = changes.popitem(last=False)
