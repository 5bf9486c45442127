"""Hosts in virtual time that share the reading of a store in memory."""

import anyio

from snipetrestle.coordination.membership.heartbeat_content import HeartbeatContent
from snipetrestle.coordination.membership.hosts import Hosts
from snipetrestle.coordination.membership.leadership import Leadership
from snipetrestle.coordination.membership.pause_watch import PauseWatch
from snipetrestle.coordination.messaging.messages import HostInfo
from snipetrestle.coordination.store.store_availability import StoreAvailability
from snipetrestle.coordination.store.store_relay import StoreRelay
from snipetrestle.gateway.publication.published_items import (
    Feed,
    HistoryLost,
    PublishedItem,
    StoreItems,
)
from snipetrestle.gateway.publication.published_state import PublishedState
from snipetrestle.platform.calls import READ_TIMEOUT_S, WATCH_MARGIN_S
from snipetrestle.publication.sources import SourceUnreachable
from snipetrestle_standins.clock import run_in_virtual_time
from snipetrestle_standins.datagram_network import DatagramNetwork, LocalEndpoint
from snipetrestle_standins.order_activity import NoReplicas

HOST_COUNT = 48
DOMAINS = ("zone-1", "zone-2", "zone-3")
APPLY_TIME_S = 3.0
START_S = 8.0
PREFIX = ""
PAUSE_S = 1.5
WAIT_S = 1.5
SILENCE_S = 2.1
EXPIRY_S = 3.0


class Store:
    """A store in memory. Hosts in ``silent`` get no answer, those in ``refused`` one
    at once, and those that are cut off get it once the cut has healed.
    ``calls_by_host`` counts the calls, and ``history`` lists all changes.
    """

    def __init__(self):
        self.items_by_key = {}
        self.history = []
        # The oldest revision that a watch may start from.
        self.history_start = 0
        self.created_revisions = set()
        self.revision = 1
        self.epoch = 1
        self.silent = set()
        self.refused = set()
        self.calls_by_host = {}
        self.changed = anyio.Event()
        self._heals_by_host = {}

    def put(self, key, value=b"1"):
        item = self._change(key, value)
        if key not in self.items_by_key:
            self.created_revisions.add(item.revision)
        self.items_by_key[key] = item
        self._wake_watches()

    def delete(self, key):
        self._change(key, None)
        self.items_by_key.pop(key, None)
        self._wake_watches()

    def _change(self, key, value):
        self.revision += 1
        item = PublishedItem(key, self.revision, value)
        self.history.append(item)
        return item

    def discard_history(self, revision):
        """Discards the changes up to a revision."""
        self.history_start = revision
        self.history = [item for item in self.history if item.revision > revision]

    def cut_off(self, host):
        """Holds up what a host and the store send each other."""
        self._heals_by_host[host] = anyio.Event()

    def heal(self, host):
        self._heals_by_host.pop(host).set()

    async def pass_link(self, host):
        """Returns when bytes can pass between a host and the store."""
        while (heal := self._heals_by_host.get(host)) is not None:
            await heal.wait()

    def _wake_watches(self):
        self.changed.set()
        self.changed = anyio.Event()

    def restore(self, items_by_key, revision):
        """Goes back to older items; revisions after theirs are given out again."""
        self.epoch += 1
        self.items_by_key = dict(items_by_key)
        self.history = list(self.items_by_key.values())
        self.revision = revision
        self._wake_watches()


class Source:
    """One host's connection to the Store."""

    def __init__(self, store, name):
        self._store = store
        self._name = name

    async def _call(self):
        calls = self._store.calls_by_host
        calls[self._name] = calls.get(self._name, 0) + 1
        if self._name in self._store.refused:
            raise SourceUnreachable("refused")
        await anyio.sleep(0.004)
        if self._name in self._store.silent:
            await anyio.sleep(SILENCE_S)
            raise SourceUnreachable("silent")

    async def read(self, prefix):
        with anyio.move_on_after(READ_TIMEOUT_S):
            await self._call()
            store = self._store
            await store.pass_link(self._name)
            answer = StoreItems(
                list(store.items_by_key.values()), store.revision, store.epoch
            )
            await store.pass_link(self._name)
            return answer
        raise SourceUnreachable("no answer")

    async def watch(self, prefix, revision, wait_s):
        with anyio.move_on_after(wait_s + WATCH_MARGIN_S):
            await self._store.pass_link(self._name)
            answer = await self._watch(prefix, revision, wait_s)
            await self._store.pass_link(self._name)
            return answer
        raise SourceUnreachable("no answer")

    async def _watch(self, prefix, revision, wait_s):
        await self._call()
        with anyio.move_on_after(wait_s):
            while self._store.revision == revision:
                await self._store.changed.wait()
        if self._name in self._store.silent:
            await anyio.sleep(SILENCE_S)
            raise SourceUnreachable("silent")
        store = self._store
        if not store.history_start <= revision <= store.revision:
            raise HistoryLost
        items = [
            item
            for item in store.history
            if item.revision > revision and item.key.startswith(prefix)
        ]
        created_revisions = frozenset(store.created_revisions)
        return StoreItems(items, store.revision, store.epoch, created_revisions)


class FixedRandom:
    def random(self):
        return 0.5


class Member:
    """One host that reads the store or gets its changes from others."""

    def __init__(self, system, number):
        self.name = f"entry-{number}"
        address = ("127.0.0.1", number)
        self.endpoint = LocalEndpoint(system.network, self.name, address)
        domain = DOMAINS[number % len(DOMAINS)]
        info = HostInfo(self.name, number, *address, domain, 1.0)
        content = HeartbeatContent()
        seeds = tuple(("127.0.0.1", seed) for seed in (1, 2, 3))
        self.hosts = Hosts(info, seeds, self.endpoint, content)
        self.leadership = Leadership(self.hosts, 3.0, self.has_ended, NoReplicas())
        feed = Feed(PREFIX, lambda item: None, PAUSE_S, WAIT_S)
        source = Source(system.store, self.name)
        self.pause_watch = PauseWatch()
        self.availability = StoreAvailability.from_feeds(
            (feed,), self.name, EXPIRY_S, self.pause_watch
        )
        self.state = PublishedState(
            source, (feed,), None, FixedRandom(), EXPIRY_S, self.availability
        )
        self.relay = StoreRelay(
            self.state, self.hosts, self.leadership, self.endpoint, APPLY_TIME_S
        )
        self.state.relay = self.relay
        content.connect(self.leadership, self.state, self.relay)
        self.scope = anyio.CancelScope()

    async def has_ended(self, host):
        return False

    @property
    def revision(self):
        return self.state.feeds[PREFIX].newest_revision

    @property
    def position(self):
        return self.state.feeds[PREFIX].newest_position

    async def run(self):
        with self.scope:
            async with anyio.create_task_group() as group:
                group.start_soon(self.hosts.run)
                group.start_soon(self.leadership.run)
                group.start_soon(self.state.follow, PREFIX)
                group.start_soon(self.pause_watch.run)

    def stop(self):
        self.endpoint.up = False
        self.scope.cancel()


class System:
    """A store, and hosts of which few read it."""

    def __init__(self):
        self.network = DatagramNetwork()
        self.store = Store()
        self.members = []

    @property
    def leader(self):
        (leader,) = [item for item in self.members if item.leadership.leads]
        return leader

    def readers(self, domain):
        """Returns the members that are appointed as readers of a domain."""
        names = self.leader.relay.appoint_readers()[domain]
        return [member for member in self.members if member.name in names]

    def followers(self, domain):
        readers = self.readers(domain)
        return [
            member
            for member in self.members
            if member.hosts.own.failure_domain == domain
            and member not in readers
            and not member.leadership.leads
        ]

    async def time_to_apply(self, members):
        """Changes the store; returns the seconds until all ``members`` have it."""
        self.store.put("op/config")
        started = anyio.current_time()
        while any(member.revision < self.store.revision for member in members):
            await anyio.sleep(0.02)
            if anyio.current_time() - started > 20:
                return 20
        return anyio.current_time() - started


def run_system(function, host_count=HOST_COUNT):
    """Runs ``function(system)`` once the hosts know each other."""

    async def main():
        system = System()
        system.store.put("op/config")
        async with anyio.create_task_group() as group:
            system.network.task_group = group
            for number in range(1, host_count + 1):
                member = Member(system, number)
                system.members.append(member)
                group.start_soon(member.run)
            await anyio.sleep(START_S)
            await function(system)
            group.cancel_scope.cancel()

    run_in_virtual_time(main)
