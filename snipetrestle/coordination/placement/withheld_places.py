"""Places of adapters that are withheld from hosts, to be evicted once none uses them.

Hosts send requests to a place for a while without asking again. So a place of an
adapter in demand is first named to no host any more, and evicted after that time.
"""

import anyio

# A host asks each 0.06 s while a request waits. Lost datagrams delay that by 0.36 s.
WITHHELD_LIFE_S = 0.6


class Withheld:
    """Why a place is withheld: for the load of ``load_key``, ``since`` a time.

    It ends at ``until`` unless a request that waits for that load asks again.
    """

    __slots__ = ("load_key", "since", "until")

    def __init__(self, load_key, now):
        self.load_key = load_key
        self.since = now
        self.until = now + WITHHELD_LIFE_S


class WithheldPlaces:
    """The places that are withheld, one for each load that waits for a version."""

    def __init__(self):
        # (ReplicaAdapters, key of the withheld adapter) by key and version of the load.
        self._place_by_load = {}

    def __len__(self):
        return len(self._place_by_load)

    def begin(self, load_key, software_version, replica, key):
        """Withholds a replica as a place of an adapter."""
        self.end(load_key, software_version)
        replica.held[key].withheld = Withheld(load_key, anyio.current_time())
        self._place_by_load[load_key, software_version] = (replica, key)

    def place_for(self, load_key, software_version):
        """Returns (replica, key) of what is withheld for a load, or None."""
        place = self._place_by_load.get((load_key, software_version))
        if place is None:
            return None
        replica, key = place
        withheld = replica.withheld(key)
        is_valid = withheld is not None and withheld.load_key == load_key
        return place if is_valid else None

    def extend(self, load_key, software_version):
        """Records that a request still waits for a load."""
        place = self.place_for(load_key, software_version)
        if place is not None:
            replica, key = place
            until = anyio.current_time() + WITHHELD_LIFE_S
            replica.withheld(key).until = until

    def end(self, load_key, software_version):
        """Ends what is withheld for a load, as it has a place or needs another one."""
        place = self.place_for(load_key, software_version)
        if place is not None:
            replica, key = place
            replica.held[key].withheld = None
        self._place_by_load.pop((load_key, software_version), None)

    def drop_ended(self):
        """Forgets what is withheld no more."""
        for load in list(self._place_by_load):
            if self.place_for(*load) is None:
                del self._place_by_load[load]
