"""Placement of adapters: replica selection, eviction and the order of loads."""

from snipetrestle.placement.chooser import ReplicaChooser
from snipetrestle.placement.demand import DemandTracker
from snipetrestle.placement.load_coordinator import CoordinatedPermits, LoadCoordinator
from snipetrestle.placement.slots import SlotTable

__all__ = [
    "CoordinatedPermits",
    "DemandTracker",
    "LoadCoordinator",
    "ReplicaChooser",
    "SlotTable",
]
