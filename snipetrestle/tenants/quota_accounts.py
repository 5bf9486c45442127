"""Gets the units of tenants' quotas for this host's requests, from their owners.

A tenant with many requests at this host has a balance of units that were granted in
advance, so that its requests need not wait for an owner.
"""

import anyio

from snipetrestle.events import Event
from snipetrestle.supervision import run_isolated
from snipetrestle.tenants.account import (
    GRANT_S,
    LOW_BALANCE_S,
    MAX_DENIAL_S,
    ROUNDING,
    Account,
    Waiter,
)

# A host with enough requests also asks for the expected demand of this time, so that a
# busy tenant costs two messages per second instead of one for each request.
PREFETCH_S = 0.5
# Units are not granted in advance if fewer than this fraction of those wanted are left.
MIN_PREFETCH_PART = 0.25
# Hosts that are asked for one request, before this host uses its own share.
MAX_ASKED_HOSTS = 3
# Part of the time that a request can wait that is left for the reply to arrive.
REPLY_MARGIN_S = 0.005
# Retry-After if an owner did not answer in time, and the longest one.
SILENT_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 3600.0
# While no host answers, the owner is tried again at least this often.
MAX_OWN_SHARE_WAIT_S = 2.0
# The refusals of a tenant have ended after this long without one.
REFUSAL_END_S = 5.0
IDLE_S = 10.0
SWEEP_INTERVAL_S = 0.5


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
            # After a restart of this task, whose group has ended their tasks.
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
        denied_s = account.denied_s(amount)
        if denied_s <= max_wait_s:
            retry_after_s = await self._wait(account, amount, max_wait_s)
        else:
            # Another host may have been denied later, and for as long.
            last_wait_s = min(account.last_wait_s, MAX_DENIAL_S)
            retry_after_s = max(denied_s, last_wait_s)
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
        waiter = Waiter(amount, anyio.current_time() + max_wait_s)
        account.waiters.append(waiter)
        is_done = False
        self._start_asking(account)
        try:
            with anyio.move_on_after(max_wait_s):
                await waiter.done.wait()
            is_done = True
        finally:
            if not is_done and waiter.is_granted:
                # Cancelled after the grant, as when its caller leaves.
                account.add(amount)
                self._serve(account)
            if waiter in account.waiters:
                account.waiters.remove(waiter)
        if waiter.is_granted:
            return None
        if waiter.retry_after_s is not None:
            return waiter.retry_after_s
        return max(SILENT_RETRY_AFTER_S, account.denied_s(amount))

    # Requests to owners.

    def _start_asking(self, account):
        """Starts the task that asks for an account, unless there is one."""
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
        """Sends one request for units, and applies the answer."""
        pause_count, quota = self._pause_count, account.tenant.quota
        amount, minimum, deadline = _next_amounts(account)
        granted, wait_s = await self._ask_owner(account, amount, minimum, deadline)
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
            # Units in advance were denied, which says nothing about single requests.
            return
        else:
            await self._handle_denial(account, minimum, wait_s)

    async def _handle_denial(self, account, amount, wait_s):
        """Waits for units if the first request can, else refuses those that cannot."""
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
        """Returns units that have expired to the host that issued them.

        Called with ``is_asking`` set, as the messages of an account go one by one.
        """
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
            # The host that was asked says that the owner answers it.
            self._owners.note_heard(self._owners.owner(tenant.name))
        return self._issue_own_share(tenant, amount, minimum, deadline)

    def _issue_own_share(self, tenant, amount, minimum, deadline):
        """Returns (granted units, time to wait) of this host's share of the quota."""
        max_wait_s = max(0.0, deadline - anyio.current_time())
        granted, wait_s = self._issuer.issue_own_share(
            tenant, amount, minimum, max_wait_s
        )
        return granted, wait_s if granted else min(wait_s, MAX_OWN_SHARE_WAIT_S)

    def _serve(self, account):
        """Grants the waiting requests for which there are units, in FIFO order."""
        waiters = account.waiters
        while waiters and account.try_take(waiters[0].amount):
            waiter = waiters.popleft()
            waiter.is_granted = True
            waiter.done.set()

    # Accounts.

    def _account(self, tenant):
        account = self._accounts_by_tenant.get(tenant.name)
        if account is None:
            account = self._accounts_by_tenant[tenant.name] = Account(tenant)
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
            elif account.is_idle_since(now - IDLE_S):
                del self._accounts_by_tenant[name]

    def _void_balances(self, paused_s):
        """Drops all units after a pause, in which others may have got them."""
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


def _next_amounts(account):
    """Returns (amount, minimum, deadline) of the next request for an account's units.

    The amount covers all waiting requests and the expected demand; the minimum is what
    the first waiting request lacks until its deadline.
    """
    needed = sum(item.amount for item in account.waiters)
    wanted = account.wanted_balance(LOW_BALANCE_S + PREFETCH_S)
    amount = max(0.0, needed + wanted - account.balance())
    if account.waiters:
        first = account.waiters[0]
        minimum = first.amount - account.balance()
        deadline = first.deadline - REPLY_MARGIN_S
    else:
        minimum, deadline = MIN_PREFETCH_PART * amount, anyio.current_time()
    minimum = max(ROUNDING, minimum)
    return max(amount, minimum), minimum, deadline


def _usable(reply, amount, max_wait_s):
    """Returns (granted units, time to wait) of a reply, which may be damaged."""
    if not reply.granted:
        return 0.0, reply.wait_s
    return min(reply.granted, amount), min(reply.wait_s, max_wait_s)
