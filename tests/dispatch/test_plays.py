"""Plays of a service that gets more than its replicas take at once, in virtual time.

They compare what callers get with permits and in the present way, without them. Each
prints its figures.
"""

import math
import statistics

import anyio
import testtools

from snipetrestle.dispatch.replica_choice import PERMIT_WAIT_LATENCIES
from snipetrestle_standins.clock import run_in_virtual_time
from snipetrestle_standins.dispatch_fleet import (
    TARGET_LATENCY_S,
    DispatchFleet,
    SimulatedReplica,
)

# The load of a service in the calm day of a deployment.
HOSTS = 58
RATE_PER_S = 107
SECONDS = 60
# The length of plays in which a part is looked at by itself.
LONG_S = 90
PRIORITIES = (0, 1, 2)
SERVICE_S = 0.09
SLOW_SERVICE_S = 0.14
# Time for the last answers.
END_S = 5.0
# The part of the present way's share of arrivals that may still be turned away.
MAX_TURNED_AWAY_PART = 0.1
# Of two shares of some 2,000 requests, each is known to about this.
SHARE_ERROR = 0.01
# All control work of a host may take so much of its network.
MAX_CONTROL_BYTES_PER_S = 18_000


def desk_replicas():
    """Returns three replicas of six slots, one of them slower."""
    return [
        SimulatedReplica("r0", 6, SERVICE_S),
        SimulatedReplica("r1", 6, SERVICE_S),
        SimulatedReplica("r2", 6, SLOW_SERVICE_S),
    ]


class Figures:
    """What replicas and callers got in a play."""

    def __init__(self, fleet):
        self.fleet = fleet
        replicas = fleet.replicas.values()
        self.arrived_at = [at for item in replicas for at in item.arrived_at]
        self.turned_away_at = [at for item in replicas for at in item.turned_away_at]
        self.answers = [item for item in fleet.answers if item.result != "gone"]

    def turned_away_share(self, is_counted=lambda at: True):
        """Returns the share of the arrivals at some times that were turned away."""
        turned_away = sum(is_counted(at) for at in self.turned_away_at)
        return turned_away / sum(is_counted(at) for at in self.arrived_at)

    def of(self, priority):
        return [item for item in self.answers if item.priority == priority]

    def between(self, start, end):
        return [item for item in self.answers if start <= item.at < end]

    def __str__(self):
        lines = [f"turned away {len(self.turned_away_at)} of {len(self.arrived_at)}"]
        for priority in sorted({item.priority for item in self.answers}):
            answers = self.of(priority)
            lines.append(
                f"  priority {priority}: served {served_share(answers):.4f} of "
                f"{len(answers)}, median {percentile(answers, 0.5) * 1000:.0f} ms, "
                f"95% {percentile(answers, 0.95) * 1000:.0f} ms"
            )
        return "\n".join(lines)


def served_share(answers):
    return sum(item.is_served for item in answers) / len(answers)


def percentile(answers, part):
    """Returns a percentile of the times to the answers of served requests."""
    times = sorted(item.after_s for item in answers if item.is_served)
    return times[min(len(times) - 1, math.ceil(part * len(times)))] if times else 0.0


class PlayTestCase(testtools.TestCase):
    def play(
        self,
        disturb=None,
        with_permits=True,
        replicas=desk_replicas,
        hosts=HOSTS,
        rate_per_s=RATE_PER_S,
        seconds=SECONDS,
        seed=1,
        avoid_hosts=lambda fleet: (),
    ):
        """Returns the Figures of a play; ``disturb(fleet)`` runs beside the callers."""

        async def main():
            fleet = DispatchFleet(hosts, replicas(), seed, with_permits)
            async with anyio.create_task_group() as group:
                fleet.network.task_group = group
                group.start_soon(fleet.exchange_loads)
                if disturb is not None:
                    group.start_soon(disturb, fleet)
                await fleet.send_requests(
                    rate_per_s, seconds, PRIORITIES, avoid_hosts(fleet)
                )
                await anyio.sleep(END_S)
                group.cancel_scope.cancel()
            return fleet

        figures = Figures(run_in_virtual_time(main))
        way = "with permits" if with_permits else "present way"
        print(f"\n{self.id().rpartition('.')[2]}, {way}: {figures}")
        return figures

    def compare(self, disturb=None, unpermitted=(math.inf, math.inf), **options):
        """Plays both ways and checks the targets. Returns the Figures with permits.

        In the time ``unpermitted``, many requests are sent without permits: hosts find
        that the owner does not answer, or new ones that the backend is crowded. That
        must only be no worse than without permits.
        """
        start, end = unpermitted
        present = self.play(disturb, False, **options)
        figures = self.play(disturb, **options)
        if start > 0:
            self.assertLess(
                figures.turned_away_share(lambda at: not start <= at < end),
                MAX_TURNED_AWAY_PART * present.turned_away_share(),
            )
        if start < math.inf:
            self.assertLess(
                figures.turned_away_share(lambda at: start <= at < end),
                present.turned_away_share(lambda at: start <= at < end),
            )
            self.assertGreaterEqual(
                served_share(figures.between(start, end)),
                served_share(present.between(start, end)) - SHARE_ERROR,
            )
        self.assertGreaterEqual(
            served_share(figures.answers), served_share(present.answers) - SHARE_ERROR
        )
        self.assert_order(figures.answers)
        self.assert_bounded_waits(figures)
        return figures

    def assert_order(self, answers):
        """A more urgent request is served no less often than a less urgent one."""
        shares = [
            served_share([item for item in answers if item.priority == priority])
            for priority in PRIORITIES
        ]
        for urgent, other in zip(shares, shares[1:], strict=False):
            self.assertGreaterEqual(urgent, other - SHARE_ERROR)

    def assert_bounded_waits(self, figures):
        """No request waits for ever: each is answered in its time."""
        self.assertNotIn("late", {item.result for item in figures.answers})


class DeskTest(PlayTestCase):
    def test_replicas_turn_away_a_tenth_of_the_present_way(self):
        """A third of the arrivals was turned away and sent again."""
        for seed in (1, 2):
            figures = self.compare(seed=seed)
            # The rate is three fifths of what the replicas can serve, so all are served.
            self.assertGreater(served_share(figures.answers), 1 - SHARE_ERROR)
            late = [item for item in figures.answers if item.at > SECONDS / 2]
            self.assertLess(percentile(late, 0.95), TARGET_LATENCY_S)

    def test_replica_that_slows_down_before_it_is_full(self):
        """Its published slots say more than it can use."""

        def replicas():
            return [
                *desk_replicas()[:2],
                SimulatedReplica("r2", 6, SERVICE_S, 2, 0.6),
            ]

        self.compare(replicas=replicas)

    def test_slots_that_are_not_published(self):
        """A replica that publishes none starts with one request at a time."""

        def replicas():
            items = desk_replicas()
            for item in items:
                item.published_slots = 0
            return items

        figures = self.play(replicas=replicas)
        late = [item for item in figures.answers if item.at > SECONDS / 2]
        self.assertGreater(served_share(late), 1 - SHARE_ERROR)


class DisturbedDeskTest(PlayTestCase):
    def test_burst_of_three_times_the_traffic(self):
        """What cannot be served must be refused at once, and the less urgent first; but
        none of the priorities is shut out."""

        async def disturb(fleet):
            await anyio.sleep(20.0)
            await fleet.send_requests(2 * RATE_PER_S, 20.0, PRIORITIES)

        figures = self.compare(disturb)
        burst = figures.between(22.0, 40.0)
        self.assert_order(burst)
        for priority in PRIORITIES:
            of_priority = [item for item in burst if item.priority == priority]
            self.assertGreater(served_share(of_priority), 0.05)
        # The replicas are full, so the others cannot be served.
        capacity_per_s = 2 * 6 / SERVICE_S + 6 / SLOW_SERVICE_S
        served = sum(item.is_served for item in burst)
        self.assertGreater(served, 0.8 * capacity_per_s * 18.0)
        refused = [item for item in burst if not item.is_served]
        self.assertLess(statistics.median(item.after_s for item in refused), 0.05)
        self.assertTrue(all(item.retry_after_s > 0 for item in refused))
        longest_s = PERMIT_WAIT_LATENCIES * TARGET_LATENCY_S
        self.assertLess(
            percentile(burst, 0.95), longest_s + 2 * SLOW_SERVICE_S + END_S / 100
        )
        # And then it is over.
        after = figures.between(43.0, SECONDS)
        self.assertGreater(served_share(after), 1 - SHARE_ERROR)

    def test_replica_slows_down_and_recovers(self):
        """What was measured of it before must not hold on."""

        async def disturb(fleet):
            await anyio.sleep(20.0)
            replica = fleet.replicas["r0"]
            replica.service_s, replica.slots = 3 * SERVICE_S, 3
            await anyio.sleep(15.0)
            replica.service_s, replica.slots = SERVICE_S, 6

        figures = self.compare(disturb)
        after = figures.between(45.0, SECONDS)
        self.assertGreater(served_share(after), 1 - SHARE_ERROR)

    def test_replica_restarts(self):
        """Permits of its old process must not count, nor those to a dead one pile up."""

        async def disturb(fleet):
            await anyio.sleep(20.0)
            await fleet.restart_replica("r0", 2.0)

        figures = self.compare(disturb)
        after = figures.between(30.0, SECONDS)
        self.assertGreater(served_share(after), 1 - SHARE_ERROR)

    def test_owner_stops(self):
        """Requests must not wait for a host that is gone, and the next owner starts
        without knowledge."""

        async def disturb(fleet):
            await anyio.sleep(20.0)
            await fleet.stop_host(fleet.owner().name)

        self.compare(disturb, (20.0, 25.0), seconds=LONG_S)

    def test_owner_freezes(self):
        """Its late permits must not be used, nor keep places."""

        async def disturb(fleet):
            await anyio.sleep(20.0)
            await fleet.freeze_host(fleet.owner().name, 4.0)

        self.compare(
            disturb,
            (20.0, 26.0),
            seconds=LONG_S,
            avoid_hosts=lambda fleet: {fleet.owner().name},
        )

    def test_partition(self):
        """Each half has an owner for the same replicas and knows nothing of the other."""

        async def disturb(fleet):
            await anyio.sleep(20.0)
            await fleet.cut(10.0)

        figures = self.compare(disturb, (20.0, 33.0), seconds=LONG_S)
        after = figures.between(35.0, LONG_S)
        self.assertGreater(served_share(after), 1 - SHARE_ERROR)

    def test_lost_datagrams(self):
        """Places of lost messages must not add up."""

        async def disturb(fleet):
            fleet.network.loss_rate = 0.01

        self.compare(disturb)

    def test_very_many_lost_datagrams(self):
        """Where the network loses a tenth, permits must do no harm."""

        async def disturb(fleet):
            fleet.network.loss_rate = 0.1

        self.compare(disturb, (0.0, SECONDS + END_S))

    def test_hosts_join(self):
        """They know no replica's load, and may change the owner."""

        async def disturb(fleet):
            await anyio.sleep(20.0)
            for number in range(HOSTS, HOSTS + 20):
                fleet.add_host(number)
            fleet.update_members()

        self.compare(disturb, (20.0, 40.0), seconds=LONG_S)


class LargeFleetTest(PlayTestCase):
    def test_many_hosts_and_replicas(self):
        """The messages must stay within the traffic of the control work at each host."""
        replica_count, seconds = 40, 12.0

        def replicas():
            return [
                SimulatedReplica(
                    f"r{number:02}", 6, SLOW_SERVICE_S if number % 3 == 2 else SERVICE_S
                )
                for number in range(replica_count)
            ]

        figures = self.compare(
            replicas=replicas,
            hosts=300,
            rate_per_s=RATE_PER_S * replica_count / 3,
            seconds=seconds,
        )
        network = figures.fleet.network
        busiest = max(network.bytes_by_host, key=network.bytes_by_host.get)
        bytes_per_s = network.bytes_by_host[busiest] / seconds
        print(
            f"busiest of 300 hosts: {network.datagrams_by_host[busiest] / seconds:.0f} "
            f"datagrams/s, {bytes_per_s:.0f} B/s, sent and received"
        )
        self.assertLess(bytes_per_s, MAX_CONTROL_BYTES_PER_S)
