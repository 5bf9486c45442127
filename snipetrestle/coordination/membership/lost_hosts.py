"""Hosts that fell silent without a word: stopped for good, or behind a cut.

They are kept for a day and contacted in turn at a slow, constant pace. Both sides of a
cut forget each other's hosts as members, so nobody else could bring them together.
"""

import anyio

from snipetrestle.coordination.messaging.messages import LostHostReport

# Hosts contacted in each round of heartbeats.
CONTACTS_PER_ROUND = 2
LOST_TIMEOUT_S = 24 * 3600.0
# The hosts that fell silent first are given up beyond this number.
MAX_LOST_HOSTS = 512


class LostHost:
    """The HostInfo of a host, and when it was removed from the members."""

    __slots__ = ("info", "lost_at")

    def __init__(self, info, lost_at):
        self.info = info
        self.lost_at = lost_at

    @property
    def address(self):
        return (self.info.ip, self.info.port)


class LostHosts:
    """The lost hosts by name, in the order in which they were added."""

    def __init__(self):
        self.by_name = {}
        self._contacts = 0

    def add(self, info, age_s=0.0):
        """Adds a host that was lost ``age_s`` ago, unless it is known as lost."""
        if info.name in self.by_name or age_s >= LOST_TIMEOUT_S:
            return
        if len(self.by_name) >= MAX_LOST_HOSTS:
            del self.by_name[min(self.by_name, key=self._lost_at)]
        self.by_name[info.name] = LostHost(info, anyio.current_time() - age_s)

    def _lost_at(self, name):
        return self.by_name[name].lost_at

    def remove(self, info):
        """Removes a host that was heard from, and others that had its address."""
        self.by_name.pop(info.name, None)
        address = (info.ip, info.port)
        for name in [n for n, host in self.by_name.items() if host.address == address]:
            del self.by_name[name]

    def drop_old(self):
        horizon = anyio.current_time() - LOST_TIMEOUT_S
        for name in [n for n, host in self.by_name.items() if host.lost_at < horizon]:
            del self.by_name[name]

    def is_lost(self, info):
        """Whether this process of a host is lost."""
        host = self.by_name.get(info.name)
        return host is not None and host.info.boot == info.boot

    def reports(self):
        """Returns the LostHostReports for a host that asks for the known hosts."""
        now = anyio.current_time()
        return [
            LostHostReport(host.info, max(0.0, now - host.lost_at))
            for host in self.by_name.values()
        ]

    def next_addresses(self, others):
        """Returns the addresses to contact next, of the lost hosts and ``others``."""
        addresses = list(
            dict.fromkeys([*(host.address for host in self.by_name.values()), *others])
        )
        count = min(CONTACTS_PER_ROUND, len(addresses))
        start = self._contacts
        self._contacts += count
        return [addresses[(start + i) % len(addresses)] for i in range(count)]
