"""Chooses the hosts that own the groups of replicas of a backend.

The groups of a backend have different owners as far as possible: a host that owned two
groups of a crowded backend would exchange twice the messages of the others.
"""

from snipetrestle.dispatch.groups import group_key

# Further groups are spread at random. This bounds the time to choose the owners when a
# host joins or leaves.
MAX_SPREAD_GROUPS = 64


class GroupOwners:
    """Owners of groups, the same on all hosts that know the same hosts."""

    def __init__(self, key_owners, hosts):
        self._key_owners = key_owners
        self._hosts = hosts
        self._names = None
        self._owners_by_backend = {}

    def responsive_owner(self, backend, group):
        """Returns the owner of a group, or another host while it does not answer."""
        owner = self.owner(backend, group)
        if not self._key_owners.is_silent(owner):
            return owner
        return self._key_owners.responsive_owner(group_key(backend, group))

    def owner(self, backend, group):
        """Returns the name of the host that owns a group if all hosts answer."""
        names = self._hosts.sender_names()
        if names is not self._names:
            self._names = names
            self._owners_by_backend.clear()
        if group >= MAX_SPREAD_GROUPS:
            return self._key_owners.owner(group_key(backend, group))
        owners = self._owners_by_backend.setdefault(backend, [])
        while len(owners) <= group:
            turn = len(owners) - len(owners) % len(names)
            key = group_key(backend, len(owners))
            owners.append(self._key_owners.owner_except(key, owners[turn:]))
        return owners[group]

    def is_silent(self, name):
        """Whether a host is passed over now."""
        return self._key_owners.is_silent(name)

    def note_silent(self, name):
        """Passes over a host that did not answer, for all groups."""
        self._key_owners.note_silent(name)

    def note_heard(self, name):
        """Uses a host again that has answered."""
        self._key_owners.note_heard(name)
