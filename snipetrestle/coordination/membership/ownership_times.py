"""Since when this host has owned a key.

What was decided about the key before is known to its previous owner only.
"""

import anyio

from snipetrestle.coordination.quotas.issuable_fraction import has_joined

# Departed hosts that are remembered, and for how long.
MAX_DEPARTED_HOSTS = 512
DEPARTED_TIMEOUT_S = 300.0


class OwnershipTimes:
    """Remembers when hosts that owned keys before this one have departed.

    ``owners`` is the KeyOwners.
    """

    def __init__(self, hosts, owners):
        self._hosts = hosts
        self._owners = owners
        self._names = hosts.sender_names()
        self._departed_at_by_name = {}
        self._started_at = anyio.current_time()

    def restart(self):
        """Forgets what this host has owned until now."""
        self._started_at = anyio.current_time()

    def owned_since(self, key):
        """Returns since when this host has owned a key, as far as it knows.

        What it owned before it had joined does not count.
        """
        # A host that has left since the last sweep may have issued the whole burst.
        self.note_departed()
        if not has_joined(self._hosts):
            self.restart()
        departed_at = [
            at
            for name, at in self._departed_at_by_name.items()
            if self._owners.ranks_above_own(key, name)
        ]
        return max([self._started_at, *departed_at])

    def note_departed(self):
        """Notes the hosts that have departed since the last call."""
        names = self._hosts.sender_names()
        now = anyio.current_time()
        departed = self._departed_at_by_name
        for name in set(self._names) - set(names):
            departed.pop(name, None)
            departed[name] = now
        self._names = names
        for name in list(departed):
            is_old = departed[name] < now - DEPARTED_TIMEOUT_S
            if is_old or len(departed) > MAX_DEPARTED_HOSTS:
                del departed[name]
