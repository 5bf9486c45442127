"""Divides reports that are longer than a datagram over rounds of heartbeats."""

from snipetrestle.coordination.messaging.messages import encode


def encoded_bytes(item):
    """Returns the size of a part of a message in bytes."""
    return len(encode(item))


class _SentItem:
    """The rounds of an item: its last two, and since when it waits to be sent.

    ``previous`` and ``last`` are None until it is sent, and equal if it was sent once.
    """

    __slots__ = ("previous", "last", "waiting_since")

    def __init__(self, waiting_since):
        self.previous = None
        self.last = None
        self.waiting_since = waiting_since

    def note_sent(self, number):
        self.previous = number if self.last is None else self.last
        self.last = self.waiting_since = number


class ReportRounds:
    """Chooses the items of a report for each round; those that wait longest come first.

    ``max_bytes`` bounds the items of one round, whose sizes ``size_of(item)`` tells.
    With ``new_first``, items that were never sent come before the others. ``number`` is
    that of the last round. A receiver may drop items that it has last got before
    ``complete_since``: the report no longer contains them, or two datagrams with them
    were lost.
    """

    def __init__(self, max_bytes, new_first=False, size_of=encoded_bytes):
        self._max_bytes = max_bytes
        self._size_of = size_of
        self._new_first = new_first
        self._sent_by_key = {}
        self.number = 0
        self.complete_since = 0

    def choose(self, items_by_key):
        """Returns the items of the next round, which fit in ``max_bytes`` together.

        At least one is returned, so a single item must not be longer.
        """
        self.number += 1
        known = self._sent_by_key
        waiting_since = 0 if self._new_first else self.number
        self._sent_by_key = {
            key: known.get(key) or _SentItem(waiting_since) for key in items_by_key
        }
        chosen = self._choose_oldest(items_by_key)
        for key in chosen:
            self._sent_by_key[key].note_sent(self.number)
        self.complete_since = self._find_complete_since(len(chosen))
        return tuple(chosen.values())

    def _choose_oldest(self, items_by_key):
        chosen = {}
        size_bytes = 0
        for key in sorted(
            items_by_key, key=lambda item: self._sent_by_key[item].waiting_since
        ):
            size_bytes += self._size_of(items_by_key[key])
            if chosen and size_bytes > self._max_bytes:
                break
            chosen[key] = items_by_key[key]
        return chosen

    def _find_complete_since(self, chosen_count):
        if chosen_count == len(self._sent_by_key):
            return self.number
        return min(
            sent.previous
            for sent in self._sent_by_key.values()
            if sent.previous is not None
        )


def split(items, max_bytes, size_of=encoded_bytes):
    """Returns items in lists of at most ``max_bytes``, or of a single item."""
    parts = []
    size_bytes = 0
    for item in items:
        added_bytes = size_of(item)
        if not parts or size_bytes + added_bytes > max_bytes:
            parts.append([])
            size_bytes = 0
        parts[-1].append(item)
        size_bytes += added_bytes
    return parts


def fitting(items, max_bytes):
    """Returns the first of some items, which take ``max_bytes`` at most."""
    count = size_bytes = 0
    for item in items:
        size_bytes += encoded_bytes(item)
        if size_bytes > max_bytes:
            break
        count += 1
    return tuple(items[:count])


class ReceivedReport:
    """What a host has received of the divided report of one process of another.

    ``items_by_key`` holds (number of the round, item).
    """

    __slots__ = ("boot", "received_at", "items_by_key", "_number")

    def __init__(self, boot):
        self.boot = boot
        self.received_at = 0.0
        self.items_by_key = {}
        self._number = 0

    def update(self, number, complete_since, items_by_key, now):
        """Takes one round. Returns False if a later one was received before."""
        if number <= self._number:
            return False
        self._number = number
        self.received_at = now
        for key, item in items_by_key.items():
            self.items_by_key[key] = (number, item)
        outdated = [
            key
            for key, (received, _) in self.items_by_key.items()
            if received < complete_since
        ]
        for key in outdated:
            del self.items_by_key[key]
        return True
