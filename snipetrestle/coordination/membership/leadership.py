"""Elects the one host that orders the replicas, without shared storage.

The leader sends heartbeats to all hosts, and leads only while it hears from a majority
of the hosts that it knows. Another host succeeds it once the leader's process is known
to have ended, or after a silence that is longer than the leader's lease. Replicas that
check fencing tokens refuse a leader that was replaced while it was suspended.

Lost hosts may be gone for good, or behind a cut and follow another leader. A host that
cannot rule that out leads only after the replicas have taken no orders for a lease.
"""

import asyncio
import math
import time

import anyio
import xxhash

from snipetrestle.coordination.membership.hosts import (
    HEARTBEAT_INTERVAL_S,
    REACHABLE_TIMEOUT_S,
)
from snipetrestle.coordination.messaging.messages import MAX_UNREACHED, name_digest
from snipetrestle.events import Event, log_event

CHECK_INTERVAL_S = 0.2
# A leader that was not heard from for this long is probed.
LEADER_TIMEOUT_S = 1.3
# A leader resigns after this long without a majority, in addition to the
# REACHABLE_TIMEOUT_S after which hosts no longer count as reachable.
MAJORITY_LOSS_TIMEOUT_S = 0.2
# A leader that was cut off has resigned this long after its last received heartbeat.
CUT_OFF_LEADER_RESIGNS_S = (
    REACHABLE_TIMEOUT_S + MAJORITY_LOSS_TIMEOUT_S + 2 * CHECK_INTERVAL_S
)
# How long a host that knows no leader listens before it may become leader.
ELECTION_DELAY_S = 0.45
# The same if it reaches less than half of its seeds, which may be cut off from it.
FEW_SEEDS_ELECTION_DELAY_S = 1.6
# The same if it reaches no host: it may be cut off, so the leases of earlier leaders
# must have ended.
ALONE_ELECTION_DELAY_S = 6.0
PROBE_TIMEOUT_S = 0.3
# Clocks may differ by this much, so a refused fencing token is raised by more.
MAX_CLOCK_SKEW_MS = 20_000
# The low bits of a fencing token identify the host, so that no two hosts use the same.
HOST_BITS = 10
# A shorter suspension is ignored.
MIN_SUSPENSION_S = 0.5
# A minority waits this much longer than a majority: the orders of a new leader of the
# majority showed to it up to 2 s after the election (0.9 s until the first order, then
# the delay of reports and the interval at which they are read).
MINORITY_DELAY_S = 3.0
# Minorities that are cut off from each other and all see no leader wait up to this much
# longer still, each differently, so that not all of them lead at once.
SPLIT_DELAY_S = 4.0
# A leader that heard no majority leaves the lead to the others for this long, which is
# longer than they need to notice. One that precedes it may be heard, and hear nobody.
RETURN_DELAY_S = 6.0
# Number of likely next leaders to which all hosts send heartbeats.
ANNOUNCED_CANDIDATES = 3


def next_token(known_token, host_name, now_ms):
    """Returns a fencing token above ``known_token`` that no other host uses."""
    counter = max((known_token >> HOST_BITS) + 1, now_ms)
    return (counter << HOST_BITS) | xxhash.xxh32_intdigest(host_name.encode()) % (
        1 << HOST_BITS
    )


def total_suspended_s():
    """Returns how long this machine was suspended since its boot, in seconds.

    CLOCK_MONOTONIC stops during a suspension, CLOCK_BOOTTIME does not.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.clock_gettime(
        time.CLOCK_MONOTONIC
    )


class Leadership:
    """This host's view of the leader election, and its part in it.

    ``probe(host)`` returns True if the host's process is known to have ended.
    ``order_activity`` is the OrderActivity of the replicas. ``lease_s`` is the minimum
    time between two leaders, unless the first is known to have ended. ``term`` is the
    fencing token of the leader.
    """

    def __init__(self, hosts, lease_s, probe, order_activity):
        self._hosts = hosts
        self._lease_s = lease_s
        self._probe = probe
        self._order_activity = order_activity
        self._started_at = anyio.current_time()
        self._leader_heard_at = None
        self._leader_boot = 0
        self._announced_candidates = ()
        self._announced_reached = 0
        self._announced_unreached = ()
        # When this host, which was the last leader, may lead again before those that
        # precede it.
        self._returns_at = math.inf
        # Whether the last leader can lead no more, and whether its process has ended.
        self._leader_ended = False
        self._leader_process_ended = False
        self._majority_at = None
        self._logged_doubt = ""
        # Whether a replica has refused this host's last token.
        self._token_refused = False
        self._suspended_s = total_suspended_s()
        self.leader = ""
        self.term = 0
        self.leads = False
        self._listeners = []
        hosts.on_heartbeat(self._on_heartbeat)

    def on_change(self, listener):
        """Registers ``listener()``, called when this host or another becomes leader."""
        self._listeners.append(listener)

    def leader_age_s(self):
        """Returns the seconds since the leader was heard from; -1 if there is none."""
        if self.leads:
            return 0.0
        if self._leader_heard_at is None:
            return -1.0
        return anyio.current_time() - self._leader_heard_at

    @property
    def has_recent_leader(self):
        """Whether a leader was heard from recently, or this host leads."""
        return 0 <= self.leader_age_s() < LEADER_TIMEOUT_S

    def leader_address(self):
        """Returns the leader's address; None if it is unknown or this host."""
        host = self._hosts.by_name.get(self.leader)
        return None if host is None else host.address

    def next_leaders(self):
        """Returns the names of the likely next leaders, as the leader determines them.

        These must hear from a majority of the hosts in order to succeed the leader.
        """
        if not self.leads:
            return self._announced_candidates
        names = [name for name in self._candidates() if name != self._hosts.own.name]
        return tuple(names[:ANNOUNCED_CANDIDATES])

    def reached_count(self):
        """Returns the number of hosts that the leader reaches, with itself.

        Returns 0 without a recent leader that has told it.
        """
        if self.leads:
            return len(self._hosts.reachable_staying()) + 1
        return self._announced_reached if self.has_recent_leader else 0

    def leaderless_count(self):
        """Returns the number of hosts that this one hears without a leader, with itself.

        Without a leader all hosts send heartbeats to all.
        """
        return 1 + sum(
            not 0 <= host.heartbeat.leader_age_s < LEADER_TIMEOUT_S
            for host in self._hosts.reachable_staying()
        )

    def unreached_digests(self):
        """Returns the digests of the names of known hosts that the leader misses."""
        if not self.leads:
            return self._announced_unreached
        reached = {host.info.name for host in self._hosts.reachable()}
        reached.add(self._hosts.own.name)
        missing = [name for name in self._hosts.staying_names() if name not in reached]
        return tuple(name_digest(name) for name in missing[:MAX_UNREACHED])

    def check_still_leading(self):
        """Tells whether this host may order now; resigns if it was suspended."""
        self._check_suspension()
        return self.leads

    @property
    def holder(self):
        """This host's name, sent with orders as the holder of the fencing token."""
        return self._hosts.own.name

    def on_token_refused(self):
        """Resigns after a replica refused this host's fencing token.

        Another host has led with a higher token. If it no longer leads, its clock was
        ahead, and this host becomes leader again with a token above it. If it does, it
        may not be heard here, and two leaders would raise their tokens in turns.
        """
        self.resign("a replica has seen a higher fencing token")
        self._token_refused = True
        now_ms = int(time.time() * 1000) + MAX_CLOCK_SKEW_MS
        self.term = next_token(self.term, self._hosts.own.name, now_ms)

    def resign(self, reason, may_return=True):
        """Gives up the leadership. Does nothing if this host does not lead.

        If it ``may_return`` at once, it may lead again before the hosts that precede it,
        else only after RETURN_DELAY_S without another leader.
        """
        if not self.leads:
            return
        self.leads = False
        self.leader = ""
        # Only this host can have sent orders since, so it need not wait for its own
        # lease.
        self._leader_heard_at = None
        self._started_at = anyio.current_time()
        self._returns_at = self._started_at + (0.0 if may_return else RETURN_DELAY_S)
        log_event(Event.LEADERSHIP_LOST, term=self.term, reason=reason)
        self._notify()

    async def run(self):
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            self._check_suspension()
            if self.leads:
                self._check_majority()
            elif not self._hosts.leaving:
                await self._try_to_lead()

    def _check_suspension(self):
        suspended_s = total_suspended_s()
        if suspended_s - self._suspended_s > MIN_SUSPENSION_S:
            log_event(
                Event.PROCESS_RESUMED,
                stood_still_s=round(suspended_s - self._suspended_s, 2),
            )
            self.resign("this process was suspended")
        self._suspended_s = suspended_s

    def _has_majority(self, lost_names=()):
        """Whether most of the known hosts, and of some lost ones, are reachable.

        Of an even split, the half with the first host by name counts as the majority.
        """
        reachable = {host.info.name for host in self._hosts.reachable_staying()}
        reachable.add(self._hosts.own.name)
        voters = {*self._hosts.staying_names(), *lost_names}
        if 2 * len(reachable) == len(voters):
            return min(voters) in reachable
        return 2 * len(reachable) > len(voters)

    def _check_majority(self):
        now = anyio.current_time()
        if self._has_majority():
            self._majority_at = now
        elif now - self._majority_at > MAJORITY_LOSS_TIMEOUT_S:
            # It may be too busy to receive their heartbeats as long as it leads.
            self.resign("no majority of the hosts is reachable", may_return=False)

    def _candidates(self):
        """Returns the names of the reachable hosts, by precedence for leadership."""
        infos = [host.info for host in self._hosts.reachable_staying()]
        infos.append(self._hosts.own)
        # In a rolling restart, the host that started last is not the next to stop.
        infos.sort(key=lambda info: (-info.size, -info.boot, info.name))
        return [info.name for info in infos]

    async def _try_to_lead(self):
        """Becomes leader if no other leader can be active and this host is next."""
        now = anyio.current_time()
        age_s = self.leader_age_s()
        if 0 <= age_s < LEADER_TIMEOUT_S and not self._leader_ended:
            return
        delay_s = (
            ELECTION_DELAY_S
            if self._hosts.reaches_half_of_seeds()
            else FEW_SEEDS_ELECTION_DELAY_S
        )
        is_next = self._candidates()[0] == self._hosts.own.name
        if not is_next and now < self._returns_at:
            return
        # Asked before the other conditions, since replicas are watched from then on.
        doubt = self._find_doubt()
        is_quiet = not doubt or self._are_replicas_quiet()
        if now - self._started_at < delay_s or self._is_leader_heard_by_others():
            return
        if not self._has_majority():
            return
        is_alone = not self._hosts.reachable() and not self._hosts.is_only_host
        if is_alone and now - self._started_at < ALONE_ELECTION_DELAY_S:
            return
        if age_s >= 0 and not self._leader_ended:
            await self._probe_leader(age_s)
        elif is_quiet:
            self._become_leader(doubt)
        else:
            self._log_doubt(doubt)

    async def _probe_leader(self, age_s):
        host = self._hosts.by_name.get(self.leader)
        if host is not None and await self._probe(host):
            self._set_leader_process_ended()
            return
        # Watched from now on, since hosts that are still silent may become lost ones.
        self._are_replicas_quiet()
        if age_s > self._lease_s + CUT_OFF_LEADER_RESIGNS_S:
            self._leader_ended = True

    def _set_leader_process_ended(self):
        self._leader_ended = True
        self._leader_process_ended = True

    def _are_replicas_quiet(self):
        """Whether the replicas have taken no orders, of any holder, for long enough."""
        wanted_s = self._lease_s + self._split_delay_s()
        return self._order_activity.quiet_s() >= wanted_s

    def _log_doubt(self, doubt):
        if doubt != self._logged_doubt:
            self._logged_doubt = doubt
            log_event(
                Event.ELECTION_IN_DOUBT,
                reason=doubt,
                reachable=len(self._hosts.reachable()) + 1,
                lost=len(self._hosts.lost.by_name),
            )

    def _find_doubt(self):
        """Returns why hosts that are not heard may follow a leader, else an empty text."""
        if self._token_refused and not self._hosts.reaches_all():
            return "a replica has seen a higher fencing token"
        lost_names = self._hosts.lost.by_name.keys()
        if not self._has_majority(lost_names):
            return "most of the hosts are not reachable"
        if lost_names and not self._leader_process_ended:
            return "the last leader may be cut off with the lost hosts"
        if not self.term and not self._hosts.reaches_all_seeds():
            # This host has not learned yet how many hosts there are.
            return "a seed may be cut off with others"
        return ""

    def _split_delay_s(self):
        """Returns the additional wait of a minority, which differs between minorities.

        It is 0 for a host that reaches a majority, so that this one leads first.
        """
        lost_names = self._hosts.lost.by_name.keys()
        if self._has_majority(lost_names):
            return 0.0
        names = sorted({*self._hosts.staying_names(), *lost_names})
        own_part = names.index(self._hosts.own.name) / len(names)
        return MINORITY_DELAY_S + SPLIT_DELAY_S * own_part

    def _is_leader_heard_by_others(self):
        # The age in a heartbeat is as of its sending, so the age of the heartbeat is
        # added.
        now = anyio.current_time()
        for host in self._hosts.reachable():
            heartbeat = host.heartbeat
            if heartbeat.leader_age_s < 0 or not heartbeat.leader:
                continue
            if heartbeat.leader == self._hosts.own.name:
                # An earlier process of this host.
                continue
            if heartbeat.leader == self.leader and self._leader_ended:
                continue
            if (
                heartbeat.leader_age_s + now - host.heard_at
                < LEADER_TIMEOUT_S + HEARTBEAT_INTERVAL_S
            ):
                return True
        return False

    def _become_leader(self, doubt=""):
        known = max(
            [self.term, *(host.heartbeat.term for host in self._hosts.reachable())]
        )
        self.term = next_token(known, self._hosts.own.name, int(time.time() * 1000))
        self.leads = True
        self._returns_at = math.inf
        self.leader = self._hosts.own.name
        self._majority_at = anyio.current_time()
        log_event(
            Event.LEADERSHIP_GAINED,
            term=self.term,
            hosts=self._hosts.count(),
            reachable=len(self._hosts.reachable()) + 1,
            lost=len(self._hosts.lost.by_name),
            doubt=doubt,
        )
        self._logged_doubt = ""
        self._token_refused = False
        self._hosts.send_heartbeats()
        self._notify()

    def _on_heartbeat(self, heartbeat):
        name = heartbeat.sender.name
        if heartbeat.leaving and name == self.leader:
            self._set_leader_process_ended()
            return
        if heartbeat.leader != name or heartbeat.leader_age_s != 0:
            self._resign_if_superseded(heartbeat)
            if name == self.leader and heartbeat.sender.boot != self._leader_boot:
                self._set_leader_process_ended()
            return
        if heartbeat.term < self.term:
            # A leader behind a healed cut may not hear of its successor otherwise.
            sender = heartbeat.sender
            self._hosts.send_own_heartbeat((sender.ip, sender.port))
            return
        if self.leads:
            self.resign(f"{name} leads with a higher fencing token")
        changed = name != self.leader
        self.leader = name
        self.term = heartbeat.term
        self._leader_boot = heartbeat.sender.boot
        if heartbeat.is_announcement:
            self._announced_candidates = heartbeat.candidates
            self._announced_reached = heartbeat.reached
            self._announced_unreached = heartbeat.unreached
        self._returns_at = math.inf
        self._token_refused = False
        self._leader_heard_at = anyio.current_time()
        self._leader_ended = False
        self._leader_process_ended = False
        if changed:
            self._logged_doubt = ""
            log_event(Event.LEADER_CHANGED, leader=name, term=heartbeat.term)
            self._notify()

    def _resign_if_superseded(self, heartbeat):
        """Resigns if a follower's heartbeat shows another leader with a higher token.

        Two leaders may be cut off from each other while other hosts hear both.
        """
        is_recent = 0 <= heartbeat.leader_age_s < LEADER_TIMEOUT_S
        is_other = (
            heartbeat.leader != self._hosts.own.name and heartbeat.term > self.term
        )
        if self.leads and is_recent and is_other:
            self.resign(f"{heartbeat.leader} leads with a higher fencing token")

    def _notify(self):
        for listener in self._listeners:
            listener()


async def has_ended(host):
    """Tells whether a host's process has ended: its machine refuses connections."""
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host.info.ip, host.info.port)
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False
    writer.close()
    return False
