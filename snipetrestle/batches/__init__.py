"""Batches: generations without a waiting caller, stored at two daemons each.

The two daemons of a batch are in different failure domains.
"""

from snipetrestle.batches.holder import BatchHolder, BatchStatus, BatchTimes
from snipetrestle.batches.messages import BatchItem, ItemResult

__all__ = ["BatchHolder", "BatchItem", "BatchStatus", "BatchTimes", "ItemResult"]
