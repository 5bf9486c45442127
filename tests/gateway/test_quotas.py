"""Tests of quotas of tenants at gateways on loopback."""

import anyio

from snipetrestle.events import Event
from snipetrestle.gateway.retries import MAX_SENDS
from snipetrestle_standins.gateway_fleet import route, tenant
from snipetrestle_standins.platform_replica import Fault
from tests.gateway.test_tenants import TenantTestCase, arrived
from tests.systems import with_own_system

KEY = "key-of-the-shop"
ROUTES = [
    route("lookup", "idempotent", "register"),
    route("entry", "non_idempotent", "register"),
    route("nowhere", "idempotent", "models"),
    route("instant", "idempotent", "register", target_latency_ms=0),
]


class QuotaTest(TenantTestCase):
    def run_quota(self, check, *, fleet_options=None, **quota):
        """Runs ``check(fleet)`` with a tenant that has a quota."""
        tenants = [tenant("shop", KEY, **quota)]

        async def main(fleet):
            await self.publish(fleet, 2, tenants, ROUTES)
            # The pools of new owners accrue their burst.
            await anyio.sleep(quota["burst"] / quota["rate_per_s"])
            await check(fleet)

        self.run_tenants(main, tenants, **(fleet_options or {"registers": 1}))

    async def send(self, fleet, path="/entry/a", token_counts=(), **options):
        headers = [("X-Credential", KEY)]
        headers += [("X-Token-Count", item) for item in token_counts]
        return await fleet.send_request(path, headers=headers, **options)

    @with_own_system("run_quota", rate_per_s=1, burst=5)
    async def test_requests_over_the_limit_get_429_and_do_not_run(self, fleet):
        """A caller that gets 429 repeats its request, which must not have run."""
        started_at = anyio.current_time()
        served = 0
        while (response := await self.send(fleet)).status == 200:
            served += 1
        elapsed_s = anyio.current_time() - started_at
        self.assertEqual((429, b"SN-1101"), (response.status, response.body))
        self.assertTrue(5 <= served <= 5 + elapsed_s + 1, (served, elapsed_s))
        self.assertEqual(served, len(arrived(fleet)))
        await anyio.sleep(float(response.headers["retry-after"]))
        self.assertEqual(200, (await self.send(fleet)).status)
        (started,) = self.logged(Event.QUOTA_REFUSALS_STARTED)
        self.assertEqual("shop", started["tenant"])
        failed = self.logged(Event.REQUEST_FAILED)[-1]
        self.assertEqual(("SN-1101", "shop"), (failed["code"], failed["tenant"]))

    @with_own_system("run_quota", fleet_options={"gateways": 3}, rate_per_s=2, burst=10)
    async def test_hosts_share_one_limit(self, fleet):
        """Each host could apply the whole limit, or its part only."""
        statuses = []
        started_at = anyio.current_time()
        for number in range(24):
            gateway = fleet.live[number % len(fleet.live)]
            response = await fleet.send_request(
                "/entry/a", gateway, headers=[("X-Credential", KEY)]
            )
            statuses.append(response.status)
        elapsed_s = anyio.current_time() - started_at
        most = 10 + 2 * elapsed_s + 1
        self.assertTrue(10 <= statuses.count(200) <= most, (statuses, elapsed_s))
        self.assertEqual(24 - statuses.count(200), statuses.count(429))

    @with_own_system("run_quota", fleet_options={"gateways": 2}, rate_per_s=5, burst=10)
    async def test_routes_without_a_target_latency_use_the_quota(self, fleet):
        """A request that may not wait for the owner's answer got 429 each time."""
        for gateway in fleet.live:
            response = await fleet.send_request(
                "/instant/a", gateway, headers=[("X-Credential", KEY)]
            )
            self.assertEqual(200, response.status)

    @with_own_system(
        "run_quota",
        billing_unit="tokens",
        plain_tokens=500,
        rate_per_s=400,
        burst=1_000,
    )
    async def test_tokens_are_counted(self, fleet):
        """Requests without a token count cost what the tenant's contract says."""
        for token_counts, status in (
            (("400,100",), 200),
            ((), 200),
            (("400,100",), 429),
        ):
            response = await self.send(fleet, token_counts=token_counts)
            self.assertEqual(status, response.status)
        self.assertEqual(b"SN-1103", response.body)

    @with_own_system("run_quota", billing_unit="tokens", rate_per_s=1_000, burst=1_000)
    async def test_malformed_token_counts_get_400(self, fleet):
        """A tenant could pay nothing for requests whose tokens are not counted."""
        for token_counts in (
            ("400",),
            ("400,x",),
            ("-4,5",),
            ("1.5,2",),
            ("1,2,3",),
            ("",),
            ("1,2", "1,2"),
        ):
            response = await self.send(fleet, token_counts=token_counts)
            self.assertEqual((400, b"SN-1002"), (response.status, response.body))
        self.assertEqual([], arrived(fleet))

    @with_own_system("run_quota", rate_per_s=10, burst=10)
    async def test_malformed_token_counts_do_not_matter_to_others(self, fleet):
        """Tenants that are billed by requests need no token counts."""
        response = await self.send(fleet, token_counts=("x",))
        self.assertEqual(200, response.status)

    @with_own_system("run_quota", billing_unit="tokens", rate_per_s=1_000, burst=1_000)
    async def test_request_that_no_quota_allows_is_refused_at_once(self, fleet):
        """A huge count would not fit in a message, and its owner seem to be silent."""
        for count in ("9" * 18 + ",1", "1000000,1"):
            response = await self.send(fleet, token_counts=(count,))
            self.assertEqual((429, b"SN-1103"), (response.status, response.body))
            self.assertNotIn("retry-after", response.headers)
        response = await self.send(fleet, token_counts=("1,1",))
        self.assertEqual(200, response.status)

    @with_own_system(
        "run_quota", fleet_options={"registers": 2}, rate_per_s=0.5, burst=3
    )
    async def test_retried_request_is_counted_once(self, fleet):
        """A tenant would pay for the failures of replicas."""
        for _ in range(3):
            fleet.registers[0].faults.append(Fault.REFUSED)
            response = await self.send(fleet)
            self.assertEqual(200, response.status)
        self.assertEqual(429, (await self.send(fleet)).status)

    @with_own_system("run_quota", fleet_options={"models": 0}, rate_per_s=0.5, burst=2)
    async def test_request_that_no_replica_got_is_put_back(self, fleet):
        """While a service has no replicas, its tenants would use up their quotas."""
        for _ in range(5):
            response = await self.send(fleet, "/nowhere/a")
            self.assertEqual(503, response.status)
        for _ in range(2):
            self.assertEqual(200, (await self.send(fleet)).status)

    @with_own_system("run_quota", rate_per_s=0.25, burst=1)
    async def test_request_that_replicas_turned_away_is_put_back(self, fleet):
        """A tenant would pay for requests that full replicas have not run."""
        for _ in range(3):
            fleet.registers[0].faults += [Fault.REFUSED] * MAX_SENDS
            response = await self.send(fleet)
            self.assertEqual(503, response.status)
            fleet.registers[0].faults.clear()
        self.assertEqual(200, (await self.send(fleet)).status)
