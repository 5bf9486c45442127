"""Coordinator of customers' limits: grants shares that follow demand."""

import anyio

from snipetrestle.codes import ResultCode, ServingError
from snipetrestle.limits.messages import RequestShare, ShareGrant
from snipetrestle.limits.shares import FIXED_FRACTION, term_of

# A member with little demand gets a part that lets it admit a first request.
_BASE_DEMAND = 0.1
# The coordinator counts a grant for longer than its holder uses it.
TERM_MARGIN_S = 0.5
_DIMENSIONS = 4


class _Member:
    __slots__ = ("demand", "granted", "until")

    def __init__(self):
        self.demand = (0.0,) * _DIMENSIONS
        self.granted = (0.0,) * _DIMENSIONS
        self.until = 0.0


class _CustomerState:
    """Grants of one customer; totals are kept, so a request costs constant time."""

    __slots__ = ("quiet_until", "members_by_name", "demand", "granted")

    def __init__(self, quiet_until):
        self.quiet_until = quiet_until
        # Ordered by the last request. A term that is shorter than one before it, after
        # the list of hosts has shrunk, is counted until that one ends.
        self.members_by_name = {}
        self.demand = [0.0] * _DIMENSIONS
        self.granted = [0.0] * _DIMENSIONS

    def remove(self, name):
        member = self.members_by_name.pop(name, None)
        if member is not None:
            self._count(member, -1)

    def put(self, name, member):
        self.members_by_name[name] = member
        self._count(member, 1)

    def _count(self, member, sign):
        for index in range(_DIMENSIONS):
            self.demand[index] += sign * member.demand[index]
            self.granted[index] += sign * member.granted[index]

    def expire(self, now):
        while self.members_by_name:
            name, member = next(iter(self.members_by_name.items()))
            if member.until > now:
                return
            self.remove(name)


class ShareCoordinator:
    """Grants shares of the customers that this daemon coordinates.

    Grants in force never exceed the granted half of the limit times the fraction of
    the listed hosts that ``reached_count()`` tells, the members that this daemon can
    reach. A coordinator grants nothing for one term after it first hears of a customer.
    """

    def __init__(self, router, contract_of, reached_count, *, first=False):
        self._contract_of = contract_of
        self._reached_count = reached_count
        self._states_by_customer = {}
        self._first = first
        router.on_call(RequestShare, self._on_request)

    def resign(self, customer):
        """Forgets a customer whose coordinator is another daemon now."""
        self._states_by_customer.pop(customer, None)

    async def _on_request(self, sender, message):
        contract = self._contract_of(message.customer)
        if contract is None:
            raise ServingError(ResultCode.BAD_KEY, "no such customer")
        now = anyio.current_time()
        state = self._states_by_customer.get(message.customer)
        if state is None:
            quiet_s = 0.0 if self._first else term_of(message.hosts) + TERM_MARGIN_S
            state = _CustomerState(now + quiet_s)
            self._states_by_customer[message.customer] = state
        state.expire(now)
        state.remove(sender)
        member = _Member()
        term_s = term_of(message.hosts)
        member.until = now + term_s + TERM_MARGIN_S
        limits = limits_of(contract)
        member.demand = tuple(
            asked + _BASE_DEMAND * limit / message.hosts
            for asked, limit in zip(asked_of(message), limits, strict=True)
        )
        state.put(sender, member)
        if now >= state.quiet_until:
            state.remove(sender)
            member.granted = self._grant(state, member, limits, message.hosts)
            state.put(sender, member)
        return ShareGrant(*member.granted, term_s)

    def _grant(self, state, member, limits, hosts):
        reached = min(1.0, self._reached_count() / hosts)
        grants = []
        for index, limit in enumerate(limits):
            total = (1.0 - FIXED_FRACTION) * limit * reached
            wanted = state.demand[index] + member.demand[index]
            part = member.demand[index] / wanted if wanted > 0 else 0.0
            grants.append(max(0.0, min(total * part, total - state.granted[index])))
        return tuple(grants)


def limits_of(contract):
    return (
        contract.requests_per_second,
        contract.tokens_per_minute / 60.0,
        contract.concurrency,
        contract.batch.max_queued_requests,
    )


def asked_of(message):
    return (
        message.requests_per_second,
        message.tokens_per_second,
        message.concurrency,
        message.batch_requests,
    )
