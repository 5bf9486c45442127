"""Tests of a host's cache of adapter locations, and of the demand that it reports."""

import anyio
import testtools

from snipetrestle.coordination.adapter_places import LOCATION_TTL_S
from snipetrestle.coordination.locator import MAX_LOCATION_AGE_S, Locator
from snipetrestle.coordination.messages import AdapterLocation
from snipetrestle.gateway.configuration import AdapterKey
from snipetrestle_standins.clock import run_in_virtual_time

KEY = AdapterKey("m0", "a1")


class Leadership:
    """Fake in which this host leads; tests set ``has_recent_leader`` and ``term``."""

    def __init__(self):
        self.leads = True
        self.has_recent_leader = True
        self.term = 1

    def leader_address(self):
        return None


class Endpoint:
    def register(self, message_type, handler):
        pass


class LocatorTest(testtools.TestCase):
    def run_with_locator(self, function):
        async def main():
            self.leadership = Leadership()
            self.uses_received = []
            locator = Locator(
                self.leadership,
                Endpoint(),
                "entry-1",
                self.locate_here,
                lambda key: ["r7"],
                lambda replica_id, load: None,
            )
            async with anyio.create_task_group() as group:
                group.start_soon(locator.run)
                await anyio.sleep(0.01)
                await function(locator)
                group.cancel_scope.cancel()

        run_in_virtual_time(main)

    async def locate_here(self, key, uses, avoid, limited):
        self.uses_received.append(uses)
        await anyio.sleep(0.002)
        return (AdapterLocation("r1", 0.2),)

    def test_cached_locations_are_used_until_they_expire(self):
        """Without a cache, each request costs a lookup; with one, locations must still
        expire."""

        async def check(locator):
            self.assertEqual({}, locator.cached_locations(KEY))
            self.assertEqual(["r1"], list(await locator.look_up(KEY)))
            for _ in range(5):
                self.assertEqual(["r1"], list(locator.cached_locations(KEY)))
            self.assertEqual([1], self.uses_received)
            await anyio.sleep(LOCATION_TTL_S + 0.1)
            self.assertEqual(["r1"], list(locator.cached_locations(KEY)))
            await anyio.sleep(0.1)
            self.assertEqual([1, 6], self.uses_received)
            await anyio.sleep(MAX_LOCATION_AGE_S + 1.0)
            self.assertEqual({}, locator.cached_locations(KEY))

        self.run_with_locator(check)

    def test_repeated_questions_of_a_request_are_one_use(self):
        """Each further question of a waiting request counted as demand."""

        async def check(locator):
            locator.cached_locations(KEY)
            for _ in range(5):
                await locator.look_up(KEY)
            self.assertEqual([1, 0, 0, 0, 0], self.uses_received)

        self.run_with_locator(check)

    def test_uses_during_a_question_are_reported_with_the_next(self):
        """Uses that were counted while the leader was asked were lost."""

        async def check(locator):
            async with anyio.create_task_group() as group:
                locator.cached_locations(KEY)
                group.start_soon(locator.look_up, KEY)
                await anyio.sleep(0.001)
                for _ in range(3):
                    locator.cached_locations(KEY)
            await locator.look_up(KEY)
            self.assertEqual([1, 3], self.uses_received)

        self.run_with_locator(check)

    def test_demand_is_reported_to_a_new_leader(self):
        """A new leader does not know earlier uses, and evicts popular adapters unless
        the hosts report them after the change of leader (incident inc-d171)."""

        async def check(locator):
            for _ in range(20):
                locator.cached_locations(KEY)
                await locator.look_up(KEY)
            self.assertEqual([1] * 20, self.uses_received)
            self.leadership.term = 2
            locator.cached_locations(KEY)
            await locator.look_up(KEY)
            self.assertGreater(self.uses_received[-1], 15)
            locator.cached_locations(KEY)
            await locator.look_up(KEY)
            self.assertEqual(1, self.uses_received[-1])

        self.run_with_locator(check)

    def test_published_locations_are_used_until_a_leader_is_known(self):
        """Guards against refusals of all requests while the hosts elect a leader."""

        async def check(locator):
            self.assertEqual({}, locator.cached_locations(KEY))
            self.leadership.has_recent_leader = False
            self.assertEqual(["r7"], list(locator.cached_locations(KEY)))

        self.run_with_locator(check)
