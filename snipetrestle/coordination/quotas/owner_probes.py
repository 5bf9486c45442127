"""Checks whether the owner of a quota that does not answer a host is alive.

The host that is asked in its place must know, so that it may issue as the owner does.
"""

import anyio

# How often a silent owner is asked whether it answers again.
PROBE_INTERVAL_S = 0.5


class OwnerProbes:
    """Asks owners whether they answer, and remembers which have ended.

    ``requests`` is the QuotaRequests and ``owners`` the KeyOwners, which note the
    answers. ``check_ended(host)`` returns True if the process of a host is known to
    have ended.
    """

    def __init__(self, hosts, owners, requests, check_ended):
        self._hosts = hosts
        self._owners = owners
        self._requests = requests
        self._check_ended = check_ended
        self._ended_names = set()
        self._probed_at_by_name = {}

    def has_ended(self, name):
        """Whether the process of a host is known to have ended."""
        return name in self._ended_names

    def try_begin(self, name):
        """Notes a probe of a host; returns False if the last one was too recent."""
        now = anyio.current_time()
        if now < self._probed_at_by_name.get(name, -PROBE_INTERVAL_S) + (
            PROBE_INTERVAL_S
        ):
            return False
        self._probed_at_by_name[name] = now
        return True

    async def probe(self, name, tenant_name):
        """Asks a host whether it answers requests for a tenant."""
        host = self._hosts.by_name.get(name)
        if host is not None and await self._check_ended(host):
            self._ended_names.add(name)
            self._owners.note_silent(name)
        elif await self._requests.ask(name, tenant_name, 0.0, 0.0, 0.0, 0.0):
            self._ended_names.discard(name)

    def drop_old(self, before):
        """Forgets the hosts that have not been probed since a time."""
        for name, at in list(self._probed_at_by_name.items()):
            if at < before:
                del self._probed_at_by_name[name]
                self._ended_names.discard(name)
