"""Limits of a single HTTP message, shared by callers' and replicas' connections.

A peer can keep a message going without end in its head, its interim responses, its
chunk extensions, its trailers or, byte by byte, in its body. None of that may hold a
request or fill the memory of a host.
"""

# Bytes besides the body that are allowed for each byte of it. A body in chunks of one
# byte needs five: the size, two line ends and the separator of the next chunk.
OVERHEAD_PER_BODY_BYTE = 16
# Fewer bytes of body than this are no progress, so that a body that trickles does not
# postpone a time-out.
MIN_PROGRESS_BYTES = 64


class OverheadMeter:
    """Counts the bytes of one message that are not its body.

    ``max_bytes`` is allowed beside what the body itself allows.
    """

    __slots__ = ("_max_bytes", "_received_bytes", "_body_bytes")

    def __init__(self, max_bytes):
        self._max_bytes = max_bytes
        self._received_bytes = 0
        self._body_bytes = 0

    def note_received(self, count):
        """Counts received bytes, those of the body included."""
        self._received_bytes += count

    def note_body(self, count):
        """Counts the part of the received bytes that is body."""
        self._body_bytes += count

    @property
    def exceeded(self):
        overhead_bytes = self._received_bytes - self._body_bytes
        allowed_bytes = self._max_bytes + OVERHEAD_PER_BODY_BYTE * self._body_bytes
        return overhead_bytes > allowed_bytes


class ProgressMeter:
    """Tells whether enough of a body arrived to count as progress."""

    __slots__ = ("_uncounted_bytes",)

    def __init__(self):
        self._uncounted_bytes = 0

    def note(self, count):
        """Adds received bytes of body. Returns whether they complete some progress."""
        self._uncounted_bytes += count
        if self._uncounted_bytes < MIN_PROGRESS_BYTES:
            return False
        self._uncounted_bytes = 0
        return True
