"""Queue of member updates that are piggybacked on pings, bounded in bytes per ping."""

import math

# Each member sends an update this many times the decimal logarithm of the fleet size.
# Four makes it very unlikely that a member misses an update, and a missed one is
# repaired by the next direct ping between the two members.
RETRANSMIT_MULTIPLIER = 4
# Maximum bytes of updates in one ping. With pings at the backlog period, replies and
# both directions counted, this stays within the control traffic budget of 18 KB/s.
MAX_UPDATE_BYTES = 1_800
# Encoded size of an update without its strings.
_FIXED_UPDATE_BYTES = 26
# Receiving an update that is known already counts as this many transmissions. Once most
# members know an update, repeating it would only delay other updates.
TRANSMISSIONS_PER_DUPLICATE = 1


class UpdateQueue:
    """Latest update of each member that still has to be sent to other members."""

    __slots__ = ("_updates_by_name", "_transmissions_by_name", "_bytes")

    def __init__(self):
        self._updates_by_name = {}
        self._transmissions_by_name = {}
        self._bytes = 0

    def __len__(self):
        return len(self._updates_by_name)

    @property
    def exceeds_one_ping(self):
        """Whether the updates do not fit into one ping."""
        return self._bytes > MAX_UPDATE_BYTES

    def put(self, update):
        self.discard(update.name)
        self._updates_by_name[update.name] = update
        self._transmissions_by_name[update.name] = 0
        self._bytes += encoded_size(update)

    def discard(self, name):
        update = self._updates_by_name.pop(name, None)
        if update is not None:
            del self._transmissions_by_name[name]
            self._bytes -= encoded_size(update)

    def note_duplicate(self, name, fleet_size):
        """Records that another member sent an update that is known already."""
        if name in self._transmissions_by_name:
            self._count_transmissions(name, TRANSMISSIONS_PER_DUPLICATE, fleet_size)

    def take(self, fleet_size, max_bytes=MAX_UPDATE_BYTES):
        """Returns the updates for one ping, the least often sent first."""
        taken = []
        for name in sorted(
            self._transmissions_by_name, key=self._transmissions_by_name.get
        ):
            update = self._updates_by_name[name]
            max_bytes -= encoded_size(update)
            if max_bytes < 0:
                break
            taken.append(update)
            self._count_transmissions(name, 1, fleet_size)
        return tuple(taken)

    def _count_transmissions(self, name, transmissions, fleet_size):
        self._transmissions_by_name[name] += transmissions
        if self._transmissions_by_name[name] >= retransmit_limit(fleet_size):
            self.discard(name)


def retransmit_limit(fleet_size):
    """Returns how many times each member sends an update."""
    return RETRANSMIT_MULTIPLIER * math.ceil(math.log10(fleet_size + 1))


def encoded_size(update):
    """Returns an upper bound of the encoded size of an update in bytes."""
    size = _FIXED_UPDATE_BYTES + len(update.name)
    if update.metadata is not None:
        metadata = update.metadata
        size += (
            16
            + len(metadata.address)
            + len(metadata.failure_domain)
            + len(metadata.region)
        )
    return size
