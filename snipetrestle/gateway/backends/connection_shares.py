"""How many connections this host may open to one replica.

A replica accepts a number of connections from all hosts together, and resets others. So
that the callers of one host cannot take a replica from all others, each host has a
share.
"""

import anyio

# For backends that publish no number.
DEFAULT_MAX_CONNECTIONS = 256
# Some are left for orders, and for hosts that are not known yet.
USABLE_SHARE = 7 / 8
# However many hosts there are, each may open so many.
MIN_CONNECTIONS = 16
# The number of hosts is counted again after this time.
UPDATE_INTERVAL_S = 1.0


class ConnectionShares:
    """Shares of a host by backend name.

    ``backends_by_name()`` returns the published backends, and ``count_hosts()`` the
    number of hosts that send requests, with this one.
    """

    def __init__(self, backends_by_name, count_hosts):
        self._backends_by_name = backends_by_name
        self._count_hosts = count_hosts
        self._share_by_name = {}
        self._updated_at = -UPDATE_INTERVAL_S

    def for_backend(self, name):
        """Returns the number of connections to one replica of a backend."""
        now = anyio.current_time()
        if now - self._updated_at >= UPDATE_INTERVAL_S:
            self._updated_at = now
            self._share_by_name.clear()
        share = self._share_by_name.get(name)
        if share is None:
            share = self._share_by_name[name] = self._calculate(name)
        return share

    def _calculate(self, name):
        backend = self._backends_by_name().get(name)
        published = 0 if backend is None else backend.max_connections
        usable = USABLE_SHARE * (published or DEFAULT_MAX_CONNECTIONS)
        return max(MIN_CONNECTIONS, int(usable / max(1, self._count_hosts())))
