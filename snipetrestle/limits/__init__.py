"""Rate limits of customers: token buckets, shares of all daemons, retry budgets."""

from snipetrestle.limits.coordinator import ShareCoordinator
from snipetrestle.limits.shares import LimitShares

__all__ = ["LimitShares", "ShareCoordinator"]
