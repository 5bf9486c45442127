"""What a request costs of its tenant's quota."""

from snipetrestle.gateway.dialect import TokenCount
from snipetrestle.tenants.configuration import QuotaUnit

# Requests may cost so many tokens more than the burst. Larger ones alone would exceed
# what a tenant may use in any window.
MAX_TOKENS_ABOVE_BURST = 11_000


class MalformedTokenCount(ValueError):
    """A request's token count cannot be read, and its tenant is billed by tokens."""


def request_cost(quota, metadata):
    """Returns the units that a request costs. Raises MalformedTokenCount."""
    if quota.unit is QuotaUnit.REQUESTS:
        return 1
    if metadata.token_count is TokenCount.MALFORMED:
        raise MalformedTokenCount
    if metadata.token_count is TokenCount.ABSENT:
        return quota.plain_tokens
    return metadata.prompt_tokens + metadata.output_tokens


def is_servable(quota, cost):
    """Whether a request with this cost may ever be sent."""
    return cost <= max(quota.burst, 1) + MAX_TOKENS_ABOVE_BURST
