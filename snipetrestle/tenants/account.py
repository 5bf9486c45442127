"""The account of one tenant's quota at this host: granted units, demand and denials."""

import collections

import anyio

from snipetrestle.coordination.placement.decaying_count import DecayingCount

# How long granted units may be used. What an owner has issued before a window and is
# used in it comes on top of what it issues in the window.
GRANT_S = 1.0
# For tenants with fewer requests per second, no units are asked for in advance: they may
# expire unused.
MIN_PREFETCH_PER_S = 4.0
# More units are asked for in advance once the balance covers only the demand of this
# time, which is as long as the two tries at an owner that does not answer.
LOW_BALANCE_S = 0.25
# Half-life of the demand by which units are asked for in advance.
DEMAND_HALF_LIFE_S = 0.5
# For this long after a request that had to wait, no units are asked for in advance:
# other hosts need them.
SHORTAGE_S = 1.0
# An owner that has denied units is asked again after this time at the latest: another
# host may have returned some, or the owner may issue a larger fraction.
MAX_DENIAL_S = 3.0
# Rounding of sums of units.
ROUNDING = 1e-6


class Waiter:
    """A request that waits for units; ``retry_after_s`` is set if it is refused."""

    __slots__ = ("amount", "deadline", "done", "is_granted", "retry_after_s")

    def __init__(self, amount, deadline):
        self.amount = amount
        self.deadline = deadline
        self.done = anyio.Event()
        self.is_granted = False
        self.retry_after_s = None


class Lot:
    """Units from one grant."""

    __slots__ = ("amount", "expires_at")

    def __init__(self, amount, expires_at):
        self.amount = amount
        self.expires_at = expires_at


class Account:
    """The balance, the expected demand and the waiting requests of one tenant here.

    ``is_asking`` is true while a task sends messages to owners for the account.
    ``owner`` is the host that was asked last, and ``unused`` the units that have expired
    or were refunded late and are to be returned to it. ``denied_until`` is when
    ``denied_amount`` units are available again, as the owner told with ``last_wait_s``,
    and ``asks_again_at`` when the owner is asked again at the latest. Until
    ``short_until``, no units are asked for in advance. ``refused_since`` is when the
    current period of refusals began, or None, and ``refused_at`` when the last request
    was refused.
    """

    __slots__ = (
        "tenant",
        "lots",
        "waiters",
        "is_asking",
        "units_demand",
        "requests_demand",
        "owner",
        "unused",
        "denied_until",
        "denied_amount",
        "last_wait_s",
        "asks_again_at",
        "short_until",
        "used_at",
        "refused_since",
        "refused_at",
        "refused_count",
    )

    def __init__(self, tenant):
        self.tenant = tenant
        self.lots = collections.deque()
        self.waiters = collections.deque()
        self.is_asking = False
        self.units_demand = DecayingCount(DEMAND_HALF_LIFE_S)
        self.requests_demand = DecayingCount(DEMAND_HALF_LIFE_S)
        self.owner = None
        self.unused = 0.0
        self.denied_until = 0.0
        self.denied_amount = 0.0
        self.last_wait_s = 0.0
        self.asks_again_at = 0.0
        self.short_until = 0.0
        self.used_at = anyio.current_time()
        self.refused_since = None
        self.refused_at = 0.0
        self.refused_count = 0

    def note_demand(self, amount):
        """Counts a request for the expected demand."""
        now = self.used_at = anyio.current_time()
        self.units_demand.add(amount, now)
        self.requests_demand.add(1, now)

    def set_tenant(self, tenant):
        """Applies a changed quota. A lower one reduces the balance in proportion."""
        old, new = self.tenant.quota, tenant.quota
        self.tenant = tenant
        if old == new:
            return
        self.denied_until = 0.0
        if old.unit is not new.unit:
            self.lots.clear()
            return
        if old.rate_per_s > new.rate_per_s:
            for lot in self.lots:
                lot.amount *= new.rate_per_s / old.rate_per_s

    def balance(self):
        """Returns the units that may be used now, after dropping expired ones."""
        now = anyio.current_time()
        while self.lots and self.lots[0].expires_at <= now:
            self.unused += self.lots.popleft().amount
        return sum(lot.amount for lot in self.lots)

    def add(self, amount):
        """Adds units to the balance."""
        self.lots.append(Lot(amount, anyio.current_time() + GRANT_S))

    def try_take(self, amount):
        """Takes units that expire first; returns False without enough."""
        if self.balance() < amount - ROUNDING:
            return False
        while amount > ROUNDING and self.lots:
            lot = self.lots[0]
            taken = min(amount, lot.amount)
            lot.amount -= taken
            amount -= taken
            if lot.amount <= ROUNDING:
                self.lots.popleft()
        return True

    def denied_s(self, amount):
        """Returns how long the owner will not have an amount, 0 if that is unknown."""
        now = anyio.current_time()
        left_s = self.denied_until - now
        if (
            left_s <= 0
            or now >= self.asks_again_at
            or amount < self.denied_amount - ROUNDING
        ):
            return 0.0
        further = amount - self.denied_amount
        return left_s + further / self.tenant.quota.rate_per_s

    def deny(self, amount, wait_s):
        """Notes that the owner has an amount only after ``wait_s``."""
        now = anyio.current_time()
        self.denied_until = now + wait_s
        self.denied_amount = amount
        self.last_wait_s = wait_s
        self.asks_again_at = now + min(wait_s, MAX_DENIAL_S)

    def note_shortage(self):
        """Notes that the owner had no units to spare."""
        self.short_until = anyio.current_time() + SHORTAGE_S

    def wanted_balance(self, duration_s):
        """Returns the expected demand in a time; 0 if none is to be asked for."""
        now = anyio.current_time()
        is_rare = self.requests_demand.rate(now) < MIN_PREFETCH_PER_S
        if is_rare or now < self.short_until:
            return 0.0
        return duration_s * self.units_demand.rate(now)

    @property
    def is_low(self):
        """Whether more units are to be asked for in advance."""
        return self.balance() < self.wanted_balance(LOW_BALANCE_S)

    def is_idle_since(self, before):
        """Whether the account has not been used since a time, and nothing is pending."""
        is_used = self.waiters or self.is_asking or self.refused_since is not None
        return not is_used and self.used_at < before
