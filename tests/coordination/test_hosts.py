"""Tests of the heartbeats between hosts."""

import testtools

from snipetrestle.coordination.hosts import Hosts
from snipetrestle.coordination.messages import (
    Beat,
    HostInfo,
    KnownHosts,
    ReplicaLoad,
    encode,
)
from snipetrestle_standins.clock import run_advanced

LOADS = {f"replica-{number}": ReplicaLoad(3, 40_000) for number in range(45)}


class Endpoint:
    """Stands in for DatagramEndpoint; ``sent`` has (message, address)."""

    def __init__(self):
        self.sent = []

    def register(self, message_type, handler):
        setattr(self, message_type.__name__, handler)

    def send(self, message, address):
        self.sent.append((message, address))


def info(number):
    return HostInfo(f"h{number}", 1, "127.0.0.1", number, "zone-1", 1.0)


def beats_of_one_round(count, urgent):
    """Returns the beats that a host sends to ``count`` others in one round, by name."""
    endpoint = Endpoint()
    hosts = Hosts(
        info(0),
        (),
        endpoint,
        lambda: ("h1", 7, 0.1, LOADS, {"": 12}),
        lambda: urgent,
    )
    others = tuple(info(number) for number in range(1, count + 1))
    endpoint.KnownHosts(KnownHosts(others), None)
    endpoint.sent.clear()
    hosts.send_beats()
    return {
        f"h{address[1]}": message
        for message, address in endpoint.sent
        if isinstance(message, Beat)
    }


class BeatTest(testtools.TestCase):
    def test_only_hosts_that_need_loads_get_them(self):
        """Guards against beats that fill the links between failure domains: 71 hosts
        sent each other 100 MB a day, most of it loads that only a leader reads."""

        async def check():
            beats = beats_of_one_round(70, urgent={"h1", "h2"})
            self.assertEqual(LOADS, beats["h1"].loads_by_replica)
            self.assertEqual(LOADS, beats["h2"].loads_by_replica)
            rest = [beat for name, beat in beats.items() if name not in ("h1", "h2")]
            self.assertTrue(rest)
            for beat in rest:
                self.assertLess(len(encode(beat)), 200)
                self.assertEqual(("h1", 7), (beat.leader, beat.term))

        run_advanced(check)

    def test_few_hosts_tell_all_of_them(self):
        """Guards against a new leader that knows no loads where beats are cheap."""

        async def check():
            beats = beats_of_one_round(6, urgent=set())
            self.assertEqual(6, len(beats))
            for beat in beats.values():
                self.assertEqual(LOADS, beat.loads_by_replica)

        run_advanced(check)
