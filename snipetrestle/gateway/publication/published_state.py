"""Published configuration, replicas and adapter versions from the platform's store.

One task for each prefix of the store reads it and then watches it for changes. A host
that cannot reach the store gets the items from another host. A store that was restored
from an older copy names a higher epoch: its items then replace those of all epochs
before, but for the operator's documents, whose own versions order them.
"""

import contextlib

import anyio

from snipetrestle.events import Event, log_event
from snipetrestle.gateway.configuration import (
    AdapterVersion,
    ReplicaEntry,
    RoutingConfiguration,
)
from snipetrestle.gateway.publication.published_documents import PublishedDocuments
from snipetrestle.gateway.publication.published_items import (
    FeedState,
    HistoryLost,
    Origin,
    PublishedItem,
    StoreItems,
    Unlisted,
    Way,
)
from snipetrestle.gateway.publication.replica_entries import ReplicaEntries
from snipetrestle.publication.sources import SourceUnreachable
from snipetrestle.supervision import call_isolated

MIN_RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 1.0
# For answers without waiting. The store is not said to accept a wait of 0.
SHORTEST_WAIT_S = 0.001


class PublishedState:
    """The newest published state, and the listeners to its changes.

    ``source`` has ``read(prefix)`` and ``watch(prefix, revision, wait_s)``, which
    return StoreItems and raise SourceUnreachable or HistoryLost. ``entry_expiry_s`` is
    the time after which the store removes the entry of a silent replica, and
    ``availability`` the StoreAvailability. ``configuration_applied_at`` is when the
    configuration in force was applied, and ``configuration_apply_s`` how long the event
    loop took to decode and apply the items among which it came; both are None without
    one.
    """

    def __init__(self, source, feeds, replicas, rng, entry_expiry_s, availability):
        self._source = source
        # The StoreRelay, which decides whether this host reads the store.
        self.relay = None
        self._rng = rng
        self.replicas = replicas
        self.feeds = {feed.prefix: FeedState(feed) for feed in feeds}
        self.documents = PublishedDocuments()
        self.configuration_applied_at = None
        self.configuration_apply_s = None
        self.availability = availability
        self._entries = ReplicaEntries(replicas, entry_expiry_s, availability)
        self.ready = anyio.Event()
        self._listeners = []
        self._entry_observers = []

    def on_change(self, listener):
        """Registers ``listener()``, which is called after each change."""
        self._listeners.append(listener)

    def observe_entries(self, observer):
        """Registers an observer of what the store lists, whether or not it is used.

        ``note_entry(entry)`` gets each ReplicaEntry and ``note_unlisted(unlisted)``
        each Unlisted, in the order of their revisions for a replica. After a full read
        of a prefix, ``note_gap(prefix)`` tells that changes before may be missing.
        """
        self._entry_observers.append(observer)

    @property
    def configuration(self):
        return self.documents.configuration

    @property
    def routes(self):
        return self.documents.routes

    @property
    def versions_by_adapter(self):
        return self.documents.versions_by_adapter

    @property
    def backends_by_name(self):
        configuration = self.configuration
        return {} if configuration is None else configuration.backends_by_name

    def newest_positions(self):
        """Returns the position of the newest known item by prefix, for heartbeats."""
        return {prefix: state.newest_position for prefix, state in self.feeds.items()}

    async def follow(self, prefix):
        """Reads one prefix and watches it until cancelled."""
        state = self.feeds[prefix]
        retry_delay_s = MIN_RETRY_DELAY_S
        needs_full_read = True
        while True:
            try:
                if needs_full_read:
                    await self._read(state)
                    needs_full_read = False
                else:
                    await self.relay.wait_until_needed(prefix)
                    await self._watch(state, self.relay.wait_s(state.feed))
                retry_delay_s = MIN_RETRY_DELAY_S
                await anyio.sleep(self.relay.pause_s(state.feed))
            except HistoryLost:
                log_event(
                    Event.STORE_HISTORY_LOST,
                    prefix=prefix,
                    epoch=state.epoch,
                    revision=state.revision,
                )
                needs_full_read = True
            except SourceUnreachable:
                await anyio.sleep(retry_delay_s * (0.5 + self._rng.random()))
                retry_delay_s = min(retry_delay_s * 2, MAX_RETRY_DELAY_S)

    async def _read(self, state):
        store_items = await self._call(state, self._source.read(state.feed.prefix))
        self.replace_items(state.feed.prefix, store_items, Origin(Way.READ))

    async def read_changes(self, prefix):
        """Applies what the store has changed by now, without waiting for more.

        Raises SourceUnreachable or HistoryLost.
        """
        await self._watch(self.feeds[prefix], SHORTEST_WAIT_S)

    async def read_history(self, feed_prefix, prefix, revision):
        """Returns StoreItems: past changes after a revision, which are not applied.

        ``prefix`` is one within that of a feed. Raises SourceUnreachable or
        HistoryLost.
        """
        state = self.feeds[feed_prefix]
        store_items = await self._call(
            state, self._source.watch(prefix, revision, SHORTEST_WAIT_S)
        )
        if store_items.epoch != state.epoch:
            raise HistoryLost
        return store_items

    async def _watch(self, state, wait_s):
        """Applies the next changes. Raises HistoryLost if they are of another epoch.

        Another host's snapshot may have started an epoch while this host waited.
        """
        prefix, base = state.feed.prefix, state.position
        store_items = await self._call(
            state, self._source.watch(prefix, base.revision, wait_s)
        )
        if not base.epoch == store_items.epoch == state.epoch:
            raise HistoryLost
        self.relay.pass_on(prefix, base, store_items)
        self._apply_changes(state, store_items, Origin(Way.WATCH))

    async def _call(self, state, request):
        """Awaits a request to the store, and records whether it was answered.

        An outage is noted before its consequences are applied: entries that expired.
        """
        asked_at = anyio.current_time()
        try:
            store_items = await request
        except SourceUnreachable as error:
            self.availability.note_failure(asked_at)
            self._note_unreachable(state, error)
            raise
        except HistoryLost:
            self.availability.note_answer(asked_at)
            raise
        self.availability.note_answer(asked_at)
        self._note_reachable(state)
        return store_items

    def apply_changes(self, prefix, store_items, host):
        """Applies changes that another ``host`` has read from the store.

        They must follow this host's position.
        """
        origin = Origin(Way.PASSED_ON, host)
        self._apply_changes(self.feeds[prefix], store_items, origin)

    def _apply_changes(self, state, store_items, origin):
        """Applies the changes that are newer than all that was applied before.

        An answer may be late. An entry that it holds may have been deleted since, and
        nothing is known of a deleted key that shows which of the two is newer.
        """
        newer = [item for item in store_items.items if item.revision > state.revision]
        self._apply_items(state, newer, origin)
        state.revision = max(state.revision, store_items.revision)

    @property
    def is_store_reachable(self):
        """Whether the store has answered the latest request about each prefix."""
        return all(state.reachable for state in self.feeds.values())

    def _note_reachable(self, state):
        if state.reachable:
            return
        state.reachable = True
        log_event(
            Event.CONFIGURATION_SOURCE_BACK,
            prefix=state.feed.prefix,
            epoch=state.epoch,
            revision=state.revision,
        )

    def _note_unreachable(self, state, error):
        if state.reachable is False:
            return
        state.reachable = False
        log_event(
            Event.CONFIGURATION_SOURCE_DOWN,
            prefix=state.feed.prefix,
            epoch=state.epoch,
            revision=state.revision,
            error=str(error),
        )

    def is_unreachable(self, prefix):
        """Whether the store has not answered the latest request about a prefix."""
        return not self.feeds[prefix].reachable

    def replace_items(self, prefix, store_items, origin):
        """Replaces all items of a prefix by those of the store or of another host.

        Other known items are deleted. Content of an older position is ignored.
        """
        state = self.feeds[prefix]
        if store_items.position < state.position:
            log_event(
                Event.STORE_CONTENT_IGNORED,
                prefix=prefix,
                epoch=store_items.epoch,
                revision=store_items.revision,
                known_epoch=state.epoch,
                known_revision=state.revision,
            )
            return
        listed_keys = {item.key for item in store_items.items}
        deletions = [
            PublishedItem(key, store_items.revision, None)
            for key in state.items_by_key
            if key not in listed_keys
        ]
        starts_epoch = store_items.epoch > state.epoch
        if starts_epoch:
            self._start_epoch(state, store_items)
        items = [*store_items.items, *deletions]
        self._apply_items(state, items, origin, starts_epoch)
        state.revision = max(state.revision, store_items.revision)
        state.loaded = True
        for observer in self._entry_observers:
            call_isolated(observer.note_gap, prefix)
        self._set_ready_if_loaded()

    def _start_epoch(self, state, store_items):
        """Prepares for the items of a store that has replaced its history.

        As after an outage, replicas that are missing may be about to write again.
        """
        if state.loaded:
            log_event(
                Event.STORE_EPOCH_CHANGED,
                prefix=state.feed.prefix,
                epoch=store_items.epoch,
                revision=store_items.revision,
                known_epoch=state.epoch,
                known_revision=state.revision,
            )
            self._entries.note_epoch_started()
        state.start_epoch(store_items.epoch)

    def snapshot(self, prefix):
        """Returns all known items of a prefix as StoreItems, for another host."""
        state = self.feeds[prefix]
        return StoreItems(
            list(state.items_by_key.values()), state.revision, state.epoch
        )

    def accept_documents(self, items):
        """Accepts the operator's documents that another host knows."""
        known_sum = self.documents.version_sum
        with self._timing_configuration():
            for item in items:
                call_isolated(self._accept_document, item)
            if self.documents.version_sum > known_sum:
                self._notify()

    def _accept_document(self, item):
        for state in self.feeds.values():
            if item.key.startswith(state.feed.prefix):
                self._accept_if_document(state, item)
        self._set_ready_if_loaded()

    def _accept_if_document(self, state, item):
        """Accepts an item that another host takes for a document, if it is a newer one.

        The other host may run a release that decodes items otherwise.
        """
        decoded = self._decode(state, item)
        if isinstance(decoded, (RoutingConfiguration, AdapterVersion)):
            self.documents.accept_if_newer(item, decoded)

    def _decode(self, state, item):
        """Returns a decoded item; None if it cannot be read, or is not used."""
        try:
            return state.feed.decode(item)
        except ValueError as error:
            self._log_unreadable(item, str(error))
            return None

    @contextlib.contextmanager
    def _timing_configuration(self):
        """Notes when a configuration is applied in the context, and how long it took."""
        known, started = self.configuration, anyio.current_time()
        yield
        if self.configuration is not known:
            self.configuration_applied_at = anyio.current_time()
            self.configuration_apply_s = self.configuration_applied_at - started

    def _apply_items(self, state, items, origin, from_copy=False):
        """Applies those of the items that are newer than what is known of their keys."""
        with self._timing_configuration():
            if self._apply_newer_items(state, items, origin, from_copy):
                self._notify()

    def _apply_newer_items(self, state, items, origin, from_copy):
        """Applies items without notifying listeners; returns whether any was newer."""
        changed = False
        for item in items:
            known_item = state.items_by_key.get(item.key)
            if known_item is not None and known_item.revision >= item.revision:
                continue
            state.newest_revision = max(state.newest_revision, item.revision)
            changed = True
            if item.value is None:
                state.items_by_key.pop(item.key, None)
            else:
                state.items_by_key[item.key] = item
            call_isolated(self._apply_item, state, item, origin, from_copy)
        return changed

    def _notify(self):
        for listener in self._listeners:
            call_isolated(listener)

    def _apply_item(self, state, item, origin, from_copy):
        decoded = self._decode(state, item)
        if isinstance(decoded, (RoutingConfiguration, AdapterVersion)):
            self.documents.accept(item, decoded)
            self._set_ready_if_loaded()
        elif isinstance(decoded, ReplicaEntry):
            for observer in self._entry_observers:
                call_isolated(observer.note_entry, decoded)
            if from_copy:
                self._entries.apply_from_copy(decoded, lambda: state.has_current(item))
            else:
                self._entries.apply(decoded)
        elif isinstance(decoded, Unlisted):
            for observer in self._entry_observers:
                call_isolated(observer.note_unlisted, decoded)
            if decoded.reason:
                self._log_unreadable(item, decoded.reason)
            self._entries.unlist(decoded, item.revision, origin)

    def _log_unreadable(self, item, reason):
        log_event(
            Event.ENTRY_UNREADABLE, key=item.key, revision=item.revision, error=reason
        )

    def _set_ready_if_loaded(self):
        loaded = all(state.loaded for state in self.feeds.values())
        if self.configuration is not None and loaded:
            self.ready.set()
