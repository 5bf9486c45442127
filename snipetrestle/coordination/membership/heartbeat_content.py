"""What a host tells the others in its heartbeats, gathered from its components."""

from snipetrestle.coordination.membership.hosts import HostStatus
from snipetrestle.coordination.messaging.messages import StoreAccess
from snipetrestle.gateway.publication.published_items import MAX_REVISION


class HeartbeatContent:
    """Implements what Hosts asks for.

    The components depend on Hosts, so they are set by ``connect`` after it is built.
    ``state`` is the PublishedState. All but the leadership may be None in a system that
    has no such part.
    """

    def __init__(self):
        self._leadership = None
        self._state = None
        self._store_relay = None

    def connect(
        self,
        leadership,
        state=None,
        store_relay=None,
    ):
        self._leadership = leadership
        self._state = state
        self._store_relay = store_relay

    def status(self):
        """Returns the HostStatus."""
        leadership, state = self._leadership, self._state
        return HostStatus(
            leader=leadership.leader,
            term=leadership.term,
            leader_age_s=leadership.leader_age_s(),
            has_leader=leadership.has_recent_leader,
            leads=leadership.leads,
            newest_positions={} if state is None else state.newest_positions(),
            document_version_sum=0
            if state is None
            else min(state.documents.version_sum, MAX_REVISION),
            reads_store=state is not None and state.is_store_reachable,
            store_access=StoreAccess()
            if state is None
            else state.availability.own_access(),
            candidates=leadership.next_leaders(),
            reached=leadership.reached_count(),
            unreached=leadership.unreached_digests(),
        )

    def readers_by_domain(self):
        """Returns the names of the hosts that read the store; for the leader."""
        return {} if self._store_relay is None else self._store_relay.appoint_readers()

    def hosts_read_for(self):
        """Returns the hosts for which this one reads the store."""
        return [] if self._store_relay is None else self._store_relay.hosts_read_for()
