"""States of backend servers' hosts, taken from the host list as it passes by."""

from snipetrestle.publication.sources import HostState


class BackendHosts:
    """HostListSource around another one that notes the hosts of backend servers.

    A backend server that is not on the list counts as live: the published
    configuration may name it before the list does.
    """

    def __init__(self, source):
        self._source = source
        self._leaving = frozenset()
        self._listeners = []

    def on_change(self, listener):
        """Registers ``listener()``, called when a backend server starts or stops leaving."""
        self._listeners.append(listener)

    def is_leaving(self, name):
        return name in self._leaving

    async def read(self, known_revision=0):
        hosts = await self._source.read(known_revision)
        if hosts is not None:
            self._note(hosts)
        return hosts

    def _note(self, hosts):
        leaving = frozenset(
            host.name
            for host in hosts.hosts
            if host.role == "backend" and host.state is HostState.LEAVING
        )
        if leaving != self._leaving:
            self._leaving = leaving
            for listener in self._listeners:
                listener()
