"""Tests that odd items among sound ones in the store affect nothing else."""

import json

import anyio
import testtools

from snipetrestle import supervision
from snipetrestle.coordination.membership.hosts import REACHABLE_TIMEOUT_S
from snipetrestle.gateway import app
from snipetrestle.gateway.publication.published_items import PublishedItem
from snipetrestle_standins.gateway_fleet import configuration
from snipetrestle_standins.platform_replica import Fault, PlatformReplica
from tests.gateway.running import run_fleet
from tests.systems import with_system
from tests.waiting import wait_until

APPLY_TIME_S = 2.0
# Less than the time for which hosts keep a replica that is missing in a store that has
# come back.
ODD_ENTRY_TIME_S = 0.5


class OddItemTestCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.unexpected = []
        for module in (supervision, app):
            self.patch(
                module,
                "log_unexpected",
                lambda source, error: self.unexpected.append((source, repr(error))),
            )

    async def assert_followed(self, fleet, version):
        """Asserts that all hosts follow the store and hear each other."""
        fleet.store.put("op/config", configuration(version))
        with anyio.fail_after(APPLY_TIME_S):
            await wait_until(
                lambda: all(
                    gateway.state.configuration.version == version
                    for gateway in fleet.live
                )
            )
        count = len(fleet.live)
        for gateway in fleet.live:
            self.assertEqual(count, gateway.hosts.count())
            self.assertEqual(count - 1, len(gateway.hosts.reachable()))
            answer = await fleet.send_request("/draft/a", gateway, adapter="a1")
            self.assertEqual((200, True), (answer.status, answer.complete))
        self.assertEqual([], self.unexpected)


class OddModelNameTest(OddItemTestCase):
    def test_long_model_names_of_callers_do_not_stop_heartbeats(self):
        """Heartbeats named the models of the requests in progress, and were too long
        for a datagram."""

        # Replicas of this service do not look at the model.
        self.patch(PlatformReplica, "_holds", lambda replica, request: True)

        async def send(fleet, gateway, name):
            headers = [("X-Model", name * 15_000)]
            await fleet.send_request("/entry/a", gateway, headers=headers)

        async def check(fleet):
            for replica in fleet.registers:
                replica.faults += [Fault.NO_RESPONSE] * 10
            terms = [gateway.leadership.term for gateway in fleet.live]
            (follower,) = set(fleet.live) - set(fleet.leaders())
            async with anyio.create_task_group() as group:
                for name in "abcdefgh":
                    group.start_soon(send, fleet, follower, name)
                await anyio.sleep(REACHABLE_TIMEOUT_S + 0.4)
                in_flight = [
                    replica.in_flight for replica in follower.replicas.by_id.values()
                ]
                self.assertEqual(8, sum(in_flight))
                group.cancel_scope.cancel()
            self.assertEqual(terms, [gateway.leadership.term for gateway in fleet.live])
            self.assertEqual([], self.unexpected)

        run_fleet(check, gateways=2)


def deep(content):
    """Returns a document with a field that is nested too deeply."""
    nested = b"[" * 100_000 + b"]" * 100_000
    return json.dumps(content).encode()[:-1] + b', "new": ' + nested + b"}"


class OddEntriesTest(OddItemTestCase):
    def odd_items(self, fleet):
        """Returns odd contents by key: entries, versions, configurations, others."""
        entry = fleet.registers[0].entry()
        odd_entries = [
            deep(entry),
            {**entry, "address": "127.0.0.1:70000"},
            {**entry, "address": "nowhere.example:80"},
            {**entry, "born": 10**30},
            {**entry, "slots": -1},
            {**entry, "state": "asleep"},
            {**entry, "backend": "b" * 300},
            {**entry, "models": [{"name": "m0", "adapters": ["a1@-1"]}]},
            b"\xff\xfe",
            b"",
        ]
        version = {"model": "m0", "adapter": "a1", "version": 3}
        odd_versions = [deep(version), {**version, "version": 10**30}, b"7"]
        items = {f"servers/odd-{n}": each for n, each in enumerate(odd_entries)}
        items.update(
            (f"op/version/odd-{n}", each) for n, each in enumerate(odd_versions)
        )
        items["servers/"] = entry
        items["servers/odd\r\nEvil: 1"] = entry
        items["servers/" + "i" * 300] = entry
        items["op/news"] = deep({})
        items["new" * 30] = b"\xff"
        return {
            key: each if isinstance(each, bytes) else json.dumps(each).encode()
            for key, each in items.items()
        }

    def odd_configurations(self):
        sound = configuration(90)
        weights = [{"backend": "models", "weight": 0}] * 2
        for fields in ({"split": weights}, {"timeout_ms": 0}, {"attempts": -1}):
            routes = [{**each, **fields} for each in sound["routes"]]
            yield json.dumps({**sound, "routes": routes}).encode()
        yield json.dumps({**sound, "version": 10**30}).encode()
        yield deep(sound)

    def test_odd_items_among_sound_ones(self):
        """Hosts that read an odd item ended tasks, or no longer followed changes."""

        async def send_requests(fleet, answers):
            while True:
                for gateway in fleet.live:
                    for path, adapter in (("/entry/a", None), ("/draft/a", "a1")):
                        answer = await fleet.send_request(
                            path, gateway, adapter=adapter
                        )
                        answers.append((answer.status, answer.complete))
                await anyio.sleep(0.02)

        async def check(fleet):
            answers = []
            async with anyio.create_task_group() as group:
                group.start_soon(send_requests, fleet, answers)
                for key, content in self.odd_items(fleet).items():
                    fleet.store.put(key, content)
                for content in self.odd_configurations():
                    fleet.store.put("op/config", content)
                    await anyio.sleep(0.05)
                await anyio.sleep(REACHABLE_TIMEOUT_S + 0.4)
                await self.assert_followed(fleet, 7)
                group.cancel_scope.cancel()
            # A host that starts now reads the odd items with all the others.
            await fleet.kill(fleet.live[1])
            fleet.start_gateway(1)
            await fleet.wait_ready()
            await self.assert_followed(fleet, 8)
            sound_ids = {replica.id for replica in fleet.replicas}
            for gateway in fleet.live:
                self.assertEqual(sound_ids, gateway.replicas.by_id.keys())
            self.assertEqual({(200, True)}, set(answers))

        run_fleet(check, gateways=3)

    @with_system(run_fleet)
    async def test_sound_replica_is_unlisted_by_an_odd_entry(self, fleet):
        """The replica would be used by what it said before, whatever it says now."""
        (first, second), replicas = fleet.registers, fleet.live[0].replicas
        for content in (deep(first.entry()), b"\xff", b"{}"):
            fleet.store.put(f"servers/{first.id}", content)
            with anyio.fail_after(ODD_ENTRY_TIME_S):
                await wait_until(lambda: first.id not in replicas.by_id)
            ready = replicas.ready_replicas("register")
            self.assertEqual([second.id], [replica.id for replica in ready])
            fleet.publish(first)
            await wait_until(lambda: first.id in replicas.by_id)
        self.assertEqual([], self.unexpected)


class OddDocumentsOfHostsTest(OddItemTestCase):
    @with_system(run_fleet)
    async def test_odd_documents_of_another_host_are_left_out(self, fleet):
        """An item that is no document here was logged as an internal error."""
        state = fleet.live[0].state
        entry = json.dumps(fleet.registers[0].entry()).encode()
        contents = {
            "servers/i-1": entry,
            "servers/i-2": b"{}",
            "op/news": b"{}",
            "op/config": b"{}",
            "op/version/m0.a1": deep({}),
            "op/version/m0.a2": json.dumps(
                {"model": "m0", "adapter": "a2", "version": 5}
            ).encode(),
        }
        state.accept_documents(
            [PublishedItem(key, 9, value) for key, value in contents.items()]
            + [PublishedItem("op/config", 9, None)]
        )
        versions = {key.adapter: n for key, n in state.versions_by_adapter.items()}
        self.assertEqual({"a2": 5}, versions)
        self.assertNotIn("i-1", state.replicas.by_id)
        await self.assert_followed(fleet, 7)


class OddRequestLimitTest(OddItemTestCase):
    @with_system(run_fleet, gateways=2)
    async def test_huge_request_limits_do_not_stop_heartbeats(self, fleet):
        """Heartbeats name the limits of replicas, and no host could read such a one."""
        for replica in fleet.registers:
            replica.request_limit = 1e300
        for gateway in fleet.live:
            answer = await fleet.send_request("/entry/a", gateway)
            self.assertEqual(200, answer.status)
        await anyio.sleep(REACHABLE_TIMEOUT_S + 0.4)
        await self.assert_followed(fleet, 7)


class OddVersionTest(OddItemTestCase):
    @with_system(run_fleet, gateways=2)
    async def test_huge_versions_do_not_stop_heartbeats(self, fleet):
        """Their sum was more than a heartbeat can hold, so that none was sent."""
        for number, version in enumerate((2**53 + 1, 2**62, 2**64, 10**30)):
            declared = {"model": "m0", "adapter": f"b{number}", "version": version}
            content = json.dumps(declared).encode()
            fleet.store.put(f"op/version/m0.b{number}", content)
        await anyio.sleep(REACHABLE_TIMEOUT_S + 0.4)
        await self.assert_followed(fleet, 7)
