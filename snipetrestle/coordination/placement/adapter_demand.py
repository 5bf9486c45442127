"""Demand for an adapter, by the software version of replicas that its requests need."""

from snipetrestle.coordination.placement.decaying_count import DecayingCount

DEMAND_HALF_LIFE_S = 8.0
# The number of copies follows short-term demand, since popularity can shift abruptly.
RECENT_DEMAND_HALF_LIFE_S = 1.5


class VersionDemand:
    """The uses by requests for one version, and when they last asked for a place."""

    __slots__ = ("uses", "requested_at")

    def __init__(self):
        self.uses = DecayingCount(DEMAND_HALF_LIFE_S)
        self.requested_at = 0.0


class AdapterDemand:
    """All uses of an adapter, also the ``recent`` ones alone.

    ``by_version`` has the VersionDemand by software version, "" for requests that any
    replica can serve. A host that asks for one version tells all uses since it last
    asked, so some of these may belong to others.
    """

    __slots__ = ("uses", "recent", "requested_at", "by_version")

    def __init__(self):
        self.uses = DecayingCount(DEMAND_HALF_LIFE_S)
        self.recent = DecayingCount(RECENT_DEMAND_HALF_LIFE_S)
        self.requested_at = 0.0
        self.by_version = {}

    def add(self, uses, now, software_version=""):
        self.uses.add(uses, now)
        self.recent.add(uses, now)
        self.requested_at = now
        demand = self.by_version.get(software_version)
        if demand is None:
            demand = self.by_version[software_version] = VersionDemand()
        demand.uses.add(uses, now)
        demand.requested_at = now

    def served_by(self, replica):
        """Yields (software version, VersionDemand) of what a replica can serve."""
        for version, demand in self.by_version.items():
            if replica.runs(version):
                yield version, demand

    def value_at(self, replica, now):
        """Returns what is left of the uses that a replica could serve."""
        return sum(demand.uses.value(now) for _, demand in self.served_by(replica))

    def versions_requested_at(self, replica, since):
        """Returns the versions requested since a time that a replica can serve."""
        return [
            version
            for version, demand in self.served_by(replica)
            if demand.requested_at > since
        ]

    def drop_versions(self, horizon):
        """Forgets the versions that nobody has requested since a time."""
        self.by_version = {
            version: demand
            for version, demand in self.by_version.items()
            if demand.requested_at >= horizon
        }
