"""Tests of the sums of the loads that hosts report."""

import random
import types

import anyio
import msgspec
import testtools

from snipetrestle.coordination.loads.shared_loads import (
    EMPTY_ROUND_INTERVAL,
    MAX_ROUND_BYTES,
    LoadTotals,
    SharedReplicaLoads,
)
from snipetrestle.coordination.membership.hosts import Hosts, HostStatus
from snipetrestle.coordination.messaging.messages import (
    KnownHosts,
    ReplicaLoad,
    ReplicaLoadPart,
    ReplicaLoads,
    decode,
    encode,
)
from snipetrestle.gateway.configuration import AdapterKey
from snipetrestle_standins.clock import run_in_virtual_time
from tests.coordination.test_hosts import Content, Endpoint, info
from tests.coordination.test_leadership import run_system

REPLICAS = [f"r{number}" for number in range(8)]
HOSTS = [f"h{number}" for number in range(6)]


def random_loads(rng):
    return {
        replica_id: ReplicaLoad(
            rng.randint(0, 5),
            rng.choice([0, 20_000, 50_000]),
            tuple(AdapterKey("m0", f"a{n}") for n in rng.sample(range(5), 2)),
        )
        for replica_id in rng.sample(REPLICAS, rng.randint(0, 8))
    }


class CountingLoads(dict):
    """Loads that count how often they are read."""

    reads = 0

    def items(self):
        CountingLoads.reads += len(self)
        return super().items()


class LoadTotalsTest(testtools.TestCase):
    def test_sums_equal_those_of_the_last_reports(self):
        """Differences must not drift from the reports, whatever comes and goes."""
        rng = random.Random(5)
        totals = LoadTotals()
        last = {}
        for _ in range(500):
            host = rng.choice(HOSTS)
            if rng.random() < 0.1 and host in last:
                totals.remove(host)
                del last[host]
            else:
                last[host] = random_loads(rng)
                totals.replace(host, last[host])
            for replica_id in REPLICAS:
                loads = [
                    reported[replica_id]
                    for reported in last.values()
                    if replica_id in reported
                ]
                self.assertEqual(
                    sum(load.in_flight for load in loads), totals.in_flight(replica_id)
                )
                self.assertEqual(
                    {key for load in loads for key in load.adapters},
                    set(totals.adapters(replica_id)),
                )

    def test_cost_of_a_report_does_not_grow_with_the_hosts(self):
        """The leader added up all replicas over all hosts at each heartbeat: 18 ms
        for 100 hosts and 999 replicas, 198 times a second, on half a core."""
        for host_count in (10, 300):
            totals = LoadTotals()
            for number in range(host_count):
                totals.replace(
                    f"h{number}", CountingLoads({"r0": ReplicaLoad(1, 20_000)})
                )
            CountingLoads.reads = 0
            totals.replace("h0", CountingLoads({"r1": ReplicaLoad(1, 20_000)}))
            self.assertLessEqual(CountingLoads.reads, 2)

    def test_removed_host_leaves_no_interval(self):
        """A replica's speed must not follow a host that is gone."""
        totals = LoadTotals()
        totals.replace("h1", {"r1": ReplicaLoad(1, 90_000)})
        totals.replace("h2", {"r1": ReplicaLoad(1, 30_000)})
        self.assertEqual(60_000, totals.mean_interval_us("r1"))
        totals.remove("h1")
        self.assertEqual(30_000, totals.mean_interval_us("r1"))


def fake_replica(replica_id, in_flight=0, adapters=()):
    return types.SimpleNamespace(
        id=replica_id,
        in_flight=in_flight,
        load=in_flight,
        in_flight_by_adapter=dict.fromkeys(adapters, 1),
        others_in_flight=0,
        own_event_interval_s=None,
        event_interval_s=None,
        shared_event_interval_s=None,
        entry=types.SimpleNamespace(models=(), slots=8),
    )


class LoadsOfOneHost:
    """SharedReplicaLoads of the host h0, which knows ``count`` others.

    ``sent`` contains the (message, address) of the loads that it sends.
    """

    def __init__(self, replicas, count=2, leader="h0"):
        self.replicas = {replica.id: replica for replica in replicas}
        self.endpoint = Endpoint()
        status = HostStatus(leader=leader, leads=leader == "h0", has_leader=True)
        self.hosts = Hosts(info(0), (), self.endpoint, Content(status, []))
        others = tuple(info(number) for number in range(1, count + 1))
        self.endpoint.KnownHosts(KnownHosts(others), None)
        self.leadership = types.SimpleNamespace(
            on_change=self._set_listener,
            leader=leader,
            leads=leader == "h0",
            has_recent_leader=True,
            next_leaders=lambda: ("h2", "h3", "h4"),
        )
        directory = types.SimpleNamespace(by_id=self.replicas)
        self.loads = SharedReplicaLoads(
            directory, self.hosts, self.leadership, self.endpoint
        )

    def _set_listener(self, listener):
        self.change_leader = listener

    def send_round(self):
        """Returns the loads sent in one round, by the name of the receiver."""
        self.endpoint.sent.clear()
        self.hosts.send_heartbeats()
        return {
            f"h{address[1]}": message
            for message, address in self.endpoint.sent
            if isinstance(message, ReplicaLoads)
        }

    def others_in_flight(self):
        return {replica.others_in_flight for replica in self.replicas.values()}

    def receive(self, message):
        self.endpoint.ReplicaLoads(decode(encode(message)), None)

    def receive_loads(self, name, number, loads, **fields):
        """Receives a report that fits in one datagram."""
        parts = tuple(ReplicaLoadPart(item, 0, load) for item, load in loads.items())
        options = {"is_total": False, "complete_since": number, **fields}
        boot = options.pop("boot", 1)
        self.receive(
            ReplicaLoads.of_parts(name, boot, number=number, parts=parts, **options)
        )


class SharedReplicaLoadsTest(testtools.TestCase):
    def run_check(self, check):
        async def main():
            check()

        run_in_virtual_time(main)

    def test_round_without_loads_leaves_those_of_the_last_one(self):
        """A host answers a join by a heartbeat without loads. The leader took it for
        "no requests", and unloaded adapters in use: 13 slots were blocked."""

        def check():
            replica = fake_replica("r1")
            host = LoadsOfOneHost([replica])
            key = AdapterKey("m0", "a1")
            host.receive_loads("h2", 1, {"r1": ReplicaLoad(2, 20_000, (key,))})
            self.assertEqual(2, replica.others_in_flight)
            self.assertEqual({key}, host.loads.adapters_in_use(replica))
            host.receive_loads("h2", 2, {})
            self.assertEqual(0, replica.others_in_flight)
            self.assertEqual(set(), host.loads.adapters_in_use(replica))

        self.run_check(check)

    def test_long_event_interval_leaves_the_message_readable(self):
        """An hour between two events is more than the field may hold."""

        def check():
            for leader in ("h0", "h1"):
                replica = fake_replica("r1", in_flight=1)
                replica.own_event_interval_s = replica.event_interval_s = 3600.0
                sent = LoadsOfOneHost([replica], leader=leader).send_round()["h2"]
                self.assertEqual(1, len(sent.parts))
                self.assertEqual(sent, decode(encode(sent)))

        self.run_check(check)

    def test_only_the_leader_gets_loads_among_many_hosts(self):
        """Loads could saturate the links between failure domains: 71 hosts sent each
        other 100 MB a day, mostly loads that only a leader reads."""

        def check():
            replicas = [fake_replica(f"r{number}", 3) for number in range(45)]
            sent = LoadsOfOneHost(replicas, 70, "h1").send_round()
            self.assertEqual({"h1"}, sent.keys())
            self.assertEqual(45, len(sent["h1"].parts))

        self.run_check(check)

    def test_few_hosts_send_loads_to_the_likely_next_leaders(self):
        """A new leader in a small system must not be without the loads, and it would
        cost as much as all heartbeats to send them to each host."""

        def check():
            replica = fake_replica("r1", 3)
            host = LoadsOfOneHost([replica], 12, "h1")
            self.assertEqual({"h1", "h2", "h3", "h4"}, host.send_round().keys())
            for name in ("h1", "h2"):
                host.receive_loads(name, 1, {"r1": ReplicaLoad(2, 0)})
            self.assertEqual(0, replica.others_in_flight)

        self.run_check(check)

    def test_few_hosts_send_loads_to_all_without_a_leader(self):
        """Any of them may be the next one."""

        def check():
            host = LoadsOfOneHost([fake_replica("r1", 3)], 12, "h1")
            host.leadership.has_recent_leader = False
            self.assertEqual(12, len(host.send_round()))

        self.run_check(check)

    def test_new_leader_starts_from_the_reports_of_reachable_hosts(self):
        """It would take all replicas for idle until the next round, and those of a
        report of an earlier term for busy."""

        async def check():
            replica = fake_replica("r1")
            host = LoadsOfOneHost([replica], 3, "h1")
            for name, load in (("h1", 1), ("h2", 2), ("h3", 4)):
                if name == "h3":
                    await anyio.sleep(2.0)
                    host.receive_loads("h1", 2, {}, is_total=True)
                host.receive_loads(name, 1, {"r1": ReplicaLoad(load, 0)})
            for known in host.hosts.by_name.values():
                known.heard_at = anyio.current_time()
            host.leadership.leader, host.leadership.leads = "h0", True
            host.change_leader()
            self.assertEqual(4, replica.others_in_flight)

        run_in_virtual_time(check)

    def test_sums_come_from_the_leader_only(self):
        """A leader that was replaced knows the loads of some hosts only."""

        def check():
            replica = fake_replica("r1")
            host = LoadsOfOneHost([replica], 3, "h1")
            host.receive_loads("h1", 1, {"r1": ReplicaLoad(5, 0)}, is_total=True)
            host.receive_loads("h2", 9, {"r1": ReplicaLoad(7, 0)}, is_total=True)
            host.receive_loads("h3", 9, {"r1": ReplicaLoad(8, 0)})
            self.assertEqual(5, replica.others_in_flight)

        self.run_check(check)

    def test_late_datagram_and_that_of_an_ended_process_are_ignored(self):
        """They would bring back loads that are gone."""

        def check():
            replica = fake_replica("r1")
            host = LoadsOfOneHost([replica])
            host.receive_loads("h2", 5, {"r1": ReplicaLoad(2, 0)})
            host.receive_loads("h2", 4, {"r1": ReplicaLoad(9, 0)})
            host.receive_loads("h2", 6, {"r1": ReplicaLoad(9, 0)}, boot=0)
            self.assertEqual(2, replica.others_in_flight)

        self.run_check(check)

    def test_lost_part_leaves_older_loads_in_place(self):
        """The leader would take replicas for idle whose loads were in it."""

        def check():
            for lost_round in range(12, 18):
                sender, receiver = self.hosts_with_long_report()
                for number in range(30):
                    message = sender.send_round()["h1"]
                    if number != lost_round:
                        receiver.receive(msgspec.structs.replace(message, sender="h1"))
                    if number > 4:
                        self.assertEqual({2}, receiver.others_in_flight())

        self.run_check(check)

    def test_ended_loads_of_a_long_report_are_dropped(self):
        """Replicas would count as busy for ever whose load a report no longer has."""

        def check():
            sender, receiver = self.hosts_with_long_report()
            for number in range(20):
                if number == 8:
                    for replica in list(sender.replicas.values())[:50]:
                        replica.in_flight = 0
                message = sender.send_round()["h1"]
                receiver.receive(msgspec.structs.replace(message, sender="h1"))
            loads = [item.others_in_flight for item in receiver.replicas.values()]
            self.assertEqual([0] * 50 + [2] * 50, loads)

        self.run_check(check)

    def hosts_with_long_report(self):
        """Returns a follower whose loads take three rounds, and a leader."""
        ids = [f"{'r' * 180}{number:03}" for number in range(100)]
        sender = LoadsOfOneHost([fake_replica(item, 2) for item in ids], leader="h1")
        return sender, LoadsOfOneHost([fake_replica(item) for item in ids])

    def test_all_loads_are_told_in_turns_within_the_bound(self):
        """Loads behind the bound of a round would never reach the leader, and those of
        replicas with many adapters would fit in no datagram."""

        def check():
            names = [f"{number:03}" + "\U0010ffff" * 197 for number in range(20)]
            keys = [AdapterKey(name, name) for name in names]
            replicas = [fake_replica(name, 20, keys) for name in names]
            sender = LoadsOfOneHost(replicas, 2, "h1")
            receiver = LoadsOfOneHost([fake_replica(name) for name in names])
            for _ in range(150):
                message = sender.send_round()["h1"]
                self.assertLess(len(encode(message)), MAX_ROUND_BYTES + 1024)
                receiver.receive(msgspec.structs.replace(message, sender="h1"))
            for replica in receiver.replicas.values():
                self.assertEqual(20, replica.others_in_flight)
                self.assertEqual(set(keys), receiver.loads.adapters_in_use(replica))

        self.run_check(check)

    def test_hosts_without_loads_send_few_messages(self):
        """The leader of many hosts would send each of them an empty one each round."""

        def check():
            replica = fake_replica("r1")
            host = LoadsOfOneHost([replica], 70)
            counts = [len(host.send_round()) for _ in range(4 * EMPTY_ROUND_INTERVAL)]
            self.assertLessEqual(sum(counts), 7 * 70)
            replica.load = replica.in_flight = 8
            self.assertEqual(70, len(host.send_round()))
            replica.load = replica.in_flight = 0
            self.assertEqual([70] * 3, [len(host.send_round()) for _ in range(3)])

        self.run_check(check)

    def test_loads_of_3900_replicas_silence_no_host(self):
        """Heartbeats with the loads of all replicas were longer than a datagram: all
        hosts lost each other and their leader."""

        async def check(system):
            members = list(system.members.values())
            ids = [f"{number:040}" for number in range(3900)]
            for member in members:
                member.replicas = {item: fake_replica(item, 1) for item in ids}
                SharedReplicaLoads(
                    types.SimpleNamespace(by_id=member.replicas),
                    member.hosts,
                    member.leadership,
                    member.endpoint,
                )
            (leader,) = system.leaders()
            for _ in range(8):
                await anyio.sleep(5.0)
                self.assertEqual([leader], system.leaders())
                for member in members:
                    self.assertEqual(leader.name, member.leadership.leader)
                    self.assertTrue(member.leadership.has_recent_leader)
            for replica in leader.replicas.values():
                self.assertEqual(len(members) - 1, replica.others_in_flight)

        run_system(check, 4)
