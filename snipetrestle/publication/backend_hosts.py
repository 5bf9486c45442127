"""Tracks which backend servers are leaving, from each host list that is read."""

from snipetrestle.publication.sources import HostState


class BackendHosts:
    """Wraps a HostListSource and records the backend servers that are leaving.

    A backend server that is not on the list counts as live, since the published
    configuration may contain it earlier than the list does.
    """

    def __init__(self, source):
        self._source = source
        self._leaving = frozenset()
        self._listeners = []

    def on_change(self, listener):
        """Registers ``listener()``, called when the set of leaving servers changes."""
        self._listeners.append(listener)

    def is_leaving(self, name):
        return name in self._leaving

    async def read(self, known_revision=0):
        hosts = await self._source.read(known_revision)
        if hosts is not None:
            self._update_leaving(hosts)
        return hosts

    def _update_leaving(self, hosts):
        leaving = frozenset(
            host.name
            for host in hosts.hosts
            if host.role == "backend" and host.state is HostState.LEAVING
        )
        if leaving != self._leaving:
            self._leaving = leaving
            for listener in self._listeners:
                listener()
