"""What a host has issued of one tenant's quota, and to whom."""

import math

import anyio

# A host that may issue less than this fraction of the rate for BURST_GRACE_S may hold no
# larger fraction of the burst, nor issue more at once: cut off from each other, many
# hosts could each save a whole one.
FULL_FRACTION = 0.9
BURST_GRACE_S = 3.0
# A host that asked in this time counts as one that this host issues to.
RECENT_S = 2.0
# Pools hold at least what accrues in this time, so that a busy tenant without a burst
# need not ask for each request.
MIN_BURST_S = 0.25


class Sender:
    """What a host was answered last, for repeated requests, and when it asked.

    ``redirected_at`` is when it was last told to try the owner again.
    """

    __slots__ = ("boot", "number", "reply", "asked_at", "redirected_at")

    def __init__(self):
        self.boot = None
        self.number = -1
        self.reply = None
        self.asked_at = 0.0
        self.redirected_at = -math.inf

    def has_sent(self, message):
        """Whether this QuotaRequest, or a later one of the same process, came before."""
        return self.boot == message.boot and message.number <= self.number


class TenantPool:
    """The RatePool of a tenant, its quota, and the senders by address.

    The pool has the fraction of the quota that this host may issue. ``used_at`` is when
    it was last used.
    """

    __slots__ = (
        "pool",
        "quota",
        "senders_by_address",
        "used_at",
        "is_taking_over",
        "reduced_since",
    )

    def __init__(self, pool, quota):
        self.pool = pool
        self.quota = quota
        self.senders_by_address = {}
        self.used_at = anyio.current_time()
        # Whether the previous owner is being asked for its level.
        self.is_taking_over = False
        # Since when only a fraction of the rate may be issued.
        self.reduced_since = None

    def burst_fraction(self, fraction):
        """Returns the fraction of the burst that may be held, by that of the rate.

        The whole burst may be held for BURST_GRACE_S, in which another leader is
        elected or an owner takes over.
        """
        now = anyio.current_time()
        if fraction >= FULL_FRACTION:
            self.reduced_since = None
            return 1.0
        if self.reduced_since is None:
            self.reduced_since = now
        return 1.0 if now < self.reduced_since + BURST_GRACE_S else fraction

    def count_recent(self):
        """Returns the number of hosts that asked recently."""
        since = anyio.current_time() - RECENT_S
        return sum(item.asked_at >= since for item in self.senders_by_address.values())

    def asked_fraction(self, known):
        """Returns the fraction of the known hosts that asked recently, at least one."""
        return min(1.0, max(1, self.count_recent()) / known)

    def sender(self, address):
        """Returns the Sender with an address; that of this host itself is None."""
        sender = self.senders_by_address.get(address)
        if sender is None:
            sender = self.senders_by_address[address] = Sender()
        return sender

    def drop_senders(self, before):
        """Forgets the senders that have not asked since a time."""
        senders = self.senders_by_address
        for address in [key for key, item in senders.items() if item.asked_at < before]:
            del senders[address]


def full_burst(quota):
    """Returns the largest level of a pool that issues the whole rate."""
    return max(quota.burst, MIN_BURST_S * quota.rate_per_s)


def book(pool, amount, minimum, max_wait_s):
    """Takes up to an amount, at least a minimum, of what a pool has soon.

    Returns (granted units, time to wait until they may be used). With 0 granted units,
    the time is that until the minimum is available.
    """
    wait_s = pool.wait_s(minimum)
    if wait_s > max_wait_s:
        return 0.0, wait_s
    available = pool.available_within(max_wait_s if wait_s else 0.0)
    granted = max(minimum, min(amount, available))
    wait_s = pool.wait_s(granted)
    pool.take(granted)
    return granted, wait_s
