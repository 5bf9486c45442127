"""Tests of a host's cache of adapter locations, and of the demand that it reports."""

import anyio
import testtools

from snipetrestle.coordination.messaging.messages import AdapterLocation
from snipetrestle.coordination.placement.adapter_places import LOCATION_TTL_S
from snipetrestle.coordination.placement.locator import MAX_LOCATION_AGE_S, Locator
from snipetrestle.gateway.configuration import AdapterKey
from snipetrestle_standins.clock import run_in_virtual_time

KEY = AdapterKey("m0", "a1")
ANSWER_S = 0.002
# What the leader answers to a lookup for a software version.
REPLICA_IDS_BY_VERSION = {"": ["r1"], "1": ["r1"], "2": ["r2"], "3": []}


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


class LocatorTestCase(testtools.TestCase):
    """Runs a Locator; tests set ``is_answered``."""

    def run_with_locator(self, function):
        async def main():
            self.leadership = Leadership()
            self.uses_received = []
            self.versions_asked = []
            self.is_answered = True
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

    async def locate_here(self, key, uses, avoid, limited, software_version):
        self.uses_received.append(uses)
        self.versions_asked.append(software_version)
        await anyio.sleep(ANSWER_S)
        if not self.is_answered:
            return None
        replica_ids = REPLICA_IDS_BY_VERSION[software_version]
        return tuple(AdapterLocation(replica_id, 0.2) for replica_id in replica_ids)


class LocatorTest(LocatorTestCase):
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


class VersionLookupTest(LocatorTestCase):
    """Lookups for a software version, beside those for any."""

    async def look_up_at_once(self, locator, versions):
        """Returns the replica ids of simultaneous lookups for some versions."""
        answers = [None] * len(versions)

        async def look_up(number, version):
            answers[number] = list(await locator.look_up(KEY, software_version=version))

        async with anyio.create_task_group() as group:
            for number, version in enumerate(versions):
                group.start_soon(look_up, number, version)
        return answers

    def test_lookup_for_a_version_shares_no_question_for_any(self):
        """It would return a replica that cannot go on with the stream, and a stream
        of any version would get the short list of one."""

        async def check(locator):
            answers = await self.look_up_at_once(locator, ["", "2", "1", "2", "", "3"])
            self.assertEqual([["r2"], ["r1"], ["r2"], []], answers[1:4] + answers[5:])
            for answer in (answers[0], answers[4]):
                self.assertIn("r1", answer)
            self.assertEqual(["", "2", "1", "3"], self.versions_asked)

        self.run_with_locator(check)

    def test_lookup_for_a_version_does_not_replace_the_cache(self):
        """Streams of any version would begin only where an old one goes on."""

        async def check(locator):
            locator.cached_locations(KEY)
            await locator.look_up(KEY)
            for version, known in (("3", ["r1"]), ("2", ["r1", "r2"])):
                await locator.look_up(KEY, software_version=version)
                self.assertEqual(known, list(locator.cached_locations(KEY)))
            # What was added does not make the older locations any newer.
            await anyio.sleep(LOCATION_TTL_S)
            asked = len(self.versions_asked)
            locator.cached_locations(KEY)
            await anyio.sleep(2 * ANSWER_S)
            self.assertEqual([""], self.versions_asked[asked:])
            self.assertEqual(["r1"], list(locator.cached_locations(KEY)))

        self.run_with_locator(check)

    def test_lookup_for_a_version_does_not_fill_an_empty_cache(self):
        """The replicas of one version would count as all that hold the adapter."""

        async def check(locator):
            await locator.look_up(KEY, software_version="2")
            self.assertEqual({}, locator.cached_locations(KEY))

        self.run_with_locator(check)

    def test_lookup_for_a_version_without_an_answer_returns_nothing(self):
        """The cached locations may be of other versions."""

        async def check(locator):
            await locator.look_up(KEY)
            self.is_answered = False
            self.assertEqual({}, await locator.look_up(KEY, software_version="1"))
            self.assertEqual(["r1"], list(locator.cached_locations(KEY)))
            self.is_answered = True
            places = await locator.look_up(KEY, software_version="1")
            self.assertEqual(["r1"], list(places))

        self.run_with_locator(check)

    def test_avoided_replicas_are_not_returned(self):
        """A shared answer contains what another request did not avoid."""

        async def check(locator):
            for avoid, limited in ((["r2"], ()), ((), ["r2"])):
                places = await locator.look_up(KEY, avoid, limited, "2")
                self.assertEqual({}, places)

        self.run_with_locator(check)

    def test_each_use_is_reported_once(self):
        """Two questions at the same time would both report the uses so far, and a
        failed one would lose them."""

        async def check(locator):
            for _ in range(3):
                locator.cached_locations(KEY)
            await self.look_up_at_once(locator, ["2", "", "1"])
            self.assertEqual([3, 0, 0], self.uses_received)
            self.is_answered = False
            locator.cached_locations(KEY)
            await locator.look_up(KEY, software_version="2")
            self.is_answered = True
            await locator.look_up(KEY)
            self.assertEqual([1, 1], self.uses_received[3:])

        self.run_with_locator(check)

    def test_cancelled_request_does_not_end_a_shared_question(self):
        """The others that wait for the answer would wait until their deadlines."""

        async def check(locator):
            async with anyio.create_task_group() as group:
                group.start_soon(self.give_up, locator)
                await anyio.sleep(ANSWER_S / 4)
                places = await locator.look_up(KEY, software_version="2")
            self.assertEqual(["r2"], list(places))
            self.assertEqual(["2"], self.versions_asked)

        self.run_with_locator(check)

    async def give_up(self, locator):
        with anyio.move_on_after(ANSWER_S / 2):
            await locator.look_up(KEY, software_version="2")
