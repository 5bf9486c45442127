"""Tests that each message between hosts fits in a datagram, whatever the names are."""

import types

import anyio
import testtools

from snipetrestle.coordination.director import PlacementController
from snipetrestle.coordination.locator import Locator
from snipetrestle.coordination.messages import (
    AdapterLocation,
    Locate,
    ReplicaLoad,
    decode,
    encode,
)
from snipetrestle.coordination.send_permits import SendPermits
from snipetrestle.gateway.configuration import AdapterKey
from snipetrestle_standins.clock import run_in_virtual_time
from tests.coordination.test_hosts import Endpoint

LEADER_ADDRESS = ("127.0.0.1", 1)
# The longest names in bytes.
NAMES = [f"{number:04}" + "\U0010ffff" * 196 for number in range(3900)]
MAX_LIST_BYTES = 8192


class Follower:
    """Leadership of a host that follows another."""

    leads = False
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

    def sent(self):
        """Returns the messages that were sent, after checking that all are readable."""
        messages = [message for message, _ in self.endpoint.sent]
        for message in messages:
            self.assertEqual(message, decode(encode(message)))
        return messages

    def test_permits_are_asked_for_in_turns_of_limited_replicas(self):
        """A request that named 3,900 limited replicas was not sent, and its host sent
        only its own part of the limits."""

        async def check():
            permits = SendPermits(
                Follower(),
                self.endpoint,
                NAMES[0],
                types.SimpleNamespace(
                    wait_s=lambda limit: 0.0, take=lambda limit: None
                ),
            )
            limit = types.SimpleNamespace(per_s=1e9)
            replicas = [
                types.SimpleNamespace(id=name, request_limit=limit)
                for name in NAMES[:100]
            ]
            for _ in range(10):
                await permits.acquire(replicas, 1.0)
            named = set()
            for message in self.sent():
                named |= message.limits_by_replica.keys()
                self.assertLess(len(encode(message)), MAX_LIST_BYTES + 1024)
            self.assertEqual(set(NAMES[:100]), named)

        run_in_virtual_time(check)

    def look_up(self, key, avoid, limited):
        async def main():
            locator = Locator(
                Follower(), self.endpoint, NAMES[0], None, None, lambda *load: None
            )
            async with anyio.create_task_group() as group:
                group.start_soon(locator.run)
                await anyio.sleep(0.01)
                await locator.look_up(key, avoid, limited)
                group.cancel_scope.cancel()

        run_in_virtual_time(main)
        return self.sent()

    def test_lookup_that_avoids_many_replicas_is_sent(self):
        """A lookup that named them all would never reach the leader."""
        key = AdapterKey(NAMES[0], NAMES[1])
        messages = self.look_up(key, NAMES[:200], NAMES[200:400])
        self.assertNotEqual([], messages)
        for message in messages:
            self.assertLess(len(encode(message)), 2 * MAX_LIST_BYTES + 3072)
            self.assertIn(NAMES[199], message.avoid)
            self.assertTrue(set(message.limited) <= set(NAMES[200:400]))

    def test_lookup_of_an_impossible_name_is_not_sent(self):
        """The name is that of a caller's request, and may be longer than a datagram."""
        self.assertEqual([], self.look_up(AdapterKey("m0", "a" * 70_000), (), ()))

    def test_answer_with_many_holders_is_sent(self):
        """An adapter on thousands of replicas would have been found on none."""

        async def check():
            state = types.SimpleNamespace(
                on_change=lambda listener: None,
                replicas=types.SimpleNamespace(on_leaving=lambda listener: None),
            )
            controller = PlacementController(
                state, Follower(), None, None, self.endpoint
            )

            async def locate(*request):
                return tuple(
                    AdapterLocation(
                        name, float(number == 5), ReplicaLoad(99 - number, 0)
                    )
                    for number, name in enumerate(NAMES[:100])
                )

            controller.locate = locate
            await controller._answer(Locate("h1", 1, "m0", "a1", 1), LEADER_ADDRESS)
            (message,) = self.sent()
            self.assertLess(len(encode(message)), MAX_LIST_BYTES + 1024)
            told = [location.replica_id for location in message.locations]
            self.assertEqual([NAMES[99], NAMES[98]], told[:2])
            self.assertNotIn(NAMES[5], told)

        run_in_virtual_time(check)
