"""Prometheus metrics of one daemon, with a bounded number of label values.

Histograms have labels for the customer and the request class, but none for the adapter:
15,000 adapters would be as many series in every histogram.
"""

import asyncio

import prometheus_client
from prometheus_client import CollectorRegistry, Counter, Histogram

# Customers beyond this number share the label value ``other``.
MAX_CUSTOMER_LABELS = 200
OTHER_CUSTOMERS_LABEL = "other"

_WAIT_BUCKETS_S = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
    60.0,
)
_BETWEEN_TOKENS_BUCKETS_S = (
    0.005,
    0.01,
    0.02,
    0.03,
    0.04,
    0.05,
    0.061,
    0.08,
    0.1,
    0.2,
    0.5,
    2,
)
_BATCH_SIZE_BUCKETS = (1, 2, 4, 8, 12, 16, 24, 32, 48, 64, 96, 128)
_LABELS = ("customer", "request_class")


class RequestSeries:
    """Histograms of one customer and request class."""

    __slots__ = (
        "queue_wait",
        "first_token",
        "between_tokens",
        "load_stall",
        "batch_size",
    )

    def __init__(self, metrics, customer, request_class):
        labels = (customer, request_class)
        self.queue_wait = metrics.queue_wait_s.labels(*labels)
        self.first_token = metrics.first_token_s.labels(*labels)
        self.between_tokens = metrics.between_tokens_s.labels(*labels)
        self.load_stall = metrics.load_stall_s.labels(*labels)
        self.batch_size = metrics.batch_size.labels(*labels)


class Metrics:
    """All metrics of one daemon, in a separate registry."""

    def __init__(self):
        self.registry = CollectorRegistry()
        self.queue_wait_s = self._histogram(
            "queue_wait_seconds",
            "Time in the owner's queue until dispatch, without the load.",
            _WAIT_BUCKETS_S,
        )
        self.first_token_s = self._histogram(
            "first_token_seconds",
            "Time from the request to its first token at the entry.",
            _WAIT_BUCKETS_S,
        )
        self.between_tokens_s = self._histogram(
            "between_tokens_seconds",
            "Time between tokens at the entry, one observation per arrival of tokens.",
            _BETWEEN_TOKENS_BUCKETS_S,
        )
        self.load_stall_s = self._histogram(
            "load_stall_seconds",
            "Time that a request waited for its adapter to load.",
            _WAIT_BUCKETS_S,
        )
        self.batch_size = self._histogram(
            "batch_size",
            "Requests running at the replica when a request finished.",
            _BATCH_SIZE_BUCKETS,
        )
        self.requests = Counter(
            "snipetrestle_requests",
            "Finished requests by result code; SN-0 is success.",
            (*_LABELS, "code"),
            registry=self.registry,
        )
        self.resumed_streams = Counter(
            "snipetrestle_resumed_streams",
            "Streams that went on after a broken connection.",
            registry=self.registry,
        )
        self.tokens = Counter(
            "snipetrestle_tokens",
            "Tokens sent to callers.",
            _LABELS,
            registry=self.registry,
        )
        self._series_by_labels = {}
        self._customers = set()

    def _histogram(self, name, help_text, buckets):
        return Histogram(
            f"snipetrestle_{name}",
            help_text,
            _LABELS,
            buckets=buckets,
            registry=self.registry,
        )

    def series(self, customer, request_class):
        """Returns the RequestSeries of a customer and request class."""
        key = (customer, request_class)
        series = self._series_by_labels.get(key)
        if series is None:
            labels = (self.customer_label(customer), str(request_class))
            series = RequestSeries(self, *labels)
            if labels[0] != OTHER_CUSTOMERS_LABEL:
                self._series_by_labels[key] = series
        return series

    def customer_label(self, customer):
        """Returns a customer's label value, which is ``other`` beyond the maximum."""
        if customer not in self._customers:
            if len(self._customers) >= MAX_CUSTOMER_LABELS:
                return OTHER_CUSTOMERS_LABEL
            self._customers.add(customer)
        return customer

    def count_request(self, customer, request_class, code, tokens=0):
        """Counts a finished request; ``code`` is a ResultCode or None for success."""
        labels = (self.customer_label(customer), str(request_class))
        self.requests.labels(*labels, "SN-0" if code is None else str(code)).inc()
        if tokens:
            self.tokens.labels(*labels).inc(tokens)

    def text(self):
        """Returns the metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)


class StreamTimer:
    """Measures one stream at the daemon that its caller is connected to."""

    __slots__ = ("tokens", "_series", "_last_arrival", "_has_first_token", "_clock")

    def __init__(self, series):
        self.tokens = 0
        self._series = series
        self._has_first_token = False
        # The clock of anyio.current_time without looking up the event loop per token.
        self._clock = asyncio.get_running_loop().time
        self._last_arrival = self._clock()

    def observe_tokens(self, count):
        """Records the arrival of ``count`` tokens."""
        now = self._clock()
        if self._has_first_token:
            self._series.between_tokens.observe((now - self._last_arrival) / count)
        else:
            self._series.first_token.observe(now - self._last_arrival)
            self._has_first_token = True
        self._last_arrival = now
        self.tokens += count

    def observe_finished(self, finished):
        """Records the measurements in the owner's Finished message."""
        self._series.queue_wait.observe(finished.queue_wait_s)
        self._series.load_stall.observe(finished.load_stall_s)
        if finished.hints is not None and finished.hints.running:
            self._series.batch_size.observe(finished.hints.running)
