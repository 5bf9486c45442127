"""Placement decisions: copies, choice of replica, eviction, load order."""

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
