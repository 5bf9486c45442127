"""Tests of the heartbeats between hosts."""

import testtools

from snipetrestle.coordination.hosts import Hosts
from snipetrestle.coordination.messages import (
    Heartbeat,
    HostInfo,
    KnownHosts,
    ReplicaLoad,
    encode,
)
from snipetrestle_standins.clock import run_in_virtual_time

LOADS = {f"replica-{number}": ReplicaLoad(3, 40_000) for number in range(45)}


class Endpoint:
    """Fake DatagramEndpoint; ``sent`` contains (message, address)."""

    def __init__(self):
        self.sent = []

    def register(self, message_type, handler):
        setattr(self, message_type.__name__, handler)

    def send(self, message, address):
        self.sent.append((message, address))


def info(number):
    return HostInfo(f"h{number}", 1, "127.0.0.1", number, "zone-1", 1.0)


def heartbeats_of_one_round(count, full_names):
    """Returns the heartbeats of one host to ``count`` others in one round, by name.

    The hosts in ``full_names`` are to get the loads.
    """
    endpoint = Endpoint()
    hosts = Hosts(
        info(0),
        (),
        endpoint,
        lambda: ("h1", 7, 0.1, LOADS, {"": 12}),
        lambda: full_names,
    )
    others = tuple(info(number) for number in range(1, count + 1))
    endpoint.KnownHosts(KnownHosts(others), None)
    endpoint.sent.clear()
    hosts.send_heartbeats()
    return {
        f"h{address[1]}": message
        for message, address in endpoint.sent
        if isinstance(message, Heartbeat)
    }


class HeartbeatTest(testtools.TestCase):
    def test_only_hosts_that_need_loads_get_them(self):
        """Heartbeats could saturate the links between failure domains: 71 hosts sent
        each other 100 MB a day, mostly loads that only a leader reads."""

        async def check():
            heartbeats = heartbeats_of_one_round(70, full_names={"h1", "h2"})
            self.assertEqual(LOADS, heartbeats["h1"].loads_by_replica)
            self.assertEqual(LOADS, heartbeats["h2"].loads_by_replica)
            rest = [
                heartbeat
                for name, heartbeat in heartbeats.items()
                if name not in ("h1", "h2")
            ]
            self.assertTrue(rest)
            for heartbeat in rest:
                self.assertLess(len(encode(heartbeat)), 200)
                self.assertEqual(("h1", 7), (heartbeat.leader, heartbeat.term))

        run_in_virtual_time(check)

    def test_few_hosts_send_loads_to_all(self):
        """A new leader in a small system must not be without the loads."""

        async def check():
            heartbeats = heartbeats_of_one_round(6, full_names=set())
            self.assertEqual(6, len(heartbeats))
            for heartbeat in heartbeats.values():
                self.assertEqual(LOADS, heartbeat.loads_by_replica)

        run_in_virtual_time(check)
