"""Batch work that two daemons in different failure domains hold."""

from snipetrestle.batches.holder import BatchHolder, BatchStatus, BatchTimes
from snipetrestle.batches.messages import BatchItem, ItemResult

__all__ = ["BatchHolder", "BatchItem", "BatchStatus", "BatchTimes", "ItemResult"]
