"""Keeper groups: which daemons store the records of a key, and which replies count.

Keys are hashed to a fixed number of partitions; each partition has one group of
keepers. The number of groups of a daemon, and so the work of a recovery, does not grow
with the number of keys.
"""

import msgspec

from snipetrestle.hashing import rendezvous_order
from snipetrestle.peers.members import Incarnation
from snipetrestle.writes.records import digest_of

# With 7 daemons each daemon is a keeper of about 46 partitions, with 330 of about 1.
PARTITION_COUNT = 64


class KeeperGroup(msgspec.Struct, frozen=True):
    """The keepers of one partition in one epoch.

    ``group_id`` is a digest of all settings that determine the groups of an epoch, so
    that daemons with different configurations never add up votes of different groups.
    """

    group_id: bytes
    epoch: int
    partition: int
    members: tuple[str, ...]

    @property
    def majority(self):
        return len(self.members) // 2 + 1


class GroupLayout:
    """The keeper groups of all partitions in one epoch."""

    def __init__(
        self, epoch, daemons, keepers_per_key, partition_count=PARTITION_COUNT
    ):
        self.epoch = epoch
        self.partition_count = partition_count
        self.group_id = _layout_digest(epoch, daemons, keepers_per_key, partition_count)
        self.groups = tuple(
            KeeperGroup(
                self.group_id,
                epoch,
                partition,
                choose_keepers(f"partition-{partition}", daemons, keepers_per_key),
            )
            for partition in range(partition_count)
        )

    @classmethod
    def current(cls, configuration, partition_count=PARTITION_COUNT):
        """Returns the layout of the configuration's epoch."""
        writes = configuration.writes
        return cls(
            writes.epoch, configuration.daemons, writes.keepers_per_key, partition_count
        )

    @classmethod
    def previous(cls, configuration, partition_count=PARTITION_COUNT):
        """Returns the layout of the epoch whose records are handed over, or None."""
        previous = configuration.writes.previous
        if previous is None:
            return None
        return cls(
            previous.epoch, previous.daemons, previous.keepers_per_key, partition_count
        )

    def group_of(self, key_id):
        return self.groups[int.from_bytes(key_id[:8], "big") % self.partition_count]


def _layout_digest(epoch, daemons, keepers_per_key, partition_count):
    names = sorted(f"{item.name}\0{item.failure_domain}" for item in daemons)
    return digest_of(str(epoch), str(keepers_per_key), str(partition_count), *names)


def choose_keepers(key, daemons, count):
    """Returns the names of the keepers of ``key``: an odd number, at most ``count``.

    If possible, no failure domain has a majority of them. With fewer than three domains
    no choice can achieve that, and the domains are ignored.
    """
    domains_by_name = {item.name: item.failure_domain for item in daemons}
    ranked_names = rendezvous_order(key, dict.fromkeys(domains_by_name, 1.0))
    count = min(count, len(ranked_names) - (1 - len(ranked_names) % 2))
    for size in range(count, 1, -2):
        chosen = _choose_across_domains(ranked_names, domains_by_name, size)
        if len(chosen) == size:
            return tuple(chosen)
    return tuple(ranked_names[: max(count, 1)])


def _choose_across_domains(ranked_names, domains_by_name, size):
    """Returns up to ``size`` names, less than a majority of them in any domain."""
    max_per_domain = size - (size // 2 + 1)
    counts_by_domain = {}
    chosen = []
    for name in ranked_names:
        domain = domains_by_name[name]
        if counts_by_domain.get(domain, 0) < max_per_domain and len(chosen) < size:
            counts_by_domain[domain] = counts_by_domain.get(domain, 0) + 1
            chosen.append(name)
    return chosen


def merge_known_incarnations(known, other):
    """Updates ``known`` with the incarnations in ``other`` that are new or higher."""
    for name, incarnation in other.items():
        if name not in known or known[name] < incarnation:
            known[name] = incarnation


def consistent_replies(replies_by_name):
    """Returns the replies by name, without those of replaced incarnations.

    A reply is dropped if another reply knows a higher incarnation of its sender. A
    keeper that restarted without records has announced its new incarnation to a
    majority of the others, so any majority that includes its old incarnation also
    includes a keeper that knows the new one.
    """
    known: dict[str, Incarnation] = {}
    for reply in replies_by_name.values():
        merge_known_incarnations(known, reply.known)
    return {
        name: reply
        for name, reply in replies_by_name.items()
        if known.get(name, reply.incarnation) <= reply.incarnation
    }
