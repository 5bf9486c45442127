"""Prometheus metrics by tenant, with a bounded number of labels."""

import heapq

from prometheus_client import Counter, Histogram

# The first tenants in the order of their names have a label of their own, which bounds
# the number of time series. All others share the label ``other``, as does a tenant of
# that name.
MAX_TENANTS = 64
OTHER_TENANTS = "other"


class TenantMetrics:
    """Latencies and rejections of the requests of each tenant."""

    def __init__(self, registry, buckets_s):
        self._first_answer = Histogram(
            "snipetrestle_gateway_tenant_first_answer_seconds",
            "Time to a response, or to a stream's first event, by tenant.",
            ("tenant",),
            buckets=buckets_s,
            registry=registry,
        )
        self._rejections = Counter(
            "snipetrestle_gateway_tenant_rejections",
            "Requests that this host rejected without running them, by tenant.",
            ("tenant",),
            registry=registry,
        )
        self._tenants = None
        self._own_labels = frozenset()
        # The labels with time series, by metric.
        self._used_labels = {self._first_answer: set(), self._rejections: set()}

    def follow(self, tenants):
        """Gives labels to the tenants of a TenantTable; None stands for no tenants.

        The time series of tenants that have a label no longer are removed.
        """
        if tenants is self._tenants:
            return
        self._tenants = tenants
        names = () if tenants is None else tenants.by_name
        self._own_labels = frozenset(heapq.nsmallest(MAX_TENANTS, names))
        for metric, used_labels in self._used_labels.items():
            gone = used_labels - self._own_labels - {OTHER_TENANTS}
            for label in gone:
                metric.remove(label)
            used_labels -= gone

    def observe(self, tenant, first_answer_s):
        """Records a request of a tenant that got a replica's response."""
        self._series(self._first_answer, tenant).observe(first_answer_s)

    def count_rejection(self, tenant):
        """Counts a request of a tenant that this host rejected."""
        self._series(self._rejections, tenant).inc()

    def _series(self, metric, tenant):
        label = tenant.name if tenant.name in self._own_labels else OTHER_TENANTS
        self._used_labels[metric].add(label)
        return metric.labels(label)
