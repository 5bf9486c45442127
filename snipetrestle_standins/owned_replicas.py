"""Owners of replicas without claims and hand-overs, for tests of the path of a request.

The owner of a replica is the first routable member of the replica's region in the
replica's rendezvous order. ``ReplicaOwnership`` is what daemons run.
"""

import contextlib

import anyio

from snipetrestle.codes import ResultCode, ServingError
from snipetrestle.engines.forward import Forward
from snipetrestle.events import Event, log_event
from snipetrestle.hashing import rendezvous_first


class OwnedReplicas:
    """Owners of this daemon's replicas by name, kept in step with the membership.

    ``make_owner(server)`` returns a ReplicaOwner.
    """

    def __init__(self, membership, make_owner):
        self._membership = membership
        self._make_owner = make_owner
        self._configuration = None
        self._owners_by_name = {}
        self._owner_names_by_replica = {}
        self._names_view = None
        self._group = None
        self._scopes_by_name = {}

    def apply(self, configuration):
        """Takes over a published configuration."""
        self._configuration = configuration
        self._names_view = None
        self._update()

    async def run(self):
        """Follows the membership until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            for owner in self._owners_by_name.values():
                group.start_soon(self._run_owner, owner)
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

        ``without`` names members that did not answer: their successor is returned.
        """
        if without:
            members = self._membership.routable(server.region)
            left = {name: members[name] for name in members if name not in without}
            return rendezvous_first(server.name, left)
        view = self._membership.view_number
        if self._names_view != view:
            self._owner_names_by_replica.clear()
            self._names_view = view
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
        """Takes the news that a member did not answer."""
        self._membership.report_unreachable(name)

    def owners(self):
        return tuple(self._owners_by_name.values())

    def _update(self):
        if self._configuration is None:
            return
        own_name = self._membership.own_name
        wanted = {
            server.name: server
            for servers in self._configuration.replicas_by_model.values()
            for server in servers
            if self.owner_name(server) == own_name
        }
        for name in self._owners_by_name.keys() - wanted.keys():
            self._drop(name)
            log_event(Event.REPLICA_RELEASED, replica=name)
        for name in wanted.keys() - self._owners_by_name.keys():
            owner = self._owners_by_name[name] = self._make_owner(wanted[name])
            if self._group is not None:
                self._group.start_soon(self._run_owner, owner)
            log_event(Event.REPLICA_OWNED, replica=name)

    def _drop(self, name):
        """Gives a replica up: queued work is sent back, streams go on to their end."""
        owner = self._owners_by_name.pop(name)
        owner.stop_dispatch()
        owner.reject_queued_requests()
        scope = self._scopes_by_name.pop(name, None)
        if scope is not None:
            scope.cancel()


class ForwardHandler:
    """Serves Forward streams with the owners of this daemon."""

    def __init__(self, router, owned):
        self._owned = owned
        router.on_stream(Forward, self._serve)

    async def _serve(self, sender, message):
        owner = self._owned.replica_client(message.replica)
        async with (
            owner.submit(message) as replies,
            contextlib.aclosing(replies),
        ):
            async for reply in replies:
                yield reply
