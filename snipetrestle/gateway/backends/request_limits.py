"""Keeps this host's part of the request limits that replicas name.

A replica in need names the requests a second that it takes from all hosts together. The
hosts divide this without asking each other: each sender gets an equal part, and sends
at even intervals. Among many hosts only a few send to such a replica, chosen by
rendezvous hashing, so that requests which all of them send at once are few as well.
"""

import math

import anyio

from snipetrestle.events import Event, log_event
from snipetrestle.hashing import host_score

# The senders to a replica are as many as the requests that it takes in this time, and
# MIN_SENDERS more.
SENDERS_PER_LIMIT_S = 2.0
MIN_SENDERS = 3
USE_LOG_INTERVAL_S = 4.0


class RequestLimit:
    """The limit that one replica names, and what this host sends under it.

    ``per_s`` is None without a limit, and ``was_named`` tells whether there ever was
    one. ``noted_at`` is the time of the response that named it, or named none; None
    before the first response. ``next_send_at`` is when this host may send again; None
    if it was not determined yet.
    ``sent_without_choice`` counts requests that no other replica could take.
    """

    __slots__ = (
        "replica_id",
        "per_s",
        "noted_at",
        "was_named",
        "next_send_at",
        "sent",
        "sent_without_choice",
        "_counted_since",
    )

    def __init__(self, replica_id):
        self.replica_id = replica_id
        self.per_s = None
        self.noted_at = None
        self.was_named = False
        self.next_send_at = None
        self._restart_counts(0.0)

    @property
    def is_limited(self):
        return self.per_s is not None

    def note(self, per_s, noted_at):
        """Takes the limit of a response, on this or another host; None for none."""
        if self.noted_at is not None and noted_at < self.noted_at:
            return
        self.noted_at = noted_at
        if per_s != self.per_s:
            log_event(
                Event.REPLICA_LIMIT_CHANGED,
                replica=self.replica_id,
                limit_per_s=per_s,
            )
            if self.per_s is None:
                self.next_send_at = None
            self.per_s = per_s
            self.was_named = True
            self._restart_counts(noted_at)
        elif per_s is not None and noted_at - self._counted_since >= USE_LOG_INTERVAL_S:
            log_event(
                Event.REPLICA_LIMIT_USE,
                replica=self.replica_id,
                limit_per_s=per_s,
                sent=self.sent,
                sent_without_choice=self.sent_without_choice,
                seconds=round(noted_at - self._counted_since, 2),
            )
            self._restart_counts(noted_at)

    def _restart_counts(self, now):
        self._counted_since = now
        self.sent = 0
        self.sent_without_choice = 0


class RequestLimits:
    """Tells when this host may send to replicas, whose RequestLimits it divides.

    ``hosts`` has ``sender_names()``, the names of all hosts that send requests, which
    is the same object as long as they are the same, ``max_known``, the largest number
    of hosts so far, and ``own.name``.
    """

    def __init__(self, hosts, rng):
        self._hosts = hosts
        self._rng = rng
        self._names = None
        # The number of senders, 0 if this host is none, by replica id and limit.
        self._sender_count_by_limit = {}

    def wait_s(self, limit):
        """Returns the time until this host may send; infinite if it is no sender."""
        if limit.per_s is None:
            return 0.0
        interval_s = self._interval_s(limit)
        if interval_s == math.inf:
            return math.inf
        now = anyio.current_time()
        if limit.next_send_at is None or limit.next_send_at < now - interval_s:
            # All hosts learn of a limit, or lose their leader, at nearly the same time.
            limit.next_send_at = now + self._rng.random() * interval_s
        return max(0.0, limit.next_send_at - now)

    def issued_fraction(self):
        """Returns the part of the limits that this host may issue to all as a leader.

        A leader that knows only a minority of the hosts may be cut off from the others,
        which follow another one.
        """
        known = len(self._hosts.sender_names())
        if 2 * known > self._hosts.max_known:
            return 1.0
        return known / self._hosts.max_known

    def take(self, limit):
        """Counts a request that is sent after ``wait_s``."""
        wait_s = self.wait_s(limit)
        if limit.per_s is not None and wait_s < math.inf:
            limit.next_send_at = anyio.current_time() + wait_s + self._interval_s(limit)

    def _interval_s(self, limit):
        """Returns the time between two requests of this host."""
        names = self._hosts.sender_names()
        if names is not self._names:
            self._names = names
            self._sender_count_by_limit.clear()
        key = (limit.replica_id, limit.per_s)
        count = self._sender_count_by_limit.get(key)
        if count is None:
            count = self._count_senders(limit, names)
            self._sender_count_by_limit[key] = count
        return count / limit.per_s if count else math.inf

    def _count_senders(self, limit, names):
        """Returns by how many a limit is divided, 0 if this host may not send."""
        senders = senders_to(limit.replica_id, limit.per_s, names)
        if self._hosts.own.name not in senders:
            return 0
        if len(names) < self._hosts.max_known:
            # This host may be cut off from others that still send.
            return self._hosts.max_known
        return len(senders)


def senders_to(replica_id, limit_per_s, host_names):
    """Returns the names of the hosts that may send to a replica with a limit."""
    max_senders = int(SENDERS_PER_LIMIT_S * limit_per_s) + MIN_SENDERS
    if len(host_names) <= max_senders:
        return set(host_names)
    # The lowest scores count here.
    ranked = sorted(host_names, key=lambda name: host_score(replica_id, name))
    return set(ranked[:max_senders])
