"""Prometheus metrics of the gateway, with bounded labels."""

import prometheus_client
from prometheus_client import CollectorRegistry, Counter, Histogram

from snipetrestle.gateway.tenant_metrics import TenantMetrics

# Further routes share the label ``other``, which bounds the number of time series.
MAX_ROUTES = 32
OTHER_ROUTES = "other"
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
    """Request counters and latency histograms by route; ``tenants`` has those by tenant."""

    def __init__(self):
        self.registry = CollectorRegistry()
        self._first_answer = self._histogram(
            "first_answer_seconds", "Time to a response, or to a stream's first event."
        )
        self._whole_answer = self._histogram(
            "whole_answer_seconds", "Time to the end of a response."
        )
        self._requests = Counter(
            "snipetrestle_gateway_requests",
            "Requests by route and result: a status, a result code or caller_gone.",
            ("route", "result"),
            registry=self.registry,
        )
        self._lost_streams = Counter(
            "snipetrestle_gateway_streams_lost_before_event",
            "Attempts of streams that a replica closed before any event, by route.",
            ("route",),
            registry=self.registry,
        )
        self._connection_ends = Counter(
            "snipetrestle_gateway_connection_ends",
            "Ended connections of callers, by reason and by what was unanswered.",
            ("reason", "unanswered"),
            registry=self.registry,
        )
        self._relieved_connections = Counter(
            "snipetrestle_gateway_connections_relieved",
            "Connections of callers whose request was refused, or that were ended, to "
            "bound the memory of all.",
            ("kind",),
            registry=self.registry,
        )
        self._too_long_datagrams = Counter(
            "snipetrestle_gateway_datagrams_too_long",
            "Messages to other hosts that were too long to be sent.",
            registry=self.registry,
        )
        self._refused_datagrams = Counter(
            "snipetrestle_gateway_datagrams_refused",
            "Messages to other hosts that the system refused to send.",
            registry=self.registry,
        )
        quota_requests = Counter(
            "snipetrestle_gateway_quota_requests",
            "Requests of tenants with a quota, by whether it had room.",
            ("result",),
            registry=self.registry,
        )
        self._quota_granted = quota_requests.labels("granted")
        self._quota_refused = quota_requests.labels("refused")
        self._quota_asks = Counter(
            "snipetrestle_gateway_quota_asks",
            "Requests for units to other hosts: granted, denied or silent.",
            ("answer",),
            registry=self.registry,
        )
        self.tenants = TenantMetrics(self.registry, _LATENCY_BUCKETS_S)
        self._dispatch_permits = Counter(
            "snipetrestle_gateway_dispatch_permits",
            "Requests to crowded backends: permitted, refused, or without an answer.",
            ("result",),
            registry=self.registry,
        )
        self._dispatch_wait = Histogram(
            "snipetrestle_gateway_dispatch_wait_seconds",
            "Time that requests to crowded backends waited before they were sent.",
            buckets=_LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self._take_ups = Counter(
            "snipetrestle_gateway_stream_take_ups",
            "Streams that callers take up, by who knew the version that began them (own, "
            "host, only version, kept prompt, nobody), and whether they were refused.",
            ("known_by", "result"),
            registry=self.registry,
        )
        self._process_ends = Counter(
            "snipetrestle_gateway_process_ends",
            "Processes of replicas of whose end there was evidence: whether requests "
            "there were ended, the evidence was dropped, or it was refuted later.",
            ("verdict",),
            registry=self.registry,
        )
        self._series_by_route = {}

    def _histogram(self, name, documentation):
        return Histogram(
            f"snipetrestle_gateway_{name}",
            documentation,
            ("route",),
            buckets=_LATENCY_BUCKETS_S,
            registry=self.registry,
        )

    def _route_label(self, route):
        if route in self._series_by_route or len(self._series_by_route) < MAX_ROUTES:
            return route
        return OTHER_ROUTES

    def count_take_up(self, known_by, result):
        """Counts a taken-up stream; ``known_by`` may name a host after its kind."""
        kind = "host" if known_by.startswith("host ") else known_by
        self._take_ups.labels(kind, result).inc()

    def observe(self, route, first_answer_s, whole_answer_s, status):
        """Records a request that got a replica's response with an HTTP status."""
        route = self._route_label(route)
        series = self._series_by_route.get(route)
        if series is None:
            series = (
                self._first_answer.labels(route),
                self._whole_answer.labels(route),
                {},
            )
            self._series_by_route[route] = series
        series[0].observe(first_answer_s)
        series[1].observe(whole_answer_s)
        counter = series[2].get(status)
        if counter is None:
            counter = series[2][status] = self._requests.labels(route, str(status))
        counter.inc()

    def count(self, route, code, result=None):
        """Counts a request that ended without a replica's response.

        The ``result`` label is the result code, unless ``result`` replaces it.
        """
        self._requests.labels(self._route_label(route), result or str(code)).inc()

    def count_stream_lost_before_event(self, route):
        """Counts an attempt of a stream that its replica closed before any event."""
        self._lost_streams.labels(self._route_label(route)).inc()

    def count_connection_end(self, reason, unanswered):
        """Counts the end of a caller's connection by EndReason and Unanswered."""
        self._connection_ends.labels(reason, unanswered).inc()

    def count_shed(self, counts_by_kind):
        """Counts connections by the kinds of ShedCounts."""
        for kind, count in counts_by_kind.items():
            self._relieved_connections.labels(kind).inc(count)

    def count_too_long_datagram(self):
        """Counts a message to other hosts that was too long to be sent."""
        self._too_long_datagrams.inc()

    def count_refused_datagram(self):
        """Counts a message to another host that the system refused to send."""
        self._refused_datagrams.inc()

    def count_quota(self, is_granted):
        """Counts a request of a tenant with a quota."""
        (self._quota_granted if is_granted else self._quota_refused).inc()

    def count_quota_ask(self, answer):
        """Counts the answer to a request for units: granted, denied or silent."""
        self._quota_asks.labels(answer).inc()

    def count_process_end(self, verdict):
        """Counts a Verdict on the end of a replica's process."""
        self._process_ends.labels(str(verdict)).inc()

    def count_dispatch(self, result):
        """Counts a request for a permit by its result, of a fixed set."""
        self._dispatch_permits.labels(result).inc()

    def observe_dispatch_wait(self, wait_s):
        """Records how long a request waited for a permit before it was sent."""
        self._dispatch_wait.observe(wait_s)

    def render(self):
        """Returns the metrics in the Prometheus text format, as bytes."""
        return prometheus_client.generate_latest(self.registry)
