"""Splits a response body of server-sent events at the ends of events.

An event is forwarded only as a whole, so that a stream can go on at another replica
after a replica stopped in the middle of one.
"""

MAX_EVENT_BYTES = 1_048_576

_ID = b"id:"


class EventTooLarge(Exception):
    """An event is larger than MAX_EVENT_BYTES."""


class EventSplitter:
    """Collects bytes and returns whole events, with the id of the last one."""

    __slots__ = ("last_id", "_rest")

    def __init__(self):
        self.last_id = None
        self._rest = b""

    def feed(self, data):
        """Returns the bytes of all events that are complete, b"" if none is.

        Raises EventTooLarge.
        """
        if self._rest:
            data = self._rest + data
        end = _end_of_events(data)
        if not end:
            if len(data) > MAX_EVENT_BYTES:
                raise EventTooLarge
            self._rest = data
            return b""
        whole = data[:end]
        self._rest = data[end:]
        last_id = _last_id(whole)
        if last_id is not None:
            self.last_id = last_id
        return whole

    @property
    def partial(self):
        """Whether bytes of an unfinished event are held."""
        return bool(self._rest)


def _end_of_events(data):
    end = data.rfind(b"\n\n")
    windows_end = data.rfind(b"\r\n\r\n")
    return max(end + 2 if end >= 0 else 0, windows_end + 4 if windows_end >= 0 else 0)


def _last_id(events):
    """Returns the number of the last ``id`` line, or None."""
    start = events.rfind(b"\n" + _ID)
    if start >= 0:
        start += 1
    elif events.startswith(_ID):
        start = 0
    else:
        return None
    end = events.find(b"\n", start)
    value = events[start + len(_ID) : end].strip()
    return int(value) if value.isdigit() else None
