"""Tests of the socket for messages between hosts."""

import asyncio

import testtools
from loguru import logger

from snipetrestle.coordination import messages
from snipetrestle.coordination.datagrams import DatagramEndpoint

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
