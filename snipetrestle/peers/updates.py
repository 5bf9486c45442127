"""Queue of member updates that are piggybacked on pings, with bounded bytes."""

import math

# An update is sent this many times the decimal logarithm of the fleet's size. Four
# keeps the chance that a member misses an update negligible, and a miss is repaired by
# the next direct ping between the two members.
REPEAT_FACTOR = 4
# Bytes of updates in one ping. At the storm period of pings, with replies and both
# directions counted, this stays within the control budget's 18 KB/s.
MAX_UPDATE_BYTES = 1_800
# Encoded size of an update without its strings.
_FIXED_UPDATE_BYTES = 26
# Receiving an update that is known already counts as this many sendings: where most
# members know it, repeating it would delay the others.
DUPLICATE_COUNTS_AS = 1


class UpdateQueue:
    """Latest update of each member that still has to be passed on."""

    __slots__ = ("_updates_by_name", "_sent_by_name", "_bytes")

    def __init__(self):
        self._updates_by_name = {}
        self._sent_by_name = {}
        self._bytes = 0

    def __len__(self):
        return len(self._updates_by_name)

    @property
    def overfull(self):
        """Whether the updates do not fit one ping."""
        return self._bytes > MAX_UPDATE_BYTES

    def put(self, update):
        self.discard(update.name)
        self._updates_by_name[update.name] = update
        self._sent_by_name[update.name] = 0
        self._bytes += encoded_size(update)

    def discard(self, name):
        update = self._updates_by_name.pop(name, None)
        if update is not None:
            del self._sent_by_name[name]
            self._bytes -= encoded_size(update)

    def note_duplicate(self, name, fleet_size):
        """Notes that another member sent an update that is held already."""
        if name in self._sent_by_name:
            self._count(name, DUPLICATE_COUNTS_AS, fleet_size)

    def take(self, fleet_size, max_bytes=MAX_UPDATE_BYTES):
        """Returns the updates for one ping, the least sent first."""
        taken = []
        for name in sorted(self._sent_by_name, key=self._sent_by_name.get):
            update = self._updates_by_name[name]
            max_bytes -= encoded_size(update)
            if max_bytes < 0:
                break
            taken.append(update)
            self._count(name, 1, fleet_size)
        return tuple(taken)

    def _count(self, name, sendings, fleet_size):
        self._sent_by_name[name] += sendings
        if self._sent_by_name[name] >= repeats(fleet_size):
            self.discard(name)


def repeats(fleet_size):
    """Returns how often an update is sent by each member."""
    return REPEAT_FACTOR * math.ceil(math.log10(fleet_size + 1))


def encoded_size(update):
    """Returns an upper bound of the bytes of an encoded update."""
    size = _FIXED_UPDATE_BYTES + len(update.name)
    if update.card is not None:
        card = update.card
        size += 16 + len(card.address) + len(card.failure_domain) + len(card.region)
    return size
