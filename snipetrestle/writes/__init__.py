"""At-most-once execution of non-idempotent writes.

Keepers are the replicas that store the state of an idempotency key: the claim of the
daemon that may run the write, and the write's final outcome.
"""

from snipetrestle.writes.coordinator import WriteCoordinator, WriteRequest, WriteResult
from snipetrestle.writes.keeper import Keeper

__all__ = ["Keeper", "WriteCoordinator", "WriteRequest", "WriteResult"]
