"""Tests of what a host remembers of adapters' places, and what it tells the leader."""

import anyio
import testtools

from snipetrestle.coordination.adapter_places import PLACE_LEASE_S
from snipetrestle.coordination.locator import STALE_S, Locator
from snipetrestle.coordination.messages import Place
from snipetrestle.gateway.configuration import AdapterKey
from snipetrestle_standins.clock import run_advanced

KEY = AdapterKey("m0", "a1")


class Leadership:
    """A leadership of this host; ``is_known`` and ``term`` are set by the test."""

    def __init__(self):
        self.leads = True
        self.is_known = True
        self.term = 1

    def leader_address(self):
        return None


class Endpoint:
    def register(self, message_type, handler):
        pass


class LocatorTest(testtools.TestCase):
    def play(self, function):
        async def main():
            self.leadership = Leadership()
            self.asked = []
            locator = Locator(
                self.leadership, Endpoint(), "entry-1", self.ask, lambda key: ["r7"]
            )
            async with anyio.create_task_group() as group:
                group.start_soon(locator.run)
                await anyio.sleep(0.01)
                await function(locator)
                group.cancel_scope.cancel()

        run_advanced(main)

    async def ask(self, key, uses, avoid):
        self.asked.append(uses)
        await anyio.sleep(0.002)
        return (Place("r1", 0.2),)

    def test_places_are_used_without_asking_for_a_while(self):
        """Guards against a question for each request, and places used for ever."""

        async def check(locator):
            self.assertEqual({}, locator.remembered(KEY))
            self.assertEqual(["r1"], list(await locator.ask(KEY)))
            for _ in range(5):
                self.assertEqual(["r1"], list(locator.remembered(KEY)))
            self.assertEqual([1], self.asked)
            await anyio.sleep(PLACE_LEASE_S + 0.1)
            self.assertEqual(["r1"], list(locator.remembered(KEY)))
            await anyio.sleep(0.1)
            self.assertEqual([1, 6], self.asked)
            await anyio.sleep(STALE_S + 1.0)
            self.assertEqual({}, locator.remembered(KEY))

        self.play(check)

    def test_new_leader_is_told_of_the_demand(self):
        """Guards against evictions of popular adapters after a change of leader, which
        knows nothing of earlier uses (incident inc-d171)."""

        async def check(locator):
            for _ in range(20):
                locator.remembered(KEY)
                await locator.ask(KEY)
            self.assertEqual([1] * 20, self.asked)
            self.leadership.term = 2
            locator.remembered(KEY)
            await locator.ask(KEY)
            self.assertGreater(self.asked[-1], 15)
            locator.remembered(KEY)
            await locator.ask(KEY)
            self.assertEqual(1, self.asked[-1])

        self.play(check)

    def test_listed_places_serve_until_a_leader_is_known(self):
        """Guards against refusals of all adapters while hosts agree on a leader."""

        async def check(locator):
            self.assertEqual({}, locator.remembered(KEY))
            self.leadership.is_known = False
            self.assertEqual(["r7"], list(locator.remembered(KEY)))

        self.play(check)
