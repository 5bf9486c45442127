"""Messages between a customer's coordinator and the daemons that apply its limits."""

import msgspec

from snipetrestle.peers.messages import register_message


@register_message
class RequestShare(msgspec.Struct, frozen=True):
    """Reports a daemon's demand of a customer and asks for a share of its limits.

    ``hosts`` is the number of hosts on the sender's list. Rates are averages.
    """

    customer: str
    hosts: int
    requests_per_second: float
    tokens_per_second: float
    concurrency: int
    batch_requests: int


@register_message
class ShareGrant(msgspec.Struct, frozen=True):
    """Reply to RequestShare: the share that is granted beyond the fixed share.

    It expires ``term_s`` seconds after the request was sent.
    """

    requests_per_second: float
    tokens_per_second: float
    concurrency: float
    batch_requests: float
    term_s: float
