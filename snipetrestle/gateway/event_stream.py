"""Splits a response body of server-sent events into complete events.

Only complete events are forwarded, so that another replica can resume a stream after a
replica failed in the middle of an event.
"""

MAX_EVENT_BYTES = 1_048_576

_ID_FIELD = b"id:"


class EventTooLarge(Exception):
    """An event is larger than MAX_EVENT_BYTES."""


class EventSplitter:
    """Buffers received bytes, returns complete events and tracks the last event id."""

    __slots__ = ("last_complete_event_id", "_partial_event")

    def __init__(self):
        self.last_complete_event_id = None
        self._partial_event = b""

    def feed(self, data):
        """Returns the bytes of all complete events, or b"" if there are none.

        Raises EventTooLarge if an incomplete event exceeds MAX_EVENT_BYTES.
        """
        if self._partial_event:
            data = self._partial_event + data
        end = _end_of_events(data)
        if not end:
            if len(data) > MAX_EVENT_BYTES:
                raise EventTooLarge
            self._partial_event = data
            return b""
        complete_events = data[:end]
        self._partial_event = data[end:]
        last_event_id = _last_event_id(complete_events)
        if last_event_id is not None:
            self.last_complete_event_id = last_event_id
        return complete_events

    @property
    def has_partial_event(self):
        """Whether bytes of an incomplete event are buffered."""
        return bool(self._partial_event)


def _end_of_events(data):
    """Returns the position after the last complete event, or 0."""
    end = data.rfind(b"\n\n")
    crlf_end = data.rfind(b"\r\n\r\n")
    return max(end + 2 if end >= 0 else 0, crlf_end + 4 if crlf_end >= 0 else 0)


def _last_event_id(events):
    """Returns the number in the last ``id`` line, or None."""
    start = events.rfind(b"\n" + _ID_FIELD)
    if start >= 0:
        start += 1
    elif events.startswith(_ID_FIELD):
        start = 0
    else:
        return None
    end = events.find(b"\n", start)
    value = events[start + len(_ID_FIELD) : end].strip()
    return int(value) if value.isdigit() else None
