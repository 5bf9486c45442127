"""Refusals of requests that end without a replica's response.

A request that may have run gets a code that says so.
"""

from snipetrestle.codes import ResultCode
from snipetrestle.dispatch.replica_search import RETRY_AFTER_S
from snipetrestle.gateway.job import Refused

# Retry-After of requests that arrive before the gateway is ready.
NOT_READY_RETRY_AFTER_S = 0.3
# Reason of refusals in a planned stop, for the log.
STOP_REASON = "this process stops"


def deadline_refusal(job):
    """Returns the refusal of a request whose deadline has passed."""
    if job.may_have_run:
        return Refused(ResultCode.DEADLINE_PASSED)
    return Refused(
        ResultCode.QUEUE_FULL, RETRY_AFTER_S, reason="not run before its deadline"
    )


def internal_refusal(job):
    """Returns the refusal of a request that an unexpected error has ended."""
    if job.may_have_run:
        return Refused(job.unknown_outcome_code, reason="internal error")
    return Refused(ResultCode.INTERNAL, reason="internal error")


def stop_refusal(job):
    """Returns the refusal of a request that this process no longer serves."""
    if job.may_have_run:
        return Refused(job.unknown_outcome_code, reason=STOP_REASON)
    return not_run_stop_refusal()


def not_run_stop_refusal():
    """Returns the refusal of a request that arrives while this process stops."""
    return Refused(ResultCode.NOT_READY, NOT_READY_RETRY_AFTER_S, reason=STOP_REASON)
