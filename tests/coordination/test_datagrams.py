"""Tests of the socket for messages between hosts."""

import asyncio
import socket
from unittest import mock

import testtools
from loguru import logger

from snipetrestle.coordination.messaging import datagrams, messages
from snipetrestle.coordination.messaging.datagrams import DatagramEndpoint
from snipetrestle_standins.ports import free_port

INFO = messages.HostInfo("h1", 1, "127.0.0.1", 1, "zone-1", 1.0)


class DatagramEndpointTest(testtools.TestCase):
    def test_datagrams_that_the_system_refuses_are_logged_and_counted(self):
        """They were dropped without a trace, and hosts lost each other for no reason
        that an operator could see."""
        refused = []
        logged = []
        sink = logger.add(lambda line: logged.append(line.record["extra"]))
        self.addCleanup(logger.remove, sink)

        async def main():
            endpoint = DatagramEndpoint(on_refused=lambda: refused.append(1))
            await endpoint.open("127.0.0.1", 0)
            for _ in range(50):
                # The system refuses datagrams to port 0.
                endpoint.send(messages.Join(INFO), ("127.0.0.1", 0))
            endpoint.close()

        asyncio.run(main())
        self.assertEqual(50, len(refused))
        errors = [item["error"] for item in logged if item["event"] == "EV-1438"]
        self.assertEqual(["EINVAL"], errors)


class FloodTest(testtools.TestCase):
    """The followers of a leader sent so many lookups that it heard no majority of them,
    although they all sent heartbeats."""

    LOOKUPS = 60
    HEARTBEATS = 50

    async def receive(self, turns):
        """Returns the types handled in some turns of the event loop, in their order.

        The lookups were sent before the heartbeats.
        """
        handled = []
        endpoint = DatagramEndpoint()
        for message_type in (messages.Locate, messages.Heartbeat):
            endpoint.register(message_type, lambda message, _: handled.append(message))
        address = ("127.0.0.1", free_port())
        await endpoint.open(*address)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for number in range(self.LOOKUPS):
                lookup = messages.Locate("h1", number, "model", "adapter", 1, ())
                sender.sendto(messages.encode(lookup), address)
            heartbeat = messages.Heartbeat(INFO, "h2", 1, 0.1, False, {})
            for _ in range(self.HEARTBEATS):
                sender.sendto(messages.encode(heartbeat), address)
        for _ in range(turns):
            await asyncio.sleep(0)
        endpoint.close()
        return handled

    def test_heartbeats_are_handled_before_lookups_that_wait(self):
        handled = asyncio.run(self.receive(turns=2))
        heartbeats = [item for item in handled if isinstance(item, messages.Heartbeat)]
        self.assertEqual(self.HEARTBEATS, len(heartbeats))

    def test_all_lookups_are_handled_in_their_order(self):
        """Lookups must not starve either."""
        handled = asyncio.run(self.receive(turns=10))
        numbers = [item.number for item in handled if isinstance(item, messages.Locate)]
        self.assertEqual(list(range(self.LOOKUPS)), numbers)

    def test_oldest_lookups_are_dropped_beyond_the_bound(self):
        """Memory, and the age of the lookups that are answered, must stay bounded."""
        with mock.patch.object(datagrams, "MAX_DEFERRED", 20):
            handled = asyncio.run(self.receive(turns=10))
        numbers = [item.number for item in handled if isinstance(item, messages.Locate)]
        # The first one did not have to wait.
        self.assertEqual([0, *range(self.LOOKUPS - 20, self.LOOKUPS)], numbers)

    def test_oldest_lookups_are_dropped_beyond_the_bytes(self):
        """Long lookups took 61 MB of a host that may use 64."""
        lookup = messages.Locate("h1", self.LOOKUPS - 1, "model", "adapter", 1, ())
        size_bytes = len(messages.encode(lookup))
        with mock.patch.object(datagrams, "MAX_DEFERRED_BYTES", 20 * size_bytes):
            handled = asyncio.run(self.receive(turns=10))
        numbers = [item.number for item in handled if isinstance(item, messages.Locate)]
        self.assertEqual([0, *range(self.LOOKUPS - 20, self.LOOKUPS)], numbers)
