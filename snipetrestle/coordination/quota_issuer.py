"""Issues the units of tenants' quotas; for the tenants that this host owns.

All hosts together must issue no more than the rate of a quota, whatever part of them
reaches whom. A host therefore issues only a fraction of the rate:

- the owner, the fraction of the hosts that the leader reaches, and a margin with most;
- without a leader, the fraction of the hosts that asked recently, for a short time, and
  then of those that it hears without a leader;
- a host that is asked although the owner may answer others, a small one;
- a host that gets no answer from any other, its own share, and only to itself.
"""

import math

import anyio

from snipetrestle.coordination.messages import (
    MAX_AGE_S,
    QuotaReply,
    QuotaRequest,
    name_digest,
)
from snipetrestle.gateway.supervision import run_isolated
from snipetrestle.limits.rate_pool import RatePool
from snipetrestle.tenants.cost import is_servable

# What an owner issues above the fraction of the hosts that the leader reaches, as a few
# hosts may have stopped for good.
REACHED_MARGIN = 0.15
# An owner knows at least this part of the hosts that the leader reaches. After a cut,
# hosts learn of each other one by one.
MIN_KNOWN_PART = 0.9
# An owner without a leader for longer may be cut off from one that others follow, and
# another host stand in for it, so it counts only hosts that have none either. An election takes about a second from the time at which
# the last leader is missed.
LEADERLESS_GRACE_S = 1.5
# Hosts that hear more than half of all soon have a leader.
MAX_LEADERLESS_FRACTION = 0.5
# What a host issues that is asked while the owner may answer others.
MAX_FOREIGN_FRACTION = 0.1
# A host that may issue less than this part of the rate for this time may hold no larger
# part of the burst, nor issue more at once: cut off from each other, many hosts could
# each save a whole one.
FULL_FRACTION = 0.9
BURST_GRACE_S = 3.0
# A host that asked in this time counts as one that this host issues to.
RECENT_S = 2.0
# The part of its share of the burst that a host starts with which nobody answers. All
# hosts may be cut off from each other while the owner has issued the whole burst.
OWN_SHARE_BURST = 0.2
# Pools hold at least what accrues in this time, so that a busy tenant without a burst
# need not ask for each request.
MIN_BURST_S = 0.25
# What a request is told while this host knows the quota or the other hosts not yet.
UNKNOWN_WAIT_S = 0.1
# What a request is told that needs more than a fraction of the burst.
CUT_OFF_WAIT_S = 2.0
# The longest time to wait that is told.
MAX_WAIT_S = 3600.0
# While the level of the last owner is asked for, others are told to ask again soon.
HANDOVER_PAUSE_S = 0.02
# Hosts that wait for a quota that is used up ask for it so often a second together.
MAX_DENIED_ASKS_PER_S = 50.0
# A pool without a request for this long is dropped once it is full.
IDLE_S = 5.0
SWEEP_INTERVAL_S = 1.0
# How often a silent owner is asked whether it answers again.
PROBE_INTERVAL_S = 0.5
# A sender is told to try the owner again once in this time.
REDIRECT_INTERVAL_S = 2.0
# Hosts that have left, whose tenants others own since.
MAX_DEPARTED_HOSTS = 512
DEPARTED_TIMEOUT_S = 300.0


class _Sender:
    """What a host was answered last, for repeated requests, and when it asked."""

    __slots__ = ("boot", "number", "reply", "asked_at", "redirected_at")

    def __init__(self):
        self.boot = None
        self.number = -1
        self.reply = None
        self.asked_at = 0.0
        self.redirected_at = -REDIRECT_INTERVAL_S


class _TenantPool:
    """The RatePool of a tenant, its full limit, and the senders by address."""

    __slots__ = (
        "pool",
        "quota",
        "senders_by_address",
        "used_at",
        "is_taken_over",
        "reduced_since",
    )

    def __init__(self, pool, quota):
        self.pool = pool
        self.quota = quota
        self.senders_by_address = {}
        self.used_at = anyio.current_time()
        # Whether the level of the last owner is being asked for.
        self.is_taken_over = False
        # Since when only a fraction of the rate may be issued.
        self.reduced_since = None

    def burst_fraction(self, fraction):
        """Returns the part of the burst that may be held, by that of the rate.

        It is the whole one while another leader is elected or an owner takes over.
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
        """Returns the part of the known hosts that asked recently, at least one."""
        return min(1.0, max(1, self.count_recent()) / known)

    def drop_old_senders(self):
        since = anyio.current_time() - IDLE_S
        senders = self.senders_by_address
        for address in [key for key, item in senders.items() if item.asked_at < since]:
            del senders[address]


class QuotaIssuer:
    """Issues units from one RatePool for each tenant.

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
        self._leadership = leadership
        self._endpoint = endpoint
        self._owners = owners
        self._requests = requests
        self._tenant_of = tenant_of
        self._pause_watch = pause_watch
        self._probe_host = probe
        self._ended_names = set()
        # When there was last a leader that told how many hosts it reaches.
        self._reached_at = anyio.current_time()
        self._pools_by_tenant = {}
        self._own_share_pools_by_tenant = {}
        self._probed_at_by_name = {}
        self._started_at = anyio.current_time()
        self._names = hosts.sender_names()
        self._departed_at_by_name = {}
        self._task_group = None
        endpoint.register(QuotaRequest, self._on_request)
        pause_watch.on_pause(self._void)

    async def run(self):
        async with anyio.create_task_group() as group:
            self._task_group = group
            while True:
                if self._leadership.reached_count():
                    self._reached_at = anyio.current_time()
                self._note_departed()
                self._drop_idle()
                await anyio.sleep(SWEEP_INTERVAL_S)

    # Issuing.

    def issue_here(self, tenant, amount, minimum, returned, max_wait_s):
        """Issues to this host as the owner. Returns (granted units, time to wait)."""
        self._pause_watch.check()
        state = self._pool(tenant)
        sender = self._sender(state, None)
        sender.asked_at = anyio.current_time()
        return self._issue(tenant, state, sender, amount, minimum, returned, max_wait_s)

    def take_back(self, tenant, returned):
        """Takes units back that this host has issued to itself."""
        self._pool(tenant).pool.put_back(returned)

    def issue_own_share(self, tenant, amount, minimum, max_wait_s):
        """Issues of this host's share to itself, as nobody answers."""
        share = self._own_share()
        quota = tenant.quota
        state = self._own_share_pools_by_tenant.get(tenant.name)
        if state is None:
            level = OWN_SHARE_BURST * share * _burst(quota)
            pool = RatePool(share * quota.rate_per_s, _burst(quota), level)
            state = _TenantPool(pool, quota)
            self._own_share_pools_by_tenant[tenant.name] = state
        state.used_at = anyio.current_time()
        state.pool.set_limit(
            share * quota.rate_per_s, share * _burst(quota), share == 1.0
        )
        return _grant(state.pool, amount, minimum, max_wait_s)

    def _issue(self, tenant, state, sender, amount, minimum, returned, max_wait_s):
        if self._must_redirect(tenant.name, sender):
            return 0.0, 0.0
        if self._has_not_joined():
            return 0.0, UNKNOWN_WAIT_S
        pool = state.pool
        pool.put_back(returned)
        if not is_servable(tenant.quota, minimum):
            # A damaged message, or one under an earlier limit. Its units would be taken
            # from all others for as long as they accrue.
            return 0.0, MAX_WAIT_S
        granted, wait_s = _grant(pool, amount, minimum, max_wait_s)
        if granted:
            return granted, wait_s
        if state.is_taken_over:
            return 0.0, HANDOVER_PAUSE_S
        turn_s = state.count_recent() / MAX_DENIED_ASKS_PER_S
        if wait_s == math.inf:
            wait_s = CUT_OFF_WAIT_S
        return 0.0, min(MAX_WAIT_S, max(wait_s, turn_s))

    def _fraction(self, name, state):
        """Returns the part of the rate that this host may issue now."""
        known = self._hosts.count_with_lost()
        if not self._owners.decides(name):
            return self._foreign_fraction(state, known)
        reached = self._leadership.reached_count()
        if not reached:
            return self._leaderless_fraction(state, known)
        self._reached_at = anyio.current_time()
        if self._may_better_owner_live(name):
            return self._foreign_fraction(state, known)
        if known - len(self._hosts.lost.by_name) < MIN_KNOWN_PART * reached:
            # Others may own the tenant that this host does not know again yet.
            return state.asked_fraction(known)
        # Several groups of hosts that are cut off from each other may have a leader.
        margin = REACHED_MARGIN if 2 * reached > known else 0.0
        return min(1.0, reached / known + margin)

    def _leaderless_fraction(self, state, known):
        leaderless_s = anyio.current_time() - self._reached_at
        if leaderless_s < LEADERLESS_GRACE_S:
            return state.asked_fraction(known)
        return min(MAX_LEADERLESS_FRACTION, self._leadership.leaderless_count() / known)

    @staticmethod
    def _foreign_fraction(state, known):
        return min(state.asked_fraction(known), MAX_FOREIGN_FRACTION)

    def _may_better_owner_live(self, name):
        """Whether a better host, which is silent here, may answer others."""
        if self._owners.owns(name):
            return False
        unreached = self._leadership.unreached_digests()
        return any(
            item not in self._ended_names and name_digest(item) not in unreached
            for item in self._owners.above_own(name)
        )

    def _own_share(self):
        return 0.0 if self._has_not_joined() else 1 / self._hosts.count_with_lost()

    def _has_not_joined(self):
        """Whether this host does not know yet how many others there are."""
        return self._hosts.count_with_lost() == 1 and not self._hosts.is_only_host

    def _must_redirect(self, name, sender):
        """Whether a sender should try the owner again, and notes that it was told.

        Its messages may have been lost. If it asks here again, they are cut off.
        """
        best = self._owners.owner(name)
        if best == self._hosts.own.name:
            return False
        self._probe(best, name)
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
        """Applies the part of the limit that this host may issue now."""
        quota = tenant.quota
        fraction = self._fraction(tenant.name, state)
        burst_fraction = state.burst_fraction(fraction)
        state.pool.set_limit(
            fraction * quota.rate_per_s,
            burst_fraction * _burst(quota),
            burst_fraction == 1.0,
        )

    def _create_pool(self, tenant):
        quota = tenant.quota
        rate_per_s, burst = quota.rate_per_s, _burst(quota)
        state = _TenantPool(RatePool(rate_per_s, burst, 0.0), quota)
        if not self._owners.owns(tenant.name):
            return state
        owned_s = anyio.current_time() - self._owned_since(tenant.name)
        fraction = self._fraction(tenant.name, state)
        state.pool.level = fraction * min(burst, owned_s * rate_per_s)
        if owned_s * rate_per_s < burst:
            self._start(self._take_over, tenant.name, state)
        return state

    async def _take_over(self, tenant_name, state):
        """Takes the level of the host that has owned the tenant until now, if any."""
        name = self._owners.next_owner(tenant_name)
        if name is None:
            return
        state.is_taken_over = True
        try:
            burst = _burst(state.quota)
            reply = await self._requests.ask(name, tenant_name, burst, 0.0, 0.0, 0.0)
            if reply is not None:
                state.pool.put_back(reply.granted)
        finally:
            state.is_taken_over = False

    def _owned_since(self, tenant_name):
        """Returns since when this host has owned a tenant, as far as it knows."""
        # A host that has left since the last sweep may have issued the whole burst.
        self._note_departed()
        if self._has_not_joined():
            self._started_at = anyio.current_time()
        departed_at = [
            at
            for name, at in self._departed_at_by_name.items()
            if self._owners.ranks_above_own(tenant_name, name)
        ]
        return max([self._started_at, *departed_at])

    def _note_departed(self):
        names = self._hosts.sender_names()
        now = anyio.current_time()
        departed = self._departed_at_by_name
        for name in set(self._names) - set(names):
            departed.pop(name, None)
            departed[name] = now
        self._names = names
        for name in list(departed):
            is_old = departed[name] < now - DEPARTED_TIMEOUT_S
            if is_old or len(departed) > MAX_DEPARTED_HOSTS:
                del departed[name]

    def _drop_idle(self):
        before = anyio.current_time() - IDLE_S
        for states in (self._pools_by_tenant, self._own_share_pools_by_tenant):
            for name, state in list(states.items()):
                state.drop_old_senders()
                if state.used_at < before and self._may_drop(name, state):
                    del states[name]
        for name, at in list(self._probed_at_by_name.items()):
            if at < before:
                del self._probed_at_by_name[name]
                self._ended_names.discard(name)

    def _may_drop(self, name, state):
        """Whether an idle pool is not needed: a new one would have the same level.

        That of another owner's tenant is void, as that owner issues since.
        """
        tenant = self._tenant_of(name)
        is_gone = tenant is None or tenant.quota is None
        return is_gone or state.pool.is_full or not self._owners.owns(name)

    def _void(self, paused_s):
        """Forgets all levels after a pause, in which another host may have issued."""
        self._pools_by_tenant.clear()
        self._own_share_pools_by_tenant.clear()
        self._started_at = anyio.current_time()

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
        sender = self._sender(state, address)
        sender.asked_at = anyio.current_time()
        if sender.boot == message.boot and message.number <= sender.number:
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
        sender = self._sender(state, address)
        if sender.boot == message.boot and message.number <= sender.number:
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

    def _sender(self, state, address):
        sender = state.senders_by_address.get(address)
        if sender is None:
            sender = state.senders_by_address[address] = _Sender()
        return sender

    def _probe(self, name, tenant_name):
        """Asks an owner whether it answers, so that this host may stand in for it."""
        now = anyio.current_time()
        if now < self._probed_at_by_name.get(name, -PROBE_INTERVAL_S) + (
            PROBE_INTERVAL_S
        ):
            return
        self._probed_at_by_name[name] = now
        self._start(self._check_host, name, tenant_name)

    async def _check_host(self, name, tenant_name):
        host = self._hosts.by_name.get(name)
        if host is not None and await self._probe_host(host):
            self._ended_names.add(name)
            self._owners.note_silent(name)
        elif await self._requests.ask(name, tenant_name, 0.0, 0.0, 0.0, 0.0):
            self._ended_names.discard(name)

    def _start(self, function, *args):
        if self._task_group is not None:
            self._task_group.start_soon(run_isolated, function, *args)


def _burst(quota):
    return max(quota.burst, MIN_BURST_S * quota.rate_per_s)


def _grant(pool, amount, minimum, max_wait_s):
    """Takes up to an amount, at least a minimum, of what a pool has soon.

    Returns (granted units, time to wait). Without any, the time is that until the
    minimum is available.
    """
    wait_s = pool.wait_s(minimum)
    if wait_s > max_wait_s:
        return 0.0, wait_s
    available = pool.available_within(max_wait_s if wait_s else 0.0)
    granted = max(minimum, min(amount, available))
    wait_s = pool.wait_s(granted)
    pool.take(granted)
    return granted, wait_s
