"""Decides which hosts read the platform's store, and passes changes on to the others.

Calls to the store have a price, and their rate is limited for all hosts together. Among
many hosts the leader appoints a few readers in each failure domain. Each change is sent
at once to the other hosts of the domain, to each of them by two readers. Any other
host reads by itself as soon as its readers are silent, have lost the store, or know
more than it does; so a host that is cut off from its readers, but not from the store,
still learns of changes in time.
"""

import math

import anyio

from snipetrestle.coordination.messaging.messages import (
    MAX_CHANGES_BYTES,
    MAX_READERS,
    Changes,
    pack_items,
    unpack_items,
)
from snipetrestle.events import Event, log_event
from snipetrestle.gateway.publication.published_items import StoreItems
from snipetrestle.hashing import host_score

# Each host gets the changes from this many readers, so that it can lose one.
READERS_PER_HOST = 2
# A reader sends changes to about READERS_PER_HOST times this many hosts.
HOSTS_PER_READER = 16
# A reader pauses for this long after each change, so that changes come in batches.
READER_PAUSE_S = 0.5
# How long the store may hold a reader's watch open. Only the end of a watch shows a
# reader that the store is silent.
READER_WAIT_S = 0.75
# A reader that was not heard from for this long does not count.
READER_TIMEOUT_S = 1.2
# A host reads by itself if it has not got a change this long after it heard of it.
BEHIND_TIMEOUT_S = 0.3
CHECK_INTERVAL_S = 0.25
# With a shorter time to apply changes, a host that loses its readers would be late: it
# waits for the end of a reader's watch, the reader's next heartbeat and its own read.
MIN_APPLY_TIME_S = 2.5
# A reader that loses the store is replaced after this time.
READER_LOSS_TIMEOUT_S = 2.5


class StoreRelay:
    """This host's part in reading the store.

    ``apply_time_s`` is the time within which changes must be applied on each host.
    """

    def __init__(self, state, hosts, leadership, endpoint, apply_time_s):
        self._state = state
        self._hosts = hosts
        self._leadership = leadership
        self._endpoint = endpoint
        self._may_relay = apply_time_s >= MIN_APPLY_TIME_S
        self.reader_names = ()
        self._appointed_by_domain = {}
        self._appointed_at_by_name = {}
        self._behind_since_by_prefix = {}
        self._hears_reader = False
        hosts.on_heartbeat(self._note_access)
        hosts.on_heartbeat(self._on_heartbeat)
        endpoint.register(Changes, self._on_changes)

    @property
    def is_reader(self):
        """Whether this host passes changes of the store on."""
        if self._leadership.leads:
            return True
        return self._hosts.is_large and self._hosts.own.name in self.reader_names

    def pause_s(self, feed):
        """Returns the pause between two reads of the store."""
        return min(feed.pause_s, READER_PAUSE_S) if self.is_reader else feed.pause_s

    def wait_s(self, feed):
        """Returns how long the store may hold a watch open."""
        return min(feed.wait_s, READER_WAIT_S) if self.is_reader else feed.wait_s

    async def wait_until_needed(self, prefix):
        """Returns once this host must read a prefix of the store by itself."""
        # Readers fail silently, so no event tells when one is missing.
        while not self._must_read(prefix):  # noqa: ASYNC110
            await anyio.sleep(CHECK_INTERVAL_S)

    def _must_read(self, prefix):
        if not self._may_relay or not self._hosts.is_large or self.is_reader:
            return True
        if not self._leadership.has_recent_leader:
            return True
        readers = self._working_readers(prefix)
        self._note_hears_reader(bool(readers))
        if not readers:
            return True
        return self._is_behind(prefix, readers)

    def _note_hears_reader(self, hears_reader):
        if hears_reader == self._hears_reader:
            return
        self._hears_reader = hears_reader
        event = Event.READERS_BACK if hears_reader else Event.READERS_LOST
        log_event(event, readers=self.reader_names)

    def _working_readers(self, prefix):
        """Returns the known readers of this domain that can read the store.

        A reader in an earlier epoch of the store than this host has nothing to pass on.
        """
        epoch = self._state.feeds[prefix].epoch
        since = anyio.current_time() - READER_TIMEOUT_S
        hosts = [self._hosts.by_name.get(name) for name in self.reader_names]
        return [
            host
            for host in hosts
            if host is not None
            and host.heard_at is not None
            and host.heard_at >= since
            and host.heartbeat.reads_store
            and not host.heartbeat.leaving
            and host.heartbeat.newest_position(prefix).epoch >= epoch
        ]

    def _is_behind(self, prefix, readers):
        """Whether a reader has had newer items than this host for a while."""
        newest = max(host.heartbeat.newest_position(prefix) for host in readers)
        if newest <= self._state.feeds[prefix].newest_position:
            self._behind_since_by_prefix.pop(prefix, None)
            return False
        now = anyio.current_time()
        since = self._behind_since_by_prefix.setdefault(prefix, now)
        return now - since >= BEHIND_TIMEOUT_S

    def _note_access(self, heartbeat):
        self._state.availability.note_access(
            heartbeat.sender.name, heartbeat.store_access
        )

    def _on_heartbeat(self, heartbeat):
        if heartbeat.sender.name != self._leadership.leader:
            return
        if heartbeat.leader != self._leadership.leader:
            return
        if heartbeat.is_announcement and heartbeat.readers != self.reader_names:
            self.reader_names = heartbeat.readers
            log_event(Event.READERS_CHANGED, readers=self.reader_names)

    # The part of the leader.

    def appoint_readers(self):
        """Returns the names of the readers by failure domain, chosen by the leader.

        Readers stay in office while they reach the store, so that their hosts know
        them.
        """
        hosts_by_domain = {}
        for host in self._hosts.reachable_staying():
            hosts_by_domain.setdefault(host.info.failure_domain, []).append(host)
        self._appointed_by_domain = {
            domain: self._appoint(domain, hosts)
            for domain, hosts in hosts_by_domain.items()
        }
        return self._appointed_by_domain

    def _appoint(self, domain, hosts):
        """Returns the readers of one domain, which has the reachable ``hosts``."""
        now = anyio.current_time()
        suitable = {
            host.info.name: host for host in hosts if self._is_suitable(host, now)
        }
        kept = [
            name
            for name in self._appointed_by_domain.get(domain, ())
            if name in suitable
        ]
        others = [host for name, host in suitable.items() if name not in kept]
        others.sort(key=lambda host: (-host.info.size, host.info.name))
        wanted = max(READERS_PER_HOST, math.ceil(len(hosts) / HOSTS_PER_READER))
        wanted = min(wanted, MAX_READERS)
        added = [host.info.name for host in others[: max(0, wanted - len(kept))]]
        for name in added:
            self._appointed_at_by_name[name] = now
        return tuple(kept + added)

    def _is_suitable(self, host, now):
        """Whether a host reaches the store, or was appointed too recently to tell."""
        if host.heartbeat.reads_store:
            return True
        appointed_at = self._appointed_at_by_name.get(host.info.name)
        return appointed_at is not None and now - appointed_at < READER_LOSS_TIMEOUT_S

    # Passing changes on.

    def hosts_read_for(self):
        """Returns the hosts to which this one passes changes of the store on.

        Among few hosts, all read the store, but the leader does so more often.
        """
        if not self._hosts.is_large:
            is_leader = self._leadership.leads
            return list(self._hosts.by_name.values()) if is_leader else []
        own_name = self._hosts.own.name
        if own_name not in self.reader_names:
            return []
        return [
            host
            for host in self._hosts.hosts_of_own_domain()
            if own_name in readers_of(host.info.name, self.reader_names)
        ]

    def pass_on(self, prefix, base, changes):
        """Sends the changes after a StorePosition to the hosts this one reads for."""
        if not self.is_reader or not changes.items:
            return
        content = pack_items(changes.items)
        if len(content) > MAX_CHANGES_BYTES:
            return
        message = Changes(
            prefix,
            base.revision,
            changes.revision,
            self._state.availability.own_access(),
            content,
            base.epoch,
        )
        self._endpoint.send_all(
            message, [host.address for host in self.hosts_read_for()]
        )

    def _on_changes(self, message, address):
        feed_state = self._state.feeds.get(message.prefix)
        if feed_state is None or not feed_state.loaded:
            return
        if message.epoch != feed_state.epoch or message.base > feed_state.position:
            return
        try:
            items = unpack_items(message.content)
        except ValueError:
            # The next heartbeat of the reader shows that this host is behind.
            return
        sender = self._hosts.name_at(address)
        # The changes may contain entries that expired in an outage.
        self._state.availability.note_access(sender, message.store_access)
        self._state.apply_changes(
            message.prefix,
            StoreItems(items, message.revision, message.epoch),
            sender,
        )


def readers_of(host_name, reader_names):
    """Returns the readers that pass changes on to a host, by rendezvous hashing."""

    def score(reader_name):
        return host_score(reader_name, host_name)

    return sorted(reader_names, key=score)[-READERS_PER_HOST:]
