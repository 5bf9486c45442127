"""Issues the units of tenants' quotas that this host owns.

If the owner of a quota does not answer, hosts ask the next one. This host then issues
units of quotas that it does not own; IssuableFraction limits how many.
"""

import math

import anyio

from snipetrestle.coordination.membership.ownership_times import OwnershipTimes
from snipetrestle.coordination.messaging.messages import (
    MAX_AGE_S,
    QuotaReply,
    QuotaRequest,
)
from snipetrestle.coordination.quotas.issuable_fraction import (
    IssuableFraction,
    has_joined,
)
from snipetrestle.coordination.quotas.owner_probes import OwnerProbes
from snipetrestle.coordination.quotas.tenant_pool import TenantPool, book, full_burst
from snipetrestle.limits.rate_pool import RatePool
from snipetrestle.supervision import run_isolated
from snipetrestle.tenants.cost import is_servable

# The fraction of its share of the burst that a host starts with which nobody answers.
# All hosts may be cut off from each other while the owner has issued the whole burst.
OWN_SHARE_BURST = 0.2
# The wait that is told while this host does not know the quota or the other hosts yet.
UNKNOWN_WAIT_S = 0.1
# The wait that is told to a request that needs more than a reduced burst.
CUT_OFF_WAIT_S = 2.0
# The longest wait that is told.
MAX_WAIT_S = 3600.0
# While the previous owner is asked for its level, others are told to ask again soon.
HANDOVER_PAUSE_S = 0.02
# Hosts that wait for a quota that is used up are told waits with which all of them
# together ask this often per second.
MAX_DENIED_ASKS_PER_S = 50.0
# A pool without a request for this long is dropped once it is full.
IDLE_S = 5.0
SWEEP_INTERVAL_S = 1.0
# A sender is told to try the owner again once in this time.
REDIRECT_INTERVAL_S = 2.0


class QuotaIssuer:
    """Issues units from one TenantPool for each tenant.

    ``tenant_of(name)`` returns the Tenant, or None if it is unknown. ``requests`` is
    the QuotaRequests and ``owners`` the KeyOwners. ``probe(host)`` returns True if the
    process of a host is known to have ended.
    """

    def __init__(
        self,
        hosts,
        leadership,
        endpoint,
        owners,
        requests,
        tenant_of,
        pause_watch,
        probe,
    ):
        self._hosts = hosts
        self._endpoint = endpoint
        self._owners = owners
        self._requests = requests
        self._tenant_of = tenant_of
        self._pause_watch = pause_watch
        self._probes = OwnerProbes(hosts, owners, requests, probe)
        self._fraction = IssuableFraction(hosts, leadership, owners, self._probes)
        self._ownership = OwnershipTimes(hosts, owners)
        # The TenantPools from which this host issues to all, and those of its own share,
        # from which it issues to itself while no other host answers.
        self._pools_by_tenant = {}
        self._own_share_pools_by_tenant = {}
        self._task_group = None
        endpoint.register(QuotaRequest, self._on_request)
        pause_watch.on_pause(self._void)

    async def run(self):
        async with anyio.create_task_group() as group:
            self._task_group = group
            while True:
                self._fraction.note_leader()
                self._ownership.note_departed()
                self._drop_idle()
                await anyio.sleep(SWEEP_INTERVAL_S)

    # Issuing.

    def issue_here(self, tenant, amount, minimum, returned, max_wait_s):
        """Issues to this host as the owner. Returns (granted units, time to wait)."""
        self._pause_watch.check()
        state = self._pool(tenant)
        sender = state.sender(None)
        sender.asked_at = anyio.current_time()
        return self._issue(tenant, state, sender, amount, minimum, returned, max_wait_s)

    def take_back(self, tenant, returned):
        """Takes units back that this host has issued to itself."""
        self._pool(tenant).pool.put_back(returned)

    def issue_own_share(self, tenant, amount, minimum, max_wait_s):
        """Issues from this host's share to itself, as no other host answers."""
        share = self._fraction.own_share()
        quota = tenant.quota
        state = self._own_share_pools_by_tenant.get(tenant.name)
        if state is None:
            level = OWN_SHARE_BURST * share * full_burst(quota)
            pool = RatePool(share * quota.rate_per_s, full_burst(quota), level)
            state = TenantPool(pool, quota)
            self._own_share_pools_by_tenant[tenant.name] = state
        state.used_at = anyio.current_time()
        state.pool.set_limit(
            share * quota.rate_per_s, share * full_burst(quota), share == 1.0
        )
        return book(state.pool, amount, minimum, max_wait_s)

    def _issue(self, tenant, state, sender, amount, minimum, returned, max_wait_s):
        """Returns (granted units, time to wait); 0 and 0 to try the owner again."""
        if self._must_redirect(tenant.name, sender):
            return 0.0, 0.0
        if not has_joined(self._hosts):
            return 0.0, UNKNOWN_WAIT_S
        pool = state.pool
        pool.put_back(returned)
        if not is_servable(tenant.quota, minimum):
            # A damaged message, or one under an earlier limit. Its units would be taken
            # from all others for as long as they accrue.
            return 0.0, MAX_WAIT_S
        granted, wait_s = book(pool, amount, minimum, max_wait_s)
        if granted:
            return granted, wait_s
        if state.is_taking_over:
            return 0.0, HANDOVER_PAUSE_S
        turn_s = state.count_recent() / MAX_DENIED_ASKS_PER_S
        if wait_s == math.inf:
            wait_s = CUT_OFF_WAIT_S
        return 0.0, min(MAX_WAIT_S, max(wait_s, turn_s))

    def _must_redirect(self, name, sender):
        """Whether a sender should try the owner again, and notes that it was told.

        Its messages may have been lost. If it asks here again, they are cut off.
        """
        best = self._owners.owner(name)
        if best == self._hosts.own.name:
            return False
        if self._probes.try_begin(best):
            self._start(self._probes.probe, best, name)
        if self._owners.decides(name):
            return False
        now = anyio.current_time()
        if now < sender.redirected_at + REDIRECT_INTERVAL_S:
            return False
        sender.redirected_at = now
        return True

    # Pools.

    def _pool(self, tenant):
        state = self._pools_by_tenant.get(tenant.name)
        if state is None:
            state = self._create_pool(tenant)
            self._pools_by_tenant[tenant.name] = state
        state.quota = tenant.quota
        state.used_at = anyio.current_time()
        self._set_limit(tenant, state)
        return state

    def _set_limit(self, tenant, state):
        """Applies the fraction of the quota that this host may issue now."""
        quota = tenant.quota
        fraction = self._fraction.of_tenant(tenant.name, state)
        burst_fraction = state.burst_fraction(fraction)
        state.pool.set_limit(
            fraction * quota.rate_per_s,
            burst_fraction * full_burst(quota),
            burst_fraction == 1.0,
        )

    def _create_pool(self, tenant):
        quota = tenant.quota
        rate_per_s, burst = quota.rate_per_s, full_burst(quota)
        state = TenantPool(RatePool(rate_per_s, burst, 0.0), quota)
        if not self._owners.owns(tenant.name):
            return state
        owned_s = anyio.current_time() - self._ownership.owned_since(tenant.name)
        fraction = self._fraction.of_tenant(tenant.name, state)
        state.pool.level = fraction * min(burst, owned_s * rate_per_s)
        if owned_s * rate_per_s < burst:
            self._start(self._take_over, tenant.name, state)
        return state

    async def _take_over(self, tenant_name, state):
        """Takes the level of the host that has owned the tenant until now, if any."""
        name = self._owners.next_owner(tenant_name)
        if name is None:
            return
        state.is_taking_over = True
        try:
            burst = full_burst(state.quota)
            reply = await self._requests.ask(name, tenant_name, burst, 0.0, 0.0, 0.0)
            if reply is not None:
                state.pool.put_back(reply.granted)
        finally:
            state.is_taking_over = False

    def _drop_idle(self):
        before = anyio.current_time() - IDLE_S
        for states in (self._pools_by_tenant, self._own_share_pools_by_tenant):
            for name, state in list(states.items()):
                state.drop_senders(before)
                if state.used_at < before and self._may_drop(name, state):
                    del states[name]
        self._probes.drop_old(before)

    def _may_drop(self, name, state):
        """Whether an idle pool is not needed: a new one would have the same level.

        The level of a tenant that another host owns now is out of date.
        """
        tenant = self._tenant_of(name)
        is_gone = tenant is None or tenant.quota is None
        return is_gone or state.pool.is_full or not self._owners.owns(name)

    def _void(self, paused_s):
        """Forgets all levels after a pause, in which another host may have issued."""
        self._pools_by_tenant.clear()
        self._own_share_pools_by_tenant.clear()
        self._ownership.restart()

    # Messages.

    def _on_request(self, message, address):
        tenant = self._tenant_of(message.tenant)
        if tenant is None:
            self._reply(message, address, 0.0, UNKNOWN_WAIT_S)
            return
        if tenant.quota is None:
            self._reply(message, address, message.amount, 0.0)
            return
        self._pause_watch.check()
        state = self._pool(tenant)
        if not message.minimum:
            self._hand_over(message, address, state)
            return
        sender = state.sender(address)
        sender.asked_at = anyio.current_time()
        if sender.has_sent(message):
            self._repeat(message, address, sender)
            return
        sender.boot, sender.number = message.boot, message.number
        sender.reply = self._issue(
            tenant,
            state,
            sender,
            message.amount,
            message.minimum,
            message.returned,
            message.max_wait_s,
        )
        self._reply(message, address, *sender.reply)

    def _repeat(self, message, address, sender):
        """Answers a repeated request as before; an older one has no receiver left."""
        if message.number == sender.number:
            self._reply(message, address, *sender.reply)

    def _hand_over(self, message, address, state):
        """Gives the level to another owner, or takes unused units back.

        A request without either tells the sender that this host answers.
        """
        sender = state.sender(address)
        if sender.has_sent(message):
            self._repeat(message, address, sender)
            return
        state.pool.put_back(message.returned)
        granted = max(0.0, min(message.amount, state.pool.level))
        state.pool.take(granted)
        if message.amount or message.returned:
            sender.boot, sender.number = message.boot, message.number
            sender.reply = granted, 0.0
        self._reply(message, address, granted, 0.0)

    def _reply(self, message, address, granted, wait_s):
        wait_s = min(wait_s, MAX_AGE_S)
        self._endpoint.send(QuotaReply(message.number, granted, wait_s), address)

    def _start(self, function, *args):
        if self._task_group is not None:
            self._task_group.start_soon(run_isolated, function, *args)
