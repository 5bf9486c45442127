"""Measures how long streams take for their size, to predict single streams."""

# Weight of the latest stream in a ratio: high enough to follow the load of the
# replicas, low enough that a ratio covers replicas of different speeds.
LATEST_WEIGHT = 0.05


class StreamDurations:
    """The expected duration of a stream, from its token count and other streams.

    Streams of one backend are taken to be alike, since the same replicas run them. A
    request names the most tokens that it wants, and an event may carry several, so the
    number of events for each token is measured as well.
    """

    __slots__ = ("_by_backend",)

    def __init__(self):
        self._by_backend = {}

    def note(self, backend, output_tokens, events, first_event_s, rest_s, replica):
        """Records a stream that one replica served from its first event to the last.

        ``first_event_s`` is the time from the attempt to the first event, and
        ``rest_s`` that from the first event to the end.
        """
        if output_tokens <= 0 or events <= 0:
            return
        measured = self._by_backend.setdefault(backend, _BackendDurations())
        measured.events_per_token.note(events, output_tokens)
        measured.first_event_s.note(first_event_s, 1)
        if events < 2:
            return
        measured.interval_s.note(rest_s, events - 1)
        if replica.event_interval_s:
            measured.slowdown.note(rest_s, (events - 1) * replica.event_interval_s)

    def expected_s(self, backend, output_tokens, last_event_id=None, replica=None):
        """Returns the time from an attempt to its end; None without measurements.

        Events up to ``last_event_id`` are not repeated. Replicas differ in speed, so
        the result is more exact if the ``replica`` is given.
        """
        measured = self._by_backend.get(backend)
        if output_tokens <= 0 or measured is None:
            return None
        interval_s = measured.interval_s.value
        if interval_s is None:
            return None
        if replica is not None and replica.event_interval_s:
            # The interval of the replica is that without disturbances.
            slowdown = measured.slowdown.value
            if slowdown is not None:
                interval_s = replica.event_interval_s * slowdown
        events = output_tokens * measured.events_per_token.value - (last_event_id or 0)
        return measured.first_event_s.value + max(0.0, events - 1) * interval_s


class _BackendDurations:
    """Measurements of the streams of one backend.

    ``slowdown`` is the mean event interval of whole streams relative to the interval of
    their replicas without disturbances.
    """

    __slots__ = ("events_per_token", "first_event_s", "interval_s", "slowdown")

    def __init__(self):
        self.events_per_token = _Ratio()
        self.first_event_s = _Ratio()
        self.interval_s = _Ratio()
        self.slowdown = _Ratio()


class _Ratio:
    """The ratio of two sums in which older values count less.

    Unlike a mean of ratios, it is not distorted by single short streams.
    """

    __slots__ = ("_dividend", "_divisor")

    def __init__(self):
        self._dividend = 0.0
        self._divisor = 0.0

    def note(self, dividend, divisor):
        self._dividend += dividend - LATEST_WEIGHT * self._dividend
        self._divisor += divisor - LATEST_WEIGHT * self._divisor

    @property
    def value(self):
        """The ratio, or None if nothing was noted."""
        return self._dividend / self._divisor if self._divisor else None
