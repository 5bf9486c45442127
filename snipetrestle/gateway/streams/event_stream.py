"""Splits a response body of server-sent events into complete events.

Only complete events are forwarded, so that another replica can resume a stream after a
replica failed in the middle of an event.
"""

import re

MAX_EVENT_BYTES = 1_048_576

_EVENT_END = re.compile(rb"\r?\n\r?\n")
# Bytes of an event's end that may have arrived before its last one.
_MAX_PARTIAL_END_BYTES = 3
_ID_LINE = re.compile(rb"^id:[ \t]*(\d{1,18})[ \t]*\r?$", re.MULTILINE)


class InvalidEvent(Exception):
    """The bytes of a body are no event that continues the stream."""


class EventSplitter:
    """Buffers received bytes, returns complete events and checks their ids.

    ``last_event_id`` is the id of the last complete event. It starts as the id after
    which the stream goes on, or None.
    """

    __slots__ = ("last_event_id", "_partial_event")

    def __init__(self, last_event_id=None):
        self.last_event_id = last_event_id
        self._partial_event = bytearray()

    def feed(self, data):
        """Returns the bytes of all complete events, or b"" if there are none.

        Raises InvalidEvent if an event has no id above that of the event before it, or
        if an incomplete event exceeds MAX_EVENT_BYTES.
        """
        # Searched again from its start, an event without end would take a time that grows
        # with the square of its size.
        search_from = max(0, len(self._partial_event) - _MAX_PARTIAL_END_BYTES)
        self._partial_event += data
        start = 0
        for match in _EVENT_END.finditer(self._partial_event, search_from):
            self._note_event(self._partial_event[start : match.start()])
            start = match.end()
        events = bytes(self._partial_event[:start])
        del self._partial_event[:start]
        if len(self._partial_event) > MAX_EVENT_BYTES:
            raise InvalidEvent("an event is too large")
        return events

    def _note_event(self, event):
        ids = _ID_LINE.findall(event)
        if not ids:
            raise InvalidEvent("an event has no id")
        event_id = int(ids[-1])
        if self.last_event_id is not None and event_id <= self.last_event_id:
            raise InvalidEvent(f"event {event_id} follows event {self.last_event_id}")
        self.last_event_id = event_id

    @property
    def partial_bytes(self):
        """The size of the incomplete event."""
        return len(self._partial_event)

    @property
    def has_partial_event(self):
        """Whether an event is incomplete; blank lines between events are none."""
        return bool(self._partial_event.strip(b"\r\n"))
