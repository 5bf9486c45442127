"""The hosts that this host knows, learned from seeds and heartbeats."""

import anyio
import msgspec

from snipetrestle.coordination.messages import Beat, Join, KnownHosts
from snipetrestle.events import Event, log_event

BEAT_S = 0.5
# A host that was not heard for this long is not counted as reachable.
REACHABLE_S = 1.6
# A host that was not heard for this long is forgotten.
FORGET_S = 10.0
# Above this number of hosts, beats to all hosts are sent less often.
FREQUENT_HOSTS = 16
HOSTS_IN_DATAGRAM = 12
JOIN_S = 0.25
# How often another host is asked for the hosts that it knows.
EXCHANGE_S = 2.0


class KnownHost:
    """A host, and what its last beat said."""

    __slots__ = ("info", "heard_at", "beat", "listed_at")

    def __init__(self, info, listed_at):
        self.info = info
        self.heard_at = None
        self.beat = None
        self.listed_at = listed_at

    @property
    def address(self):
        return (self.info.ip, self.info.port)


class Hosts:
    """Membership by heartbeats over UDP.

    ``describe()`` returns (leader, term, leader_age_s, loads, newest_by_prefix) for
    the own beats; ``urgent()`` names the hosts that get a beat each time.
    """

    def __init__(self, own, seeds, endpoint, describe, urgent):
        self.own = own
        self.leaving = False
        self.by_name = {}
        # The most hosts known at one time since the start.
        self.most_known = 1
        self._seeds = seeds
        self._endpoint = endpoint
        self._describe = describe
        self._urgent = urgent
        self._listeners = []
        self._round = 0
        self._exchanged_at = 0.0
        endpoint.register(Beat, self._on_beat)
        endpoint.register(Join, self._on_join)
        endpoint.register(KnownHosts, self._on_known_hosts)

    def set_seeds(self, seeds):
        self._seeds = seeds

    def on_beat(self, listener):
        """Registers ``listener(beat)``, called for each beat of another host."""
        self._listeners.append(listener)

    def reachable(self):
        """Returns the hosts that were heard lately, without this one."""
        since = anyio.current_time() - REACHABLE_S
        return [
            host
            for host in self.by_name.values()
            if host.heard_at is not None and host.heard_at >= since
        ]

    def hears_seeds(self):
        """Tells whether at least half of the seeds, without this host, are heard."""
        seeds = set(self._seeds) - {(self.own.ip, self.own.port)}
        heard = {host.address for host in self.reachable()}
        return 2 * len(seeds & heard) >= len(seeds)

    @property
    def is_only_host(self):
        """Whether no other host is known, and no seed names one."""
        return not self.by_name and set(self._seeds) <= {(self.own.ip, self.own.port)}

    def staying(self):
        """Returns the hosts that were heard lately and do not stop, without this one."""
        return [host for host in self.reachable() if not host.beat.leaving]

    def count(self):
        """Returns the number of known hosts that do not stop, with this one."""
        leaving = sum(
            host.beat is not None and host.beat.leaving
            for host in self.by_name.values()
        )
        return len(self.by_name) - leaving + 1

    def forget(self, name):
        """Drops a host that has certainly stopped."""
        if self.by_name.pop(name, None) is not None:
            log_event(Event.PEER_LOST, peer=name)

    async def run(self):
        """Sends beats, and asks the seeds while no host is known."""
        while True:
            if not self.reachable():
                self._ask_seeds()
            self._ask_next()
            self.send_beats()
            self._forget_silent()
            await anyio.sleep(BEAT_S if self.by_name else JOIN_S)

    def _ask_seeds(self):
        own_address = (self.own.ip, self.own.port)
        for seed in self._seeds:
            if seed != own_address:
                self._endpoint.send(Join(self.own), seed)

    def _ask_next(self):
        """Asks one host after the other for hosts that this one does not know."""
        now = anyio.current_time()
        if self.by_name and now >= self._exchanged_at + EXCHANGE_S:
            self._exchanged_at = now
            names = sorted(self.by_name)
            host = self.by_name[names[self._round % len(names)]]
            self._endpoint.send(Join(self.own), host.address)

    def send_beats(self):
        """Sends a beat to each host that is due.

        Among many hosts, only those that need the loads of replicas are told of them:
        they make up most of a beat.
        """
        beat = self._own_beat()
        self._round += 1
        rounds = max(1, self.count() // FREQUENT_HOSTS)
        urgent = self.by_name.keys() if rounds == 1 else self._urgent()
        short_beat = msgspec.structs.replace(beat, loads_by_replica={})
        for index, (name, host) in enumerate(self.by_name.items()):
            if name in urgent:
                self._endpoint.send(beat, host.address)
            elif (index + self._round) % rounds == 0:
                self._endpoint.send(short_beat, host.address)

    def _own_beat(self):
        leader, term, age_s, loads, newest = self._describe()
        return Beat(self.own, leader, term, age_s, self.leaving, loads, newest)

    def send_leaving(self):
        """Tells all hosts that this one stops."""
        self.leaving = True
        beat = self._own_beat()
        for host in self.by_name.values():
            self._endpoint.send(beat, host.address)

    def _forget_silent(self):
        now = anyio.current_time()
        for name, host in list(self.by_name.items()):
            if now - (host.heard_at or host.listed_at) > FORGET_S:
                self.forget(name)

    def _learn(self, info):
        if info.name == self.own.name:
            return None
        known = self.by_name.get(info.name)
        if known is not None and not self._is_newer(info, known):
            return known
        if known is None:
            log_event(Event.PEER_JOINED, peer=info.name, boot=info.boot)
        host = KnownHost(info, anyio.current_time())
        self.by_name[info.name] = host
        self.most_known = max(self.most_known, self.count())
        return host

    @staticmethod
    def _is_newer(info, known):
        """Tells whether ``info`` is of a later process than the known one.

        After a step of the clock, a later process may have an earlier boot time; then
        the known one is silent.
        """
        if info.boot == known.info.boot:
            return False
        heard_at = known.heard_at or known.listed_at
        is_silent = anyio.current_time() - heard_at > 2 * BEAT_S
        return info.boot > known.info.boot or is_silent

    def _on_beat(self, beat, address):
        known = self.by_name.get(beat.sender.name)
        is_other = known is not None and known.info.boot != beat.sender.boot
        if is_other and not self._is_newer(beat.sender, known):
            return
        is_new = known is None or known.heard_at is None
        host = self._learn(beat.sender)
        if host is None:
            return
        # A host that stops is still told who leads, since it still serves requests.
        host.heard_at = anyio.current_time()
        host.beat = beat
        if is_new:
            self._endpoint.send(self._own_beat(), host.address)
        for listener in self._listeners:
            listener(beat)

    def _on_join(self, message, address):
        is_unknown = message.sender.name not in self.by_name
        host = self._learn(message.sender)
        if host is None:
            return
        if is_unknown:
            # Hosts that start together do not know each other yet.
            for other in self.by_name.values():
                self._endpoint.send(KnownHosts((message.sender,)), other.address)
        infos = [self.own, *(item.info for item in self.by_name.values())]
        for start in range(0, len(infos), HOSTS_IN_DATAGRAM):
            part = tuple(infos[start : start + HOSTS_IN_DATAGRAM])
            self._endpoint.send(KnownHosts(part), host.address)
        self._endpoint.send(self._own_beat(), host.address)

    def _on_known_hosts(self, message, address):
        for info in message.hosts:
            is_unknown = info.name not in self.by_name
            host = self._learn(info)
            if host is not None and is_unknown:
                self._endpoint.send(self._own_beat(), host.address)
