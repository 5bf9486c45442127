"""Index of the adapters of one backend's replicas.

The leader looks up an adapter for each request that no host has cached. A search
through thousands of replicas at each lookup would take more than a core.
"""


class PlacementIndex:
    """Replicas by adapter key; ReplicaAdapters keep it up to date.

    Each mapping contains dictionaries by replica id: of the ReplicaAdapters that hold
    an adapter or load it, of those that held it recently, and of the LoadRequests that
    wait. ``store_loads`` counts the loads from the store that are in flight.
    """

    def __init__(self):
        self._holders_by_key = {}
        self._recent_by_key = {}
        self._pending_by_key = {}
        self.store_loads = 0

    def holders(self, key):
        return self._holders_by_key.get(key, {}).values()

    def usable_holders(self, key):
        """Returns the usable replicas that hold the adapter or are loading it."""
        return [
            replica
            for replica in self.holders(key)
            if replica.usable and replica.unloading != key
        ]

    def recent_holders(self, key):
        return self._recent_by_key.get(key, {}).values()

    def pending(self, key):
        """Returns the LoadRequests for an adapter, by replica id."""
        return self._pending_by_key.get(key, {})

    def add_holder(self, key, replica):
        self._holders_by_key.setdefault(key, {})[replica.replica_id] = replica

    def remove_holder(self, key, replica):
        _remove(self._holders_by_key, key, replica.replica_id)

    def add_recent(self, key, replica):
        self._recent_by_key.setdefault(key, {})[replica.replica_id] = replica

    def remove_recent(self, key, replica):
        _remove(self._recent_by_key, key, replica.replica_id)

    def add_pending(self, load, replica):
        self._pending_by_key.setdefault(load.key, {})[replica.replica_id] = load

    def remove_pending(self, key, replica):
        _remove(self._pending_by_key, key, replica.replica_id)


def _remove(entries_by_key, key, replica_id):
    entries = entries_by_key.get(key)
    if entries is None:
        return
    entries.pop(replica_id, None)
    if not entries:
        del entries_by_key[key]
