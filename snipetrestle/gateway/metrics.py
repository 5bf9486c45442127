"""Prometheus metrics of the gateway, with bounded labels."""

import prometheus_client
from prometheus_client import CollectorRegistry, Counter, Histogram

# Routes beyond this number share the label ``other``.
MAX_ROUTES = 32
OTHER = "other"
_LATENCY_BUCKETS_S = (
    0.02,
    0.05,
    0.1,
    0.15,
    0.2,
    0.4,
    0.6,
    1.0,
    2.0,
    5.0,
    15.0,
)


class GatewayMetrics:
    """Counters and histograms for each route."""

    def __init__(self):
        self.registry = CollectorRegistry()
        self._first = self._histogram(
            "first_answer_seconds", "Time to a response, or to a stream's first event."
        )
        self._whole = self._histogram(
            "whole_answer_seconds", "Time to the end of a response."
        )
        self._requests = Counter(
            "snipetrestle_gateway_requests",
            "Requests by route and result: a status, a result code or caller_gone.",
            ("route", "result"),
            registry=self.registry,
        )
        self._series_by_route = {}

    def _histogram(self, name, text):
        return Histogram(
            f"snipetrestle_gateway_{name}",
            text,
            ("route",),
            buckets=_LATENCY_BUCKETS_S,
            registry=self.registry,
        )

    def _label(self, route):
        if route in self._series_by_route or len(self._series_by_route) < MAX_ROUTES:
            return route
        return OTHER

    def observe(self, route, first_s, whole_s, status):
        """Observes a request that was answered with a replica's response."""
        route = self._label(route)
        series = self._series_by_route.get(route)
        if series is None:
            series = (self._first.labels(route), self._whole.labels(route), {})
            self._series_by_route[route] = series
        series[0].observe(first_s)
        series[1].observe(whole_s)
        counter = series[2].get(status)
        if counter is None:
            counter = series[2][status] = self._requests.labels(route, str(status))
        counter.inc()

    def count(self, route, code, result=None):
        """Counts a request that ended with a code of the gateway's own."""
        self._requests.labels(self._label(route), result or str(code)).inc()

    def text(self):
        """Returns the metrics in Prometheus' text format."""
        return prometheus_client.generate_latest(self.registry)
