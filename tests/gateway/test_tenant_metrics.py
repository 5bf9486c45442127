"""Tests of the metrics by tenant."""

import testtools
from prometheus_client import CollectorRegistry, generate_latest

from snipetrestle.gateway.tenant_metrics import TenantMetrics
from snipetrestle.tenants.configuration import Tenant
from snipetrestle.tenants.table import TenantTable
from snipetrestle_standins.gateway_fleet import configuration, tenant
from snipetrestle_standins.platform_replica import Fault
from tests.gateway.running import run_fleet
from tests.waiting import wait_until

BUCKETS_S = (0.1, 1.0)
FIRST_ANSWERS = "snipetrestle_gateway_tenant_first_answer_seconds_count"
REJECTIONS = "snipetrestle_gateway_tenant_rejections_total"


def tenants_named(names):
    return [Tenant(name, frozenset()) for name in names]


class TenantMetricsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.registry = CollectorRegistry()
        self.metrics = TenantMetrics(self.registry, BUCKETS_S)

    def labels(self):
        """Returns the labels of all time series."""
        return {
            sample.labels["tenant"]
            for metric in self.registry.collect()
            for sample in metric.samples
        }

    def value(self, name, label):
        return self.registry.get_sample_value(name, {"tenant": label})

    def note_all(self, tenants):
        for item in tenants:
            self.metrics.observe(item, 0.5)
            self.metrics.count_rejection(item)

    def test_first_tenants_in_the_order_of_their_names_have_labels(self):
        """Thousands of tenants would give as many time series on each host."""
        tenants = tenants_named(f"t{n:04}" for n in reversed(range(2000)))
        self.metrics.follow(TenantTable.from_tenants(tenants))
        self.note_all(tenants)
        self.assertEqual({*(f"t{n:04}" for n in range(64)), "other"}, self.labels())
        for name in (FIRST_ANSWERS, REJECTIONS):
            self.assertEqual(1, self.value(name, "t0063"))
            self.assertEqual(2000 - 64, self.value(name, "other"))

    def test_tenants_that_come_and_go_leave_no_time_series(self):
        """The number of labels would grow with each version of the configuration."""
        for number in range(50):
            tenants = tenants_named(f"v{number}-{n}" for n in range(70))
            self.metrics.follow(TenantTable.from_tenants(tenants))
            self.note_all(tenants)
            self.assertEqual(65, len(self.labels()))
        self.metrics.follow(None)
        self.assertEqual({"other"}, self.labels())

    def test_request_of_a_tenant_that_has_gone_counts_among_the_others(self):
        """A request that ends after the change would bring the label back."""
        (gone,) = tenants_named(["gone"])
        self.metrics.follow(TenantTable.from_tenants([gone]))
        self.metrics.observe(gone, 0.5)
        self.metrics.follow(TenantTable.from_tenants([]))
        self.note_all([gone])
        self.assertEqual({"other"}, self.labels())

    def test_counts_stay_when_other_tenants_change(self):
        """A counter that starts again with each version would show no rate."""
        stays, goes = tenants_named(["stays", "goes"])
        self.metrics.follow(TenantTable.from_tenants([stays, goes]))
        self.note_all([stays, goes])
        self.metrics.follow(TenantTable.from_tenants([stays]))
        self.note_all([stays])
        self.assertEqual({"stays"}, self.labels())
        self.assertEqual(2, self.value(REJECTIONS, "stays"))


class ServedMetricsTest(testtools.TestCase):
    def test_requests_of_tenants_are_counted(self):
        """Nobody could tell whose requests are slow or rejected."""

        async def check(fleet):
            (gateway,) = fleet.live
            registry = gateway.metrics.registry

            def value(name):
                return registry.get_sample_value(name, {"tenant": "shop"})

            content = configuration(2, tenants=[tenant("shop", "key")])
            fleet.store.put("op/config", content)
            await wait_until(lambda: gateway.state.configuration.version == 2)
            headers = [("X-Credential", "key")]
            await fleet.send_request("/entry/a", headers=headers)
            await fleet.send_request("/draft/a", adapter="", headers=headers)
            self.assertEqual(2, value(FIRST_ANSWERS))
            self.assertIsNone(value(REJECTIONS))
            for replica in fleet.registers:
                replica.faults = [Fault.REFUSED] * 4
            await fleet.send_request("/entry/a", headers=headers)
            self.assertEqual((2, 1), (value(FIRST_ANSWERS), value(REJECTIONS)))
            response = await fleet.send_request("/entry/a")
            self.assertEqual(401, response.status)
            count = registry.get_sample_value(
                "snipetrestle_gateway_requests_total",
                {"route": "entry", "result": "SN-1001"},
            )
            self.assertEqual((1, 1), (count, value(REJECTIONS)))

        run_fleet(check)

    def test_deployment_without_tenants_has_no_series_of_them(self):
        """All requests would be counted once more, under a label without a meaning."""

        async def check(fleet):
            await fleet.send_request("/entry/a")
            (gateway,) = fleet.live
            samples = generate_latest(gateway.metrics.registry).decode()
            self.assertNotIn('tenant="', samples)

        run_fleet(check)
