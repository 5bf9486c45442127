"""Takes the units of tenants' quotas for this host's requests, from their owners.

A tenant with many requests here has a balance, so that they need not wait for an owner.
"""

import collections

import anyio

from snipetrestle.coordination.adapter_places import DecayingCount
from snipetrestle.events import Event
from snipetrestle.gateway.supervision import run_isolated

# How long granted units may be used. What an owner has issued before a window and is
# used in it comes on top of what it issues in the window.
GRANT_S = 1.0
# Units of the expected demand in this time are asked for beside those needed now, if
# there are at least so many requests a second.
PREFETCH_S = 0.5
MIN_PREFETCH_PER_S = 4.0
# Less than this part of what is wanted in advance is not asked for.
MIN_PREFETCH_PART = 0.25
# More are asked for once the balance covers only this time, which is as long as the two
# tries at an owner that does not answer.
LOW_BALANCE_S = 0.25
DEMAND_HALF_LIFE_S = 0.5
# Hosts that are asked for one request, before this host uses its own share.
MAX_ASKED_HOSTS = 3
# For so long after a request that had to wait, no units are asked for in advance: other
# hosts need them.
SHORTAGE_S = 1.0
# Left of a request's time to wait for the way of the answer.
REPLY_MARGIN_S = 0.005
# Retry-After if an owner did not answer in time, and the longest one.
SILENT_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 3600.0
# While nobody answers, an owner is looked for again at least this often.
MAX_OWN_SHARE_WAIT_S = 2.0
# An owner that has denied units is asked again after this time at the latest: another
# host may have returned some, or the owner may issue a larger fraction.
MAX_DENIAL_S = 3.0
# The refusals of a tenant have ended after this long without one.
REFUSAL_END_S = 5.0
IDLE_S = 10.0
SWEEP_INTERVAL_S = 0.5
# Rounding of sums of units.
ROUNDING = 1e-6


class _Waiter:
    """A request that waits for units; ``retry_after_s`` is set if it is refused."""

    __slots__ = ("amount", "deadline", "done", "is_granted", "retry_after_s")

    def __init__(self, amount, deadline):
        self.amount = amount
        self.deadline = deadline
        self.done = anyio.Event()
        self.is_granted = False
        self.retry_after_s = None


class _Lot:
    """Units from one grant."""

    __slots__ = ("amount", "expires_at")

    def __init__(self, amount, expires_at):
        self.amount = amount
        self.expires_at = expires_at


class _Account:
    """The balance and the waiting requests of one tenant at this host.

    The owner has told to wait for ``last_wait_s``.
    ``owner`` is the host that issued the last units, and ``unused`` those of it that
    have expired or were put back late. ``denied_until`` is when ``denied_amount`` units are available again.
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
        self.lots.append(_Lot(amount, anyio.current_time() + GRANT_S))

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
        """Returns how long the owner has told that an amount is not available."""
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
        now = anyio.current_time()
        self.denied_until = now + wait_s
        self.denied_amount = amount
        self.last_wait_s = wait_s
        self.asks_again_at = now + min(wait_s, MAX_DENIAL_S)

    def note_shortage(self):
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

    def is_idle(self):
        is_used = self.waiters or self.is_asking or self.refused_since is not None
        return not is_used and anyio.current_time() > self.used_at + IDLE_S


class QuotaAccounts:
    """Accounts by tenant name, for the tenants with requests here.

    ``requests`` is the QuotaRequests, ``owners`` the KeyOwners, ``issuer`` this host's
    own QuotaIssuer, ``log`` the RequestLines for the start and end of refusals and
    ``metrics`` counts what was granted.
    """

    def __init__(self, own_name, owners, requests, issuer, pause_watch, log, metrics):
        self._own_name = own_name
        self._owners = owners
        self._requests = requests
        self._issuer = issuer
        self._pause_watch = pause_watch
        self._log = log
        self._metrics = metrics
        self._accounts_by_tenant = {}
        self._task_group = None
        self._pause_count = 0
        pause_watch.on_pause(self._void_balances)

    def __len__(self):
        return len(self._accounts_by_tenant)

    async def run(self):
        async with anyio.create_task_group() as group:
            self._task_group = group
            # Their tasks ended with an earlier group.
            for account in self._accounts_by_tenant.values():
                account.is_asking = False
            while True:
                await anyio.sleep(SWEEP_INTERVAL_S)
                self._sweep()

    async def acquire(self, tenant, amount, max_wait_s):
        """Takes units for a request, within a time.

        Returns None, or in how many seconds they are available if nobody else uses the
        quota meanwhile.
        """
        self._pause_watch.check()
        account = self._account(tenant)
        account.note_demand(amount)
        if not account.waiters and account.try_take(amount):
            if account.is_low:
                self._start_asking(account)
            self._metrics.count_quota(True)
            return None
        retry_after_s = account.denied_s(amount)
        if retry_after_s <= max_wait_s:
            retry_after_s = await self._wait(account, amount, max_wait_s)
        else:
            # Another host may have been denied later, and for as long.
            last_wait_s = min(account.last_wait_s, MAX_DENIAL_S)
            retry_after_s = max(retry_after_s, last_wait_s)
        self._metrics.count_quota(retry_after_s is None)
        if retry_after_s is not None:
            retry_after_s = min(retry_after_s, MAX_RETRY_AFTER_S)
            self._note_refusal(account, amount, retry_after_s)
        return retry_after_s

    def refund(self, tenant, amount, booked_at):
        """Puts back the units of a request that has not run on any replica.

        Those that were booked too long ago go back to the owner, which keeps no more
        than a burst: many requests may have waited for long, and end together.
        """
        account = self._accounts_by_tenant.get(tenant.name)
        if account is None or account.tenant.quota != tenant.quota:
            # The tenant may be of an older version, whose limit must not come back.
            return
        if booked_at <= anyio.current_time() - GRANT_S:
            account.unused += amount
            return
        account.add(amount)
        self._serve(account)

    async def _wait(self, account, amount, max_wait_s):
        """Waits for units. Returns None, or the time after which to try again."""
        waiter = _Waiter(amount, anyio.current_time() + max_wait_s)
        account.waiters.append(waiter)
        is_done = False
        self._start_asking(account)
        try:
            with anyio.move_on_after(max_wait_s):
                await waiter.done.wait()
            is_done = True
        finally:
            if not is_done and waiter.is_granted:
                # The caller has left.
                account.add(amount)
                self._serve(account)
            if waiter in account.waiters:
                account.waiters.remove(waiter)
        if waiter.is_granted:
            return None
        if waiter.retry_after_s is not None:
            return waiter.retry_after_s
        return max(SILENT_RETRY_AFTER_S, account.denied_s(amount))

    # Asking.

    def _start_asking(self, account):
        if not account.is_asking and self._task_group is not None:
            account.is_asking = True
            self._task_group.start_soon(run_isolated, self._ask, account)

    async def _ask(self, account):
        """Asks the owner until no request waits and the balance suffices."""
        try:
            while True:
                self._serve(account)
                if not account.waiters and not account.is_low:
                    return
                await self._ask_once(account)
        finally:
            account.is_asking = False

    async def _ask_once(self, account):
        now = anyio.current_time()
        pause_count, quota = self._pause_count, account.tenant.quota
        needed = sum(item.amount for item in account.waiters)
        wanted = account.wanted_balance(LOW_BALANCE_S + PREFETCH_S)
        amount = max(0.0, needed + wanted - account.balance())
        minimum, deadline = MIN_PREFETCH_PART * amount, now
        if account.waiters:
            first = account.waiters[0]
            minimum = first.amount - account.balance()
            deadline = first.deadline - REPLY_MARGIN_S
        minimum = max(ROUNDING, minimum)
        granted, wait_s = await self._ask_owner(
            account, max(amount, minimum), minimum, deadline
        )
        if wait_s > 0:
            account.note_shortage()
        if granted:
            await anyio.sleep(wait_s)
            self._pause_watch.check()
            # Units from before a pause are as void as balances, and those under another
            # quota may have another unit.
            if pause_count == self._pause_count and quota == account.tenant.quota:
                account.add(granted)
        elif not account.waiters:
            # Units in advance were refused, which says nothing about single requests.
            return
        else:
            await self._handle_denial(account, minimum, wait_s)

    async def _handle_denial(self, account, amount, wait_s):
        """Refuses the waiting requests that cannot wait for units."""
        now = anyio.current_time()
        remaining_s = account.waiters[0].deadline - now
        if wait_s <= remaining_s:
            await anyio.sleep(wait_s)
            return
        account.deny(amount, wait_s)
        for waiter in list(account.waiters):
            retry_after_s = account.denied_s(waiter.amount)
            if waiter.deadline - now < retry_after_s:
                waiter.retry_after_s = retry_after_s
                account.waiters.remove(waiter)
                waiter.done.set()

    async def _give_back(self, account):
        """Returns units that have expired to the host that issued them."""
        tenant, returned, account.unused = account.tenant, account.unused, 0.0
        try:
            if account.owner == self._own_name:
                self._issuer.take_back(tenant, returned)
            elif account.owner is not None:
                await self._requests.ask(
                    account.owner, tenant.name, 0.0, 0.0, returned, 0.0
                )
        finally:
            account.is_asking = False
            if account.waiters:
                self._start_asking(account)

    async def _ask_owner(self, account, amount, minimum, deadline):
        """Returns (granted units, time to wait) of the first host that answers."""
        tenant = account.tenant
        for _ in range(MAX_ASKED_HOSTS):
            max_wait_s = max(0.0, deadline - anyio.current_time())
            name = self._owners.responsive_owner(tenant.name)
            returned = account.unused if name == account.owner else 0.0
            account.unused = 0.0
            account.owner = name
            if name == self._own_name:
                if not self._owners.decides(tenant.name):
                    break
                return self._issuer.issue_here(
                    tenant, amount, minimum, returned, max_wait_s
                )
            reply = await self._requests.ask(
                name, tenant.name, amount, minimum, returned, max_wait_s
            )
            if reply is None:
                self._metrics.count_quota_ask("silent")
                continue
            if reply.granted or reply.wait_s:
                self._metrics.count_quota_ask("granted" if reply.granted else "denied")
                return _usable(reply, amount, max_wait_s)
            # This host has missed the owner's answers, but another has not.
            self._owners.note_heard(self._owners.owner(tenant.name))
        max_wait_s = max(0.0, deadline - anyio.current_time())
        granted, wait_s = self._issuer.issue_own_share(
            tenant, amount, minimum, max_wait_s
        )
        return granted, wait_s if granted else min(wait_s, MAX_OWN_SHARE_WAIT_S)

    def _serve(self, account):
        """Lets the waiting requests go on for which there are units, in their order."""
        waiters = account.waiters
        while waiters and account.try_take(waiters[0].amount):
            waiter = waiters.popleft()
            waiter.is_granted = True
            waiter.done.set()

    # Accounts.

    def _account(self, tenant):
        account = self._accounts_by_tenant.get(tenant.name)
        if account is None:
            account = self._accounts_by_tenant[tenant.name] = _Account(tenant)
        elif account.tenant is not tenant:
            account.set_tenant(tenant)
        return account

    def _sweep(self):
        now = anyio.current_time()
        for name, account in list(self._accounts_by_tenant.items()):
            account.balance()
            is_over = now > account.refused_at + REFUSAL_END_S
            if account.refused_since is not None and is_over:
                self._note_refusals_ended(account)
            if account.unused and not account.is_asking:
                account.is_asking = True
                self._task_group.start_soon(run_isolated, self._give_back, account)
            elif account.is_idle():
                del self._accounts_by_tenant[name]

    def _void_balances(self, paused_s):
        self._pause_count += 1
        for account in self._accounts_by_tenant.values():
            account.lots.clear()
            account.unused = 0.0

    # Refusals.

    def _note_refusal(self, account, amount, retry_after_s):
        now = account.refused_at = anyio.current_time()
        account.refused_count += 1
        if account.refused_since is not None:
            return
        account.refused_since = now
        quota = account.tenant.quota
        self._log.log(
            Event.QUOTA_REFUSALS_STARTED,
            tenant=account.tenant.name,
            unit=str(quota.unit),
            rate_per_s=quota.rate_per_s,
            burst=quota.burst,
            amount=amount,
            retry_after_s=round(retry_after_s, 3),
            asked=account.owner,
        )

    def _note_refusals_ended(self, account):
        self._log.log(
            Event.QUOTA_REFUSALS_ENDED,
            tenant=account.tenant.name,
            refused=account.refused_count,
            seconds=round(account.refused_at - account.refused_since, 1),
        )
        account.refused_since = None
        account.refused_count = 0


def _usable(reply, amount, max_wait_s):
    """Returns (granted units, time to wait) of a reply, which may be damaged."""
    if not reply.granted:
        return 0.0, reply.wait_s
    return min(reply.granted, amount), min(reply.wait_s, max_wait_s)
