"""Buffers received bytes until they are parsed, with the times of their arrival."""

import collections

# Bytes that arrive within this time of each other are kept as one piece, so that single
# bytes don't fill the memory.
PIECE_S = 0.01


class UnparsedBytes:
    """Received bytes in pieces, each with the time at which its first byte arrived.

    Its length is the number of bytes.
    """

    __slots__ = ("_pieces", "_length")

    def __init__(self):
        self._pieces = collections.deque()
        self._length = 0

    def __len__(self):
        return self._length

    def append(self, data, received_at):
        """Adds bytes that have just arrived."""
        self._length += len(data)
        if self._pieces and received_at - self._pieces[-1][1] < PIECE_S:
            self._pieces[-1][0].extend(data)
        else:
            self._pieces.append((bytearray(data), received_at))

    def prepend(self, data, received_at):
        """Puts bytes back that are to be parsed before all others."""
        if data:
            self._length += len(data)
            self._pieces.appendleft((bytearray(data), received_at))

    def pop_first(self):
        """Removes the first piece and returns its bytes and the time of its arrival."""
        data, received_at = self._pieces.popleft()
        self._length -= len(data)
        return bytes(data), received_at
