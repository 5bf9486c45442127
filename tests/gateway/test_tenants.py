"""Tests of the authentication of callers by gateways on loopback."""

import asyncio
import hashlib

import anyio
from loguru import logger

from snipetrestle.coordination.messaging import datagrams, messages
from snipetrestle.coordination.store import store_relay
from snipetrestle.events import Event
from snipetrestle.gateway.publication import snapshots
from snipetrestle.log_lines import BURST_LINES
from snipetrestle_standins.gateway_fleet import (
    Caller,
    configuration,
    route,
    tenant,
)
from snipetrestle_standins.platform_replica import Fault
from snipetrestle_standins.platform_store import StoreMode
from tests.gateway.log_recording import LogRecordingTest
from tests.gateway.running import run_fleet
from tests.systems import with_own_system, with_system
from tests.waiting import wait_until

APPLY_TIME_S = 2.0
KEY = "first-key-of-the-shop"
SECOND_KEY = "second-key-of-the-shop"
LAB_KEY = "key-of-the-lab"
SHOP = tenant("shop", KEY, SECOND_KEY)
LAB = tenant("lab", LAB_KEY, priority=0)
ROUTES = [
    route("lookup", "idempotent", "register", priority=4),
    route("entry", "non_idempotent", "register"),
    route("open", "idempotent", "register", public=True),
    route("draft", "stream", "models", resumable=True),
    # Waits long for replicas that pause.
    route("patient", "non_idempotent", "register", target_latency_ms=4000),
]


def headers_with(*keys):
    return [("X-Credential", key) for key in keys]


def arrived(fleet):
    """Returns the requests that arrived at replicas."""
    return [item for replica in fleet.replicas for item in replica.arrived_requests]


class TenantTestCase(LogRecordingTest):
    """Gateways whose configuration has the tenants SHOP and LAB."""

    async def publish(self, fleet, version, tenants, routes=ROUTES):
        """Publishes a configuration and waits until all hosts have applied it."""
        fleet.store.put("op/config", configuration(version, routes, tenants=tenants))
        with anyio.fail_after(APPLY_TIME_S):
            await wait_until(
                lambda: all(
                    gateway.state.configuration.version == version
                    for gateway in fleet.live
                )
            )

    def run_tenants(self, check, tenants=(SHOP, LAB), **options):
        """Runs ``check(fleet)`` with a published list of tenants."""

        async def main(fleet):
            await self.publish(fleet, 2, list(tenants))
            await check(fleet)

        run_fleet(main, **options)

    async def status(self, fleet, path, *keys, gateway=None, **options):
        """Returns the status of a request with these keys."""
        response = await fleet.send_request(
            path, gateway, headers=headers_with(*keys), **options
        )
        return response.status

    def rejections(self):
        """Returns the reasons of the logged 401 responses."""
        return [
            item["reason"]
            for item in self.logged(Event.REQUEST_FAILED)
            if item["code"] == "SN-1001"
        ]


class AuthenticationTest(TenantTestCase):
    @with_own_system("run_tenants", registers=1)
    async def test_only_known_keys_are_served(self, fleet):
        """A request of nobody could run, or the one of a tenant be refused."""
        for keys, reason in (
            ((), "no key"),
            (("unknown",), "unknown key"),
            (("",), "empty key"),
            (("  ",), "empty key"),
            (("k" * 257,), "key too long"),
            ((KEY + "x" * 256,), "key too long"),
            ((KEY, KEY), "several keys"),
            ((KEY, LAB_KEY), "several keys"),
            ((f"Bearer {KEY}",), "unknown key"),
            ((f"{KEY}, {KEY}",), "unknown key"),
            ((KEY.upper(),), "unknown key"),
            ((hashlib.sha256(KEY.encode()).hexdigest(),), "unknown key"),
        ):
            response = await fleet.send_request("/entry/a", headers=headers_with(*keys))
            self.assertEqual((401, b"SN-1001"), (response.status, response.body))
            self.assertEqual(reason, self.rejections()[-1])
        self.assertEqual([], arrived(fleet))
        for key in (KEY, SECOND_KEY, LAB_KEY):
            self.assertEqual(200, await self.status(fleet, "/entry/a", key))
        names = [item.headers["x-tenant"] for item in arrived(fleet)]
        self.assertEqual(["shop", "shop", "lab"], names)

    @with_own_system("run_tenants", [tenant("shop", "k" * 256)])
    async def test_key_of_the_greatest_length_is_served(self, fleet):
        """The bound could cut off keys that are allowed."""
        self.assertEqual(200, await self.status(fleet, "/entry/a", "k" * 256))

    @with_own_system("run_tenants")
    async def test_unauthenticated_responses_keep_the_connection_and_their_form(
        self, fleet
    ):
        """A 401 to HEAD with a body would be taken for the next response."""
        async with Caller(fleet.live[0].settings.callers) as caller:
            for method in ("HEAD", "GET", "POST"):
                response = await caller.send_request(
                    "/lookup/a", method, body=b"x" if method == "POST" else b""
                )
                self.assertEqual(401, response.status)
            response = await caller.send_request(
                "/lookup/a", "GET", headers=headers_with(KEY)
            )
            self.assertEqual(200, response.status)

    @with_own_system("run_tenants")
    async def test_path_without_a_route_is_not_found_with_or_without_a_key(self, fleet):
        """A 401 for a path that does not exist would make its caller look for a key."""
        for keys in ((), ("unknown",), (KEY,)):
            self.assertEqual(404, await self.status(fleet, "/nowhere/a", *keys))

    @with_own_system("run_tenants", [])
    async def test_empty_list_of_tenants_admits_nobody(self, fleet):
        """An empty list could be taken for a missing one."""
        self.assertEqual(401, await self.status(fleet, "/entry/a", KEY))
        self.assertEqual(401, await self.status(fleet, "/entry/a"))
        self.assertEqual(200, await self.status(fleet, "/open/a"))

    @with_own_system("run_tenants", registers=1)
    async def test_public_routes_admit_everybody(self, fleet):
        """A public route could refuse callers, or pass on a name they chose."""
        for keys, name in (
            ((), None),
            (("unknown",), None),
            (("",), None),
            ((KEY, KEY), None),
            ((KEY,), "shop"),
        ):
            response = await fleet.send_request(
                "/open/a",
                method="GET",
                headers=[*headers_with(*keys), ("X-Tenant", "lab")],
            )
            self.assertEqual(200, response.status)
            self.assertEqual(name, arrived(fleet)[-1].headers.get("x-tenant"))

    @with_own_system("run_tenants")
    async def test_refusal_is_logged_with_its_cause(self, fleet):
        """An operator could not find out from a request id why it got a 401."""
        await fleet.send_request(
            "/entry/a",
            headers=[*headers_with("old-key"), ("X-Request-Id", "r-401")],
        )
        (line,) = self.logged(Event.REQUEST_FAILED)
        digest = hashlib.sha256(b"old-key").hexdigest()
        self.assertEqual(
            {
                "event": str(Event.REQUEST_FAILED),
                "request": "r-401",
                "code": "SN-1001",
                "outcome": "did_not_run",
                "reason": "unknown key",
                "route": "entry",
                "configuration": 2,
                "key_digest_start": digest[:8],
            },
            line,
        )

    @with_own_system("run_tenants")
    async def test_callers_without_a_key_suppress_no_lines_of_others(self, fleet):
        """Anybody could hide the failures of tenants' requests from the log."""
        async with Caller(fleet.live[0].settings.callers) as caller:
            for _ in range(BURST_LINES + 10):
                await caller.send_request("/entry/a")
        for replica in fleet.registers:
            replica.faults = [Fault.REFUSED] * 4
        self.assertEqual(503, await self.status(fleet, "/entry/a", KEY))
        line = self.logged(Event.REQUEST_FAILED)[-1]
        self.assertEqual(("SN-1105", "shop"), (line["code"], line["tenant"]))

    @with_own_system("run_tenants", registers=1)
    async def test_priority_of_the_tenant_replaces_that_of_the_route(self, fleet):
        """An urgent tenant would wait behind others, or all be taken for urgent."""
        for key, priority in ((KEY, "4"), (LAB_KEY, "0")):
            await self.status(fleet, "/lookup/a", key, method="GET")
            headers = arrived(fleet)[-1].headers
            self.assertEqual(priority, headers["x-request-priority"])


class SecrecyTest(TenantTestCase):
    def setUp(self):
        super().setUp()
        self.lines = []
        handler = logger.add(
            lambda message: self.lines.append(repr(message.record)), level="TRACE"
        )
        self.addCleanup(logger.remove, handler)
        self.sent = []

        def record(function):
            def recorded(content):
                self.sent.append(repr(content))
                return function(content)

            return recorded

        self.patch(datagrams, "encode", record(messages.encode))
        self.patch(snapshots, "pack_content", record(snapshots.pack_content))
        self.patch(store_relay, "pack_items", record(store_relay.pack_items))

    def assert_unknown(self, secrets, texts):
        self.assertTrue(texts)
        for text in texts:
            for secret in secrets:
                self.assertNotIn(secret, text)

    def test_keys_and_claimed_names_leave_the_host_nowhere(self):
        """Whoever reads a log, a metric or the network could call as the tenant."""
        secrets = (KEY, SECOND_KEY, LAB_KEY, "unknown-key", "claimed-name")

        async def check(fleet):
            leader, other = sorted(
                fleet.live, key=lambda each: not each.leadership.leads
            )
            claim = ("X-Tenant", "claimed-name")
            for gateway in fleet.live:
                for key in (KEY, LAB_KEY, "unknown-key"):
                    for path in ("/lookup/a", "/open/a", "/nowhere/a"):
                        await fleet.send_request(
                            path,
                            gateway,
                            method="GET",
                            headers=[*headers_with(key), claim],
                        )
            fleet.cut_off_from_store.add(other.settings.name)
            await wait_until(lambda: other.state.is_unreachable(""))
            await self.publish(fleet, 3, [tenant("shop", KEY), LAB])
            fleet.store.put(
                "op/config",
                configuration(4, ROUTES, tenants=[tenant("a", KEY), tenant("b", KEY)]),
            )
            await wait_until(lambda: self.logged(Event.ENTRY_UNREADABLE))
            seen = [repr(item.headers) for item in arrived(fleet)]
            self.assert_unknown((*secrets, "x-credential"), seen)
            self.assert_unknown(secrets, self.lines)
            metrics = [gateway.metrics.render().decode() for gateway in fleet.live]
            self.assert_unknown(secrets, metrics)
            self.assert_unknown(secrets, self.sent)
            self.assertTrue([text for text in self.sent if "op/config" in text])

        self.run_tenants(check, gateways=2)

    @with_system(run_fleet)
    async def test_headers_are_dropped_without_tenants_as_well(self, fleet):
        """A replica could take the name that a caller claims for a tenant's."""
        response = await fleet.send_request(
            "/entry/a",
            headers=[
                ("X-Credential", KEY),
                ("X-Tenant", "shop"),
                ("x-tenant", "lab"),
                ("X-Other", "kept"),
            ],
        )
        self.assertEqual(200, response.status)
        (request,) = arrived(fleet)
        self.assertNotIn("x-credential", request.headers)
        self.assertNotIn("x-tenant", request.headers)
        self.assertEqual("kept", request.headers["x-other"])


class ChangedKeysTest(TenantTestCase):
    @with_own_system("run_tenants")
    async def test_changes_count_on_open_connections(self, fleet):
        """A connection that stays open could keep a key that was taken away."""
        async with Caller(fleet.live[0].settings.callers) as caller:

            async def status(key):
                response = await caller.send_request(
                    "/entry/a", headers=headers_with(key)
                )
                return response.status

            self.assertEqual(200, await status(KEY))
            self.assertEqual(401, await status("new-key"))
            await self.publish(fleet, 3, [tenant("shop", SECOND_KEY, "new-key")])
            self.assertEqual(401, await status(KEY))
            self.assertEqual(200, await status(SECOND_KEY))
            self.assertEqual(200, await status("new-key"))
            self.assertEqual(401, await status(LAB_KEY))
            await self.publish(fleet, 4, [tenant("shop")])
            self.assertEqual(401, await status(SECOND_KEY))
            await self.publish(fleet, 5, None)
            self.assertEqual(200, await status(SECOND_KEY))

    @with_own_system("run_tenants", [tenant("shop"), LAB])
    async def test_tenant_without_keys_is_logged_once_for_each_version(self, fleet):
        """The operator may have forgotten the keys."""
        lines = self.logged(Event.TENANTS_WITHOUT_KEYS)
        self.assertEqual([(["shop"], 1)], [(i["names"], i["count"]) for i in lines])
        fleet.store.put("op/other", b"1")
        await self.publish(fleet, 3, [tenant("shop"), LAB])
        self.assertEqual(2, len(self.logged(Event.TENANTS_WITHOUT_KEYS)))

    @with_own_system("run_tenants")
    async def test_pipelined_requests_are_authenticated_when_they_are_handled(
        self, fleet
    ):
        """Requests that arrive behind a slow one could run with an old key."""
        for replica in fleet.registers:
            replica.response_delay_s = 0.6
        async with Caller(fleet.live[0].settings.callers) as caller:
            first = asyncio.create_task(
                caller.send_request("/entry/a", headers=headers_with(KEY))
            )
            await wait_until(lambda: arrived(fleet))
            caller.writer.write(
                b"POST /entry/b HTTP/1.1\r\nHost: desk.example\r\n"
                b"X-Request-Id: second\r\nX-Credential: %b\r\n"
                b"Content-Length: 0\r\n\r\n" % KEY.encode()
            )
            await self.publish(fleet, 3, [tenant("shop", SECOND_KEY)])
            self.assertEqual(200, (await first).status)
            response = await caller.read_response()
            self.assertEqual(401, response.status)
        self.assertEqual(1, len(arrived(fleet)))

    @with_own_system("run_tenants")
    async def test_request_that_waits_is_authenticated_before_it_is_sent(self, fleet):
        """A request could run long after its key was taken away."""
        (gateway,) = fleet.live
        for replica in gateway.replicas.ready_replicas("register"):
            replica.pause.note(1.0)
        waiting = asyncio.create_task(self.status(fleet, "/patient/a", KEY))
        await asyncio.sleep(0.1)
        self.assertFalse(waiting.done())
        await self.publish(fleet, 3, [tenant("shop", SECOND_KEY)])
        self.assertEqual(401, await waiting)
        self.assertEqual([], arrived(fleet))
        self.assertEqual(200, await self.status(fleet, "/patient/a", SECOND_KEY))

    @with_own_system("run_tenants")
    async def test_retry_of_a_request_that_did_not_run_is_authenticated(self, fleet):
        """A refused request could be sent to the next replica with an old key."""
        self.share_faults(fleet, [Fault.REFUSED], response_delay_s=0.5)
        pending = asyncio.create_task(self.status(fleet, "/entry/a", KEY))
        await wait_until(lambda: arrived(fleet))
        await self.publish(fleet, 3, [LAB])
        self.assertEqual(401, await pending)
        self.assertEqual(1, len(arrived(fleet)))

    @with_own_system("run_tenants")
    async def test_retry_of_a_request_that_may_have_run_leaves_its_outcome_unknown(
        self, fleet
    ):
        """A 401 would state that the request did not run."""
        self.share_faults(fleet, [Fault.TRUNCATED], response_delay_s=0.35)
        pending = asyncio.create_task(
            self.status(fleet, "/lookup/a", KEY, method="GET")
        )
        await wait_until(lambda: arrived(fleet))
        await self.publish(fleet, 3, [LAB])
        self.assertEqual(502, await pending)
        self.assertEqual(1, len(arrived(fleet)))

    @with_own_system("run_tenants")
    async def test_replacement_of_a_silent_replica_is_authenticated(self, fleet):
        """The second copy of a request could run with an old key. The first one goes
        on, since its replica may still answer."""
        for replica in fleet.registers:
            replica.response_delay_s = 1.2
        pending = asyncio.create_task(
            self.status(fleet, "/lookup/a", KEY, method="GET")
        )
        await wait_until(lambda: arrived(fleet))
        await self.publish(fleet, 3, [LAB])
        self.assertEqual(200, await pending)
        self.assertEqual(1, len(arrived(fleet)))
        self.assertTrue(self.logged(Event.REPLACEMENT_DROPPED))

    @with_own_system("run_tenants")
    async def test_stream_that_has_started_goes_on(self, fleet):
        """A change of keys must not cut off what a caller already reads."""
        for replica in fleet.models:
            replica.event_interval_s = 0.2
        pending = asyncio.create_task(
            fleet.send_request("/draft/a", adapter="", headers=headers_with(KEY))
        )
        await wait_until(lambda: any(item.running for item in fleet.models))
        await self.publish(fleet, 3, [LAB])
        response = await pending
        self.assertEqual((200, True), (response.status, response.complete))
        self.assertEqual([1, 2, 3, 4, 5, 6], response.event_ids)

    @with_own_system("run_tenants")
    async def test_stream_that_breaks_is_not_resumed_with_an_old_key(self, fleet):
        """The rest of a stream could run at a replica that never saw a valid key."""
        shared_faults = [Fault.RESET_IN_RESPONSE]
        for replica in fleet.models:
            replica.event_interval_s = 0.3
            replica.faults = shared_faults
        pending = asyncio.create_task(
            fleet.send_request("/draft/a", adapter="", headers=headers_with(KEY))
        )
        await wait_until(lambda: any(item.running for item in fleet.models))
        await self.publish(fleet, 3, [LAB])
        response = await pending
        self.assertEqual((200, False), (response.status, response.complete))
        self.assertEqual(1, len(arrived(fleet)))
        (line,) = self.logged(Event.REQUEST_FAILED)
        self.assertEqual(("SN-1301", "unknown key"), (line["code"], line["reason"]))

    def share_faults(self, fleet, faults, response_delay_s):
        """Gives all register replicas one list of faults, and slow responses."""
        for replica in fleet.registers:
            replica.faults = faults
            replica.response_delay_s = response_delay_s


class PublishedTenantsTest(TenantTestCase):
    async def assert_keys(self, fleet, gateway, statuses_by_key):
        for key, status in statuses_by_key.items():
            self.assertEqual(
                status, await self.status(fleet, "/entry/a", key, gateway=gateway), key
            )

    @with_own_system("run_tenants", gateways=2)
    async def test_host_that_gets_the_document_from_another_host_knows_the_keys(
        self, fleet
    ):
        """A host without the store has digests only."""
        reader, other = fleet.live
        fleet.cut_off_from_store.add(other.settings.name)
        await wait_until(lambda: other.state.is_unreachable(""))
        await self.publish(fleet, 3, [tenant("shop", "new-key")])
        await self.assert_keys(fleet, other, {KEY: 401, "new-key": 200})
        await fleet.kill(other)
        fleet.store.mode = StoreMode.NO_RESPONSE
        fleet.store.reset_connections()
        gateway = fleet.start_gateway(1)
        await gateway.state.ready.wait()
        await self.assert_keys(fleet, gateway, {KEY: 401, "new-key": 200})

    @with_own_system("run_tenants", gateways=2)
    async def test_restored_store_does_not_bring_an_old_key_back(self, fleet):
        """The copy still lists a key that was taken away since."""
        copy = fleet.store.copy()
        await self.publish(fleet, 3, [tenant("shop", SECOND_KEY)])
        fleet.store.restore(copy)
        fleet.store.put("op/other", b"1")
        await wait_until(
            lambda: all(
                gateway.state.newest_positions()[""].epoch == fleet.store.epoch
                for gateway in fleet.live
            )
        )
        for gateway in fleet.live:
            await self.assert_keys(fleet, gateway, {KEY: 401, SECOND_KEY: 200})
        await self.publish(fleet, 4, [tenant("shop", "new-key")])
        for gateway in fleet.live:
            await self.assert_keys(fleet, gateway, {SECOND_KEY: 401, "new-key": 200})

    @with_own_system("run_tenants")
    async def test_change_is_read_from_a_store_without_its_history(self, fleet):
        """A key that was taken away while the store was down could stay valid."""
        (gateway,) = fleet.live
        fleet.store.mode = StoreMode.RESET
        fleet.store.reset_connections()
        await wait_until(lambda: gateway.state.is_unreachable(""))
        fleet.store.put("op/config", configuration(3, ROUTES, tenants=[tenant("shop")]))
        fleet.store.compact_history()
        fleet.store.mode = StoreMode.UP
        with anyio.fail_after(APPLY_TIME_S):
            await wait_until(lambda: gateway.state.configuration.version == 3)
        await self.assert_keys(fleet, gateway, {KEY: 401, LAB_KEY: 401})

    @with_own_system("run_tenants")
    async def test_other_keys_under_the_known_version_count(self, fleet):
        """After a restore, the operator may write other tenants under an old version."""
        fleet.store.put(
            "op/config", configuration(2, ROUTES, tenants=[tenant("shop", "new")])
        )
        (gateway,) = fleet.live
        digest = hashlib.sha256(b"new").hexdigest()
        await wait_until(lambda: gateway.state.configuration.tenants.find(digest))
        await self.assert_keys(fleet, gateway, {KEY: 401, "new": 200})

    @with_own_system("run_tenants", gateways=2)
    async def test_many_versions_in_quick_succession(self, fleet):
        """The last one must count on every host."""
        for version in range(3, 40):
            fleet.store.put(
                "op/config",
                configuration(
                    version, ROUTES, tenants=[tenant("shop", f"key-{version}")]
                ),
            )
        with anyio.fail_after(APPLY_TIME_S):
            await wait_until(
                lambda: all(
                    gateway.state.configuration.version == 39 for gateway in fleet.live
                )
            )
        for gateway in fleet.live:
            await self.assert_keys(fleet, gateway, {"key-38": 401, "key-39": 200})

    def test_invalid_configuration_leaves_the_last_one_in_force(self):
        """A mistake in one tenant must neither admit nor refuse callers of others."""
        mistakes = (
            [tenant("a", KEY), tenant("b", KEY)],
            [tenant("a", KEY), tenant("a", "other")],
            [tenant("a", KEY, rate_per_s=-1)],
            [tenant("a", KEY, burst=-1)],
            [tenant("a", KEY, billing_unit=KEY)],
            [{"api_keys": [KEY]}],
            [KEY],
            None,
        )

        async def check(fleet):
            (gateway,) = fleet.live
            for version, tenants in enumerate(mistakes, 3):
                content = {**configuration(version, ROUTES), "tenants": tenants}
                fleet.store.put("op/config", content)
            fleet.store.put("op/config", b'{"tenants": [{"api_keys": ["' + KEY.encode())
            await wait_until(
                lambda: gateway.state.feeds[""].newest_revision == fleet.store.revision
            )
            lines = self.logged(Event.ENTRY_UNREADABLE)
            self.assertEqual(len(mistakes) + 1, len(lines))
            for line in lines:
                self.assertEqual("op/config", line["key"])
                self.assertNotIn(KEY, repr(line))
            self.assertEqual(2, gateway.state.configuration.version)
            await self.assert_keys(fleet, gateway, {KEY: 200, "other": 401, "": 401})

        self.run_tenants(check)
