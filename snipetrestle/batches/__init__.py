"""Batches: generations without a waiting caller, stored at two daemons each.

The two daemons of a batch are in different failure domains.
"""

from snipetrestle.batches.holder import BatchHolder, BatchStatus
from snipetrestle.batches.messages import BatchItem, ItemResult
from snipetrestle.batches.times import BatchTimes

__all__ = ["BatchHolder", "BatchItem", "BatchStatus", "BatchTimes", "ItemResult"]
