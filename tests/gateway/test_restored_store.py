"""Tests of gateways whose store loses its newest changes and continues from a copy."""

import anyio
import testtools

from snipetrestle.gateway.publication.published_items import StorePosition
from snipetrestle.gateway.publication.replica_entries import STORE_RETURN_GRACE_S
from snipetrestle_standins.gateway_fleet import configuration, route
from snipetrestle_standins.platform_replica import PlatformReplica
from snipetrestle_standins.platform_store import StoreMode
from tests.gateway.running import run_fleet
from tests.systems import with_system
from tests.waiting import wait_until

# Time within which the settings of the fleet require a change to be in force.
APPLY_TIME_S = 2.0
# Changes that are lost in a restore, so that revisions are given out again for long.
LOST_CHANGES = 30


async def wait_for_version(gateways, version):
    """Fails unless all gateways have a configuration version within APPLY_TIME_S."""
    with anyio.fail_after(APPLY_TIME_S):
        await wait_until(
            lambda: all(
                item.state.configuration.version == version for item in gateways
            )
        )


def write_lost_changes(fleet):
    for number in range(LOST_CHANGES):
        fleet.store.put(f"op/other-{number}", b"1")


async def wait_until_read(fleet):
    """Waits until all gateways have the newest revision of the store."""
    position = StorePosition(fleet.store.epoch, fleet.store.revision)
    await wait_until(
        lambda: all(
            gateway.state.newest_positions()[""] == position
            for gateway in fleet.live
            if gateway.settings.name not in fleet.cut_off_from_store
        )
    )


def ready_ids(gateway, backend="register"):
    return {replica.id for replica in gateway.replicas.ready_replicas(backend)}


class RestoredStoreTest(testtools.TestCase):
    @with_system(run_fleet, gateways=2)
    async def test_change_after_a_restore_takes_effect(self, fleet):
        """Hosts ignored all content below their old revision, some of it for ever."""
        copy = fleet.store.copy()
        write_lost_changes(fleet)
        fleet.store.put("op/config", configuration(5))
        await wait_for_version(fleet.live, 5)
        fleet.store.restore(copy)
        fleet.store.put("op/config", configuration(5))
        routes = [route("new", "idempotent", "register")]
        fleet.store.put("op/config", configuration(7, routes))
        fleet.publish(fleet.registers[0], state="draining")
        await wait_for_version(fleet.live, 7)
        for gateway in fleet.live:
            answer = await fleet.send_request("/new/a", gateway, method="GET")
            self.assertEqual(200, answer.status)
            self.assertEqual({fleet.registers[1].id}, ready_ids(gateway))

    @with_system(run_fleet)
    async def test_change_is_seen_after_old_revisions_were_given_out_again(self, fleet):
        """A watch from an old revision succeeds once the new history has reached it,
        and skips all changes before."""
        copy = fleet.store.copy()
        write_lost_changes(fleet)
        await wait_until_read(fleet)
        fleet.store.mode = StoreMode.RESET
        fleet.store.restore(copy)
        fleet.store.put("op/config", configuration(9))
        write_lost_changes(fleet)
        write_lost_changes(fleet)
        fleet.store.mode = StoreMode.UP
        await wait_for_version(fleet.live, 9)

    @with_system(run_fleet, gateways=2)
    async def test_second_restore_is_followed_as_well(self, fleet):
        """A drill may be repeated before the revisions of the first are reached."""
        copy = fleet.store.copy()
        for version in (5, 7, 9):
            write_lost_changes(fleet)
            await wait_until_read(fleet)
            fleet.store.restore(copy)
            fleet.store.put("op/config", configuration(version))
            await wait_for_version(fleet.live, version)

    @with_system(run_fleet)
    async def test_lost_configuration_stays_in_force(self, fleet):
        """A host that reads the older copy must not go back to its configuration."""
        copy = fleet.store.copy()
        fleet.store.put("op/config", configuration(5))
        await wait_for_version(fleet.live, 5)
        fleet.store.restore(copy)
        fleet.store.put("op/other", b"1")
        await wait_until_read(fleet)
        await wait_for_version(fleet.live, 5)

    @with_system(run_fleet, gateways=2)
    async def test_restarted_host_gets_a_lost_configuration_from_another(self, fleet):
        """The operator may write it again only after hosts have restarted."""
        copy = fleet.store.copy()
        fleet.store.put("op/config", configuration(5))
        await wait_for_version(fleet.live, 5)
        await fleet.kill(fleet.live[1])
        fleet.store.restore(copy)
        gateway = fleet.start_gateway(1)
        await gateway.state.ready.wait()
        with anyio.fail_after(3.0):
            await wait_until(lambda: gateway.state.configuration.version == 5)

    @with_system(run_fleet, gateways=2)
    async def test_host_without_the_store_follows_a_restore_through_others(self, fleet):
        """A host that was cut off kept its higher revision, and its old state."""
        reader, victim = fleet.live
        copy = fleet.store.copy()
        write_lost_changes(fleet)
        await wait_until_read(fleet)
        fleet.cut_off_from_store.add(victim.settings.name)
        fleet.store.restore(copy)
        await wait_until(lambda: victim.state.is_unreachable(""))
        fleet.store.put("op/config", configuration(7))
        await wait_for_version([reader], 7)
        await wait_for_version([victim], 7)

    @with_system(run_fleet, gateways=2)
    async def test_old_state_of_a_host_that_was_cut_off_does_not_spread(self, fleet):
        """Others took the snapshot with the highest revision, also from a host that
        had not heard of the restore."""
        reader, victim = fleet.live
        gone = fleet.registers[0]
        copy = fleet.store.copy()
        write_lost_changes(fleet)
        await wait_until_read(fleet)
        fleet.cut_off_from_store.add(victim.settings.name)
        fleet.store.restore(copy)
        await wait_until(lambda: reader.state.newest_positions()[""].epoch == 2)
        fleet.store.delete(f"servers/{gone.id}")
        await wait_until(lambda: gone.id not in reader.replicas.by_id)
        fleet.cut_off_from_store.add(reader.settings.name)
        fleet.store.reset_connections()
        await anyio.sleep(1.0)
        self.assertNotIn(gone.id, reader.replicas.by_id)


class ReplicaAfterRestoreTest(testtools.TestCase):
    async def restore_departed(self, fleet, replica):
        """Restores the store from a copy that lists a replica which has left since."""
        # The start of the gateway must not count as a return of the store.
        await anyio.sleep(STORE_RETURN_GRACE_S)
        copy = fleet.store.copy()
        fleet.store.delete(f"servers/{replica.id}")
        replicas = fleet.live[0].replicas.by_id
        await wait_until(lambda: replica.id not in replicas)
        fleet.store.restore(copy)

    @with_system(run_fleet)
    async def test_replica_that_has_left_is_not_used_again(self, fleet):
        """The copy still lists replicas that have left since."""
        gone = fleet.registers[0]
        await self.restore_departed(fleet, gone)
        fleet.store.put("op/other", b"1")
        await wait_until_read(fleet)
        self.assertNotIn(gone.id, ready_ids(fleet.live[0]))

    @with_system(run_fleet)
    async def test_draining_replica_does_not_become_ready(self, fleet):
        """The copy may be older than the report that a replica drains."""
        leaving = fleet.registers[0]
        (gateway,) = fleet.live
        copy = fleet.store.copy()
        fleet.publish(leaving, state="draining")
        await wait_until(lambda: leaving.id not in ready_ids(gateway))
        fleet.store.restore(copy)
        fleet.store.put("op/other", b"1")
        await wait_until_read(fleet)
        self.assertNotIn(leaving.id, ready_ids(gateway))

    @with_system(run_fleet)
    async def test_restarted_replica_is_not_taken_for_its_earlier_run(self, fleet):
        """The copy may be older than a restart under the same id."""
        replica = fleet.registers[0]
        (gateway,) = fleet.live
        copy = fleet.store.copy()
        replica.boot += 1
        replica.report_count = 0
        fleet.publish(replica)
        replicas = gateway.replicas.by_id
        await wait_until(lambda: replicas[replica.id].entry.boot == replica.boot)
        fleet.store.restore(copy)
        fleet.store.put("op/other", b"1")
        await wait_until_read(fleet)
        self.assertEqual(replica.boot, replicas[replica.id].entry.boot)

    @with_system(run_fleet)
    async def test_replica_that_writes_again_counts_at_once(self, fleet):
        """What is known from before must not outlive a newer report."""
        replica = fleet.registers[0]
        (gateway,) = fleet.live
        await self.restore_departed(fleet, replica)
        fleet.publish(replica)
        with anyio.fail_after(1.0):
            await wait_until(lambda: replica.id in ready_ids(gateway))

    @with_system(run_fleet)
    async def test_replica_that_only_the_copy_lists_is_used_in_the_end(self, fleet):
        """A replica whose entry stays although it would have expired is alive."""
        replica = fleet.registers[0]
        (gateway,) = fleet.live
        await self.restore_departed(fleet, replica)
        await wait_until_read(fleet)
        expiry_s = gateway.settings.entry_expiry_s
        with anyio.fail_after(expiry_s + 2.0):
            await wait_until(lambda: replica.id in ready_ids(gateway))

    @with_system(run_fleet)
    async def test_replica_that_the_copy_lacks_is_kept(self, fleet):
        """Replicas that registered after the copy was made have to write again."""
        (gateway,) = fleet.live
        await anyio.sleep(STORE_RETURN_GRACE_S)
        copy = fleet.store.copy()
        new_replica = PlatformReplica("register-new", "register")
        await new_replica.start()
        fleet.publish(new_replica)
        await wait_until(lambda: new_replica.id in ready_ids(gateway))
        fleet.store.restore(copy)
        await wait_until_read(fleet)
        await anyio.sleep(1.0)
        self.assertIn(new_replica.id, ready_ids(gateway))
        fleet.publish(new_replica)
        await anyio.sleep(2.0)
        self.assertIn(new_replica.id, ready_ids(gateway))
        await new_replica.stop()
