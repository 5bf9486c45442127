"""Disjoint spans of time."""


class TimeSpans:
    """Spans (start, end) in seconds, in the order of time. Those that touch are one."""

    def __init__(self):
        self._spans = []

    def add(self, start, end):
        """Adds a span, which may overlap others."""
        before = [span for span in self._spans if span[1] < start]
        after = [span for span in self._spans if span[0] > end]
        touching = self._spans[len(before) : len(self._spans) - len(after)]
        if touching:
            start = min(start, touching[0][0])
            end = max(end, touching[-1][1])
        self._spans = [*before, (start, end), *after]

    def gaps(self, start, end):
        """Returns the parts of a span that no span here covers, as (start, end)."""
        gaps = []
        for covered_from, covered_until in self._spans:
            if covered_until <= start:
                continue
            if covered_from >= end:
                break
            if covered_from > start:
                gaps.append((start, covered_from))
            start = covered_until
        if start < end:
            gaps.append((start, end))
        return gaps

    def drop_before(self, time):
        """Forgets the spans that had ended before a time."""
        self._spans = [span for span in self._spans if span[1] >= time]
