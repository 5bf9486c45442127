"""Chooses the host that decides about a key, such as a tenant or a replica.

All hosts choose the same one by rendezvous hashing over the hosts that they know, so
owners need no messages. A host that does not answer is passed over for a while.
"""

import anyio

from snipetrestle.hashing import best_host, best_hosts, host_score

# How long a host that did not answer is passed over.
SILENCE_S = 2.0
# A host that finds more of the best hosts of a key silent asks no others, as it may be
# cut off itself.
MAX_PASSED_OVER = 3
MAX_CACHED_KEYS = 8192


class KeyOwners:
    """Ranks the known hosts for each key.

    ``hosts`` has ``sender_names()``, the names of all hosts that send requests, which
    is the same object as long as they are the same, ``own.name``, and ``leaving``,
    which tells that the other hosts no longer count this one.
    """

    def __init__(self, hosts):
        self._hosts = hosts
        self._names = None
        # What ``_names`` were derived from.
        self._source = None
        self._best_by_key = {}
        self._silent_until_by_name = {}

    def names(self):
        """Returns the names of the hosts that may own keys.

        A leaving host serves requests, but owns nothing unless it is alone: the others
        have chosen a new owner, and both would decide. The same tuple is returned as
        long as they are the same.
        """
        is_leaving = self._hosts.leaving
        source = self._hosts.sender_names(), is_leaving
        if source != self._source:
            names, own = source[0], self._hosts.own.name
            others = tuple(name for name in names if name != own)
            self._names = others if is_leaving and others else names
            self._source = source
            self._best_by_key.clear()
        return self._names

    def owner(self, key):
        """Returns the name of the host that owns a key if all hosts answer."""
        names = self.names()
        best = self._best_by_key.get(key)
        if best is None:
            if len(self._best_by_key) >= MAX_CACHED_KEYS:
                self._best_by_key.clear()
            best = self._best_by_key[key] = best_host(key, names)
        return best

    def owns(self, key):
        """Whether this host owns a key."""
        return self.owner(key) == self._hosts.own.name

    def responsive_owner(self, key):
        """Returns the best host for a key that is not passed over now.

        Returns the name of this host if more than MAX_PASSED_OVER are passed over.
        """
        best = self.owner(key)
        if not self.is_silent(best):
            return best
        for name in best_hosts(key, self._names, MAX_PASSED_OVER + 1):
            if not self.is_silent(name):
                return name
        return self._hosts.own.name

    def decides(self, key):
        """Whether this host is the best one for a key that is not passed over now."""
        best = self.owner(key)
        if best == self._hosts.own.name:
            return True
        return self.is_silent(best) and all(map(self.is_silent, self.above_own(key)))

    def above_own(self, key):
        """Returns the names of the hosts that would own a key rather than this one."""
        if self._hosts.leaving:
            return [name for name in self.names() if name != self._hosts.own.name]
        return [name for name in self.names() if self.ranks_above_own(key, name)]

    def next_owner(self, key):
        """Returns the best other host for a key, or None if this host is alone."""
        own = self._hosts.own.name
        names = [name for name in self._hosts.sender_names() if name != own]
        return best_host(key, names)

    def ranks_above_own(self, key, name):
        """Whether a host ranks above this one for a key."""
        return host_score(key, name) > host_score(key, self._hosts.own.name)

    def note_silent(self, name, duration_s=SILENCE_S):
        """Passes over a host that did not answer."""
        self._silent_until_by_name[name] = anyio.current_time() + duration_s

    def note_heard(self, name):
        """Uses a host again that has answered."""
        self._silent_until_by_name.pop(name, None)

    def owner_except(self, key, excluded):
        """Returns the best host for a key among those that are not excluded."""
        names = [name for name in self._hosts.sender_names() if name not in excluded]
        return best_host(key, names)

    def is_silent(self, name):
        """Whether a host is passed over now."""
        until = self._silent_until_by_name.get(name)
        if until is None:
            return False
        if until <= anyio.current_time():
            del self._silent_until_by_name[name]
            return False
        return True
