"""Coordinator of customers' limits: grants shares in proportion to demand.

Limits are tuples of requests per second, tokens per second, concurrent requests and
queued batch requests.
"""

import anyio

from snipetrestle.codes import ResultCode, ServingError
from snipetrestle.limits.messages import RequestShare, ShareGrant
from snipetrestle.limits.shares import FIXED_FRACTION, grant_term_s

# Demand, as a fraction of a host's equal share of the limit, that is added for each
# member, so that one with little demand gets a share that admits a first request.
_BASE_DEMAND_FRACTION = 0.1
# The coordinator counts a grant for this much longer than its receiver uses it.
TERM_MARGIN_S = 0.5
_LIMIT_COUNT = 4


class _MemberGrant:
    """Last reported demand and current grant of one member, for one customer."""

    __slots__ = ("demand", "granted", "expires_at")

    def __init__(self):
        self.demand = (0.0,) * _LIMIT_COUNT
        self.granted = (0.0,) * _LIMIT_COUNT
        self.expires_at = 0.0


class _CustomerState:
    """Grants of one customer to all members.

    The totals are updated with each change, so a request costs constant time.
    """

    __slots__ = ("no_grants_until", "members_by_name", "demand", "granted")

    def __init__(self, no_grants_until):
        self.no_grants_until = no_grants_until
        # Ordered by the last request. A grant may have a shorter term than one before
        # it, after the list of hosts has shrunk; it is then counted until that one
        # expires.
        self.members_by_name = {}
        self.demand = [0.0] * _LIMIT_COUNT
        self.granted = [0.0] * _LIMIT_COUNT

    def remove(self, name):
        member = self.members_by_name.pop(name, None)
        if member is not None:
            self._count(member, -1)

    def add(self, name, member):
        self.members_by_name[name] = member
        self._count(member, 1)

    def _count(self, member, sign):
        for index in range(_LIMIT_COUNT):
            self.demand[index] += sign * member.demand[index]
            self.granted[index] += sign * member.granted[index]

    def expire(self, now):
        """Removes the members whose grants have expired."""
        while self.members_by_name:
            name, member = next(iter(self.members_by_name.items()))
            if member.expires_at > now:
                return
            self.remove(name)


class ShareCoordinator:
    """Grants shares of the limits of the customers that this daemon coordinates.

    The part of a limit that is not fixed is granted in proportion to demand. Grants in
    force never exceed this part times the fraction of the listed hosts that this daemon
    can reach; ``reachable_count()`` returns their number. After its first request for a
    customer a coordinator grants nothing for one term, unless ``first_start`` is true,
    since grants of another coordinator may still be in force.
    """

    def __init__(self, router, contract_of, reachable_count, *, first_start=False):
        self._contract_of = contract_of
        self._reachable_count = reachable_count
        self._states_by_customer = {}
        self._first_start = first_start
        router.on_call(RequestShare, self._on_request)

    def resign(self, customer):
        """Removes the state of a customer that another daemon coordinates now."""
        self._states_by_customer.pop(customer, None)

    async def _on_request(self, sender, message):
        contract = self._contract_of(message.customer)
        if contract is None:
            raise ServingError(ResultCode.BAD_KEY, "no such customer")
        now = anyio.current_time()
        state = self._states_by_customer.get(message.customer)
        if state is None:
            no_grants_s = (
                0.0
                if self._first_start
                else grant_term_s(message.hosts) + TERM_MARGIN_S
            )
            state = _CustomerState(now + no_grants_s)
            self._states_by_customer[message.customer] = state
        state.expire(now)
        state.remove(sender)
        member = _MemberGrant()
        term_s = grant_term_s(message.hosts)
        member.expires_at = now + term_s + TERM_MARGIN_S
        limits = limits_of(contract)
        member.demand = tuple(
            reported + _BASE_DEMAND_FRACTION * limit / message.hosts
            for reported, limit in zip(reported_demand_of(message), limits, strict=True)
        )
        state.add(sender, member)
        if now >= state.no_grants_until:
            state.remove(sender)
            member.granted = self._grant(state, member, limits, message.hosts)
            state.add(sender, member)
        return ShareGrant(*member.granted, term_s)

    def _grant(self, state, member, limits, hosts):
        """Returns the shares that are granted to a member, one for each limit."""
        reachable_fraction = min(1.0, self._reachable_count() / hosts)
        grants = []
        for index, limit in enumerate(limits):
            grantable = (1.0 - FIXED_FRACTION) * limit * reachable_fraction
            total_demand = state.demand[index] + member.demand[index]
            fraction = member.demand[index] / total_demand if total_demand > 0 else 0.0
            grants.append(
                max(0.0, min(grantable * fraction, grantable - state.granted[index]))
            )
        return tuple(grants)


def limits_of(contract):
    """Returns the limits of a contract."""
    return (
        contract.requests_per_second,
        contract.tokens_per_minute / 60.0,
        contract.concurrency,
        contract.batch.max_queued_requests,
    )


def reported_demand_of(message):
    """Returns the demand in a RequestShare, in the order of ``limits_of``."""
    return (
        message.requests_per_second,
        message.tokens_per_second,
        message.concurrency,
        message.batch_requests,
    )
