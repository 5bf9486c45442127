"""Tests of membership and failure detection, on a simulated clock."""

import random

import anyio
import msgspec
import testtools

from snipetrestle.peers.members import MemberState
from snipetrestle.peers.membership_messages import Health, MemberUpdate, Ping
from snipetrestle.peers.updates import MAX_UPDATE_BYTES, UpdateQueue
from snipetrestle.publication.sources import HostState
from snipetrestle_standins.clock import run_in_virtual_time
from snipetrestle_standins.fleet import MembershipFleet
from tests.systems import with_system

# Well above the measured times. On the simulated clock the host's speed has no effect.
TIMEOUT_S = 30.0


def run_fleet(function, size, **options):
    async def main():
        async with MembershipFleet(size, **options) as fleet:
            fleet.start_all()
            await anyio.sleep(5.0)
            await function(fleet)

    run_in_virtual_time(main)


class FailureDetectionTest(testtools.TestCase):
    def all_alive(self, fleet):
        return all(fleet.states_of(name) == {"alive"} for name in fleet.names)

    @with_system(run_fleet, 7)
    async def test_killed_member_is_noticed(self, fleet):
        """New work must not go to a daemon that is dead."""
        fleet.kill("entry-2")
        await fleet.wait_until(
            lambda: fleet.states_of("entry-2") == {"failed"}, TIMEOUT_S
        )
        for daemon in fleet.daemons_by_name.values():
            self.assertNotIn("entry-2", daemon.membership.routable())
            self.assertEqual(7, daemon.membership.listed_count())

    @with_system(run_fleet, 7)
    async def test_no_suspicions_without_failures(self, fleet):
        """False suspicions move work between daemons without need."""
        view_numbers = {
            name: daemon.membership.view_number
            for name, daemon in fleet.daemons_by_name.items()
        }
        await anyio.sleep(120.0)
        self.assertTrue(self.all_alive(fleet))
        for name, daemon in fleet.daemons_by_name.items():
            self.assertEqual(view_numbers[name], daemon.membership.view_number)

    @with_system(run_fleet, 7)
    async def test_report_triggers_an_immediate_probe(self, fleet):
        """A takeover must not wait for the member's turn to be pinged."""
        fleet.kill("entry-2")
        membership = fleet.daemons_by_name["entry-0"].membership
        membership.report_unreachable("entry-2")
        elapsed = await fleet.wait_until(
            lambda: membership.get("entry-2").state is not MemberState.ALIVE, 3.0
        )
        self.assertTrue(elapsed < 2.0, elapsed)

    @with_system(run_fleet, 7)
    async def test_calls_to_a_silent_member_are_dropped(self, fleet):
        """Without the drop, a stream to a paused daemon would wait forever."""
        dropped = {}

        async def drop(name):
            dropped[name] = anyio.current_time()

        membership = fleet.daemons_by_name["entry-0"].membership
        membership.attach_connections(lambda name: name != "entry-1", drop)
        fleet.network.pause("entry-1")
        fleet.network.pause("entry-2")
        await anyio.sleep(TIMEOUT_S)
        # No calls are open to entry-1.
        self.assertEqual({"entry-2"}, set(dropped))

    @with_system(run_fleet, 2)
    async def test_busy_member_that_is_heard_is_not_dropped(self, fleet):
        """Two busy daemons once dropped each other's streams.

        Their pings were delayed behind tokens for over half a second (make bench-path,
        two daemons), and all streams were retried.
        """
        dropped = []
        sends_other_messages = True

        async def drop(name):
            dropped.append(name)

        def last_heard(name):
            return anyio.current_time() if sends_other_messages else 0.0

        membership = fleet.daemons_by_name["entry-0"].membership
        membership.attach_connections(lambda name: True, drop, last_heard)
        fleet.network.pause("entry-1")
        await anyio.sleep(TIMEOUT_S)
        self.assertEqual(MemberState.ALIVE, membership.get("entry-1").state)
        self.assertEqual([], dropped)
        sends_other_messages = False
        await fleet.wait_until(lambda: "entry-1" in dropped, TIMEOUT_S)

    @with_system(run_fleet, 7)
    async def test_indirect_probe_prevents_suspicion_over_one_cut_link(self, fleet):
        """One broken link must not make all daemons suspect a member."""
        fleet.network.cut("entry-0", "entry-1")
        for _ in range(30):
            await anyio.sleep(1.0)
            self.assertEqual({"alive"}, fleet.states_of("entry-1"))

    @with_system(run_fleet, 7)
    async def test_resumed_member_refutes_its_failure(self, fleet):
        """Guards against a member that stays failed although it answers again."""
        membership = fleet.daemons_by_name["entry-2"].membership
        incarnation = membership.own_incarnation
        fleet.network.pause("entry-2")
        others = [name for name in fleet.names if name != "entry-2"]
        await fleet.wait_until(
            lambda: all(
                fleet.daemons_by_name[name].membership.get("entry-2").state
                is MemberState.FAILED
                for name in others
            ),
            TIMEOUT_S,
        )
        fleet.network.resume("entry-2")
        await fleet.wait_until(lambda: self.all_alive(fleet), TIMEOUT_S)
        self.assertEqual(incarnation, membership.own_incarnation)
        self.assertFalse(membership.superseded.is_set())

    @with_system(run_fleet, 24, domains=4)
    async def test_partition_and_heal_converge(self, fleet):
        """After the heal, the two sides could fail to see each other ever again."""
        names = fleet.names
        fleet.network.partition(names[::2], names[1::2])
        await fleet.wait_until(
            lambda: all(fleet.states_of(name) >= {"failed"} for name in names),
            2 * TIMEOUT_S,
        )
        # Long enough that the updates of the partition are no longer sent.
        await anyio.sleep(300.0)
        fleet.network.heal()
        elapsed = await fleet.wait_until(lambda: self.all_alive(fleet), TIMEOUT_S)
        self.assertTrue(elapsed <= 10.0, elapsed)


class IncarnationTest(testtools.TestCase):
    @with_system(run_fleet, 7)
    async def test_replaced_member_has_a_higher_incarnation_if_the_clock_runs_back(
        self, fleet
    ):
        """If the clock runs back, a restarted daemon may pass for its predecessor."""
        old = fleet.daemons_by_name["entry-2"].membership.own_incarnation
        fleet.kill("entry-2")
        fleet.wall_clock_ns -= 10**15
        new = fleet.start(fleet.host(2)).membership
        await fleet.wait_until(
            lambda: all(
                daemon.membership.get("entry-2").incarnation == new.own_incarnation
                for daemon in fleet.daemons_by_name.values()
            ),
            TIMEOUT_S,
        )
        self.assertTrue(new.own_incarnation > old)
        self.assertEqual({"alive"}, fleet.states_of("entry-2"))

    @with_system(run_fleet, 7)
    async def test_replacement_after_the_old_host_was_removed_from_the_list(
        self, fleet
    ):
        """Guards against losing an incarnation number together with its host."""
        old = fleet.daemons_by_name["entry-2"].membership.own_incarnation
        fleet.kill("entry-2")
        await anyio.sleep(TIMEOUT_S)
        fleet.hosts.remove("entry-2")
        await anyio.sleep(2.0)
        self.assertEqual({None}, fleet.states_of("entry-2"))
        fleet.wall_clock_ns -= 10**15
        fleet.hosts.put(fleet.host(2))
        new = fleet.start(fleet.host(2)).membership
        await fleet.wait_until(
            lambda: fleet.states_of("entry-2") == {"alive"}, TIMEOUT_S
        )
        self.assertTrue(new.own_incarnation > old)

    @with_system(run_fleet, 3)
    async def test_daemon_that_hears_of_its_replacement_is_superseded(self, fleet):
        """Two daemons could run under one name.

        A daemon that was paused and replaced meanwhile has to stop.
        """
        old = fleet.daemons_by_name["entry-2"].membership
        later = MemberUpdate(
            "entry-2", old.own_incarnation.number + 1, 7, 0, Health.ALIVE
        )
        sender = fleet.daemons_by_name["entry-0"]
        own = sender.membership._own_update()
        await sender.transport.call("entry-2", Ping(own=own, about=later), 1.0)
        self.assertTrue(old.superseded.is_set())


class HostListTest(testtools.TestCase):
    @with_system(run_fleet, 7)
    async def test_new_host_is_known_before_a_lagging_list_shows_it(self, fleet):
        """While the list lags, a new daemon must get work all the same."""
        fleet.hosts.lag_s = 3600.0
        fleet.start(fleet.host(7))
        await fleet.wait_until(
            lambda: fleet.states_of("entry-7") == {"alive"}, TIMEOUT_S
        )
        membership = fleet.daemons_by_name["entry-0"].membership
        self.assertIn("entry-7", membership.routable())
        self.assertEqual(7, membership.listed_count())

    @with_system(run_fleet, 7)
    async def test_members_survive_an_empty_or_missing_list(self, fleet):
        """A broken list must not remove all members."""
        names = fleet.names
        for name in names:
            fleet.hosts.remove(name)
        await anyio.sleep(60.0)
        fleet.hosts.down = True
        await anyio.sleep(60.0)
        for daemon in fleet.daemons_by_name.values():
            self.assertEqual(set(names), set(daemon.membership.routable()))
            self.assertEqual(1, daemon.membership.listed_count())

    @with_system(run_fleet, 7)
    async def test_restored_list_is_followed(self, fleet):
        """Changes of the list were ignored until the old revision was reached again."""
        fleet.hosts.restore(50)
        await anyio.sleep(5.0)
        fleet.hosts.restore(0)
        fleet.hosts.set_leaving("entry-2")
        await fleet.wait_until(lambda: fleet.states_of("entry-2") == {"leaving"}, 10.0)

    @with_system(run_fleet, 7)
    async def test_leaving_by_notice_and_by_list(self, fleet):
        """Guards against new work for a daemon that is draining."""
        await fleet.daemons_by_name["entry-1"].membership.leave()
        fleet.hosts.set_leaving("entry-2")
        await fleet.wait_until(
            lambda: (
                fleet.states_of("entry-1") == fleet.states_of("entry-2") == {"leaving"}
            ),
            10.0,
        )
        for name, daemon in fleet.daemons_by_name.items():
            routable = daemon.membership.routable()
            self.assertNotIn("entry-1", routable)
            if name != "entry-2":
                self.assertNotIn("entry-2", routable)
        self.assertEqual(6, fleet.daemons_by_name["entry-0"].membership.listed_count())

    @with_system(run_fleet, 7)
    async def test_view_number_follows_the_routable_members(self, fleet):
        """Callers of wait_changed could miss a change without being notified."""
        membership = fleet.daemons_by_name["entry-0"].membership
        number = membership.view_number
        with anyio.fail_after(TIMEOUT_S):
            fleet.hosts.put(
                msgspec.structs.replace(fleet.host(3), state=HostState.LEAVING)
            )
            await membership.wait_changed(number)
        self.assertNotIn("entry-3", membership.routable())


class TrafficTest(testtools.TestCase):
    def traffic_per_daemon(self, size):
        rates = []

        async def check(fleet):
            # Waits until the updates of the start are no longer sent.
            await anyio.sleep(60.0)
            before = fleet.network.sent_messages, fleet.network.sent_bytes
            await anyio.sleep(20.0)
            rates.append((fleet.network.sent_messages - before[0]) / 20.0 / size)
            rates.append((fleet.network.sent_bytes - before[1]) / 20.0 / size)

        run_fleet(check, size)
        return rates

    def test_traffic_does_not_grow_with_the_fleet(self):
        """Traffic per daemon must stay level as the number of daemons grows."""
        small, large = self.traffic_per_daemon(5), self.traffic_per_daemon(60)
        self.assertTrue(large[0] < 1.1 * small[0], (small, large))
        self.assertTrue(large[1] < 1.1 * small[1], (small, large))

    def test_updates_of_one_ping_are_bounded(self):
        """Guards against pings that grow with the number of changes."""
        queue = UpdateQueue()
        generator = random.Random(1)
        for number in range(1000):
            incarnation = 10**18 + generator.getrandbits(40)
            queue.put(
                MemberUpdate(
                    f"entry-{number}",
                    incarnation,
                    generator.getrandbits(32),
                    number,
                    Health.FAILED,
                )
            )
        taken = queue.take(1000)
        self.assertTrue(len(msgspec.msgpack.encode(taken)) <= MAX_UPDATE_BYTES)
        self.assertTrue(len(taken) > 20)
        rounds = 1
        while queue.take(1000):
            rounds += 1
        self.assertTrue(rounds < 1000)
        self.assertEqual(0, len(queue))
