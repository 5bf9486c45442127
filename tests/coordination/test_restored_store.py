"""Tests of many hosts, most of which hear of the store from a few readers only, and of
a store that is restored from an older copy."""

import anyio
import msgspec
import testtools

from snipetrestle.gateway.publication.published_items import StorePosition
from snipetrestle_standins.store_relay_fleet import APPLY_TIME_S, PREFIX, run_system
from tests.systems import with_system

# Changes that a restore loses.
LOST_CHANGES = 40


async def lose_changes(system):
    """Writes changes, waits until all hosts have them, and restores the store."""
    copy, revision = dict(system.store.items_by_key), system.store.revision
    for number in range(LOST_CHANGES):
        system.store.put(f"servers/lost-{number}")
    await anyio.sleep(APPLY_TIME_S)
    system.store.restore(copy, revision)


async def time_to_reach(system, members):
    """Changes the restored store; returns the seconds until all members have it."""
    system.store.put("op/config", b"2")
    expected = StorePosition(system.store.epoch, system.store.revision)
    started = anyio.current_time()
    while any(member.position != expected for member in members):
        await anyio.sleep(0.02)
        if anyio.current_time() - started > 20:
            return 20
    return anyio.current_time() - started


class RestoredStoreTest(testtools.TestCase):
    @with_system(run_system)
    async def test_all_hosts_follow_a_restored_store(self, system):
        """Hosts that only hear of the store kept waiting for their old revision."""
        for _ in range(2):
            await lose_changes(system)
            elapsed_s = await time_to_reach(system, system.members)
            self.assertLess(elapsed_s, APPLY_TIME_S)

    @with_system(run_system, 231)
    async def test_231_hosts_follow_a_restored_store(self, system):
        """The time must not grow with the number of hosts."""
        await lose_changes(system)
        elapsed_s = await time_to_reach(system, system.members)
        self.assertLess(elapsed_s, APPLY_TIME_S)

    @with_system(run_system)
    async def test_host_cut_off_from_others_reads_the_restored_store(self, system):
        """A host that hears no reader must find out by itself."""
        victim = system.followers("zone-2")[0]
        names = [member.name for member in system.members]
        system.network.isolate(victim.name, names)
        await lose_changes(system)
        self.assertLess(await time_to_reach(system, [victim]), APPLY_TIME_S)

    @with_system(run_system)
    async def test_readers_in_an_earlier_epoch_are_not_relied_on(self, system):
        """Changes of another epoch are ignored, so such a reader brings nothing."""
        follower = system.followers("zone-2")[0]
        self.assertFalse(follower.relay._must_read(PREFIX))
        for reader in system.readers("zone-2"):
            known = follower.hosts.by_name[reader.name]
            known.heartbeat = msgspec.structs.replace(
                known.heartbeat, epoch_by_prefix={}
            )
        self.assertTrue(follower.relay._must_read(PREFIX))

    @with_system(run_system)
    async def test_readers_that_sleep_through_a_restore_spread_nothing_old(
        self, system
    ):
        """A reader that was cut off passed on changes of the history before, and hosts
        took them for newer ones."""
        readers = system.readers("zone-2")
        others = [item for item in system.members if item not in readers]
        system.store.silent.update(reader.name for reader in readers)
        await lose_changes(system)
        self.assertLess(await time_to_reach(system, others), APPLY_TIME_S)
        position = others[0].position
        for reader in readers:
            old = reader.state.snapshot("")
            reader.relay.pass_on("", old.position, old)
        await anyio.sleep(1.0)
        self.assertEqual({position}, {member.position for member in others})
        system.store.silent.clear()
        await anyio.sleep(APPLY_TIME_S)
        self.assertEqual({position}, {item.position for item in system.members})
