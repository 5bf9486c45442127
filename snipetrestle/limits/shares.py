"""One daemon's shares of the customers' limits: admission of requests."""

import contextlib
import math

import anyio

from snipetrestle.codes import ResultCode, ServingError
from snipetrestle.limits.buckets import TokenBucket
from snipetrestle.limits.messages import RequestShare
from snipetrestle.peers.transport import PeerUnreachable

# Part of each limit that is divided equally over the hosts on the platform's list.
FIXED_FRACTION = 0.5
# Retries that are free after a quiet time, so that single failures can be repeated.
RETRY_BURST = 10.0
# Shares are asked for again at this part of their term.
REFRESH_FRACTION = 0.33
MIN_TERM_S = 3.0
# A term lasts longer in a large fleet, so that the coordinator of a customer that is in
# use everywhere handles at most 60 requests a second, about 1.5% of a core.
TERM_PER_HOST_S = 0.05
# A daemon asks for a grant once it uses this part of its fixed share. At 330 daemons
# most have little of a customer's work, and asking for it was the largest control cost.
ASK_FRACTION = 0.5
CALL_TIMEOUT_S = 1.0
# A customer without requests for this long asks for no share.
IDLE_S = 30.0
# Longest time for which a refusal is answered from the table.
MAX_REFUSAL_S = 0.25
MAX_RETRY_AFTER_S = 60.0
# Reported demand is averaged over about this time; over one refresh, a customer with a
# request every few seconds would report either nothing or too much.
DEMAND_AVERAGE_S = 10.0


def term_of(hosts):
    """Returns the term of a grant in seconds."""
    return max(MIN_TERM_S, TERM_PER_HOST_S * hosts)


class _Share:
    """This daemon's share of one customer's limits."""

    __slots__ = (
        "contract",
        "requests",
        "tokens",
        "retries",
        "concurrency",
        "batch_limit",
        "in_progress",
        "batch_in_progress",
        "granted",
        "granted_until",
        "asked_requests",
        "asked_tokens",
        "request_demand",
        "token_demand",
        "last_used",
        "measured_at",
    )

    def __init__(self, contract, hosts):
        self.contract = contract
        self.requests = TokenBucket(0.0, contract.burst_s)
        self.tokens = TokenBucket(0.0, contract.burst_s)
        self.retries = RETRY_BURST
        self.in_progress = 0
        self.batch_in_progress = 0
        self.granted = None
        self.granted_until = 0.0
        self.asked_requests = 0.0
        self.asked_tokens = 0.0
        self.request_demand = 0.0
        self.token_demand = 0.0
        self.last_used = anyio.current_time()
        self.measured_at = self.last_used
        self.apply(hosts)
        # A daemon starts with the burst of its fixed share.
        self.requests.level = self.requests.rate * contract.burst_s
        self.tokens.level = self.tokens.rate * contract.burst_s

    def measure(self, now):
        """Folds the requests since the last report into the averaged demand."""
        elapsed = max(now - self.measured_at, 1e-3)
        part = 1.0 - math.exp(-elapsed / DEMAND_AVERAGE_S)
        self.request_demand += part * (
            self.asked_requests / elapsed - self.request_demand
        )
        self.token_demand += part * (self.asked_tokens / elapsed - self.token_demand)
        self.measured_at = now
        self.asked_requests = self.asked_tokens = 0.0

    def is_short(self, hosts):
        """Tells whether the fixed share alone may not suffice."""
        contract = self.contract
        part = ASK_FRACTION * FIXED_FRACTION / hosts
        return (
            self.request_demand > contract.requests_per_second * part
            or self.token_demand > contract.tokens_per_minute / 60.0 * part
            or self.in_progress > contract.concurrency * part
            or self.batch_in_progress > contract.batch.max_queued_requests * part
        )

    def apply(self, hosts):
        """Sets the limits from the fixed part and the grant, if it is in force."""
        fixed = FIXED_FRACTION / hosts
        contract = self.contract
        rate = contract.requests_per_second * fixed
        tokens = contract.tokens_per_minute / 60.0 * fixed
        self.concurrency = contract.concurrency * fixed
        self.batch_limit = contract.batch.max_queued_requests * fixed
        if self.granted is not None and self.granted_until > anyio.current_time():
            rate += self.granted.requests_per_second
            tokens += self.granted.tokens_per_second
            self.concurrency += self.granted.concurrency
            self.batch_limit += self.granted.batch_requests
        else:
            self.granted = None
        self.requests.set_rate(rate)
        self.tokens.set_rate(tokens)


class _Admission:
    """Open while the request is in progress."""

    __slots__ = ("_share", "_is_batch")

    def __init__(self, share, is_batch):
        self._share = share
        self._is_batch = is_batch

    def __enter__(self):
        return self

    def __exit__(self, *details):
        if self._is_batch:
            self._share.batch_in_progress -= 1
        else:
            self._share.in_progress -= 1


class LimitShares:
    """Admits requests within this daemon's shares. ``run`` keeps the grants fresh.

    ``contract_of`` returns a customer's contract, ``coordinator_of`` the member that
    coordinates a customer, and ``host_count`` the number of hosts on the list.
    """

    def __init__(self, transport, rng, contract_of, coordinator_of, host_count):
        self._transport = transport
        self._random = rng
        self._contract_of = contract_of
        self._coordinator_of = coordinator_of
        self._host_count = host_count
        self._shares_by_customer = {}
        self._refusals_by_customer = {}

    def admit(self, customer, request_class, tokens, is_retry=False):
        """Returns a context manager that is open while the request is in progress.

        Raises ServingError with the limit that is used up and ``retry_after``.
        """
        refusal = self._refusals_by_customer.get((customer, request_class))
        if refusal is not None:
            until, code = refusal
            left = until - anyio.current_time()
            if left > 0.0:
                raise ServingError(code, retry_after=self._spread(left))
            del self._refusals_by_customer[(customer, request_class)]
        share = self._share_of(customer)
        share.last_used = anyio.current_time()
        share.asked_requests += 1
        share.asked_tokens += tokens
        if share.granted is not None and share.granted_until <= share.last_used:
            share.apply(self._host_count())
        if is_retry and share.retries < 1.0:
            raise ServingError(ResultCode.RETRY_BUDGET, retry_after=self._spread(1.0))
        if request_class == "batch":
            admission = self._admit_batch(customer, share)
        else:
            admission = self._admit_waiting(customer, share, tokens)
        if is_retry:
            share.retries -= 1.0
        else:
            share.retries = min(RETRY_BURST, share.retries + share.contract.retry_ratio)
        return admission

    def _admit_batch(self, customer, share):
        if share.batch_in_progress + 1 > share.batch_limit:
            self._refuse(customer, "batch", ResultCode.BATCH_ALLOWANCE, 1.0)
        share.batch_in_progress += 1
        return _Admission(share, True)

    def _admit_waiting(self, customer, share, tokens):
        if share.in_progress + 1 > share.concurrency:
            # A place may be free at any moment, so this refusal is not kept.
            raise ServingError(
                ResultCode.CONCURRENCY_LIMIT, retry_after=self._spread(0.5)
            )
        wait = share.requests.wait_s(1.0)
        if wait > 0.0:
            self._refuse(customer, "waiting", ResultCode.RATE_LIMIT, wait)
        wait = share.tokens.wait_s(tokens)
        if wait > 0.0:
            self._refuse(customer, "waiting", ResultCode.TOKEN_LIMIT, wait)
        share.requests.take(1.0)
        share.tokens.take(tokens)
        share.in_progress += 1
        return _Admission(share, False)

    def _refuse(self, customer, request_class, code, wait):
        now = anyio.current_time()
        until = now + min(wait, MAX_REFUSAL_S)
        self._refusals_by_customer[(customer, request_class)] = (until, code)
        raise ServingError(code, retry_after=self._spread(wait))

    def _spread(self, wait):
        """Adds jitter, so that refused callers do not come back together."""
        wait = min(wait, MAX_RETRY_AFTER_S)
        return wait * (1.0 + 0.5 * self._random.random())

    def _share_of(self, customer):
        contract = self._contract_of(customer)
        share = self._shares_by_customer.get(customer)
        if share is None:
            share = _Share(contract, self._host_count())
            self._shares_by_customer[customer] = share
        elif share.contract is not contract:
            share.contract = contract
            share.apply(self._host_count())
        return share

    async def run(self):
        """Asks for shares of the customers that are in use here."""
        async with anyio.create_task_group() as group:
            while True:
                now = anyio.current_time()
                for customer, share in tuple(self._shares_by_customer.items()):
                    if self._is_idle(share, now):
                        del self._shares_by_customer[customer]
                        self._refusals_by_customer.pop((customer, "waiting"), None)
                        self._refusals_by_customer.pop((customer, "batch"), None)
                    else:
                        group.start_soon(self._refresh, customer, share)
                jitter = 0.9 + 0.2 * self._random.random()
                await anyio.sleep(
                    term_of(self._host_count()) * REFRESH_FRACTION * jitter
                )

    def _is_idle(self, share, now):
        busy = share.in_progress or share.batch_in_progress
        return not busy and now - share.last_used > IDLE_S

    async def _refresh(self, customer, share):
        now = anyio.current_time()
        hosts = self._host_count()
        share.measure(now)
        if not share.is_short(hosts):
            share.apply(hosts)
            return
        message = RequestShare(
            customer=customer,
            hosts=hosts,
            requests_per_second=share.request_demand,
            tokens_per_second=share.token_demand,
            concurrency=share.in_progress,
            batch_requests=share.batch_in_progress,
        )
        with contextlib.suppress(PeerUnreachable, ServingError):
            grant = await self._transport.call(
                self._coordinator_of(customer), message, CALL_TIMEOUT_S
            )
            share.granted = grant
            # Counted from the sending, so it ends here before the coordinator's count.
            share.granted_until = now + grant.term_s
        share.apply(hosts)


def share_bound(contract, hosts, window_s, largest_tokens):
    """Returns (requests, tokens) that all daemons together may admit in a window.

    Beyond rate times window, each daemon may hold a burst and one whole request.
    """
    seconds = window_s + contract.burst_s
    requests = contract.requests_per_second * seconds + hosts
    tokens = contract.tokens_per_minute / 60.0 * seconds + hosts * largest_tokens
    return math.ceil(requests), math.ceil(tokens)
