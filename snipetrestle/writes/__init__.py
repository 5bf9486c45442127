"""Non-idempotent writes that run at most once: keepers, claims and outcomes."""

from snipetrestle.writes.coordinator import WriteCoordinator, WriteRequest, WriteResult
from snipetrestle.writes.keeper import Keeper

__all__ = ["Keeper", "WriteCoordinator", "WriteRequest", "WriteResult"]
