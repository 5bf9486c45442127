"""Tests of the leader's answers to lookups for one software version of replicas."""

import anyio
import testtools

from snipetrestle.coordination.placement.adapter_places import (
    EVICTION_GRACE_S,
    LoadReason,
)
from snipetrestle.coordination.placement.orders import LoadRequest
from snipetrestle.dispatch.replica_search import NO_PLACE_PAUSE_S
from snipetrestle.gateway.configuration import AdapterKey
from snipetrestle.gateway.streams.stream_origin import StreamOrigin
from snipetrestle_standins.clock import run_in_virtual_time
from snipetrestle_standins.orders_fleet import (
    ADAPTER_LOAD_S,
    BACKEND,
    MODEL,
    REPLICA_LISTING_DELAY_S,
    OrdersFleet,
)

NAMES = ["entry-0", "entry-1", "entry-2"]
KEY = AdapterKey(MODEL, "a1")
OLD, NEW = "1.0", "1.1"
STARTED_WITHIN_S = 6.0
# How long a taken-up stream waits for a place on a route with a target of 0.6 s.
TAKE_UP_WAIT_S = 1.8


class VersionPlacementTest(testtools.TestCase):
    """Even replicas run the old version, odd ones the new one."""

    def run_with_fleet(self, function, **settings):
        """Runs ``function()`` once the replicas of an OrdersFleet are usable."""

        async def main():
            settings.setdefault("replicas", 4)
            self.fleet = OrdersFleet(NAMES, software_versions=(OLD, NEW), **settings)
            async with self.fleet:
                await anyio.sleep(STARTED_WITHIN_S)
                hosts = self.fleet.daemons_by_name.values()
                (self.leader,) = (host for host in hosts if host.leadership.leads)
                self.follower = next(item for item in hosts if item is not self.leader)
                await function()

        run_in_virtual_time(main)

    def version_of(self, replica_id):
        return self.fleet.replicas_by_id[replica_id].software_version

    def versions(self, places):
        return {self.version_of(replica_id) for replica_id in places}

    def holders(self):
        """Returns the ids of the replicas that have loaded the adapter."""
        return {
            replica.id
            for replica in self.fleet.replicas_by_id.values()
            if replica.holds(KEY)
        }

    async def load_at(self, host, version, key=KEY):
        """Looks an adapter up and waits until it is loaded. Returns the places."""
        places = await host.locator.look_up(key, software_version=version)
        await anyio.sleep(ADAPTER_LOAD_S + 0.1)
        self.assertEqual({version}, self.versions(places))
        return places

    def test_only_holders_of_the_version_are_returned(self):
        """A stream would go on at a replica that continues it wrongly."""

        async def check():
            for host in (self.follower, self.leader):
                for version in (OLD, NEW):
                    places = await self.load_at(host, version)
                    self.assertEqual(
                        places.keys(),
                        {
                            item
                            for item in self.holders()
                            if self.version_of(item) == version
                        },
                    )
            self.assertEqual({OLD, NEW}, self.versions(self.holders()))
            places = await self.follower.locator.look_up(KEY)
            self.assertEqual(self.holders(), places.keys())

        self.run_with_fleet(check)

    def test_adapter_at_the_other_version_is_loaded_at_the_right_one(self):
        """The stream was refused, as the adapter had a holder that was of no use."""

        async def check():
            for host in (self.follower, self.leader):
                held, wanted = (OLD, NEW) if host is self.leader else (NEW, OLD)
                key = AdapterKey(MODEL, host.name)
                await self.load_at(host, held, key)
                (replica_id,) = await self.load_at(host, wanted, key)
                self.assertTrue(self.fleet.replicas_by_id[replica_id].holds(key))

        self.run_with_fleet(check)

    def test_pending_load_at_the_other_version_is_not_waited_for(self):
        """The lookup would return nothing once that load was ordered."""

        async def check():
            async with anyio.create_task_group() as group:
                for version in (OLD, NEW):
                    group.start_soon(self.load_at, self.follower, version)
            self.assertEqual({OLD, NEW}, self.versions(self.holders()))

        self.run_with_fleet(check)

    def test_without_a_replica_of_the_version_nothing_is_loaded(self):
        """A load elsewhere would be of no use, and evict another adapter."""

        async def check():
            for host in (self.follower, self.leader):
                started_at = anyio.current_time()
                places = await host.locator.look_up(KEY, software_version="2.0")
                self.assertEqual({}, places)
                self.assertLess(anyio.current_time() - started_at, 0.05)
            await anyio.sleep(1.0)
            self.assertEqual(set(), self.holders())

        self.run_with_fleet(check)

    def test_replica_of_an_unknown_version_is_of_none(self):
        """Nothing is known of replicas that name no version."""

        async def check():
            self.fleet.replicas_by_id["replica-1"].software_version = ""
            self.fleet.restart_replica("replica-1")
            await anyio.sleep(STARTED_WITHIN_S)
            self.assertEqual(
                {}, await self.follower.locator.look_up(KEY, software_version=NEW)
            )
            await self.load_at(self.follower, OLD)

        self.run_with_fleet(check, replicas=2)

    def test_replica_that_restarts_with_another_version_counts_for_that(self):
        """The leader would look for the version that it ran before."""

        async def check():
            self.fleet.replicas_by_id["replica-0"].software_version = NEW
            self.fleet.restart_replica("replica-0")
            await anyio.sleep(STARTED_WITHIN_S)
            self.assertEqual(
                {}, await self.follower.locator.look_up(KEY, software_version=OLD)
            )
            await self.load_at(self.follower, NEW)

        self.run_with_fleet(check, replicas=2)

    def test_places_of_a_leader_with_an_old_list_are_checked(self):
        """Guards against a stream that goes on at a replica which the leader takes for
        one of the version that its process ran before."""

        async def check():
            await self.load_at(self.follower, OLD)
            self.leader.list_replica = lambda entry: None
            self.fleet.replicas_by_id["replica-0"].software_version = NEW
            self.fleet.restart_replica("replica-0")
            await anyio.sleep(REPLICA_LISTING_DELAY_S + 0.1)
            placement = self.leader.placement_controller.placement_of(MODEL)
            self.assertEqual(OLD, placement.by_replica["replica-0"].software_version)
            places = await self.follower.locator.look_up(KEY, software_version=OLD)
            self.assertEqual({"replica-0"}, places.keys())
            replica = self.follower.replicas.by_id["replica-0"]
            self.assertFalse(StreamOrigin(BACKEND, OLD).allows(replica))

        self.run_with_fleet(check, replicas=2)

    def test_replica_of_the_version_whose_model_is_lost_is_not_waited_for(self):
        """A lookup that finds no usable replica must be answered at once."""

        async def check():
            await self.load_at(self.follower, NEW)
            self.fleet.restart_replica("replica-1")
            # The restarted replica has been listed, but not loaded its model.
            await anyio.sleep(0.55)
            started_at = anyio.current_time()
            places = await self.follower.locator.look_up(KEY, software_version=NEW)
            self.assertEqual({}, places)
            self.assertLess(anyio.current_time() - started_at, 0.05)

        self.run_with_fleet(check, replicas=2)

    def test_load_at_an_unusable_replica_is_not_waited_for(self):
        """A replica that has lost its model orders no adapters until it has it."""

        async def check():
            await self.load_at(self.leader, OLD)
            placement = self.leader.placement_controller.placement_of(MODEL)
            replica = placement.by_replica["replica-1"]
            await self.leader.locator.look_up(KEY)
            replica.usable = False
            replica.add_pending(LoadRequest("replica-1", KEY, LoadReason.MISSING))
            with anyio.move_on_after(0.05):
                places = await self.leader.locator.look_up(KEY, software_version=NEW)
                self.assertEqual({}, places)
                return
            self.fail("the lookup was not answered at once")

        self.run_with_fleet(check, replicas=2)

    def test_holders_of_other_versions_need_not_confirm_the_adapter(self):
        """Each lookup would make them check an adapter that they serve."""

        async def check():
            await self.load_at(self.follower, OLD)
            controller = self.leader.placement_controller
            placement = controller.placement_of(MODEL)
            (holder,) = placement.holders(KEY)
            await self.load_at(self.follower, NEW)
            orders = self.fleet.replicas_by_id[holder.replica_id].accepted
            count = len(orders)
            for _ in range(3):
                await self.load_at(self.follower, NEW)
                self.assertIsNone(holder.held[KEY].ordered_at)
            self.assertEqual(count, len(orders))

        self.run_with_fleet(check)

    def test_avoided_replica_of_the_version_is_replaced_by_another_of_it(self):
        """A replica that did not serve the adapter would remain the only place, or one
        of the other version take its place."""

        async def check():
            (first,) = await self.load_at(self.follower, NEW)
            places = await self.follower.locator.look_up(KEY, [first], (), NEW)
            self.assertEqual({NEW}, self.versions(places))
            self.assertNotIn(first, places)

        self.run_with_fleet(check)

    def test_replica_without_a_free_slot_evicts_for_the_version(self):
        """All slots of the version are taken; those of the other are of no use."""

        async def check():
            for number in range(2):
                key = AdapterKey(MODEL, f"b{number}")
                await self.follower.locator.look_up(key, software_version=NEW)
                await anyio.sleep(ADAPTER_LOAD_S + 0.1)
            await anyio.sleep(2.0)
            deadline = anyio.current_time() + 1.0
            places = {}
            while not places and anyio.current_time() < deadline:
                places = await self.follower.locator.look_up(KEY, software_version=NEW)
            self.assertEqual({NEW}, self.versions(places))
            self.assertFalse(self.fleet.replicas_by_id["replica-1"].overfilled)

        self.run_with_fleet(check, replicas=2, slots=2)

    def test_only_holders_of_adapters_in_demand_are_kept(self):
        """Guards against a taken-up stream that evicts what others need at once."""

        async def check():
            adapters = [AdapterKey(MODEL, f"b{number}") for number in range(2)]
            for key in adapters:
                await self.load_at(self.follower, NEW, key)
            await anyio.sleep(2.0)
            deadline = anyio.current_time() + TAKE_UP_WAIT_S
            while anyio.current_time() < deadline:
                for key in adapters:
                    places = await self.leader.locator.look_up(key)
                    self.assertEqual({"replica-1"}, places.keys())
                places = await self.follower.locator.look_up(KEY, software_version=NEW)
                self.assertEqual({}, places)
                await anyio.sleep(NO_PLACE_PAUSE_S)
            for key in adapters:
                self.assertTrue(self.fleet.replicas_by_id["replica-1"].holds(key))

        self.run_with_fleet(check, replicas=2, slots=2)

    def test_place_is_named_to_no_host_before_its_eviction(self):
        """Guards against requests at a replica that has just evicted their adapter, and
        against two evictions for one load."""

        async def check():
            copied = [AdapterKey(MODEL, f"b{number}") for number in range(2)]
            for key in copied:
                await self.load_at(self.follower, OLD, key)
                await self.load_at(self.follower, NEW, key)
            await anyio.sleep(2.0)
            named_at = dict.fromkeys(copied)
            places = {}
            while not places:
                for key in copied:
                    if "replica-1" in await self.leader.locator.look_up(key):
                        named_at[key] = anyio.current_time()
                places = await self.follower.locator.look_up(KEY, software_version=NEW)
                await anyio.sleep(NO_PLACE_PAUSE_S)
            replica = self.fleet.replicas_by_id["replica-1"]
            (evicted,) = (key for key in copied if not replica.holds(key))
            ended_at = anyio.current_time()
            self.assertGreater(ended_at - named_at[evicted], EVICTION_GRACE_S)
            self.assertFalse(replica.overfilled)
            for key in copied:
                self.assertTrue(self.fleet.replicas_by_id["replica-0"].holds(key))

        self.run_with_fleet(check, replicas=2, slots=2)

    def test_adapters_in_demand_at_both_versions_leave_a_place(self):
        """Guards against taken-up streams without a place while copies are in demand.

        Each adapter is held at both versions, so one copy may be evicted.
        """

        async def check():
            copied = [AdapterKey(MODEL, f"b{number}") for number in range(2)]
            for key in copied:
                await self.load_at(self.follower, OLD, key)
                await self.load_at(self.follower, NEW, key)
            await anyio.sleep(2.0)
            deadline = anyio.current_time() + TAKE_UP_WAIT_S
            places = {}
            while not places and anyio.current_time() < deadline:
                for key in copied:
                    await self.leader.locator.look_up(key)
                places = await self.follower.locator.look_up(KEY, software_version=NEW)
                await anyio.sleep(NO_PLACE_PAUSE_S)
            self.assertEqual({NEW}, self.versions(places))

        self.run_with_fleet(check, replicas=2, slots=2)
