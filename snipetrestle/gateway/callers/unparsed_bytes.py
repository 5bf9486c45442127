"""Buffers received bytes until they are parsed, with the times of their arrival."""

import collections

# Bytes that arrive within this time of each other are kept as one piece, so that single
# bytes don't fill the memory.
PIECE_S = 0.01
# Memory of the objects of a piece besides its bytes.
PIECE_BYTES = 160
# Only this much of the first piece is copied to compare its method.
PREFIX_BYTES = 64


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

    @property
    def held_bytes(self):
        """The memory that the pieces take."""
        return self._length + PIECE_BYTES * len(self._pieces)

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

    def starts_with(self, prefix):
        """Whether the first piece starts with ``prefix``, apart from blank lines."""
        return bool(self._pieces) and (
            self._pieces[0][0][:PREFIX_BYTES].lstrip(b"\r\n").startswith(prefix)
        )

    @property
    def first_received_at(self):
        """When the first byte arrived."""
        return self._pieces[0][1]

    def pop_first(self, max_bytes):
        """Removes up to ``max_bytes`` of the first piece.

        Returns them and the time of their arrival.
        """
        piece, received_at = self._pieces[0]
        data = bytes(piece[:max_bytes])
        if len(data) == len(piece):
            self._pieces.popleft()
        else:
            del piece[:max_bytes]
        self._length -= len(data)
        return data, received_at

    def clear(self):
        """Drops all bytes."""
        self._pieces.clear()
        self._length = 0
