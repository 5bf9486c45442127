"""Membership of the hosts, learned from seeds and heartbeats."""

import anyio
import msgspec

from snipetrestle.coordination.messages import Heartbeat, Join, KnownHosts
from snipetrestle.events import Event, log_event

HEARTBEAT_INTERVAL_S = 0.5
# A host that was not heard from for this long does not count as reachable.
REACHABLE_TIMEOUT_S = 1.6
# A host that was not heard from for this long is removed.
FORGET_TIMEOUT_S = 10.0
# With at least twice as many hosts, a heartbeat round covers only a part of them.
HOSTS_PER_ROUND = 16
HOSTS_PER_DATAGRAM = 12
JOIN_INTERVAL_S = 0.25
# How often another host is asked for the hosts that it knows.
EXCHANGE_INTERVAL_S = 2.0


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

    ``get_state()`` returns (leader, term, leader_age_s, loads, newest_by_prefix) for
    this host's heartbeats. ``get_full_heartbeat_names()`` returns the names of the
    hosts that get a heartbeat with the loads in every round.
    """

    def __init__(self, own, seeds, endpoint, get_state, get_full_heartbeat_names):
        self.own = own
        self.leaving = False
        self.by_name = {}
        # The largest number of hosts known at one time since the start.
        self.max_known = 1
        self._seeds = seeds
        self._endpoint = endpoint
        self._get_state = get_state
        self._get_full_heartbeat_names = get_full_heartbeat_names
        self._listeners = []
        self._round = 0
        self._exchanged_at = 0.0
        endpoint.register(Heartbeat, self._on_heartbeat)
        endpoint.register(Join, self._on_join)
        endpoint.register(KnownHosts, self._on_known_hosts)

    def set_seeds(self, seeds):
        self._seeds = seeds

    def on_heartbeat(self, listener):
        """Registers ``listener(heartbeat)``, called for each one of another host."""
        self._listeners.append(listener)

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

    @property
    def is_only_host(self):
        """Whether no other host is known, and no seed names one."""
        return not self.by_name and set(self._seeds) <= {(self.own.ip, self.own.port)}

    def reachable_staying(self):
        """Returns the reachable hosts that are not leaving, without this one."""
        return [host for host in self.reachable() if not host.heartbeat.leaving]

    def count(self):
        """Returns the number of known hosts that are not leaving, with this one."""
        leaving = sum(
            host.heartbeat is not None and host.heartbeat.leaving
            for host in self.by_name.values()
        )
        return len(self.by_name) - leaving + 1

    def forget(self, name):
        """Removes a host that has stopped or is presumed to have."""
        if self.by_name.pop(name, None) is not None:
            log_event(Event.PEER_LOST, peer=name)

    async def run(self):
        """Sends heartbeats, and contacts the seeds while no host is reachable."""
        while True:
            if not self.reachable():
                self._contact_seeds()
            self._exchange_with_next()
            self.send_heartbeats()
            self._forget_silent()
            await anyio.sleep(HEARTBEAT_INTERVAL_S if self.by_name else JOIN_INTERVAL_S)

    def _contact_seeds(self):
        own_address = (self.own.ip, self.own.port)
        for seed in self._seeds:
            if seed != own_address:
                self._endpoint.send(Join(self.own), seed)

    def _exchange_with_next(self):
        """Asks the known hosts in turn for hosts that this one does not know."""
        now = anyio.current_time()
        if self.by_name and now >= self._exchanged_at + EXCHANGE_INTERVAL_S:
            self._exchanged_at = now
            names = sorted(self.by_name)
            host = self.by_name[names[self._round % len(names)]]
            self._endpoint.send(Join(self.own), host.address)

    def send_heartbeats(self):
        """Sends a heartbeat to each host that is due in this round.

        Among many hosts, only those that need the loads of replicas receive them, since
        the loads make up most of a heartbeat.
        """
        heartbeat = self._own_heartbeat()
        self._round += 1
        rounds = max(1, self.count() // HOSTS_PER_ROUND)
        full_names = (
            self.by_name.keys() if rounds == 1 else self._get_full_heartbeat_names()
        )
        short_heartbeat = msgspec.structs.replace(heartbeat, loads_by_replica={})
        for index, (name, host) in enumerate(self.by_name.items()):
            if name in full_names:
                self._endpoint.send(heartbeat, host.address)
            elif (index + self._round) % rounds == 0:
                self._endpoint.send(short_heartbeat, host.address)

    def _own_heartbeat(self):
        leader, term, age_s, loads, newest = self._get_state()
        return Heartbeat(self.own, leader, term, age_s, self.leaving, loads, newest)

    def send_leaving(self):
        """Tells all hosts that this one is leaving."""
        self.leaving = True
        heartbeat = self._own_heartbeat()
        for host in self.by_name.values():
            self._endpoint.send(heartbeat, host.address)

    def _forget_silent(self):
        now = anyio.current_time()
        for name, host in list(self.by_name.items()):
            if now - (host.heard_at or host.learned_at) > FORGET_TIMEOUT_S:
                self.forget(name)

    def _learn(self, info):
        """Adds a host, or replaces it if ``info`` describes a later process of it.

        Returns its KnownHost; None for this host itself.
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
        if is_new:
            self._endpoint.send(self._own_heartbeat(), host.address)
        for listener in self._listeners:
            listener(heartbeat)

    def _on_join(self, message, address):
        is_unknown = message.sender.name not in self.by_name
        host = self._learn(message.sender)
        if host is None:
            return
        if is_unknown:
            # Hosts that start at the same time do not know each other yet.
            for other in self.by_name.values():
                self._endpoint.send(KnownHosts((message.sender,)), other.address)
        infos = [self.own, *(item.info for item in self.by_name.values())]
        for start in range(0, len(infos), HOSTS_PER_DATAGRAM):
            part = tuple(infos[start : start + HOSTS_PER_DATAGRAM])
            self._endpoint.send(KnownHosts(part), host.address)
        self._endpoint.send(self._own_heartbeat(), host.address)

    def _on_known_hosts(self, message, address):
        for info in message.hosts:
            is_unknown = info.name not in self.by_name
            host = self._learn(info)
            if host is not None and is_unknown:
                self._endpoint.send(self._own_heartbeat(), host.address)
