"""Membership: members of the host list, failure detection and gossip of updates.

Failure detection follows SWIM (A. Das, I. Gupta, A. Motivala, 2002): in each period a
member pings one other; if that does not answer, a few others are asked to ping it;
then it is suspected, and failed if it does not refute in time. Failed members on the
host list are still pinged, so both sides of a healed partition find each other.
"""

import collections
import math
import time

import anyio
import msgspec

from snipetrestle.codes import ServingError
from snipetrestle.events import Event, log_event
from snipetrestle.peers.member_entry import MemberEntry
from snipetrestle.peers.members import Incarnation, Member, MemberState
from snipetrestle.peers.membership_messages import (
    Health,
    Join,
    JoinReply,
    MemberMetadata,
    MemberUpdate,
    Ping,
    PingReply,
    PingRequest,
    PingRequestReply,
    RevisionDigest,
)
from snipetrestle.peers.probe_order import ProbeOrder
from snipetrestle.peers.transport import PeerUnreachable
from snipetrestle.peers.updates import UpdateQueue
from snipetrestle.publication.sources import HostState, SourceUnreachable

# Number of random bits of an incarnation, in addition to the clock.
INCARNATION_BITS = 32
# Number of members whose state each ping repeats in turn, although it is not new. This
# repairs the view of a member that missed an update, at 330 members within about a
# minute.
REFRESHED_MEMBERS_PER_PING = 4
# Number of members that are asked to ping one that does not answer.
INDIRECT_PROBES = 3
# Maximum number of members and seeds that a starting daemon asks for the last
# incarnation of its name.
MAX_JOIN_CONTACTS = 5
JOIN_ATTEMPTS = 3
# Maximum number of members in the reply to a starting daemon, about 4 KB.
MAX_JOIN_REPLY_MEMBERS = 64
# Number of members that are notified directly when this daemon leaves.
LEAVE_NOTICE_COUNT = 3
# ``report_unreachable`` starts no probe while this many are running.
MAX_URGENT_PROBES = 8
# Maximum number of gone members whose incarnation numbers are kept.
MAX_REMEMBERED_GONE_MEMBERS = 1_024


class MembershipTimes(msgspec.Struct, frozen=True):
    """Intervals and timeouts of failure detection, in seconds.

    Pings are ``period_s`` apart, or ``backlog_period_s`` while more updates are queued
    than fit into one ping.

    A suspicion lasts ``suspicion_s`` plus ``suspicion_per_doubling_s`` for each
    doubling of the fleet size, since suspicion and refutation need logarithmic time to
    reach all members.
    """

    period_s: float = 1.0
    backlog_period_s: float = 0.5
    ping_timeout_s: float = 0.5
    suspicion_s: float = 3.0
    suspicion_per_doubling_s: float = 0.6
    host_list_interval_s: float = 1.0


class Membership:
    """MembershipView that is maintained by pings and the host list.

    ``superseded`` is set once a later incarnation of the own name is known: another
    daemon runs under this name, or this one started with a clock that had run backwards
    while no reachable member knew the higher number. The application then stops and
    starts again. ``joined`` is set once the own incarnation is final.
    """

    def __init__(
        self,
        own_name,
        own_metadata,
        transport,
        router,
        host_list,
        generator,
        *,
        seeds=(),
        times=None,
        wall_clock_ns=time.time_ns,
    ):
        self.own_name = own_name
        self.view_number = 0
        self.superseded = anyio.Event()
        self.joined = anyio.Event()
        self._own_metadata = own_metadata
        self._transport = transport
        self._host_list = host_list
        self._generator = generator
        self._seeds = tuple(seeds)
        self._times = times or MembershipTimes()
        self._wall_clock_ns = wall_clock_ns
        self._sequence = 0
        self._leaving = False
        self._entries_by_name = {}
        self._gone_numbers_by_name = collections.OrderedDict()
        self._suspected_names = {}
        self._updates = UpdateQueue()
        self._refresh_order = []
        self._probe_order = ProbeOrder(generator)
        self._probed_names = set()
        self._group = None
        self._changed = anyio.Event()
        self._routable_by_region = {}
        self._listed_live_count = 0
        self._host_list_revision = 0
        self._host_list_down = False
        self._last_expiry_check = None
        self._own_digest = RevisionDigest
        self._on_digest = lambda member, digest: None
        self._has_open_calls = lambda member: False
        self._drop_connection = None
        self._last_heard = lambda member: -math.inf
        self.own_incarnation = self._new_incarnation(0)
        router.on_call(Ping, self._on_ping)
        router.on_call(PingRequest, self._on_ping_request)
        router.on_call(Join, self._on_join)

    @classmethod
    def from_settings(cls, settings, transport, router, host_list, generator):
        daemon = settings.daemon
        metadata = MemberMetadata(
            settings.listen.peers, daemon.failure_domain, daemon.region, daemon.size
        )
        times = MembershipTimes(
            host_list_interval_s=settings.platform.host_list_interval_s
        )
        return cls(
            daemon.name,
            metadata,
            transport,
            router,
            host_list,
            generator,
            seeds=settings.seeds,
            times=times,
        )

    def attach_digest(self, own_digest, on_digest):
        """Makes pings carry the revisions of the published configuration.

        ``own_digest()`` returns the own RevisionDigest; ``on_digest(member, digest)``
        is called with that of each ping and reply.
        """
        self._own_digest = own_digest
        self._on_digest = on_digest

    def attach_connections(self, in_use, drop, last_heard=lambda member: -math.inf):
        """Enables ending the calls to a member that does not answer.

        A suspicion by another member triggers a probe if ``in_use(member)``, that is,
        if calls to the member are open. ``await drop(member)`` is called once the own
        probes have failed or the member counts as failed. ``last_heard(member)`` is the
        time of its last message of any kind, in seconds of the event loop's clock.
        """
        self._has_open_calls = in_use
        self._drop_connection = drop
        self._last_heard = last_heard

    # View

    def routable(self, region=None):
        """Returns sizes by name of members that may get new work.

        The result is cached and must not be modified.
        """
        sizes = self._routable_by_region.get(region)
        if sizes is None:
            sizes = {
                name: entry.metadata.size
                for name, entry in self._entries_by_name.items()
                if entry.state in (MemberState.ALIVE, MemberState.SUSPECTED)
                and (region is None or entry.metadata.region == region)
            }
            if not self._leaving and region in (None, self._own_metadata.region):
                sizes[self.own_name] = self._own_metadata.size
            self._routable_by_region[region] = sizes
        return sizes

    def get(self, name):
        if name == self.own_name:
            return self._own_member()
        entry = self._entries_by_name.get(name)
        return None if entry is None else entry.member()

    def members(self):
        """Returns all known members, the own one first."""
        others = [entry.member() for entry in self._entries_by_name.values()]
        return [self._own_member(), *others]

    def listed_count(self):
        return max(1, self._listed_live_count)

    def address_of(self, name):
        """Returns the address for peers of a member, or None."""
        entry = self._entries_by_name.get(name)
        return None if entry is None else entry.metadata.address

    def domain_members(self, failure_domain):
        """Returns sizes by name of the routable members of a failure domain."""
        sizes = {}
        for name, size in self.routable().items():
            metadata = self._own_metadata
            if name != self.own_name:
                metadata = self._entries_by_name[name].metadata
            if metadata.failure_domain == failure_domain:
                sizes[name] = size
        return sizes

    @property
    def failure_domain(self):
        return self._own_metadata.failure_domain

    async def wait_changed(self, view_number):
        while self.view_number == view_number:
            await self._changed.wait()

    def report_unreachable(self, name):
        """Starts a probe of a member that did not answer, unless one is running."""
        if (
            self._group is not None
            and name in self._entries_by_name
            and name not in self._probed_names
            and len(self._probed_names) < MAX_URGENT_PROBES
        ):
            self._group.start_soon(self._probe, name)

    # Lifecycle

    async def join(self):
        """Reads the host list and chooses an incarnation above any that peers know."""
        await self._refresh_host_list()
        for _ in range(JOIN_ATTEMPTS):
            contacts = self._join_contacts()
            replies = []
            async with anyio.create_task_group() as group:
                for contact in contacts:
                    group.start_soon(self._ask_to_join, contact, replies)
            if replies or not contacts:
                break
            await anyio.sleep(self._times.period_s)
        known_number = max(
            [self._gone_numbers_by_name.get(self.own_name, 0)]
            + [reply.number for _, reply in replies]
        )
        if known_number >= self.own_incarnation.number:
            self.own_incarnation = self._new_incarnation(known_number)
        self.joined.set()
        for contact, reply in replies:
            self._merge_received(reply.own, reply.updates)
            self._on_digest(reply.own.name or contact, reply.digest)
        self._updates.put(self._own_update())

    async def run(self):
        """Joins if necessary, then detects failures until cancelled or superseded."""
        if not self.joined.is_set():
            await self.join()
        async with anyio.create_task_group() as group:
            self._group = group
            try:
                group.start_soon(self._poll_host_list)
                group.start_soon(self._run_probes)
                await self.superseded.wait()
                group.cancel_scope.cancel()
            finally:
                self._group = None

    async def leave(self):
        """Announces a planned stop, after which this daemon gets no new work."""
        self._leaving = True
        self._sequence += 1
        self._updates.put(self._own_update())
        self._notify_view_change()
        async with anyio.create_task_group() as group:
            for name in self._sample(LEAVE_NOTICE_COUNT):
                group.start_soon(self._ping, name)

    # Probing

    async def _run_probes(self):
        while True:
            period = self._times.period_s
            if self._updates.exceeds_one_ping:
                period = self._times.backlog_period_s
            # Jitter keeps daemons that started together from pinging simultaneously.
            await anyio.sleep(period * self._generator.uniform(0.9, 1.1))
            self._expire_suspicions()
            name = self._probe_order.next_name(self._entries_by_name)
            if name is not None and name not in self._probed_names:
                self._group.start_soon(self._probe, name)

    async def _probe(self, name):
        self._probed_names.add(name)
        try:
            start = anyio.current_time()
            if await self._ping(name):
                return
            entry = self._entries_by_name.get(name)
            if entry is None or not self._needs_indirect_probe(entry):
                return
            relays = self._sample(INDIRECT_PROBES, without=name)
            found = anyio.Event()
            async with anyio.create_task_group() as group:
                for relay in relays:
                    group.start_soon(
                        self._request_indirect_ping, relay, name, found, group
                    )
            if found.is_set():
                return
            max_duration_s = 4 * self._times.ping_timeout_s + self._times.period_s
            if anyio.current_time() - start > max_duration_s:
                # This daemon itself was paused, so the missing replies prove nothing.
                return
            if self._is_heard(name):
                return
            self._suspect(name)
            await self._drop_open_calls(name)
        finally:
            self._probed_names.discard(name)

    def _is_heard(self, name):
        """Tells whether other messages show that a member is alive.

        Pings to a busy daemon are delayed by its streams. Dropping its calls because of
        that would cause them all to be retried and so increase its load.
        """
        silent_s = anyio.current_time() - self._last_heard(name)
        return silent_s < self._times.ping_timeout_s

    async def _ping(self, name):
        """Returns whether the member answered."""
        entry = self._entries_by_name.get(name)
        ping = Ping(
            own=self._own_update(),
            digest=self._own_digest(),
            about=_update_unless_alive(entry),
            updates=self._updates_for_ping(),
        )
        try:
            reply = await self._transport.call(name, ping, self._times.ping_timeout_s)
        except PeerUnreachable:
            return False
        except ServingError:
            # A refusal shows that the member is alive.
            return True
        self._merge_received(reply.own, reply.updates, reply.about)
        self._on_digest(name, reply.digest)
        return True

    async def _request_indirect_ping(self, relay, name, found, group):
        request = PingRequest(name)
        timeout = 2 * self._times.ping_timeout_s
        try:
            reply = await self._transport.call(relay, request, timeout)
        except (PeerUnreachable, ServingError):
            return
        if reply.own is not None:
            self._apply_update(reply.own)
            found.set()
            group.cancel_scope.cancel()

    def _needs_indirect_probe(self, entry):
        """Tells whether an indirect probe of this member could change anything here."""
        if entry.update.health is Health.ALIVE:
            return True
        return self._drop_connection is not None and self._has_open_calls(
            entry.update.name
        )

    async def _drop_open_calls(self, name):
        if self._drop_connection is not None and self._has_open_calls(name):
            await self._drop_connection(name)

    def _suspect(self, name):
        entry = self._entries_by_name.get(name)
        if entry is not None and entry.update.health is Health.ALIVE:
            self._apply_update(
                msgspec.structs.replace(
                    entry.update,
                    health=Health.SUSPECTED,
                    metadata=self._metadata_to_send(entry),
                )
            )

    def _expire_suspicions(self):
        now = anyio.current_time()
        gap = now - (
            now if self._last_expiry_check is None else self._last_expiry_check
        )
        self._last_expiry_check = now
        for name in tuple(self._suspected_names):
            entry = self._entries_by_name[name]
            if gap > 3 * self._times.period_s:
                # This daemon was paused, so refutations may not have been read yet.
                entry.suspected_until += gap
            elif now >= entry.suspected_until:
                self._apply_update(
                    msgspec.structs.replace(entry.update, health=Health.FAILED)
                )
                if self._group is not None:
                    self._group.start_soon(self._drop_open_calls, name)

    # Handlers

    async def _on_ping(self, sender, message):
        self._merge_received(message.own, message.updates, message.about)
        self._on_digest(sender, message.digest)
        return PingReply(
            own=self._own_update(),
            digest=self._own_digest(),
            about=_update_unless_alive(self._entries_by_name.get(sender)),
            updates=self._updates_for_ping(),
        )

    async def _on_ping_request(self, sender, message):
        entry = self._entries_by_name.get(message.target)
        if entry is None or not await self._ping(message.target):
            return PingRequestReply()
        return PingRequestReply(entry.update)

    async def _on_join(self, sender, message):
        number = self._gone_numbers_by_name.get(sender, 0)
        entry = self._entries_by_name.get(sender)
        if entry is not None:
            number = max(number, entry.update.number)
        return JoinReply(
            own=self._own_update(),
            number=number,
            digest=self._own_digest(),
            updates=self._join_reply_updates(),
        )

    def _join_reply_updates(self):
        """Returns a bounded sample of members.

        The joining member needs it if its host list is unreachable.
        """
        names = self._sample(MAX_JOIN_REPLY_MEMBERS)
        entries = [self._entries_by_name[name] for name in names]
        return tuple(
            msgspec.structs.replace(entry.update, metadata=entry.metadata)
            for entry in entries
        )

    def _updates_for_ping(self):
        """Returns queued updates for a ping, and in turn the state of other members."""
        updates = self._updates.take(self._fleet_size())
        for _ in range(min(REFRESHED_MEMBERS_PER_PING, len(self._entries_by_name))):
            if not self._refresh_order:
                self._refresh_order = list(self._entries_by_name)
                self._generator.shuffle(self._refresh_order)
            entry = self._entries_by_name.get(self._refresh_order.pop())
            if entry is not None and entry.update.number:
                updates += (entry.update,)
        return updates

    # Updates

    def _merge_received(self, own, updates, about=None):
        self._apply_update(own)
        for update in updates:
            self._apply_update(update)
        if about is not None:
            self._apply_update(about)

    def _apply_update(self, update):
        """Applies an update if it outranks the known one, and queues it for sending."""
        if update.name == self.own_name:
            self._handle_own_update(update)
            return
        entry = self._entries_by_name.get(update.name)
        if entry is None:
            if update.metadata is None or update.health is Health.FAILED:
                return
            entry = MemberEntry(update.name, update.metadata)
            # Until a host list has been read, members are treated as listed.
            entry.listed = not self._host_list_revision
            self._entries_by_name[update.name] = entry
        elif update.rank() <= entry.update.rank():
            if update.rank() == entry.update.rank():
                self._updates.note_duplicate(update.name, self._fleet_size())
            return
        if update.metadata is not None:
            entry.metadata = update.metadata
        previous_state, previous_update = entry.state, entry.update
        entry.update = msgspec.structs.replace(update, metadata=None)
        self._update_suspicion_deadline(entry, previous_update)
        self._updates.put(
            msgspec.structs.replace(update, metadata=self._metadata_to_send(entry))
        )
        self._log_state_change(entry, previous_state)
        if (
            _identity(previous_update) != _identity(update)
            or previous_state is not entry.state
        ):
            self._notify_view_change()
        if entry.state is MemberState.GONE:
            self._remove_gone_member(update.name)

    def _handle_own_update(self, update):
        """Handles an update about this daemon: refutes it, or notes a successor."""
        own = self.own_incarnation
        if not self.joined.is_set():
            known = self._gone_numbers_by_name.get(self.own_name, 0)
            self._gone_numbers_by_name[self.own_name] = max(known, update.number)
            return
        if (update.number, update.bits) < (own.number, own.bits):
            return
        if (update.number, update.bits) > (own.number, own.bits):
            log_event(
                Event.MEMBER_SUPERSEDED,
                member=self.own_name,
                own=str(own),
                known=str(Incarnation(update.number, update.bits)),
            )
            self.superseded.set()
            return
        if update.health is not Health.ALIVE and update.sequence >= self._sequence:
            self._sequence = update.sequence + 1
            self._updates.put(self._own_update())

    def _update_suspicion_deadline(self, entry, previous_update):
        name = entry.update.name
        if entry.update.health is not Health.SUSPECTED:
            self._suspected_names.pop(name, None)
            entry.suspected_until = math.inf
        elif previous_update.health is not Health.SUSPECTED:
            doublings = math.log2(self._fleet_size())
            entry.suspected_until = (
                anyio.current_time()
                + self._times.suspicion_s
                + self._times.suspicion_per_doubling_s * doublings
            )
            self._suspected_names[name] = None
            if self._has_open_calls(name):
                self.report_unreachable(name)

    def _log_state_change(self, entry, previous_state):
        if entry.state is previous_state:
            return
        event = _EVENTS_BY_STATE.get(entry.state)
        if event is not None:
            log_event(
                event,
                member=entry.update.name,
                incarnation=str(entry.incarnation()),
                before=str(previous_state),
            )

    def _remove_gone_member(self, name):
        entry = self._entries_by_name.pop(name)
        self._suspected_names.pop(name, None)
        self._gone_numbers_by_name[name] = entry.update.number
        self._gone_numbers_by_name.move_to_end(name)
        if len(self._gone_numbers_by_name) > MAX_REMEMBERED_GONE_MEMBERS:
            self._gone_numbers_by_name.popitem(last=False)

    def _notify_view_change(self):
        """Wakes the callers of wait_changed and clears the cached sizes."""
        self.view_number += 1
        self._routable_by_region.clear()
        self._changed.set()
        self._changed = anyio.Event()

    # Host list

    async def _poll_host_list(self):
        while True:
            await anyio.sleep(self._times.host_list_interval_s)
            await self._refresh_host_list()

    async def _refresh_host_list(self):
        try:
            hosts = await self._host_list.read(self._host_list_revision)
        except SourceUnreachable as error:
            if not self._host_list_down:
                log_event(Event.HOST_LIST_DOWN, detail=str(error))
            self._host_list_down = True
            return
        self._host_list_down = False
        if hosts is None or hosts.revision == self._host_list_revision:
            return
        self._host_list_revision = hosts.revision
        self._apply_host_list([host for host in hosts.hosts if host.role == "daemon"])

    def _apply_host_list(self, hosts):
        self._listed_live_count = sum(host.state is HostState.LIVE for host in hosts)
        listed = {host.name for host in hosts}
        for host in hosts:
            if host.name != self.own_name:
                self._apply_listed_host(host)
        for name, entry in tuple(self._entries_by_name.items()):
            if name not in listed:
                entry.listed = entry.listed_leaving = False
                if entry.state is MemberState.GONE:
                    self._remove_gone_member(name)
        self._notify_view_change()

    def _apply_listed_host(self, host):
        metadata = MemberMetadata(
            host.address, host.failure_domain, host.region, host.size
        )
        entry = self._entries_by_name.get(host.name)
        if entry is None:
            entry = self._entries_by_name[host.name] = MemberEntry(host.name, metadata)
        previous_state = entry.state
        if not entry.listed or entry.update.health is not Health.ALIVE:
            # Otherwise the member's own metadata is newer than a delayed list.
            entry.metadata = metadata
        entry.listed = True
        entry.listed_leaving = host.state is HostState.LEAVING
        self._log_state_change(entry, previous_state)

    # Helpers

    def _new_incarnation(self, above):
        number = max(self._wall_clock_ns(), above + 1)
        return Incarnation(number, self._generator.getrandbits(INCARNATION_BITS))

    def _own_update(self):
        return MemberUpdate(
            self.own_name,
            self.own_incarnation.number,
            self.own_incarnation.bits,
            self._sequence,
            Health.ALIVE,
            self._leaving,
            self._own_metadata,
        )

    def _own_member(self):
        state = MemberState.LEAVING if self._leaving else MemberState.ALIVE
        metadata = self._own_metadata
        return Member(
            self.own_name,
            metadata.address,
            metadata.failure_domain,
            metadata.region,
            metadata.size,
            state,
            self.own_incarnation,
        )

    def _metadata_to_send(self, entry):
        """Returns the metadata to send with an update; None for listed members."""
        return None if entry.listed and self._host_list_revision else entry.metadata

    def _fleet_size(self):
        return len(self._entries_by_name) + 1

    def _sample(self, count, without=None):
        names = [
            name for name in self.routable() if name not in (without, self.own_name)
        ]
        return self._generator.sample(names, min(count, len(names)))

    def _join_contacts(self):
        names = [*self._entries_by_name, *self._seeds]
        return self._generator.sample(names, min(MAX_JOIN_CONTACTS, len(names)))

    async def _ask_to_join(self, contact, replies):
        timeout = 2 * self._times.ping_timeout_s
        try:
            reply = await self._transport.call(contact, Join(), timeout)
        except (PeerUnreachable, ServingError):
            return
        replies.append((contact, reply))


_EVENTS_BY_STATE = {
    MemberState.ALIVE: Event.MEMBER_ALIVE,
    MemberState.SUSPECTED: Event.MEMBER_SUSPECTED,
    MemberState.LEAVING: Event.MEMBER_LEAVING,
    MemberState.FAILED: Event.MEMBER_FAILED,
    MemberState.GONE: Event.MEMBER_FAILED,
}


def _identity(update):
    return update.number, update.bits


def _update_unless_alive(entry):
    """Returns the update of an entry that its member should refute, or None."""
    if entry is None or entry.update.health is Health.ALIVE:
        return None
    return entry.update
