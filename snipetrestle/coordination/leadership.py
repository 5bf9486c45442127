"""Agrees on the one host that orders the replicas, without shared state.

The leader sends beats to all hosts. It leads only while it hears a majority of the
hosts that it knows. Another host follows it after the leader's process has certainly
ended, or after a silence that is longer than the leader's lease. Replicas that check
fencing tokens refuse a leader that was replaced while it stood still.
"""

import asyncio
import time

import anyio
import xxhash

from snipetrestle.coordination.hosts import BEAT_S, REACHABLE_S
from snipetrestle.events import Event, log_event

TICK_S = 0.2
# A leader that was not heard for this long is probed.
SILENT_S = 1.3
# A leader that hears no majority for this long, beyond REACHABLE_S, stops to order.
LOST_MAJORITY_S = 0.2
# A cut-off leader has stopped this long after its last beat that was heard.
STOPPED_S = REACHABLE_S + LOST_MAJORITY_S + 2 * TICK_S
# How long a host that knows no leader listens before it leads, and how long if it
# hears less than half of its seeds, which may be cut off from it.
START_S = 0.45
FEW_SEEDS_START_S = 1.6
# A host that hears nobody may be cut off: its predecessors' leases must have ended.
ALONE_START_S = 6.0
PROBE_TIMEOUT_S = 0.3
# A wall clock may be this far off, so a refused token is raised by more than that.
CLOCK_SKEW_MS = 20_000
# The low bits of a token name the host, so that two hosts never use the same one.
HOST_BITS = 10
# A gap between the clock that stands still and the one that does not.
FREEZE_S = 0.5
CANDIDATES = 3


def next_token(known_token, host_name, now_ms):
    """Returns a fencing token above ``known_token`` that no other host uses."""
    counter = max((known_token >> HOST_BITS) + 1, now_ms)
    return (counter << HOST_BITS) | xxhash.xxh32_intdigest(host_name.encode()) % (
        1 << HOST_BITS
    )


def stood_still_s():
    """Returns how long this machine stood still since its start, in seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.clock_gettime(
        time.CLOCK_MONOTONIC
    )


class Leadership:
    """Who leads, as this host sees it.

    ``probe(host)`` returns True if the host's process has certainly ended.
    ``lease_s`` is the time within which two leaders may not take turns.
    """

    def __init__(self, hosts, lease_s, probe):
        self._hosts = hosts
        self._lease_s = lease_s
        self._probe = probe
        self._started_at = anyio.current_time()
        self._leader_heard_at = None
        self._leader_boot = 0
        self._resigned = False
        self._leader_ended = False
        self._majority_at = None
        self._still_s = stood_still_s()
        self.leader = ""
        self.term = 0
        self.leads = False
        self._listeners = []
        hosts.on_beat(self._on_beat)

    def on_change(self, listener):
        """Registers ``listener()``, called when this host or another starts to lead."""
        self._listeners.append(listener)

    def leader_age_s(self):
        """Returns how long ago the leader was heard; -1 if there is none."""
        if self.leads:
            return 0.0
        if self._leader_heard_at is None:
            return -1.0
        return anyio.current_time() - self._leader_heard_at

    @property
    def is_known(self):
        """Whether a leader was heard lately, or this host leads."""
        return 0 <= self.leader_age_s() < SILENT_S

    def leader_address(self):
        """Returns the leader's address; None if it is unknown or this host."""
        host = self._hosts.by_name.get(self.leader)
        return None if host is None else host.address

    def urgent_names(self):
        """Returns the hosts that need each of this host's beats."""
        if self.leads:
            return self._hosts.by_name.keys()
        return {self.leader, *self._candidates()[:CANDIDATES]}

    def check_still_leading(self):
        """Tells whether this host may order now; it may have stood still meanwhile."""
        self._note_freeze()
        return self.leads

    @property
    def holder(self):
        """The name under which this host orders."""
        return self._hosts.own.name

    def note_token_refused(self):
        """Resigns after a replica refused this host's token.

        Another host has led with a higher one. If it does not any more, its clock was
        ahead, and this host leads again with a token above it.
        """
        self.resign("a replica has seen a higher token")
        now_ms = int(time.time() * 1000) + CLOCK_SKEW_MS
        self.term = next_token(self.term, self._hosts.own.name, now_ms)

    def resign(self, reason):
        """Stops to order."""
        if not self.leads:
            return
        self.leads = False
        self.leader = ""
        # Only this host can have ordered since, so it need not wait for its own lease.
        self._leader_heard_at = None
        self._resigned = True
        self._started_at = anyio.current_time()
        log_event(Event.LEADERSHIP_LOST, term=self.term, reason=reason)
        self._notify()

    async def run(self):
        while True:
            await anyio.sleep(TICK_S)
            self._note_freeze()
            if self.leads:
                self._check_majority()
            elif not self._hosts.leaving:
                await self._consider()

    def _note_freeze(self):
        still_s = stood_still_s()
        if still_s - self._still_s > FREEZE_S:
            log_event(
                Event.PROCESS_RESUMED, stood_still_s=round(still_s - self._still_s, 2)
            )
            self.resign("this process stood still")
        self._still_s = still_s

    def _has_majority(self):
        reachable = len(self._hosts.staying()) + 1
        return reachable * 2 > self._hosts.count()

    def _check_majority(self):
        now = anyio.current_time()
        if self._has_majority():
            self._majority_at = now
        elif now - self._majority_at > LOST_MAJORITY_S:
            self.resign("no majority of the hosts is reachable")

    def _candidates(self):
        """Returns the names of the reachable hosts, in the order in which they lead."""
        infos = [host.info for host in self._hosts.staying()]
        infos.append(self._hosts.own)
        # In a rolling restart, the host that started last is not stopped next.
        infos.sort(key=lambda info: (-info.size, -info.boot, info.name))
        return [info.name for info in infos]

    async def _consider(self):
        """Leads if no leader can be at work any more and this host is next."""
        now = anyio.current_time()
        age_s = self.leader_age_s()
        if 0 <= age_s < SILENT_S and not self._leader_ended:
            return
        start_s = START_S if self._hosts.hears_seeds() else FEW_SEEDS_START_S
        if now - self._started_at < start_s or not self._has_majority():
            return
        is_alone = not self._hosts.reachable() and not self._hosts.is_only_host
        if is_alone and now - self._started_at < ALONE_START_S:
            return
        if self._is_leader_heard_by_others():
            return
        if self._candidates()[0] != self._hosts.own.name and not self._resigned:
            return
        if age_s >= 0 and not self._leader_ended:
            await self._probe_leader(age_s)
            return
        self._lead()

    async def _probe_leader(self, age_s):
        host = self._hosts.by_name.get(self.leader)
        lease_over = age_s > self._lease_s + STOPPED_S
        if lease_over or (host is not None and await self._probe(host)):
            self._leader_ended = True

    def _is_leader_heard_by_others(self):
        # A beat says what was known when it was sent, so its own age is added.
        now = anyio.current_time()
        for host in self._hosts.reachable():
            beat = host.beat
            if beat.leader_age_s < 0 or not beat.leader:
                continue
            if beat.leader == self._hosts.own.name:
                # An earlier process of this host.
                continue
            if beat.leader == self.leader and self._leader_ended:
                continue
            if beat.leader_age_s + now - host.heard_at < SILENT_S + BEAT_S:
                return True
        return False

    def _lead(self):
        known = max([self.term, *(host.beat.term for host in self._hosts.reachable())])
        self.term = next_token(known, self._hosts.own.name, int(time.time() * 1000))
        self.leads = True
        self._resigned = False
        self.leader = self._hosts.own.name
        self._majority_at = anyio.current_time()
        log_event(
            Event.LEADERSHIP_GAINED,
            term=self.term,
            hosts=self._hosts.count(),
            reachable=len(self._hosts.reachable()) + 1,
        )
        self._hosts.send_beats()
        self._notify()

    def _on_beat(self, beat):
        name = beat.sender.name
        if beat.leaving and name == self.leader:
            self._leader_ended = True
            return
        if beat.leader != name or beat.leader_age_s != 0:
            self._yield_to(beat)
            if name == self.leader and beat.sender.boot != self._leader_boot:
                self._leader_ended = True
            return
        if beat.term < self.term:
            return
        if self.leads:
            self.resign(f"{name} leads with a higher token")
        changed = name != self.leader
        self.leader = name
        self.term = beat.term
        self._leader_boot = beat.sender.boot
        self._resigned = False
        self._leader_heard_at = anyio.current_time()
        self._leader_ended = False
        if changed:
            log_event(Event.LEADER_CHANGED, leader=name, term=beat.term)
            self._notify()

    def _yield_to(self, beat):
        """Resigns if a follower's beat shows that another host leads by a later token.

        Two leaders may not hear each other while others hear both.
        """
        is_fresh = 0 <= beat.leader_age_s < SILENT_S
        is_other = beat.leader != self._hosts.own.name and beat.term > self.term
        if self.leads and is_fresh and is_other:
            self.resign(f"{beat.leader} leads with a higher token")

    def _notify(self):
        for listener in self._listeners:
            listener()


async def has_ended(host):
    """Tells whether a host's process has ended: its host refuses connections."""
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host.info.ip, host.info.port)
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False
    writer.close()
    return False
