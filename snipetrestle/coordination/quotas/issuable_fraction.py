"""Decides which fraction of a tenant's quota this host may issue.

All hosts together must issue no more than the rate of a quota, whatever part of them
reaches whom. A host therefore issues only a fraction of the rate:

- the owner, the fraction of the hosts that the leader reaches, and a margin if these
  are most of them;
- without a leader, the fraction of the hosts that asked recently, for a short time, and
  then of those that it hears without a leader;
- a host that is asked although the owner may answer others, a small one;
- a host that gets no answer from any other, its own share, and only to itself.
"""

import anyio

from snipetrestle.coordination.messaging.messages import name_digest

# What an owner issues above the fraction of the hosts that the leader reaches, as a few
# hosts may have stopped for good.
REACHED_MARGIN = 0.15
# An owner knows at least this fraction of the hosts that the leader reaches. After a
# partition, hosts learn of each other one by one.
MIN_KNOWN_FRACTION = 0.9
# An election takes about a second from the time at which the last leader is missed. An
# owner without a leader for longer may be cut off from a leader that others follow,
# and another host may stand in for it, so it counts only hosts without a leader.
LEADERLESS_GRACE_S = 1.5
# Hosts that hear more than half of all soon have a leader.
MAX_LEADERLESS_FRACTION = 0.5
# What a host issues that is asked while the owner may answer others.
MAX_FOREIGN_FRACTION = 0.1


def has_joined(hosts):
    """Whether this host knows how many others there are."""
    return hosts.count_with_lost() != 1 or hosts.is_only_host


class IssuableFraction:
    """The fractions that this host may issue now.

    ``owners`` is the KeyOwners, and ``probes`` the OwnerProbes that know which hosts
    have ended.
    """

    def __init__(self, hosts, leadership, owners, probes):
        self._hosts = hosts
        self._leadership = leadership
        self._owners = owners
        self._probes = probes
        # When there was last a leader that told how many hosts it reaches.
        self._reached_at = anyio.current_time()

    def note_leader(self):
        """Notes whether there is a leader; called regularly."""
        if self._leadership.reached_count():
            self._reached_at = anyio.current_time()

    def of_tenant(self, name, pool):
        """Returns the fraction of the rate of a tenant with a TenantPool."""
        known = self._hosts.count_with_lost()
        if not self._owners.decides(name):
            return _foreign_fraction(pool, known)
        reached = self._leadership.reached_count()
        if not reached:
            return self._leaderless_fraction(pool, known)
        self._reached_at = anyio.current_time()
        if self._may_better_owner_live(name):
            return _foreign_fraction(pool, known)
        if self._hosts.count() < MIN_KNOWN_FRACTION * reached:
            # Others may own the tenant that this host does not know again yet.
            return pool.asked_fraction(known)
        # Several groups of hosts that are cut off from each other may have a leader.
        margin = REACHED_MARGIN if 2 * reached > known else 0.0
        return min(1.0, reached / known + margin)

    def own_share(self):
        """Returns the share of each host; 0 if their number is not known yet."""
        return 1 / self._hosts.count_with_lost() if has_joined(self._hosts) else 0.0

    def _leaderless_fraction(self, pool, known):
        leaderless_s = anyio.current_time() - self._reached_at
        if leaderless_s < LEADERLESS_GRACE_S:
            return pool.asked_fraction(known)
        return min(MAX_LEADERLESS_FRACTION, self._leadership.leaderless_count() / known)

    def _may_better_owner_live(self, name):
        """Whether a host that ranks higher, and is silent here, may answer others."""
        if self._owners.owns(name):
            return False
        unreached = self._leadership.unreached_digests()
        return any(
            not self._probes.has_ended(item) and name_digest(item) not in unreached
            for item in self._owners.above_own(name)
        )


def _foreign_fraction(pool, known):
    return min(pool.asked_fraction(known), MAX_FOREIGN_FRACTION)
