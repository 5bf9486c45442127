"""Books requests on the quotas of their tenants before they are sent to a replica."""

import math

import anyio

from snipetrestle.codes import ResultCode
from snipetrestle.gateway.job import Refused
from snipetrestle.tenants.configuration import QuotaUnit
from snipetrestle.tenants.cost import MalformedTokenCount, is_servable, request_cost

# How long a request waits for its quota, as a multiple of its route's target latency.
QUOTA_WAIT_LATENCIES = 0.25
# It waits at least this long: the owner's answer takes two tries if a datagram is lost.
MIN_QUOTA_WAIT_S = 0.25
# Added to Retry-After, as clocks and timers are not exact.
RETRY_MARGIN_S = 0.001


class QuotaCheck:
    """Books each request once, however many attempts it has.

    ``accounts`` is the QuotaAccounts.
    """

    def __init__(self, accounts):
        self._accounts = accounts

    async def book(self, job):
        """Books a request that is about to search for a replica. Raises Refused."""
        tenant = job.tenant
        if tenant is None or tenant.quota is None:
            return
        cost = self._cost(job, tenant.quota)
        if not cost:
            return
        remaining_s = max(0.0, job.refusal_due_at - anyio.current_time())
        max_wait_s = max(
            MIN_QUOTA_WAIT_S, QUOTA_WAIT_LATENCIES * job.route.target_latency_s
        )
        retry_after_s = await self._accounts.acquire(
            tenant, cost, min(max_wait_s, remaining_s)
        )
        if retry_after_s is not None:
            raise _refusal(tenant.quota, cost, retry_after_s)
        job.quota_booking = tenant, cost, anyio.current_time()

    def end(self, job):
        """Ends the booking of a request. Refunds it if no replica may have run it."""
        if job.quota_booking is not None and not job.may_have_run:
            self._accounts.refund(*job.quota_booking)
        job.quota_booking = None

    @staticmethod
    def _cost(job, quota):
        try:
            cost = request_cost(quota, job.metadata)
        except MalformedTokenCount:
            raise Refused(
                ResultCode.MALFORMED_REQUEST, reason="malformed token count"
            ) from None
        if not is_servable(quota, cost):
            raise _refusal(quota, cost, None)
        return cost


def _refusal(quota, cost, retry_after_s):
    """Returns the refusal of a request.

    ``retry_after_s`` is None for a request that the quota never allows.
    """
    if quota.unit is QuotaUnit.REQUESTS:
        code = ResultCode.RATE_LIMIT
    else:
        code = ResultCode.TOKEN_LIMIT
    reason = "the tenant's quota is used up"
    if retry_after_s is None:
        reason = "the request is larger than the tenant's quota allows"
    else:
        retry_after_s = _rounded_up(retry_after_s + RETRY_MARGIN_S)
    return Refused(
        code,
        retry_after_s,
        reason=reason,
        cost=cost,
        told_retry_after_s=retry_after_s,
        rate_per_s=quota.rate_per_s,
        burst=quota.burst,
    )


def _rounded_up(duration_s):
    """Rounds a duration up to what Retry-After shows: "%g" has six digits."""
    digits = 3 if duration_s < 100 else 1
    return math.ceil(duration_s * 10**digits) / 10**digits
