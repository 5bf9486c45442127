"""Membership of the hosts, learned from seeds and heartbeats.

Up to MAX_MESH_HOSTS hosts all send each other heartbeats. Among more, hosts send them
only to the leader and to its likely successors, and the leader to all, so the cost of a
host does not grow with their number. Without a leader all hosts send to all, until the
next one is elected.
"""

import asyncio

import anyio
import msgspec
import xxhash

from snipetrestle.coordination.membership.lost_hosts import LostHosts
from snipetrestle.coordination.messaging.messages import (
    MAX_LISTED_HOSTS,
    Heartbeat,
    Join,
    KnownHosts,
    StoreAccess,
)
from snipetrestle.events import Event, log_event

HEARTBEAT_INTERVAL_S = 0.5
# A host that was not heard from for this long does not count as reachable.
REACHABLE_TIMEOUT_S = 1.6
# A host that should send heartbeats and was not heard from for this long is removed.
FORGET_TIMEOUT_S = 10.0
# The same for a host that sends its heartbeats only to the leader, after the last time
# that the leader knew it.
UNCONFIRMED_TIMEOUT_S = 30.0
# Lists of other hosts may name a removed host for this long after its removal, and the
# leader's list for a shorter time, since it hears from all hosts.
REMOVED_TIMEOUT_S = 2 * UNCONFIRMED_TIMEOUT_S
LEADER_REMOVAL_LAG_S = 2.0
MAX_MESH_HOSTS = 32
JOIN_INTERVAL_S = 0.25
# Hosts that join at the same time are announced together after this time.
ANNOUNCE_DELAY_S = 0.05
# How often another host is asked for the hosts that it knows, and how often a leader is
# if it knows others than this host.
EXCHANGE_INTERVAL_S = 2.0
LEADER_EXCHANGE_INTERVAL_S = 5.0


class HostStatus(msgspec.Struct):
    """What this host's heartbeats tell beside its own HostInfo.

    ``has_leader`` tells whether a leader was heard from recently. ``candidates`` are
    the likely next leaders, and ``newest_positions`` holds the StorePosition of the
    newest known item by prefix. The other fields are those of Heartbeat.
    """

    leader: str = ""
    term: int = 0
    leader_age_s: float = -1.0
    has_leader: bool = False
    leads: bool = False
    newest_positions: dict = {}
    document_version_sum: int = 0
    reads_store: bool = False
    store_access: StoreAccess = StoreAccess()
    candidates: tuple = ()
    reached: int = 0
    unreached: tuple = ()


class KnownHost:
    """A known host and its last heartbeat; None until there is one."""

    __slots__ = ("info", "heard_at", "heartbeat", "learned_at")

    def __init__(self, info, learned_at):
        self.info = info
        self.heard_at = None
        self.heartbeat = None
        self.learned_at = learned_at

    @property
    def address(self):
        return (self.info.ip, self.info.port)


class Hosts:
    """Membership by heartbeats over UDP.

    ``content`` is the HeartbeatContent: its ``status()`` is the HostStatus,
    ``readers_by_domain()`` the hosts that a leader has appointed to read the store, and
    ``hosts_read_for()`` those for which this host reads it.
    """

    def __init__(self, own, seeds, endpoint, content):
        self.own = own
        self.leaving = False
        self.by_name = {}
        # Hosts that were removed without having said that they leave.
        self.lost = LostHosts()
        # The largest number of hosts known at one time since the start.
        self.max_known = 1
        self._seeds = seeds
        self._endpoint = endpoint
        self._content = content
        self._listeners = []
        self._round_listeners = []
        self._round = 0
        self._exchanged_at = 0.0
        self._newcomers = []
        # When each removed process, by name and boot, was removed.
        self._removed_at = {}
        self._members_digest = None
        self._sender_names = ()
        # When the leader last knew the same hosts as this one, and since when all hosts
        # should send heartbeats to this one; None while they should not.
        self._confirmed_at = 0.0
        self._hears_all_since = anyio.current_time()
        endpoint.register(Heartbeat, self._on_heartbeat)
        endpoint.register(Join, self._on_join)
        endpoint.register(KnownHosts, self._on_known_hosts)

    def set_seeds(self, seeds):
        self._seeds = seeds

    def on_heartbeat(self, listener):
        """Registers ``listener(heartbeat)``, called for each one of another host."""
        self._listeners.append(listener)

    def on_round(self, listener):
        """Registers ``listener(addresses)``, called after the heartbeats of a round.

        ``addresses`` are those of the hosts to which they were sent.
        """
        self._round_listeners.append(listener)

    def reachable(self):
        """Returns the hosts that were heard from recently, without this one."""
        since = anyio.current_time() - REACHABLE_TIMEOUT_S
        return [
            host
            for host in self.by_name.values()
            if host.heard_at is not None and host.heard_at >= since
        ]

    def reaches_half_of_seeds(self):
        """Tells whether at least half of the seeds, except this host, are reachable."""
        seeds = set(self._seeds) - {(self.own.ip, self.own.port)}
        heard = {host.address for host in self.reachable()}
        return 2 * len(seeds & heard) >= len(seeds)

    def reaches_all_seeds(self):
        """Whether all seeds, except this host, are reachable."""
        heard = {host.address for host in self.reachable()}
        heard.add((self.own.ip, self.own.port))
        return set(self._seeds) <= heard

    def reaches_all(self):
        """Whether no host is silent, lost or, as a seed, unknown."""
        is_complete = not self.lost.by_name and self.reaches_all_seeds()
        return is_complete and len(self.reachable_staying()) + 1 == self.count()

    @property
    def is_only_host(self):
        """Whether no other host was ever known, and no seed names one."""
        is_alone = not self.by_name and not self.lost.by_name
        return is_alone and set(self._seeds) <= {(self.own.ip, self.own.port)}

    @property
    def is_large(self):
        """Whether there are too many hosts for heartbeats from each to each."""
        return len(self.by_name) + 1 > MAX_MESH_HOSTS

    def reachable_staying(self):
        """Returns the reachable hosts that are not leaving, without this one."""
        return [host for host in self.reachable() if not host.heartbeat.leaving]

    def staying_names(self):
        """Returns the names of the known hosts that are not leaving, with this one."""
        names = [
            name
            for name, host in self.by_name.items()
            if host.heartbeat is None or not host.heartbeat.leaving
        ]
        names.append(self.own.name)
        return names

    def count(self):
        """Returns the number of known hosts that are not leaving, with this one."""
        return len(self.staying_names())

    def count_with_lost(self):
        """Returns the number of known hosts and of lost ones that may be cut off."""
        return len({*self.staying_names(), *self.lost.by_name})

    def sender_names(self):
        """Returns the names of the hosts that send requests to replicas, sorted.

        These are the known hosts that are not leaving, and this one. The same tuple is
        returned as long as they are the same.
        """
        names = tuple(sorted(self.staying_names()))
        if names != self._sender_names:
            self._sender_names = names
        return self._sender_names

    def forget(self, name):
        """Removes a host that has stopped or is presumed to have."""
        host = self.by_name.pop(name, None)
        if host is not None:
            self._members_digest = None
            self._removed_at[(name, host.info.boot)] = anyio.current_time()
            if host.heartbeat is None or not host.heartbeat.leaving:
                self.lost.add(host.info)
            log_event(Event.PEER_LOST, peer=name)

    async def run(self):
        """Sends heartbeats, and contacts the seeds and the lost hosts."""
        while True:
            if not self.reachable():
                self._contact_seeds()
            self._contact_missing()
            self.send_heartbeats()
            self._forget_silent()
            await anyio.sleep(HEARTBEAT_INTERVAL_S if self.by_name else JOIN_INTERVAL_S)

    def _contact_seeds(self):
        own_address = (self.own.ip, self.own.port)
        for seed in self._seeds:
            if seed != own_address:
                self._endpoint.send(Join(self.own), seed)

    def _contact_missing(self):
        """Contacts some of the lost hosts, and of the seeds that are no members."""
        members = {host.address for host in self.by_name.values()}
        members.add((self.own.ip, self.own.port))
        seeds = [seed for seed in self._seeds if seed not in members]
        self._endpoint.send_all(Join(self.own), self.lost.next_addresses(seeds))

    def _exchange_with_next(self):
        """Asks the known hosts in turn for hosts that this one does not know."""
        now = anyio.current_time()
        if self.by_name and now >= self._exchanged_at + EXCHANGE_INTERVAL_S:
            self._exchanged_at = now
            names = sorted(self.by_name)
            host = self.by_name[names[self._round % len(names)]]
            self._endpoint.send(Join(self.own), host.address)

    def send_heartbeats(self):
        """Sends the heartbeats of one round."""
        status = self._content.status()
        self._round += 1
        if status.leads:
            addresses = self._send_as_leader(status)
        elif self.is_large and status.has_leader:
            addresses = self._send_to_leader(status)
        else:
            addresses = self._send_to_all(status)
        for listener in self._round_listeners:
            listener(addresses)
        hears_all = status.leads or not (self.is_large and status.has_leader)
        if not hears_all:
            self._hears_all_since = None
        elif self._hears_all_since is None:
            self._hears_all_since = anyio.current_time()

    def _send_as_leader(self, status):
        """Sends to all hosts, with the readers of each one's failure domain."""
        heartbeat = msgspec.structs.replace(
            self._heartbeat(status),
            members_digest=self.members_digest,
            candidates=status.candidates,
            reached=status.reached,
            unreached=status.unreached,
        )
        readers_by_domain = self._content.readers_by_domain()
        hosts_by_domain = {}
        for host in self.by_name.values():
            hosts_by_domain.setdefault(host.info.failure_domain, []).append(host)
        for domain, hosts in hosts_by_domain.items():
            readers = readers_by_domain.get(domain, ())
            message = msgspec.structs.replace(heartbeat, readers=readers)
            self._endpoint.send_all(message, [host.address for host in hosts])
        self._exchange_with_next()
        return self._addresses()

    def _send_to_leader(self, status):
        """Sends to the leader, its likely successors and those it reads the store for."""
        names = {status.leader, *status.candidates}
        names.update(host.info.name for host in self._content.hosts_read_for())
        addresses = [
            self.by_name[name].address for name in names if name in self.by_name
        ]
        self._endpoint.send_all(self._heartbeat(status), addresses)
        return addresses

    def _send_to_all(self, status):
        self._endpoint.send_all(self._heartbeat(status), self._addresses())
        self._exchange_with_next()
        return self._addresses()

    def _addresses(self):
        """Returns the addresses of all known hosts."""
        return [host.address for host in self.by_name.values()]

    def name_at(self, address):
        """Returns the name of the host with an address, for the log."""
        for name, host in self.by_name.items():
            if host.address == address:
                return name
        return f"unknown host at {address}"

    def hosts_of_own_domain(self):
        """Returns the known hosts of this host's failure domain, without this one."""
        return [
            host
            for host in self.by_name.values()
            if host.info.failure_domain == self.own.failure_domain
        ]

    def _heartbeat(self, status):
        return Heartbeat(
            self.own,
            status.leader,
            status.term,
            status.leader_age_s,
            self.leaving,
            {prefix: item.revision for prefix, item in status.newest_positions.items()},
            reads_store=status.reads_store,
            epoch_by_prefix={
                prefix: item.epoch for prefix, item in status.newest_positions.items()
            },
            document_version_sum=status.document_version_sum,
            store_access=status.store_access,
        )

    def send_own_heartbeat(self, address):
        self._endpoint.send(self._heartbeat(self._content.status()), address)

    def send_leaving(self):
        """Tells all hosts that this one is leaving."""
        self.leaving = True
        heartbeat = self._heartbeat(self._content.status())
        self._endpoint.send_all(heartbeat, self._addresses())

    @property
    def members_digest(self):
        """A digest of the names and boots of all known hosts, with this one."""
        if self._members_digest is None:
            infos = [self.own, *(host.info for host in self.by_name.values())]
            members = sorted(f"{info.name} {info.boot}" for info in infos)
            self._members_digest = xxhash.xxh32_intdigest("\n".join(members).encode())
        return self._members_digest

    def _compare_members(self, heartbeat):
        """Asks the leader for its hosts if it knows others than this host."""
        now = anyio.current_time()
        if heartbeat.members_digest == self.members_digest:
            self._confirmed_at = now
        elif now >= self._exchanged_at + LEADER_EXCHANGE_INTERVAL_S:
            self._exchanged_at = now
            leader = self.by_name[heartbeat.sender.name]
            self._endpoint.send(Join(self.own), leader.address)

    def _forget_silent(self):
        now = anyio.current_time()
        for name, host in list(self.by_name.items()):
            known_at = max(host.heard_at or 0.0, host.learned_at)
            if self._hears_all_since is None:
                known_at = max(known_at, self._confirmed_at)
                timeout_s = UNCONFIRMED_TIMEOUT_S
            else:
                known_at = max(known_at, self._hears_all_since)
                timeout_s = FORGET_TIMEOUT_S
            if now - known_at > timeout_s:
                self.forget(name)
        self.lost.drop_old()
        horizon = now - REMOVED_TIMEOUT_S
        for key in [key for key, at in self._removed_at.items() if at < horizon]:
            del self._removed_at[key]

    def _learn(self, info, may_be_lost=False):
        """Adds a host, or replaces it if ``info`` describes a later process of it.

        Returns its KnownHost; None for this host itself. A host that ``may_be_lost``
        stays a lost one as well if it is: it may follow another leader.
        """
        if info.name == self.own.name:
            return None
        known = self.by_name.get(info.name)
        if known is not None and not self._is_newer(info, known):
            return known
        if known is None:
            log_event(Event.PEER_JOINED, peer=info.name, boot=info.boot)
        host = KnownHost(info, anyio.current_time())
        self.by_name[info.name] = host
        if not may_be_lost:
            self.lost.remove(info)
        self._members_digest = None
        self.max_known = max(self.max_known, self.count())
        return host

    @staticmethod
    def _is_newer(info, known):
        """Tells whether ``info`` is from a later process than the known one.

        If the clock was set back, a later process may have an earlier boot time; then
        it counts as later if the known process is silent.
        """
        if info.boot == known.info.boot:
            return False
        heard_at = known.heard_at or known.learned_at
        is_silent = anyio.current_time() - heard_at > 2 * HEARTBEAT_INTERVAL_S
        return info.boot > known.info.boot or is_silent

    def _on_heartbeat(self, heartbeat, address):
        known = self.by_name.get(heartbeat.sender.name)
        is_other = known is not None and known.info.boot != heartbeat.sender.boot
        if is_other and not self._is_newer(heartbeat.sender, known):
            return
        is_new = known is None or known.heard_at is None
        host = self._learn(heartbeat.sender)
        if host is None:
            return
        # A leaving host still serves requests, so it keeps getting heartbeats to know
        # the leader.
        host.heard_at = anyio.current_time()
        host.heartbeat = heartbeat
        if host.info.name in self.lost.by_name:
            self.lost.remove(host.info)
        if is_new and self._answers_new_hosts():
            self.send_own_heartbeat(host.address)
        for listener in self._listeners:
            listener(heartbeat)
        self._contact_lost_leader(heartbeat)
        is_leader = heartbeat.leader == heartbeat.sender.name
        if self.is_large and is_leader and heartbeat.is_announcement:
            self._compare_members(heartbeat)

    def _contact_lost_leader(self, heartbeat):
        """Contacts the sender's leader if this host has lost it, and has no other."""
        leader = self.lost.by_name.get(heartbeat.leader)
        if leader is not None and not self._content.status().has_leader:
            self._endpoint.send(Join(self.own), leader.address)

    def _answers_new_hosts(self):
        """Whether a new host needs a heartbeat of this one at once."""
        if not self.is_large:
            return True
        status = self._content.status()
        return status.leads or not status.has_leader

    def _on_join(self, message, address):
        is_unknown = message.sender.name not in self.by_name
        # Until its heartbeat tells which leader it follows, an election is in doubt.
        host = self._learn(message.sender, may_be_lost=True)
        if host is None:
            return
        if is_unknown:
            self._announce(message.sender)
        infos = [self.own, *(item.info for item in self.by_name.values())]
        self._send_known(infos, [host.address])
        self._send_lost(host.address)
        self.send_own_heartbeat(host.address)

    def _announce(self, info):
        """Tells the others of a host, together with those that join with it.

        Hosts that start at the same time do not know each other yet.
        """
        if not self._newcomers:
            asyncio.get_running_loop().call_later(
                ANNOUNCE_DELAY_S, self._announce_newcomers
            )
        self._newcomers.append(info)

    def _announce_newcomers(self):
        infos, self._newcomers = self._newcomers, []
        status = self._content.status()
        hosts = self.by_name.values()
        if self.is_large and status.has_leader and not status.leads:
            # The leader's digest makes the others ask for its hosts.
            hosts = [host for host in hosts if host.info.name == status.leader]
        self._send_known(infos, [host.address for host in hosts])

    def _send_known(self, infos, addresses):
        for start in range(0, len(infos), MAX_LISTED_HOSTS):
            part = tuple(infos[start : start + MAX_LISTED_HOSTS])
            self._endpoint.send_all(KnownHosts(part), addresses)

    def _send_lost(self, address):
        """Tells a host of the lost ones, which may be behind a cut."""
        reports = self.lost.reports()
        for start in range(0, len(reports), MAX_LISTED_HOSTS):
            part = tuple(reports[start : start + MAX_LISTED_HOSTS])
            self._endpoint.send(KnownHosts((), part), address)

    def _learn_lost(self, reports):
        for report in reports:
            info = report.info
            is_known = info.name in self.by_name or info.name == self.own.name
            if not is_known and (info.name, info.boot) not in self._removed_at:
                self.lost.add(info, report.age_s)

    def _is_removed(self, info, from_leader):
        """Whether a host was removed here, so a list that names it may be outdated."""
        removed_at = self._removed_at.get((info.name, info.boot))
        if from_leader:
            since = anyio.current_time() - LEADER_REMOVAL_LAG_S
            return removed_at is not None and removed_at > since
        return removed_at is not None or self.lost.is_lost(info)

    def _on_known_hosts(self, message, address):
        self._learn_lost(message.lost)
        status = self._content.status()
        leader = self.by_name.get(status.leader)
        from_leader = leader is not None and leader.address == address
        for info in message.hosts:
            is_unknown = info.name not in self.by_name
            if is_unknown and self._is_removed(info, from_leader):
                if status.leads and self.lost.is_lost(info):
                    # The others hear of it once it answers.
                    self.send_own_heartbeat((info.ip, info.port))
                continue
            host = self._learn(info)
            if host is None:
                continue
            if from_leader:
                host.learned_at = anyio.current_time()
            if is_unknown and self._answers_new_hosts():
                self.send_own_heartbeat(host.address)
