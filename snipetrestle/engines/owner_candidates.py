"""Candidates to own a replica, in the membership view of this daemon.

They are the first routable members of the replica's region in the replica's rendezvous
order. The first one is to own it, and the others take over in this order.
"""

from snipetrestle.hashing import rendezvous_order

# Number of candidates of a replica. A request reaches the third one only after two
# daemons have failed at the same time.
OWNER_CANDIDATES = 3


class OwnerCandidates:
    """The names of the candidates of each replica, computed once for each view."""

    def __init__(self, membership):
        self._membership = membership
        self._view_number = None
        self._names_by_replica = {}

    def clear(self):
        """Forgets all candidates, since a replica of the same name may have moved."""
        self._names_by_replica.clear()

    def of(self, server):
        """Returns the names of the candidates of a replica, in order."""
        view_number = self._membership.view_number
        if self._view_number != view_number:
            self._names_by_replica.clear()
            self._view_number = view_number
        names = self._names_by_replica.get(server.name)
        if names is None:
            members = self._membership.routable(server.region)
            names = rendezvous_order(server.name, members, OWNER_CANDIDATES)
            self._names_by_replica[server.name] = names
        return names

    def may_include_self(self, server):
        """Tells whether this daemon can be a candidate, without computing them all.

        With 3,900 replicas in 4 regions this saves three quarters of the work after
        each change of the membership view.
        """
        return self._membership.own_name in self._membership.routable(server.region)

    def include_self(self, server):
        """Tells whether this daemon is a candidate."""
        return self._membership.own_name in self.of(server)

    def start_with_self(self, server, exclude=None):
        """Tells whether this daemon is the first candidate but for ``exclude``."""
        if not self.may_include_self(server):
            return False
        names = [name for name in self.of(server) if name != exclude]
        return bool(names) and names[0] == self._membership.own_name
