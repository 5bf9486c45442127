"""The order in which a daemon pings the other members."""

# Number of members that are pinged in turn; one of them is replaced after each round.
# If all of 330 members were pinged in turn, each ping would need a TLS handshake
# (6 KB), since the previous connection would have been closed as idle, or all
# connections would be kept open (54 MB). The probability that no member pings a given
# one is about exp(-16), and that lasts for one round.
NEIGHBOUR_COUNT = 16


class ProbeOrder:
    """Shuffled rounds over the neighbours of this daemon.

    Neighbours are a random sample of all members that changes slowly, so that most
    pings can use an open connection.
    """

    def __init__(self, generator):
        self._generator = generator
        self._neighbours = []
        self._remaining = []

    def next_name(self, members_by_name):
        """Returns the name of the next member to ping; None if there is none."""
        while True:
            if not self._remaining:
                self._neighbours = self._draw_neighbours(members_by_name)
                self._remaining = list(self._neighbours)
                if not self._remaining:
                    return None
            name = self._remaining.pop()
            if name in members_by_name:
                return name

    def _draw_neighbours(self, members_by_name):
        """Returns the neighbours in random order, one of them newly drawn."""
        kept = [name for name in self._neighbours if name in members_by_name]
        if len(members_by_name) <= NEIGHBOUR_COUNT:
            kept = list(members_by_name)
        else:
            self._generator.shuffle(kept)
            del kept[NEIGHBOUR_COUNT - 1 :]
            others = sorted(members_by_name.keys() - set(kept))
            kept += self._generator.sample(others, NEIGHBOUR_COUNT - len(kept))
        self._generator.shuffle(kept)
        return kept
