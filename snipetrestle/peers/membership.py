"""Membership: the members by host list, failure detection and spread updates.

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
from snipetrestle.peers.members import Incarnation, Member, MemberState
from snipetrestle.peers.membership_messages import (
    Health,
    Join,
    JoinReply,
    MemberCard,
    MemberUpdate,
    Ping,
    PingReply,
    PingRequest,
    PingRequestReply,
    RevisionDigest,
)
from snipetrestle.peers.transport import PeerUnreachable
from snipetrestle.peers.updates import UpdateQueue
from snipetrestle.publication.sources import HostState, SourceUnreachable

# Random bits of an incarnation, besides the clock.
INCARNATION_BITS = 32
# Members that are pinged in turn; one of them is replaced in each round. With all
# members in turn, each ping at 330 members needs a TLS handshake of 6 KB, since the
# connection of the last one was closed as idle, or 54 MB for connections kept open.
# The chance that nobody pings a member is about exp(-16) and lasts one round.
NEIGHBOURS = 16
# Members whose state each ping repeats in turn, although it is not new. A member that
# missed an update is repaired by them: at 330 members, within about a minute.
REFRESHED_MEMBERS = 4
# Members that are asked to ping one that does not answer.
INDIRECT_PROBES = 3
# Members and seeds that a starting daemon asks for its name's last incarnation.
JOIN_SAMPLE = 5
JOIN_ATTEMPTS = 3
# Members that a starting daemon is told of, about 4 KB.
MAX_INTRODUCTIONS = 64
# Members that are told at once that this daemon leaves.
LEAVE_NOTICES = 3
# Probes by report that run at the same time.
MAX_URGENT_PROBES = 8
# Gone members whose incarnation numbers are remembered.
MAX_GONE = 1_024


class MembershipTimes(msgspec.Struct, frozen=True):
    """Times of failure detection, in seconds.

    Pings are ``storm_period_s`` apart while there is more to tell than fits one ping.

    A suspicion lasts ``suspicion_s`` and ``suspicion_per_doubling_s`` for each doubling
    of the fleet, since suspicion and refutation take a logarithmic time to spread.
    """

    period_s: float = 1.0
    storm_period_s: float = 0.5
    ping_timeout_s: float = 0.5
    suspicion_s: float = 3.0
    suspicion_per_doubling_s: float = 0.6
    host_list_interval_s: float = 1.0


class _Entry:
    """What this daemon holds of one other member."""

    __slots__ = ("update", "card", "listed", "listed_leaving", "suspected_until")

    def __init__(self, name, card):
        self.update = MemberUpdate(name, 0, 0, 0, Health.ALIVE)
        self.card = card
        self.listed = False
        self.listed_leaving = False
        self.suspected_until = math.inf

    @property
    def state(self):
        if self.update.health is Health.FAILED:
            return MemberState.FAILED if self.listed else MemberState.GONE
        if self.update.leaving or self.listed_leaving:
            return MemberState.LEAVING
        if self.update.health is Health.SUSPECTED:
            return MemberState.SUSPECTED
        return MemberState.ALIVE

    def incarnation(self):
        update = self.update
        return Incarnation(update.number, update.bits) if update.number else None

    def member(self):
        card = self.card
        return Member(
            self.update.name,
            card.address,
            card.failure_domain,
            card.region,
            card.size,
            self.state,
            self.incarnation(),
        )


class Membership:
    """MembershipView kept by pings and the host list.

    ``superseded`` is set once a later incarnation of the own name is known: another
    daemon runs under this name, or this one started with a clock that ran backwards
    and no member that knew better. The application then stops and starts again.
    ``joined`` is set once the own incarnation is final.
    """

    def __init__(
        self,
        own_name,
        own_card,
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
        self._card = own_card
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
        self._suspects = {}
        self._updates = UpdateQueue()
        self._neighbours = []
        self._refresh_round = []
        self._round = []
        self._probing = set()
        self._group = None
        self._changed = anyio.Event()
        self._routable_by_region = {}
        self._listed_live = 0
        self._list_revision = 0
        self._list_down = False
        self._last_expiry = None
        self._own_digest = RevisionDigest
        self._heard_digest = lambda member, digest: None
        self._in_use = lambda member: False
        self._drop = None
        self._last_heard = lambda member: -math.inf
        self.own_incarnation = self._new_incarnation(0)
        router.on_call(Ping, self._on_ping)
        router.on_call(PingRequest, self._on_ping_request)
        router.on_call(Join, self._on_join)

    @classmethod
    def from_settings(cls, settings, transport, router, host_list, generator):
        daemon = settings.daemon
        card = MemberCard(
            settings.listen.peers, daemon.failure_domain, daemon.region, daemon.size
        )
        times = MembershipTimes(
            host_list_interval_s=settings.platform.host_list_interval_s
        )
        return cls(
            daemon.name,
            card,
            transport,
            router,
            host_list,
            generator,
            seeds=settings.seeds,
            times=times,
        )

    def attach_digest(self, own_digest, heard_digest):
        """Lets pings carry the revisions of the published configuration.

        ``own_digest()`` returns the own RevisionDigest; ``heard_digest(member, digest)``
        is called with that of each ping and reply.
        """
        self._own_digest = own_digest
        self._heard_digest = heard_digest

    def attach_connections(self, in_use, drop, last_heard=lambda member: -math.inf):
        """Lets calls to a silent member end.

        A suspicion by another member leads to a probe if ``in_use(member)``, that is,
        if calls to the member are open. ``await drop(member)`` is called once the own
        probes have failed or the member counts as failed. ``last_heard(member)`` is the
        time of its last message of any kind, in seconds of the runtime's clock.
        """
        self._in_use = in_use
        self._drop = drop
        self._last_heard = last_heard

    # View

    def routable(self, region=None):
        """Returns sizes by name of members that may get new work. Do not change it."""
        sizes = self._routable_by_region.get(region)
        if sizes is None:
            sizes = {
                name: entry.card.size
                for name, entry in self._entries_by_name.items()
                if entry.state in (MemberState.ALIVE, MemberState.SUSPECTED)
                and (region is None or entry.card.region == region)
            }
            if not self._leaving and region in (None, self._card.region):
                sizes[self.own_name] = self._card.size
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
        return max(1, self._listed_live)

    def address_of(self, name):
        """Returns the address for peers of a member, or None."""
        entry = self._entries_by_name.get(name)
        return None if entry is None else entry.card.address

    def domain_members(self, failure_domain):
        """Returns sizes by name of the routable members of a failure domain."""
        sizes = {}
        for name, size in self.routable().items():
            card = self._card
            if name != self.own_name:
                card = self._entries_by_name[name].card
            if card.failure_domain == failure_domain:
                sizes[name] = size
        return sizes

    @property
    def failure_domain(self):
        return self._card.failure_domain

    async def wait_changed(self, view_number):
        while self.view_number == view_number:
            await self._changed.wait()

    def report_unreachable(self, name):
        """Probes a member at once that did not answer, unless that runs already."""
        if (
            self._group is not None
            and name in self._entries_by_name
            and name not in self._probing
            and len(self._probing) < MAX_URGENT_PROBES
        ):
            self._group.start_soon(self._probe, name)

    # Life

    async def join(self):
        """Reads the host list and takes an incarnation above any that peers know."""
        await self._refresh_list()
        for _ in range(JOIN_ATTEMPTS):
            contacts = self._join_contacts()
            replies = []
            async with anyio.create_task_group() as group:
                for contact in contacts:
                    group.start_soon(self._ask_to_join, contact, replies)
            if replies or not contacts:
                break
            await anyio.sleep(self._times.period_s)
        known = max(
            [self._gone_numbers_by_name.get(self.own_name, 0)]
            + [reply.number for _, reply in replies]
        )
        if known >= self.own_incarnation.number:
            self.own_incarnation = self._new_incarnation(known)
        self.joined.set()
        for contact, reply in replies:
            self._hear(reply.own, reply.updates)
            self._heard_digest(reply.own.name or contact, reply.digest)
        self._updates.put(self._own_update())

    async def run(self):
        """Joins unless done, then detects failures until cancelled or superseded."""
        if not self.joined.is_set():
            await self.join()
        async with anyio.create_task_group() as group:
            self._group = group
            try:
                group.start_soon(self._follow_list)
                group.start_soon(self._probe_rounds)
                await self.superseded.wait()
                group.cancel_scope.cancel()
            finally:
                self._group = None

    async def leave(self):
        """Announces a planned stop: the own member gets no new work from now on."""
        self._leaving = True
        self._sequence += 1
        self._updates.put(self._own_update())
        self._change_view()
        async with anyio.create_task_group() as group:
            for name in self._sample(LEAVE_NOTICES):
                group.start_soon(self._ping, name)

    # Probing

    async def _probe_rounds(self):
        while True:
            period = self._times.period_s
            if self._updates.overfull:
                period = self._times.storm_period_s
            # Jitter keeps daemons that were started together from staying in step.
            await anyio.sleep(period * self._generator.uniform(0.9, 1.1))
            self._expire_suspicions()
            name = self._next_target()
            if name is not None and name not in self._probing:
                self._group.start_soon(self._probe, name)

    def _next_target(self):
        """Returns the next member of a shuffled round over the neighbours."""
        while True:
            if not self._round:
                self._round = self._draw_round()
                if not self._round:
                    return None
            name = self._round.pop()
            if name in self._entries_by_name:
                return name

    def _draw_round(self):
        """Returns the neighbours in random order, one of them newly drawn.

        Neighbours are a random sample of all members that changes slowly, so that most
        pings find an open connection.
        """
        entries = self._entries_by_name
        kept = [name for name in self._neighbours if name in entries]
        if len(entries) <= NEIGHBOURS:
            kept = list(entries)
        else:
            self._generator.shuffle(kept)
            del kept[NEIGHBOURS - 1 :]
            others = sorted(entries.keys() - set(kept))
            kept += self._generator.sample(others, NEIGHBOURS - len(kept))
        self._generator.shuffle(kept)
        self._neighbours = kept
        return list(kept)

    async def _probe(self, name):
        self._probing.add(name)
        try:
            start = anyio.current_time()
            if await self._ping(name):
                return
            entry = self._entries_by_name.get(name)
            if entry is None or not self._worth_relays(entry):
                return
            relays = self._sample(INDIRECT_PROBES, without=name)
            found = anyio.Event()
            async with anyio.create_task_group() as group:
                for relay in relays:
                    group.start_soon(self._ask_relay, relay, name, found, group)
            if found.is_set():
                return
            longest = 4 * self._times.ping_timeout_s + self._times.period_s
            if anyio.current_time() - start > longest:
                # This daemon itself was paused, so the silence proves nothing.
                return
            if self._is_heard(name):
                return
            self._suspect(name)
            await self._drop_calls(name)
        finally:
            self._probing.discard(name)

    def _is_heard(self, name):
        """Tells whether other messages show that a member lives.

        Pings wait behind the streams of a busy daemon. To drop its calls for that would
        send them all again, which makes it busier still.
        """
        silent_s = anyio.current_time() - self._last_heard(name)
        return silent_s < self._times.ping_timeout_s

    async def _ping(self, name):
        """Returns whether the member answered."""
        entry = self._entries_by_name.get(name)
        ping = Ping(
            own=self._own_update(),
            digest=self._own_digest(),
            about=_notable(entry),
            updates=self._take_updates(),
        )
        try:
            reply = await self._transport.call(name, ping, self._times.ping_timeout_s)
        except PeerUnreachable:
            return False
        except ServingError:
            # A refusal is an answer too.
            return True
        self._hear(reply.own, reply.updates, reply.about)
        self._heard_digest(name, reply.digest)
        return True

    async def _ask_relay(self, relay, name, found, group):
        request = PingRequest(name)
        timeout = 2 * self._times.ping_timeout_s
        try:
            reply = await self._transport.call(relay, request, timeout)
        except (PeerUnreachable, ServingError):
            return
        if reply.own is not None:
            self._learn(reply.own)
            found.set()
            group.cancel_scope.cancel()

    def _worth_relays(self, entry):
        """Tells whether silence of this member changes anything."""
        if entry.update.health is Health.ALIVE:
            return True
        return self._drop is not None and self._in_use(entry.update.name)

    async def _drop_calls(self, name):
        if self._drop is not None and self._in_use(name):
            await self._drop(name)

    def _suspect(self, name):
        entry = self._entries_by_name.get(name)
        if entry is not None and entry.update.health is Health.ALIVE:
            self._learn(
                msgspec.structs.replace(
                    entry.update, health=Health.SUSPECTED, card=self._card_for(entry)
                )
            )

    def _expire_suspicions(self):
        now = anyio.current_time()
        gap = now - (now if self._last_expiry is None else self._last_expiry)
        self._last_expiry = now
        for name in tuple(self._suspects):
            entry = self._entries_by_name[name]
            if gap > 3 * self._times.period_s:
                # This daemon was paused: refutations may wait unread.
                entry.suspected_until += gap
            elif now >= entry.suspected_until:
                self._learn(msgspec.structs.replace(entry.update, health=Health.FAILED))
                if self._group is not None:
                    self._group.start_soon(self._drop_calls, name)

    # Handlers

    async def _on_ping(self, sender, message):
        self._hear(message.own, message.updates, message.about)
        self._heard_digest(sender, message.digest)
        return PingReply(
            own=self._own_update(),
            digest=self._own_digest(),
            about=_notable(self._entries_by_name.get(sender)),
            updates=self._take_updates(),
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
            updates=self._introductions(),
        )

    def _introductions(self):
        """Returns a bounded sample of members for one whose host list may be down."""
        names = self._sample(MAX_INTRODUCTIONS)
        entries = [self._entries_by_name[name] for name in names]
        return tuple(
            msgspec.structs.replace(entry.update, card=entry.card) for entry in entries
        )

    def _take_updates(self):
        """Returns the updates for a ping, and some of the rest of the view in turn."""
        updates = self._updates.take(self._fleet_size())
        for _ in range(min(REFRESHED_MEMBERS, len(self._entries_by_name))):
            if not self._refresh_round:
                self._refresh_round = list(self._entries_by_name)
                self._generator.shuffle(self._refresh_round)
            entry = self._entries_by_name.get(self._refresh_round.pop())
            if entry is not None and entry.update.number:
                updates += (entry.update,)
        return updates

    # Updates

    def _hear(self, own, updates, about=None):
        self._learn(own)
        for update in updates:
            self._learn(update)
        if about is not None:
            self._learn(about)

    def _learn(self, update):
        """Takes an update if it says more than what is held, and passes it on."""
        if update.name == self.own_name:
            self._learn_of_self(update)
            return
        entry = self._entries_by_name.get(update.name)
        if entry is None:
            if update.card is None or update.health is Health.FAILED:
                return
            entry = _Entry(update.name, update.card)
            # Without any list yet, members are kept as if they were on it.
            entry.listed = not self._list_revision
            self._entries_by_name[update.name] = entry
        elif update.rank() <= entry.update.rank():
            if update.rank() == entry.update.rank():
                self._updates.note_duplicate(update.name, self._fleet_size())
            return
        if update.card is not None:
            entry.card = update.card
        before, previous = entry.state, entry.update
        entry.update = msgspec.structs.replace(update, card=None)
        self._time_suspicion(entry, previous)
        self._updates.put(msgspec.structs.replace(update, card=self._card_for(entry)))
        self._note_state(entry, before)
        if _identity(previous) != _identity(update) or before is not entry.state:
            self._change_view()
        if entry.state is MemberState.GONE:
            self._forget(update.name)

    def _learn_of_self(self, update):
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

    def _time_suspicion(self, entry, previous):
        name = entry.update.name
        if entry.update.health is not Health.SUSPECTED:
            self._suspects.pop(name, None)
            entry.suspected_until = math.inf
        elif previous.health is not Health.SUSPECTED:
            doublings = math.log2(self._fleet_size())
            entry.suspected_until = (
                anyio.current_time()
                + self._times.suspicion_s
                + self._times.suspicion_per_doubling_s * doublings
            )
            self._suspects[name] = None
            if self._in_use(name):
                self.report_unreachable(name)

    def _note_state(self, entry, before):
        if entry.state is before:
            return
        event = _EVENTS_BY_STATE.get(entry.state)
        if event is not None:
            log_event(
                event,
                member=entry.update.name,
                incarnation=str(entry.incarnation()),
                before=str(before),
            )

    def _forget(self, name):
        entry = self._entries_by_name.pop(name)
        self._suspects.pop(name, None)
        self._gone_numbers_by_name[name] = entry.update.number
        self._gone_numbers_by_name.move_to_end(name)
        if len(self._gone_numbers_by_name) > MAX_GONE:
            self._gone_numbers_by_name.popitem(last=False)

    def _change_view(self):
        self.view_number += 1
        self._routable_by_region.clear()
        self._changed.set()
        self._changed = anyio.Event()

    # Host list

    async def _follow_list(self):
        while True:
            await anyio.sleep(self._times.host_list_interval_s)
            await self._refresh_list()

    async def _refresh_list(self):
        try:
            hosts = await self._host_list.read(self._list_revision)
        except SourceUnreachable as error:
            if not self._list_down:
                log_event(Event.HOST_LIST_DOWN, detail=str(error))
            self._list_down = True
            return
        self._list_down = False
        if hosts is None or hosts.revision <= self._list_revision:
            return
        self._list_revision = hosts.revision
        self._take_list([host for host in hosts.hosts if host.role == "daemon"])

    def _take_list(self, hosts):
        self._listed_live = sum(host.state is HostState.LIVE for host in hosts)
        listed = {host.name for host in hosts}
        for host in hosts:
            if host.name != self.own_name:
                self._take_host(host)
        for name, entry in tuple(self._entries_by_name.items()):
            if name not in listed:
                entry.listed = entry.listed_leaving = False
                if entry.state is MemberState.GONE:
                    self._forget(name)
        self._change_view()

    def _take_host(self, host):
        card = MemberCard(host.address, host.failure_domain, host.region, host.size)
        entry = self._entries_by_name.get(host.name)
        if entry is None:
            entry = self._entries_by_name[host.name] = _Entry(host.name, card)
        before = entry.state
        if not entry.listed or entry.update.health is not Health.ALIVE:
            # The member's own statement is newer than a list that lags.
            entry.card = card
        entry.listed = True
        entry.listed_leaving = host.state is HostState.LEAVING
        self._note_state(entry, before)

    # Small parts

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
            self._card,
        )

    def _own_member(self):
        state = MemberState.LEAVING if self._leaving else MemberState.ALIVE
        card = self._card
        return Member(
            self.own_name,
            card.address,
            card.failure_domain,
            card.region,
            card.size,
            state,
            self.own_incarnation,
        )

    def _card_for(self, entry):
        """Returns the card to send along; listed members need none."""
        return None if entry.listed and self._list_revision else entry.card

    def _fleet_size(self):
        return len(self._entries_by_name) + 1

    def _sample(self, count, without=None):
        names = [
            name for name in self.routable() if name not in (without, self.own_name)
        ]
        return self._generator.sample(names, min(count, len(names)))

    def _join_contacts(self):
        names = [*self._entries_by_name, *self._seeds]
        return self._generator.sample(names, min(JOIN_SAMPLE, len(names)))

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


def _notable(entry):
    """Returns the update of an entry if the member itself should hear of it."""
    if entry is None or entry.update.health is Health.ALIVE:
        return None
    return entry.update
