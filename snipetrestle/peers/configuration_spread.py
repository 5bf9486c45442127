"""Distribution of the published configuration among the daemons.

Two daemons in each failure domain watch the configuration service. Pings carry the
revisions, and a daemon that is behind fetches the changes once from a peer that
announced a higher revision. A revision in effect is only ever replaced by a higher one.
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
    RevisionContent,
    build_configuration,
    changes_from_empty,
    changes_of,
    pack,
    unpack,
)
from snipetrestle.peers.configuration_reader import ConfigurationReader
from snipetrestle.peers.membership_messages import RevisionDigest
from snipetrestle.peers.messages import register_message
from snipetrestle.peers.transport import PeerUnreachable
from snipetrestle.publication.sources import SourceUnreachable, Unchanged

# Readers in each failure domain, so that one may fail without an interruption.
READERS_PER_DOMAIN = 2
# Number of peers that a starting daemon asks for their revision, and maximum number of
# attempts while none answers.
STARTUP_SAMPLE_SIZE = 5
STARTUP_SAMPLE_ROUNDS = 3
STARTUP_ROUND_INTERVAL_S = 1.0
ASK_REVISION_TIMEOUT_S = 1.0
# A daemon that has no configuration for this long after asking its peers logs an event.
FIRST_CONFIGURATION_WARNING_S = 10.0
FETCH_TIMEOUT_S = 5.0
# Back-off of a reader while the service is unreachable.
FIRST_BACKOFF_S = 1.0
MAX_BACKOFF_S = 60.0
# Maximum number of changed names that are kept to send only the changes to a peer that
# is behind.
MAX_REMEMBERED_CHANGES = 4_096
# Maximum number of problems of a refused revision in its log line.
MAX_LOGGED_PROBLEMS = 20
# Maximum number of peers with a higher revision that are kept as sources of a fetch.
MAX_PEERS_AHEAD = 4


@register_message
class AskRevision(msgspec.Struct, frozen=True):
    """Requests a peer's revisions."""


@register_message
class RevisionReply(msgspec.Struct, frozen=True):
    """Answer to AskRevision."""

    digest: RevisionDigest


@register_message
class FetchConfiguration(msgspec.Struct, frozen=True):
    """Requests the revisions above those that the sender has."""

    have: RevisionDigest


class PackedContent(msgspec.Struct, frozen=True, array_like=True):
    """An encoded RevisionContent, compressed if it is large."""

    compressed: bool
    body: bytes


@register_message
class ConfigurationContent(msgspec.Struct, frozen=True):
    """The revision in effect and a refused one above it.

    Each is None if the requesting daemon has it already or there is none.
    """

    accepted: PackedContent | None = None
    refused: PackedContent | None = None


class ConfigurationSync:
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
        # Revision of the last change by (section, name), the latest at the end. It
        # holds all changes since each revision from _oldest_known_base on.
        self._revision_by_changed_name = collections.OrderedDict()
        self._oldest_known_base = 0
        self._packed_full_content = None
        self._digests_by_peer_ahead = {}
        self._peer_ahead = anyio.Event()
        self._changed = anyio.Event()
        self._listeners = []
        self._is_source_down = False
        self._logged_stale_revision = None
        router.on_call(AskRevision, self._on_ask_revision)
        router.on_call(FetchConfiguration, self._on_fetch_configuration)
        membership.attach_digest(self.digest, self.note_peer_digest)

    def digest(self):
        """Returns the RevisionDigest that pings carry."""
        return RevisionDigest(self.revision, self.seen_revision)

    def on_change(self, listener):
        """Calls ``listener(configuration, revision)`` for each accepted revision."""
        self._listeners.append(listener)

    async def wait_changed(self, revision):
        """Returns once a revision other than ``revision`` is in effect."""
        while self.revision == revision:
            await self._changed.wait()

    async def run(self):
        # Before the join, the daemon knows no peers to ask.
        await self._membership.joined.wait()
        async with anyio.create_task_group() as group:
            group.start_soon(self._fetch_when_behind)
            group.start_soon(self._read_service)
            group.start_soon(self._become_ready)

    # Startup

    async def _become_ready(self):
        answered = await self._ask_sample()
        for member, digest in sorted(answered, key=lambda item: item[1], reverse=True):
            if self._is_behind(digest):
                await self._fetch_from(member)
        with anyio.move_on_after(FIRST_CONFIGURATION_WARNING_S):
            await self._wait_configured()
        if self.current is None:
            log_event(Event.CONFIGURATION_NOT_LEARNED, peers_asked=len(answered))
        await self._wait_configured()
        self.ready.set()

    async def _wait_configured(self):
        while self.current is None:
            await self._changed.wait()

    async def _ask_sample(self):
        """Returns (member, digest) pairs of the peers of a random sample that answered.

        The list is empty if no peer answered in any round or no other member is known.
        """
        answered = []
        for _ in range(STARTUP_SAMPLE_ROUNDS):
            own_name = self._membership.own_name
            names = [name for name in self._membership.routable() if name != own_name]
            if not names:
                break
            count = min(STARTUP_SAMPLE_SIZE, len(names))
            async with anyio.create_task_group() as group:
                for name in self._generator.sample(names, count):
                    group.start_soon(self._ask_peer_revision, name, answered)
            if answered:
                break
            await anyio.sleep(STARTUP_ROUND_INTERVAL_S)
        return answered

    async def _ask_peer_revision(self, member, answered):
        try:
            reply = await self._transport.call(
                member, AskRevision(), ASK_REVISION_TIMEOUT_S
            )
        except (PeerUnreachable, ServingError):
            return
        answered.append((member, reply.digest))

    # Fetching from peers

    def note_peer_digest(self, member, digest):
        """Records a peer's revisions, which a ping carried, if they are higher."""
        if self._is_behind(digest):
            self._digests_by_peer_ahead.pop(member, None)
            self._digests_by_peer_ahead[member] = digest
            if len(self._digests_by_peer_ahead) > MAX_PEERS_AHEAD:
                del self._digests_by_peer_ahead[next(iter(self._digests_by_peer_ahead))]
            self._peer_ahead.set()

    def _is_behind(self, digest):
        return digest.accepted > self.revision or digest.seen > self.seen_revision

    async def _fetch_when_behind(self):
        while True:
            await self._peer_ahead.wait()
            self._peer_ahead = anyio.Event()
            while self._digests_by_peer_ahead:
                member = max(
                    self._digests_by_peer_ahead, key=self._digests_by_peer_ahead.get
                )
                if self._is_behind(self._digests_by_peer_ahead.pop(member)):
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
            # The next ping of any member with a higher revision triggers a new attempt.
            return
        for content in contents:
            self._apply_content(content, member)

    async def _on_ask_revision(self, sender, message):
        return RevisionReply(self.digest())

    async def _on_fetch_configuration(self, sender, message):
        accepted = refused = None
        if self.revision > message.have.accepted:
            accepted = self._packed_since(message.have.accepted)
        if self._refused is not None and self.seen_revision > message.have.seen:
            refused = PackedContent(*pack(self._refused))
        return ConfigurationContent(accepted, refused)

    def _packed_since(self, base):
        """Returns the changes since revision ``base``, or the whole configuration."""
        if not 0 < self._oldest_known_base <= base:
            if self._packed_full_content is None:
                changes = changes_from_empty(self.current)
                content = RevisionContent(self.revision, 0, changes=changes)
                self._packed_full_content = PackedContent(*pack(content))
            return self._packed_full_content
        names = [
            name
            for name, _ in itertools.takewhile(
                lambda item: item[1] > base,
                reversed(self._revision_by_changed_name.items()),
            )
        ]
        changes = changes_of(self.current, reversed(names))
        return PackedContent(
            *pack(RevisionContent(self.revision, base, changes=changes))
        )

    # Reading the service

    def is_reader(self):
        """Tells whether this daemon reads the service for its failure domain."""
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
                if isinstance(reading, Unchanged):
                    self._note_unchanged(reading.revision)
                else:
                    await self._apply_reading(reading)
            except SourceUnreachable as error:
                self._log_source_down(error)
                # Jitter keeps the readers from retrying all at the same time.
                await anyio.sleep(backoff * self._generator.uniform(0.5, 1.5))
                backoff = min(2 * backoff, MAX_BACKOFF_S)
                continue
            backoff = FIRST_BACKOFF_S
            self._log_source_back()

    def _note_unchanged(self, revision):
        """Logs a service that names an older revision than the one in effect.

        A service that was restored from a copy does not show in its readings: it has
        none above the revision that is waited for.
        """
        if revision is not None and revision < self.revision:
            self._log_stale_service(revision)

    async def _apply_reading(self, reading):
        if reading.revision <= self._reader.revision or (
            reading.revision < self.revision
        ):
            self._log_stale_service(reading.revision)
            self._reader.skip_to(reading.revision)
            # Avoids a busy loop with a stale service that answers each watch at once.
            await anyio.sleep(FIRST_BACKOFF_S)
            return
        while True:
            base = self.revision
            content = await self._reader.content(reading, base, self.current)
            if self.revision == base:
                break
        self._apply_content(content, "service")
        self._reader.note_result(reading.revision, self.revision == reading.revision)

    def _log_stale_service(self, revision):
        if revision != self._logged_stale_revision:
            self._logged_stale_revision = revision
            log_event(
                Event.CONFIGURATION_SOURCE_STALE,
                revision=revision,
                in_effect=self.revision,
            )

    def _log_source_down(self, error):
        if not self._is_source_down:
            self._is_source_down = True
            log_event(Event.CONFIGURATION_SOURCE_DOWN, detail=str(error))

    def _log_source_back(self):
        if self._is_source_down:
            self._is_source_down = False
            log_event(Event.CONFIGURATION_SOURCE_BACK)

    # Applying a revision

    def _apply_content(self, content, origin):
        """Applies a higher revision, or refuses it as a whole if it is invalid.

        Contents that are not newer or have another base are ignored. ``origin`` is the
        member that sent it, or "service".
        """
        if content.revision <= self.revision or content.base not in (0, self.revision):
            return
        base = self.current if content.base else None
        try:
            configuration = build_configuration(base, content)
        except InvalidDocument as error:
            self._refuse_content(content, error.problems, origin)
            return
        self.current = configuration
        self.revision = content.revision
        self.seen_revision = max(self.seen_revision, content.revision)
        self._refused = None
        self._packed_full_content = None
        self._record_changes(content)
        log_event(
            Event.CONFIGURATION_ACCEPTED, revision=content.revision, origin=origin
        )
        for listener in self._listeners:
            listener(configuration, content.revision)
        self._changed.set()
        self._changed = anyio.Event()

    def _refuse_content(self, content, problems, origin):
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

    def _record_changes(self, content):
        changes = self._revision_by_changed_name
        if not content.base:
            changes.clear()
            self._oldest_known_base = content.revision
            return
        for name in content.changes.names():
            changes[name] = content.revision
            changes.move_to_end(name)
        while len(changes) > MAX_REMEMBERED_CHANGES:
            _, self._oldest_known_base = changes.popitem(last=False)
