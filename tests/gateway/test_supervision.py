"""Tests that an unexpected error costs one message or one task, not the process."""

import asyncio

import hypothesis
import msgspec
import testtools
from hypothesis import strategies

from snipetrestle import supervision
from snipetrestle.coordination.membership.leadership import next_token
from snipetrestle.coordination.messaging import messages
from snipetrestle.coordination.messaging.datagrams import DatagramEndpoint
from snipetrestle.gateway import app
from tests.gateway.running import run_fleet
from tests.waiting import wait_until

INFO = messages.HostInfo("entry-9", 1, "127.0.0.1", 9, "zone-1", 1.0)
HEARTBEAT = messages.Heartbeat(INFO, "entry-9", 1, 0.0, False, {})
LOAD_PART = messages.ReplicaLoadPart("r1", 0, messages.ReplicaLoad(1, 20_000))
LOADS = messages.ReplicaLoads(
    "entry-9", 1, False, 1, 1, {"r1": LOAD_PART.load}, (LOAD_PART,)
)
MESSAGES = [
    LOADS,
    messages.RequestLimitReports((messages.RequestLimitReport("r1", 2.0, 0.5),)),
    HEARTBEAT,
    messages.Join(INFO),
    messages.KnownHosts((INFO,)),
    messages.Locate("entry-9", 1, "m0", "a1", 1, ("r1",)),
    messages.Located(1, (messages.AdapterLocation("r1", 0.1),)),
]


def fail(*args, **options):
    raise ZeroDivisionError("planted")


class PlantedErrorTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.patch(supervision, "RESTART_DELAY_S", 0.05)
        self.patch(app, "SETTINGS_CHECK_INTERVAL_S", 0.1)

    def plant(self, owner, name, hits):
        """Makes ``owner.name`` raise once, when it is called next."""
        original = getattr(owner, name)

        def planted(*args, **options):
            setattr(owner, name, original)
            hits.append(name)
            fail()

        setattr(owner, name, planted)

    def test_error_in_each_long_lived_task_restarts_it(self):
        """One error in any of these tasks ended the process with all its streams."""

        async def check(fleet):
            gateway = fleet.leaders()[0]
            follower = next(item for item in fleet.live if item is not gateway)
            hits = []
            planted = [
                (gateway.hosts, "send_heartbeats"),
                (gateway.leadership, "_check_suspension"),
                (gateway.state, "_note_reachable"),
                (gateway.snapshots._state, "is_unreachable"),
                (gateway.director, "_controller_of"),
                (follower.locator, "_unreported_uses"),
                (gateway, "reload"),
            ]
            for owner, name in planted:
                self.plant(owner, name, hits)
            fleet.publish(fleet.models[0], version="v2")
            for number in range(4):
                await fleet.send_request("/draft/a", gateway, adapter=f"a{number}")
                await fleet.send_request("/draft/a", follower, adapter=f"a{number}")
            await wait_until(lambda: len(hits) == len(planted))
            gateway.hosts.send_heartbeats()
            await fleet.wait_ready()
            for item in fleet.live:
                answer = await fleet.send_request("/draft/a", item, adapter="a9")
                self.assertEqual((200, True), (answer.status, answer.complete))

        run_fleet(check, gateways=2)

    def test_error_in_a_replicas_orders_restarts_them(self):
        """The orders to one replica ended the process of the leader."""

        async def check(fleet):
            gateway = fleet.leaders()[0]
            hits = []
            (controller,) = gateway.director._by_backend.values()
            for _, orders, _ in controller._running_by_id.values():
                self.plant(orders, "_due_load", hits)
            await wait_until(lambda: len(hits) == len(fleet.models))
            await asyncio.sleep(0.1)
            answer = await fleet.send_request("/draft/a", adapter="a1")
            self.assertEqual((200, True), (answer.status, answer.complete))

        run_fleet(check)

    def test_error_in_a_listener_of_the_published_state_costs_nothing_else(self):
        """A replica whose entry met an error once must still be found later."""

        async def check(fleet):
            gateway = fleet.live[0]
            hits = []
            gateway.state._listeners.insert(0, lambda: (hits.append(1), fail()))
            fleet.publish(fleet.models[0], state="draining")
            await wait_until(lambda: hits)
            models = gateway.replicas.ready_replicas("models")
            self.assertEqual([fleet.models[1].id], [item.id for item in models])

        run_fleet(check)


class DatagramTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.received = []
        self.endpoint = DatagramEndpoint()
        for message_type in {type(message) for message in MESSAGES}:
            self.endpoint.register(
                message_type, lambda message, address: self.received.append(message)
            )

    @hypothesis.given(strategies.binary(max_size=300))
    @hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
    def test_random_bytes_are_ignored(self, data):
        """Data of another program on the port must not raise."""
        self.endpoint.datagram_received(data, ("127.0.0.1", 9))

    @hypothesis.given(
        strategies.sampled_from(MESSAGES),
        strategies.integers(0, 400),
        strategies.integers(0, 255),
    )
    @hypothesis.settings(max_examples=500, derandomize=True, deadline=None)
    def test_damaged_messages_stay_within_bounds(self, message, position, value):
        """A damaged byte must not make a value that no host can handle."""
        data = bytearray(messages.encode(message))
        data[position % len(data)] = value
        self.received.clear()
        self.endpoint.datagram_received(bytes(data), ("127.0.0.1", 9))
        for item in self.received:
            if isinstance(item, messages.Heartbeat):
                next_token(item.term, "entry-1", 0)
                messages.encode(msgspec.structs.replace(item, term=item.term))

    def test_absurd_values_are_refused(self):
        """After a token of 2^63, no later leader could send a higher one."""
        for field, value in (
            ("term", 2**63),
            ("term", -1),
            ("leader_age_s", -5.0),
            ("leader_age_s", float("nan")),
            ("leader", "x" * 60_000),
            ("newest_by_prefix", {"": -1}),
        ):
            absurd = msgspec.structs.replace(HEARTBEAT, **{field: value})
            self.endpoint.datagram_received(messages.encode(absurd), ("127.0.0.1", 9))
            self.assertEqual([], self.received, field)
        load = messages.ReplicaLoad(-1, 0)
        for field, value in (
            ("loads_by_replica", {"r1": load}),
            ("further_parts", (msgspec.structs.replace(LOAD_PART, load=load),)),
            ("further_parts", (msgspec.structs.replace(LOAD_PART, part=-1),)),
            ("number", 2**63),
            ("complete_since", -1),
        ):
            absurd = msgspec.structs.replace(LOADS, **{field: value})
            self.endpoint.datagram_received(messages.encode(absurd), ("127.0.0.1", 9))
            self.assertEqual([], self.received, field)
        for field, value in (("port", 70_000), ("size", float("inf")), ("boot", 2**63)):
            info = msgspec.structs.replace(INFO, **{field: value})
            data = messages.encode(messages.KnownHosts((info,)))
            self.endpoint.datagram_received(data, ("127.0.0.1", 9))
            self.assertEqual([], self.received, field)

    def test_highest_accepted_token_can_be_exceeded(self):
        """The bound must leave room for all tokens that follow."""
        token = messages.MAX_TOKEN
        for _ in range(100):
            token = next_token(token, "entry-1", 0)
        messages.encode(msgspec.structs.replace(HEARTBEAT, term=token))
        self.assertLess(token, 2**63)

    def test_error_in_a_handler_costs_one_message(self):
        """A handler's error must not stop the socket."""
        self.endpoint.register(messages.Join, fail)
        data = messages.encode(messages.Join(INFO))
        self.endpoint.datagram_received(data, ("127.0.0.1", 9))
        data = messages.encode(HEARTBEAT)
        self.endpoint.datagram_received(data, ("127.0.0.1", 9))
        self.assertEqual([HEARTBEAT], self.received)
