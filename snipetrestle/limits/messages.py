"""Messages between a customer's coordinator and the daemons that use its limits."""

import msgspec

from snipetrestle.peers.messages import register_message


@register_message
class RequestShare(msgspec.Struct, frozen=True):
    """Reports a daemon's demand since its last report, and asks for a share."""

    customer: str
    hosts: int
    requests_per_second: float
    tokens_per_second: float
    concurrency: int
    batch_requests: int


@register_message
class ShareGrant(msgspec.Struct, frozen=True):
    """Share beyond the fixed part. It ends ``term_s`` after the request was sent."""

    requests_per_second: float
    tokens_per_second: float
    concurrency: float
    batch_requests: float
    term_s: float
