"""Keeper groups: which daemons keep the records of a key, and which replies count.

Keys are divided over a fixed number of partitions; each partition has one group of
keepers. The number of groups of a daemon, and so the work of a recovery, does not grow
with the number of keys.
"""

import msgspec

from snipetrestle.hashing import rendezvous_order
from snipetrestle.peers.members import Incarnation
from snipetrestle.writes.records import digest_of

# At 7 daemons a daemon keeps about 46 partitions, at 330 daemons about 1.
PARTITIONS = 64


class KeeperGroup(msgspec.Struct, frozen=True):
    """The keepers of one partition in one epoch.

    ``group_id`` is a digest of everything that decides the groups, so that daemons with
    different configurations never count votes of different groups together.
    """

    group_id: bytes
    epoch: int
    partition: int
    members: tuple[str, ...]

    @property
    def majority(self):
        return len(self.members) // 2 + 1


class GroupLayout:
    """The groups of all partitions of one epoch."""

    def __init__(self, epoch, daemons, keepers_per_key, partitions=PARTITIONS):
        self.epoch = epoch
        self.partitions = partitions
        self.group_id = _layout_digest(epoch, daemons, keepers_per_key, partitions)
        self.groups = tuple(
            KeeperGroup(
                self.group_id,
                epoch,
                partition,
                choose_keepers(f"partition-{partition}", daemons, keepers_per_key),
            )
            for partition in range(partitions)
        )

    @classmethod
    def current(cls, configuration, partitions=PARTITIONS):
        writes = configuration.writes
        return cls(
            writes.epoch, configuration.daemons, writes.keepers_per_key, partitions
        )

    @classmethod
    def previous(cls, configuration, partitions=PARTITIONS):
        """Returns the layout of the epoch that hands over, or None."""
        previous = configuration.writes.previous
        if previous is None:
            return None
        return cls(
            previous.epoch, previous.daemons, previous.keepers_per_key, partitions
        )

    def group_of(self, key_id):
        return self.groups[int.from_bytes(key_id[:8], "big") % self.partitions]


def _layout_digest(epoch, daemons, keepers_per_key, partitions):
    names = sorted(f"{item.name}\0{item.failure_domain}" for item in daemons)
    return digest_of(str(epoch), str(keepers_per_key), str(partitions), *names)


def choose_keepers(key, daemons, count):
    """Returns an odd number of names, at most ``count``.

    No failure domain has a majority of them, where the domains allow it. With fewer than
    three domains no choice can achieve that, and the domains are ignored.
    """
    domains_by_name = {item.name: item.failure_domain for item in daemons}
    order = rendezvous_order(key, dict.fromkeys(domains_by_name, 1.0))
    count = min(count, len(order) - (1 - len(order) % 2))
    for size in range(count, 1, -2):
        chosen = _spread(order, domains_by_name, size)
        if len(chosen) == size:
            return tuple(chosen)
    return tuple(order[: max(count, 1)])


def _spread(order, domains_by_name, size):
    most_per_domain = size - (size // 2 + 1)
    used_by_domain = {}
    chosen = []
    for name in order:
        domain = domains_by_name[name]
        if used_by_domain.get(domain, 0) < most_per_domain and len(chosen) < size:
            used_by_domain[domain] = used_by_domain.get(domain, 0) + 1
            chosen.append(name)
    return chosen


def merge_known(known, other):
    """Raises the incarnations in ``known`` to those in ``other``."""
    for name, incarnation in other.items():
        if name not in known or known[name] < incarnation:
            known[name] = incarnation


def consistent_replies(replies_by_name):
    """Returns the replies whose sender no other reply knows to be replaced.

    A keeper that restarted empty has announced itself to a majority of the others, so a
    majority that includes its old incarnation also includes a keeper that knows better.
    """
    known: dict[str, Incarnation] = {}
    for reply in replies_by_name.values():
        merge_known(known, reply.known)
    return {
        name: reply
        for name, reply in replies_by_name.items()
        if known.get(name, reply.incarnation) <= reply.incarnation
    }
