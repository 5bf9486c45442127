"""Tests that few hosts read the store, and that all learn of changes in time."""

import random
import zlib

import anyio
import testtools

from snipetrestle.coordination.messaging.messages import (
    Changes,
    Join,
    StoreAccess,
    pack_items,
)
from snipetrestle.coordination.store.store_relay import READERS_PER_HOST, readers_of
from snipetrestle_standins.store_relay_fleet import (
    APPLY_TIME_S,
    DOMAINS,
    PREFIX,
    run_system,
)
from tests.systems import with_system

# Long enough for entries to expire.
OUTAGE_S = 4.0


class StoreRelayTest(testtools.TestCase):
    @with_system(run_system)
    async def test_few_hosts_read_the_store(self, system):
        """Each of 231 hosts read the store by itself, 5,964 calls in a day."""
        system.store.calls_by_host.clear()
        for _ in range(40):
            system.store.put("servers/r1")
            await anyio.sleep(0.5)
        await anyio.sleep(1.0)
        callers = {n for n, calls in system.store.calls_by_host.items() if calls > 2}
        self.assertLessEqual(len(callers), READERS_PER_HOST * len(DOMAINS) + 1)
        for member in system.members:
            self.assertEqual(system.store.revision, member.revision)

    @with_system(run_system)
    async def test_changes_arrive_sooner_than_by_own_reads(self, system):
        """New replicas got no work for up to two seconds, half of the time in which
        a change must be applied."""
        for _ in range(5):
            self.assertLess(await system.time_to_apply(system.members), 0.8)
            await anyio.sleep(0.9)

    @with_system(run_system)
    async def test_silent_readers_are_replaced_in_time(self, system):
        """A host that lost its readers, but not the store, kept draining replicas."""
        for reader in system.readers("zone-2"):
            reader.stop()
        followers = system.followers("zone-2")
        self.assertLess(await system.time_to_apply(followers), APPLY_TIME_S)
        await anyio.sleep(6.0)
        names = {member.name for member in system.readers("zone-2")}
        self.assertEqual(READERS_PER_HOST, len(names))
        self.assertLess(await system.time_to_apply(followers), APPLY_TIME_S)

    @with_system(run_system)
    async def test_readers_without_the_store_are_not_relied_on(self, system):
        """Readers may be cut off from the store while their heartbeats arrive."""
        for unreachable in (system.store.silent, system.store.refused):
            unreachable.update(item.name for item in system.readers("zone-2"))
            followers = system.followers("zone-2")
            self.assertLess(await system.time_to_apply(followers), APPLY_TIME_S)
            unreachable.clear()
            await anyio.sleep(5.0)

    @with_system(run_system)
    async def test_host_cut_off_from_the_store_learns_from_its_readers(self, system):
        """The reverse: a host that reaches its readers only must obey changes too."""
        victim = system.followers("zone-2")[0]
        system.store.silent.add(victim.name)
        self.assertLess(await system.time_to_apply([victim]), 1.0)

    @with_system(run_system)
    async def test_host_cut_off_from_all_others_reads_by_itself(self, system):
        """A host must not wait for readers that it cannot hear."""
        victim = system.followers("zone-2")[0]
        names = [member.name for member in system.members]
        system.network.isolate(victim.name, names)
        self.assertLess(await system.time_to_apply([victim]), APPLY_TIME_S)

    @with_system(run_system)
    async def test_lost_changes_are_read_from_the_store(self, system):
        """Datagrams may be lost, and long ones are not sent at all."""
        content = random.Random(1).randbytes(100_000)
        system.store.put("op/large", content)
        await anyio.sleep(1.5)
        for member in system.members:
            self.assertEqual(system.store.revision, member.revision, member.name)

    @with_system(run_system)
    async def test_long_configurations_are_passed_on(self, system):
        """Each change of the configuration made all 81 hosts read the store, since it
        was longer than a datagram may be."""
        system.store.calls_by_host.clear()
        text = "".join(f'{{"name":"route-{n}","attempts":2}}' for n in range(1000))
        system.store.put("op/config", text.encode())
        await anyio.sleep(1.0)
        for member in system.members:
            self.assertEqual(system.store.revision, member.revision)
        readers = READERS_PER_HOST * len(DOMAINS) + 1
        self.assertLessEqual(len(system.store.calls_by_host), readers)

    @with_system(run_system)
    async def test_answer_to_a_join_leaves_what_the_leader_announced(self, system):
        """The leader's answer to a join names no readers and no successors. The host
        took it for an announcement, and read the store by itself."""
        follower = system.followers("zone-2")[0]
        readers = follower.relay.reader_names
        successors = follower.leadership.next_leaders()
        self.assertEqual(READERS_PER_HOST, len(readers))
        self.assertEqual(3, len(successors))
        joined = Join(follower.hosts.own)
        system.leader.hosts._on_join(joined, follower.endpoint.address)
        await anyio.sleep(0.01)
        self.assertEqual(readers, follower.relay.reader_names)
        self.assertEqual(successors, follower.leadership.next_leaders())

    @with_system(run_system)
    async def test_damaged_changes_are_ignored(self, system):
        """A datagram must not make a host apply or unpack what no reader sent."""
        follower = system.followers("zone-2")[0]
        for content in (b"", b"no data", pack_items([])[:-3], zlib.compress(b"x")):
            message = Changes(PREFIX, 0, 10**6, StoreAccess(), content)
            follower.relay._on_changes(message, None)
        self.assertLess(follower.state.feeds[PREFIX].revision, 10**6)

    @with_system(run_system)
    async def test_deletions_wait_after_the_return_of_the_store(self, system):
        """Entries that lapsed while the store was away come back within two seconds;
        a host that did not read the store itself must wait for them as well."""
        system.store.refused.update(item.name for item in system.members)
        await anyio.sleep(OUTAGE_S)
        system.store.refused.clear()
        returned_at = anyio.current_time()
        system.store.put("servers/r1")
        await anyio.sleep(1.5)
        for member in system.members:
            self.assertEqual(system.store.revision, member.revision)
            outage = member.availability.latest_outage
            self.assertGreaterEqual(outage.ended_at, returned_at)
            self.assertLess(outage.ended_at, returned_at + 1.0)

    def check_no_outage_noted(self, choose_victims):
        """Cuts hosts off from the store for a while in which nothing changes.

        Checks that no other host takes it for an outage of the store, neither when the
        first hosts have it back nor later.
        """

        async def check(system):
            victims = choose_victims(system)
            system.store.silent.update(item.name for item in victims)
            await anyio.sleep(OUTAGE_S)
            system.store.silent.clear()
            for _ in range(8):
                system.store.put("servers/r1")
                await anyio.sleep(0.25)
                for member in system.members:
                    if member not in victims:
                        self.assertIsNone(member.availability.latest_outage)
            await anyio.sleep(1.0)
            for member in system.members:
                self.assertIsNone(member.availability.latest_outage)

        run_system(check)

    def test_loss_of_the_store_by_the_leader_is_no_outage(self):
        """All hosts took it for one if nothing else had changed meanwhile, and kept
        replicas that were removed."""
        self.check_no_outage_noted(lambda system: [system.leader])

    def test_loss_of_the_store_by_all_readers_of_a_domain_is_no_outage(self):
        """The same for hosts that get all changes from these readers."""
        self.check_no_outage_noted(lambda system: system.readers("zone-2"))

    @with_system(run_system, host_count=3)
    async def test_loss_of_the_store_by_one_of_few_hosts_is_no_outage(self, system):
        """The same among hosts that all read the store by themselves."""
        (leader,) = [item for item in system.members if item.leadership.leads]
        system.store.silent.add(leader.name)
        await anyio.sleep(OUTAGE_S)
        system.store.silent.clear()
        system.store.put("servers/r1")
        await anyio.sleep(1.6)
        for member in system.members:
            self.assertEqual(system.store.revision, member.revision)
            self.assertIsNone(member.availability.latest_outage)

    def test_load_of_a_reader_is_bounded(self):
        """Two readers sent each change to a hundred hosts each, 1.8 MB a second among
        300 hosts; each host must still have two of them."""
        readers = [f"entry-{number}" for number in range(7)]
        hosts = [f"entry-{number}" for number in range(7, 107)]
        served = [reader for host in hosts for reader in readers_of(host, readers)]
        for reader in readers:
            self.assertLess(served.count(reader), 48)
        for host in hosts:
            self.assertEqual(READERS_PER_HOST, len(set(readers_of(host, readers))))
