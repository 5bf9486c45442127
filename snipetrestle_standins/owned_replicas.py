"""Replica owners without claims and hand-overs, for tests of the data path.

The owner of a replica is the first routable member of the replica's region in the
replica's rendezvous order. Daemons run ``ReplicaOwnership`` instead.
"""

import contextlib

import anyio

from snipetrestle.codes import ResultCode, ServingError
from snipetrestle.engines.forward import Forward
from snipetrestle.events import Event, log_event
from snipetrestle.hashing import rendezvous_first


class OwnedReplicas:
    """Runs the owners of this daemon's replicas and follows changes of membership.

    ``make_owner(server)`` returns a ReplicaOwner.
    """

    def __init__(self, membership, make_owner):
        self._membership = membership
        self._make_owner = make_owner
        self._configuration = None
        self._owners_by_name = {}
        self._owner_names_by_replica = {}
        self._owner_names_view_number = None
        self._task_group = None
        self._scopes_by_name = {}

    def apply(self, configuration):
        """Applies a published configuration."""
        self._configuration = configuration
        self._owner_names_view_number = None
        self._update()

    async def run(self):
        """Updates the owned replicas on each change of membership until cancelled."""
        async with anyio.create_task_group() as task_group:
            self._task_group = task_group
            for owner in self._owners_by_name.values():
                task_group.start_soon(self._run_owner, owner)
            while True:
                view_number = self._membership.view_number
                self._update()
                await self._membership.wait_changed(view_number)

    async def _run_owner(self, owner):
        with anyio.CancelScope() as scope:
            self._scopes_by_name[owner.server.name] = scope
            await owner.run()

    def owner_name(self, server, without=()):
        """Returns the name of the daemon that owns a replica, or None.

        ``without`` names members that did not answer; the next candidate is returned.
        """
        if without:
            members = self._membership.routable(server.region)
            candidates = {
                name: members[name] for name in members if name not in without
            }
            return rendezvous_first(server.name, candidates)
        current_view_number = self._membership.view_number
        if self._owner_names_view_number != current_view_number:
            self._owner_names_by_replica.clear()
            self._owner_names_view_number = current_view_number
        try:
            return self._owner_names_by_replica[server.name]
        except KeyError:
            members = self._membership.routable(server.region)
            name = rendezvous_first(server.name, members)
            self._owner_names_by_replica[server.name] = name
            return name

    def replica_client(self, replica):
        """Returns the ReplicaOwner of an own replica. Raises ServingError."""
        owner = self._owners_by_name.get(replica)
        if owner is None:
            raise ServingError(ResultCode.NOT_OWNER, replica)
        return owner

    def mark_unreachable(self, name):
        """Reports to the membership that a member did not answer."""
        self._membership.report_unreachable(name)

    def owners(self):
        return tuple(self._owners_by_name.values())

    def _update(self):
        if self._configuration is None:
            return
        own_name = self._membership.own_name
        owned_servers = {
            server.name: server
            for servers in self._configuration.replicas_by_model.values()
            for server in servers
            if self.owner_name(server) == own_name
        }
        for name in self._owners_by_name.keys() - owned_servers.keys():
            self._release(name)
            log_event(Event.REPLICA_RELEASED, replica=name)
        for name in owned_servers.keys() - self._owners_by_name.keys():
            owner = self._owners_by_name[name] = self._make_owner(owned_servers[name])
            if self._task_group is not None:
                self._task_group.start_soon(self._run_owner, owner)
            log_event(Event.REPLICA_OWNED, replica=name)

    def _release(self, name):
        """Stops owning a replica: rejects queued requests, lets streams finish."""
        owner = self._owners_by_name.pop(name)
        owner.stop_dispatch()
        owner.reject_queued_requests()
        scope = self._scopes_by_name.pop(name, None)
        if scope is not None:
            scope.cancel()


class ForwardHandler:
    """Serves Forward streams of other daemons with the owners of this daemon."""

    def __init__(self, router, owned_replicas):
        self._owned_replicas = owned_replicas
        router.on_stream(Forward, self._serve)

    async def _serve(self, sender, message):
        owner = self._owned_replicas.replica_client(message.replica)
        async with (
            owner.submit(message) as replies,
            contextlib.aclosing(replies),
        ):
            async for reply in replies:
                yield reply
