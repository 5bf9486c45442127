"""Tests that each message between hosts fits in a datagram, whatever the names are."""

import types
import typing

import anyio
import hypothesis
import msgspec
import testtools
from hypothesis import strategies

from snipetrestle.coordination.loads.send_permits import SendPermits
from snipetrestle.coordination.loads.shared_loads import SharedReplicaLoads
from snipetrestle.coordination.loads.shared_request_limits import SharedRequestLimits
from snipetrestle.coordination.messaging import messages
from snipetrestle.coordination.messaging.datagrams import MAX_DATAGRAM_BYTES
from snipetrestle.coordination.messaging.messages import (
    MAX_BYTES_BY_TYPE,
    AdapterLocation,
    Locate,
    Located,
    PermitRequest,
    ReplicaLoad,
    decode,
    encode,
)
from snipetrestle.coordination.placement.director import PlacementController
from snipetrestle.coordination.placement.locator import Locator
from snipetrestle.coordination.quarantine.shared_quarantine import SharedQuarantine
from snipetrestle.coordination.quarantine.shared_request_quarantine import (
    SharedRequestQuarantine,
)
from snipetrestle.gateway.backends.request_limits import RequestLimit
from snipetrestle.gateway.configuration import AdapterKey
from snipetrestle.gateway.quarantine.prompt_quarantine import PromptQuarantine
from snipetrestle.gateway.quarantine.request_fingerprint import (
    MAX_PROMPT_PARTS,
    prompt_part_key,
)
from snipetrestle.gateway.quarantine.request_quarantine import RequestQuarantine
from snipetrestle_standins.clock import run_in_virtual_time
from tests.coordination.test_hosts import Endpoint
from tests.systems import in_virtual_time

LEADER_ADDRESS = ("127.0.0.1", 1)
# The longest names in bytes.
NAMES = [f"{number:04}" + "\U0010ffff" * 196 for number in range(3900)]
LARGEST_CHARACTER = "\U0010ffff"


class Follower:
    """Leadership of a host that follows another."""

    leads = False
    leader = "h1"
    next_leaders = tuple
    has_recent_leader = True
    term = 1

    def leader_address(self):
        return LEADER_ADDRESS

    def on_change(self, listener):
        pass


class LongListTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.endpoint = Endpoint()

    def assert_fits(self, message):
        self.assertLessEqual(len(encode(message)), MAX_BYTES_BY_TYPE[type(message)])

    def sent(self):
        """Returns the messages that were sent, after checking that all are readable."""
        sent = [message for message, _ in self.endpoint.sent]
        for message in sent:
            self.assertEqual(message, decode(encode(message)))
        return sent

    @in_virtual_time
    async def test_permits_are_asked_for_in_turns_of_limited_replicas(self):
        """A request that named 3,900 limited replicas was not sent, and its host sent
        only its own part of the limits."""
        permits = SendPermits(
            Follower(),
            self.endpoint,
            NAMES[0],
            types.SimpleNamespace(wait_s=lambda limit: 0.0, take=lambda limit: None),
        )
        limit = types.SimpleNamespace(per_s=1e9)
        replicas = [
            types.SimpleNamespace(id=name, request_limit=limit) for name in NAMES[:100]
        ]
        for _ in range(10):
            await permits.acquire(replicas, 1.0)
        named = set()
        for message in self.sent():
            named |= message.limits_by_replica.keys()
            self.assert_fits(message)
        self.assertEqual(set(NAMES[:100]), named)

    def look_up(self, key, avoid, limited, software_version=""):
        async def main():
            locator = Locator(
                Follower(), self.endpoint, NAMES[0], None, None, lambda *load: None
            )
            async with anyio.create_task_group() as group:
                group.start_soon(locator.run)
                await anyio.sleep(0.01)
                await locator.look_up(key, avoid, limited, software_version)
                group.cancel_scope.cancel()

        run_in_virtual_time(main)
        return self.sent()

    def test_lookup_that_avoids_many_replicas_is_sent(self):
        """A lookup that named them all would never reach the leader."""
        key = AdapterKey(NAMES[0], NAMES[1])
        sent = self.look_up(key, NAMES[:200], NAMES[200:400])
        self.assertNotEqual([], sent)
        for message in sent:
            self.assert_fits(message)
            self.assertIn(NAMES[199], message.avoid)
            self.assertTrue(set(message.limited) <= set(NAMES[200:400]))

    def test_lookup_for_a_long_software_version_is_sent(self):
        """The version comes on top of what fitted without it."""
        sent = self.look_up(
            AdapterKey(NAMES[0], NAMES[1]), NAMES[:200], NAMES[200:400], NAMES[2]
        )
        self.assertNotEqual([], sent)
        for message in sent:
            self.assert_fits(message)
            self.assertEqual(NAMES[2], message.software_version)

    def test_lookup_of_an_older_host_is_for_any_version(self):
        """The leader would not answer hosts that are not updated yet."""
        fields = ("Locate", "h1", 1, "m0", "a1", 1, ("r1",), ("r2",))
        message = decode(encode(fields))
        self.assertEqual(
            Locate("h1", 1, "m0", "a1", 1, ("r1",), ("r2",), software_version=""),
            message,
        )

    def test_lookup_of_an_impossible_name_is_not_sent(self):
        """The name is that of a caller's request, and may be longer than a datagram."""
        self.assertEqual([], self.look_up(AdapterKey("m0", "a" * 70_000), (), ()))

    @in_virtual_time
    async def test_answer_with_many_holders_is_sent(self):
        """An adapter on thousands of replicas would have been found on none."""
        state = types.SimpleNamespace(
            on_change=lambda listener: None,
            replicas=types.SimpleNamespace(on_leaving=lambda listener: None),
        )
        controller = PlacementController(state, Follower(), None, None, self.endpoint)

        async def locate(*request):
            return tuple(
                AdapterLocation(name, float(number == 5), ReplicaLoad(99 - number, 0))
                for number, name in enumerate(NAMES[:100])
            )

        controller.locate = locate
        await controller._answer(Locate("h1", 1, "m0", "a1", 1), LEADER_ADDRESS)
        (message,) = self.sent()
        self.assert_fits(message)
        told = [location.replica_id for location in message.locations]
        self.assertEqual([NAMES[99], NAMES[98]], told[:2])
        self.assertNotIn(NAMES[5], told)


def largest(info):
    """Returns the value of a msgspec.inspect type with the longest encoding."""
    match info:
        case msgspec.inspect.StrType(max_length=None, pattern=str()):
            return "x" * 200
        case msgspec.inspect.StrType(max_length=int() as length):
            return LARGEST_CHARACTER * length
        case msgspec.inspect.BytesType(max_length=int() as length):
            return b"x" * length
        case msgspec.inspect.IntType(le=int() as bound):
            return bound
        case msgspec.inspect.FloatType():
            return 0.1
        case msgspec.inspect.BoolType():
            return True
        case msgspec.inspect.UnionType():
            members = [
                item for item in info.types if item != msgspec.inspect.NoneType()
            ]
            return largest(members[0])
        case msgspec.inspect.VarTupleType(max_length=int() as length):
            return (largest(info.item_type),) * length
        case msgspec.inspect.DictType(max_length=int() as length):
            keys = [
                f"{number:03}" + LARGEST_CHARACTER * 197 for number in range(length)
            ]
            return dict.fromkeys(keys, largest(info.value_type))
        case msgspec.inspect.StructType():
            return info.cls(*(largest(field.type) for field in info.fields))
    raise ValueError(f"nothing bounds the length of {info}")


# Messages whose lists are bounded by their senders.
MESSAGES_OF_LISTS = {
    messages.ReplicaLoads,
    messages.RequestLimitReports,
    messages.LostPrompts,
    messages.LostRequests,
    Locate,
    Located,
    PermitRequest,
}


class LargestMessageTest(testtools.TestCase):
    def test_each_message_states_its_largest_size(self):
        """A message without a bound could be longer than a datagram."""
        self.assertEqual(set(typing.get_args(messages.Message)), set(MAX_BYTES_BY_TYPE))
        self.assertLessEqual(max(MAX_BYTES_BY_TYPE.values()), MAX_DATAGRAM_BYTES)

    def test_messages_of_fixed_content_fit_with_their_largest_fields(self):
        """Membership and leadership must be sent whatever hosts are named."""
        for message_type in MAX_BYTES_BY_TYPE.keys() - MESSAGES_OF_LISTS:
            message = largest(msgspec.inspect.type_info(message_type))
            content = encode(message)
            self.assertEqual(message, decode(content))
            self.assertLessEqual(
                len(content), MAX_BYTES_BY_TYPE[message_type], message_type
            )


class LongKeyTest(testtools.TestCase):
    def test_long_keys_of_parts_and_requests_are_refused(self):
        """Hosts repeat what they heard, so one long key would be in all their reports."""
        part = "x" * 17
        request = "x" * 33
        for message in (
            messages.LostPrompts((messages.LostPromptReport("r1 1", (part,), 0.1),)),
            messages.LostPrompts(
                (messages.LostPromptReport("r1 1", ("x",) * 33, 0.1),)
            ),
            messages.LostPrompts((), {part: 0.1}),
            messages.LostRequests(
                "h1", (messages.CrashReport("r1 1", 0.1, (request,)),)
            ),
            messages.LostRequests("h1", (), {request: 0.1}),
        ):
            self.assertRaises(msgspec.DecodeError, decode, encode(message))


class ReportSizesTest(testtools.TestCase):
    """Reports with random lengths of names and lists, as their senders build them."""

    def setUp(self):
        super().setUp()
        self.endpoint = Endpoint()
        self.rounds = []
        self.hosts = types.SimpleNamespace(
            own=types.SimpleNamespace(name=NAMES[0], boot=messages.MAX_TOKEN),
            by_name={"h1": types.SimpleNamespace(address=LEADER_ADDRESS)},
            is_large=False,
            on_round=self.rounds.append,
            on_heartbeat=lambda listener: None,
        )

    def check_rounds(self, count):
        """Plays rounds of heartbeats; returns the messages that were sent."""
        for _ in range(count):
            for listener in self.rounds:
                listener([LEADER_ADDRESS])
        sent = [message for message, _ in self.endpoint.sent]
        for message in sent:
            content = encode(message)
            self.assertEqual(message, decode(content))
            self.assertLessEqual(len(content), MAX_BYTES_BY_TYPE[type(message)])
        self.assertNotEqual([], sent)

    def check(self, function):
        async def main():
            self.endpoint.sent.clear()
            self.rounds.clear()
            await function()

        run_in_virtual_time(main)

    def names(self, count, length, character):
        return [f"{number:04}" + character * (length - 4) for number in range(count)]

    lists = hypothesis.given(
        strategies.integers(1, 400),
        strategies.integers(4, 200),
        strategies.sampled_from(["x", "\u00e9", "\u8a9e", LARGEST_CHARACTER]),
        strategies.integers(0, 100),
    )
    few_examples = hypothesis.settings(max_examples=25, derandomize=True, deadline=None)
    longest = hypothesis.example(400, 200, LARGEST_CHARACTER, 100)

    @longest
    @lists
    @few_examples
    def test_loads_fit(self, count, length, character, adapter_count):
        """The loads of many replicas, or adapters at one, would not be sent."""

        async def check():
            names = self.names(count, length, character)
            keys = [AdapterKey(names[0], f"{number:04}") for number in range(8)]
            keys += [
                AdapterKey(name, name)
                for name in self.names(adapter_count, length, character)
            ]
            replicas = {
                name: types.SimpleNamespace(
                    id=name,
                    in_flight=messages.MAX_COUNT,
                    own_event_interval_s=1e9,
                    in_flight_by_adapter=keys if number < 3 else keys[:1],
                )
                for number, name in enumerate(names)
            }
            SharedReplicaLoads(
                types.SimpleNamespace(by_id=replicas),
                self.hosts,
                Follower(),
                self.endpoint,
            )
            self.check_rounds(3)

        self.check(check)

    @longest
    @lists
    @few_examples
    def test_request_limits_fit(self, count, length, character, _):
        """The limits of many replicas would not be sent."""

        async def check():
            by_id = {}
            for name in self.names(count, length, character):
                limit = RequestLimit(name)
                limit.note(0.1, -1.5)
                by_id[name] = types.SimpleNamespace(request_limit=limit)
            SharedRequestLimits(
                types.SimpleNamespace(by_id=by_id), self.hosts, self.endpoint
            )
            self.check_rounds(3)

        self.check(check)

    @longest
    @lists
    @few_examples
    def test_lost_prompts_fit(self, count, length, character, part_count):
        """Prompts of many parts with long ids would not be reported."""

        async def check():
            quarantine = PromptQuarantine()
            SharedQuarantine(quarantine, self.hosts, self.endpoint)
            parts_per_prompt = min(part_count + 1, MAX_PROMPT_PARTS)
            for number, name in enumerate(
                self.names(min(count, 40), length, character)
            ):
                parts = [
                    prompt_part_key(f"{character * 8}{number:04}{part:04}")
                    for part in range(parts_per_prompt)
                ]
                quarantine.note_lost(f"{name} {10**18}", parts)
                quarantine.note_served(parts[1:])
            self.check_rounds(3)

        self.check(check)

    @longest
    @lists
    @few_examples
    def test_lost_requests_fit(self, count, length, character, crash_count):
        """Many requests that crash replicas with long ids would not be reported."""

        async def check():
            quarantine = RequestQuarantine()
            shared = SharedRequestQuarantine(
                quarantine, self.hosts, Follower(), self.endpoint
            )
            self.rounds.append(lambda addresses: shared._send())
            names = self.names(max(1, crash_count // 6), length, character)
            for number in range(count):
                quarantine.note_served(f"{number:016}")
                await anyio.sleep(0.001)
                for name in names:
                    quarantine.note_lost(f"{name} {10**18}", f"{number:016}")
            self.check_rounds(3)

        self.check(check)
