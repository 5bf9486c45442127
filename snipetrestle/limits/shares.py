"""Admission of requests within this daemon's shares of the customers' limits.

A share has a fixed part, equal for all hosts, and a part that the customer's
coordinator grants for a term.
"""

import contextlib
import math

import anyio

from snipetrestle.codes import ResultCode, ServingError
from snipetrestle.limits.buckets import TokenBucket
from snipetrestle.limits.messages import RequestShare
from snipetrestle.peers.transport import PeerUnreachable

# Fraction of each limit that is divided equally between the hosts on the platform's
# list.
FIXED_FRACTION = 0.5
# Maximum of the retry budget. It allows some retries after a time without any, so that
# single failures can be retried.
RETRY_BURST = 10.0
# A grant is renewed after this fraction of its term.
REFRESH_FRACTION = 0.33
MIN_TERM_S = 3.0
# A term lasts longer in a large fleet, so that the coordinator of a customer that is in
# use everywhere handles at most 60 requests a second, about 1.5% of a core.
TERM_PER_HOST_S = 0.05
# A daemon requests a grant once it uses this fraction of its fixed share. With 330
# daemons most have few requests of a customer, and requests for grants were the largest
# control cost.
GRANT_REQUEST_FRACTION = 0.5
CALL_TIMEOUT_S = 1.0
# No grant is requested for a customer without requests for this long.
IDLE_S = 30.0
# Maximum time for which a refusal is cached.
MAX_CACHED_REFUSAL_S = 0.25
MAX_RETRY_AFTER_S = 60.0
# Time constant of the average of the reported demand. Averaged over one refresh, a
# customer with a request every few seconds would report either nothing or too much.
DEMAND_AVERAGE_S = 10.0


def grant_term_s(hosts):
    """Returns the term of a grant, in seconds."""
    return max(MIN_TERM_S, TERM_PER_HOST_S * hosts)


class _Share:
    """This daemon's share of one customer's limits, its use and the measured demand."""

    __slots__ = (
        "contract",
        "requests",
        "tokens",
        "retry_budget",
        "concurrency",
        "batch_limit",
        "in_progress",
        "batch_in_progress",
        "granted",
        "granted_until",
        "requests_since_report",
        "tokens_since_report",
        "request_demand",
        "token_demand",
        "last_used",
        "demand_updated_at",
    )

    def __init__(self, contract, hosts):
        self.contract = contract
        self.requests = TokenBucket(0.0, contract.burst_s)
        self.tokens = TokenBucket(0.0, contract.burst_s)
        self.retry_budget = RETRY_BURST
        self.in_progress = 0
        self.batch_in_progress = 0
        self.granted = None
        self.granted_until = 0.0
        self.requests_since_report = 0.0
        self.tokens_since_report = 0.0
        self.request_demand = 0.0
        self.token_demand = 0.0
        self.last_used = anyio.current_time()
        self.demand_updated_at = self.last_used
        self.update_limits(hosts)
        # A daemon starts with the burst of its fixed share.
        self.requests.level = self.requests.rate * contract.burst_s
        self.tokens.level = self.tokens.rate * contract.burst_s

    def update_demand(self, now):
        """Updates the averaged demand with the requests since the last update."""
        elapsed = max(now - self.demand_updated_at, 1e-3)
        weight = 1.0 - math.exp(-elapsed / DEMAND_AVERAGE_S)
        self.request_demand += weight * (
            self.requests_since_report / elapsed - self.request_demand
        )
        self.token_demand += weight * (
            self.tokens_since_report / elapsed - self.token_demand
        )
        self.demand_updated_at = now
        self.requests_since_report = self.tokens_since_report = 0.0

    def needs_grant(self, hosts):
        """Tells whether the fixed share alone may be too small for the demand."""
        contract = self.contract
        threshold_fraction = GRANT_REQUEST_FRACTION * FIXED_FRACTION / hosts
        return (
            self.request_demand > contract.requests_per_second * threshold_fraction
            or self.token_demand
            > contract.tokens_per_minute / 60.0 * threshold_fraction
            or self.in_progress > contract.concurrency * threshold_fraction
            or self.batch_in_progress
            > contract.batch.max_queued_requests * threshold_fraction
        )

    def update_limits(self, hosts):
        """Sets the limits to the fixed share, plus the grant if it is in force."""
        fixed_fraction = FIXED_FRACTION / hosts
        contract = self.contract
        rate = contract.requests_per_second * fixed_fraction
        tokens = contract.tokens_per_minute / 60.0 * fixed_fraction
        self.concurrency = contract.concurrency * fixed_fraction
        self.batch_limit = contract.batch.max_queued_requests * fixed_fraction
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
    """Context manager that counts a request as in progress until it exits."""

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
    """Admits requests within this daemon's shares. ``run`` renews the grants.

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
        """Admits a request; returns a context manager to hold while it is in progress.

        Raises ServingError with the code of the exceeded limit and ``retry_after`` in
        seconds.
        """
        refusal = self._refusals_by_customer.get((customer, request_class))
        if refusal is not None:
            until, code = refusal
            remaining_s = until - anyio.current_time()
            if remaining_s > 0.0:
                raise ServingError(code, retry_after=self._add_jitter(remaining_s))
            del self._refusals_by_customer[(customer, request_class)]
        share = self._share_of(customer)
        share.last_used = anyio.current_time()
        share.requests_since_report += 1
        share.tokens_since_report += tokens
        if share.granted is not None and share.granted_until <= share.last_used:
            share.update_limits(self._host_count())
        if is_retry and share.retry_budget < 1.0:
            raise ServingError(
                ResultCode.RETRY_BUDGET, retry_after=self._add_jitter(1.0)
            )
        if request_class == "batch":
            admission = self._admit_batch(customer, share)
        else:
            admission = self._admit_waiting(customer, share, tokens)
        if is_retry:
            share.retry_budget -= 1.0
        else:
            share.retry_budget = min(
                RETRY_BURST, share.retry_budget + share.contract.retry_ratio
            )
        return admission

    def _admit_batch(self, customer, share):
        if share.batch_in_progress + 1 > share.batch_limit:
            self._refuse(customer, "batch", ResultCode.BATCH_ALLOWANCE, 1.0)
        share.batch_in_progress += 1
        return _Admission(share, True)

    def _admit_waiting(self, customer, share, tokens):
        if share.in_progress + 1 > share.concurrency:
            # A request in progress may end at any moment, so this refusal is not
            # cached.
            raise ServingError(
                ResultCode.CONCURRENCY_LIMIT, retry_after=self._add_jitter(0.5)
            )
        delay_s = share.requests.wait_s(1.0)
        if delay_s > 0.0:
            self._refuse(customer, "waiting", ResultCode.RATE_LIMIT, delay_s)
        delay_s = share.tokens.wait_s(tokens)
        if delay_s > 0.0:
            self._refuse(customer, "waiting", ResultCode.TOKEN_LIMIT, delay_s)
        share.requests.take(1.0)
        share.tokens.take(tokens)
        share.in_progress += 1
        return _Admission(share, False)

    def _refuse(self, customer, request_class, code, delay_s):
        """Caches a refusal for a short time, and raises it as a ServingError."""
        now = anyio.current_time()
        until = now + min(delay_s, MAX_CACHED_REFUSAL_S)
        self._refusals_by_customer[(customer, request_class)] = (until, code)
        raise ServingError(code, retry_after=self._add_jitter(delay_s))

    def _add_jitter(self, delay_s):
        """Adds jitter, so that refused callers do not come back together."""
        delay_s = min(delay_s, MAX_RETRY_AFTER_S)
        return delay_s * (1.0 + 0.5 * self._random.random())

    def _share_of(self, customer):
        contract = self._contract_of(customer)
        share = self._shares_by_customer.get(customer)
        if share is None:
            share = _Share(contract, self._host_count())
            self._shares_by_customer[customer] = share
        elif share.contract is not contract:
            share.contract = contract
            share.update_limits(self._host_count())
        return share

    async def run(self):
        """Requests grants for the customers with recent requests, until cancelled."""
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
                    grant_term_s(self._host_count()) * REFRESH_FRACTION * jitter
                )

    def _is_idle(self, share, now):
        is_busy = share.in_progress or share.batch_in_progress
        return not is_busy and now - share.last_used > IDLE_S

    async def _refresh(self, customer, share):
        now = anyio.current_time()
        hosts = self._host_count()
        share.update_demand(now)
        if not share.needs_grant(hosts):
            share.update_limits(hosts)
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
            # Counted from the sending of the request, so the grant expires here before
            # it does at the coordinator.
            share.granted_until = now + grant.term_s
        share.update_limits(hosts)


def admission_bound(contract, hosts, window_s, largest_tokens):
    """Returns (requests, tokens) that all daemons together may admit in a window.

    Beyond rate times window, the daemons may admit the customer's burst, and each
    daemon one whole request.
    """
    seconds = window_s + contract.burst_s
    requests = contract.requests_per_second * seconds + hosts
    tokens = contract.tokens_per_minute / 60.0 * seconds + hosts * largest_tokens
    return math.ceil(requests), math.ceil(tokens)
