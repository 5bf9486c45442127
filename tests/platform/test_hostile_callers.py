"""Tests that callers cannot fill the memory of a gateway process, or stop it.

They start the real program and look only at what does not depend on the speed of the
machine: the process lives, its memory and its descriptors stay below a bound, and an
ordinary request is answered while the callers are still connected.
"""

import asyncio
import contextlib

import anyio
import testtools

from snipetrestle_standins import gateway_fleet
from snipetrestle_standins.gateway_fleet import (
    REGISTER_BACKEND,
    Caller,
    configuration,
    route,
)
from snipetrestle_standins.platform_replica import PlatformReplica
from snipetrestle_standins.platform_store import PlatformStore
from snipetrestle_standins.ports import free_port
from tests.platform import hostile_callers
from tests.platform.hostile_callers import BODY_BYTES, HostileCallers, ProcessUsage
from tests.process_logs import log_folder
from tests.soak.hosts import HostProcess

# A guard against a process that hangs, on a busy machine.
TEST_TIMEOUT_S = 240.0
ROUTE_TIMEOUT_MS = 200_000
# The platform's limit for the process; the process itself uses some 60 to 70 MB.
MEMORY_MB = 104
SMALLEST_HOST_MB = 152
MB = 1024 * 1024
# Descriptors that the process has open by itself, with room for its connections to
# replicas and hosts.
OWN_DESCRIPTORS = 64
# The process itself needs most of the memory, and a connection some KB.
MAX_CONNECTIONS_PER_MB = 8
# For the test of connections, so that it needs less than 1,000 of them.
FEW_MB = 84
LARGE_RESPONSE_BYTES = 1_500_000
HELD_PATH = "/lookup/held"
LARGE_PATH = "/lookup/large"


def _configuration():
    fields = {"timeout_ms": ROUTE_TIMEOUT_MS, "target_latency_ms": ROUTE_TIMEOUT_MS}
    return configuration(
        1,
        [
            route("entry", "non_idempotent", REGISTER_BACKEND, **fields),
            route("lookup", "idempotent", REGISTER_BACKEND, **fields),
        ],
    )


class SlowReplica(PlatformReplica):
    """A replica that never answers HELD_PATH, and at length LARGE_PATH."""

    async def _serve_request(self, request, writer):
        if request.target == HELD_PATH:
            await asyncio.Event().wait()
        await super()._serve_request(request, writer)

    def body_for(self, request):
        if request.target == LARGE_PATH:
            return b"x" * LARGE_RESPONSE_BYTES
        return super().body_for(request)


class Play:
    """A gateway process, its store and a replica, and callers that are hostile."""

    def __init__(self, folder, memory_mb=MEMORY_MB):
        self._store = PlatformStore()
        self.replica = SlowReplica("register-0", REGISTER_BACKEND)
        self._folder = folder
        self._memory_mb = memory_mb
        self.host = None

    @contextlib.asynccontextmanager
    async def running(self):
        """Runs the processes while the context is open."""
        async with contextlib.AsyncExitStack() as stack:
            await self._store.start()
            stack.push_async_callback(self._store.stop)
            await self.replica.start()
            stack.push_async_callback(self.replica.stop)
            self._store.put("op/config", _configuration())
            self._store.put(f"servers/{self.replica.id}", self.replica.entry())
            ports = {
                name: free_port() for name in ("front", "ready", "control", "peers")
            }
            self.host = HostProcess(
                0,
                self._folder,
                ports,
                [],
                ("127.0.0.1", self._store.port),
                further_settings=f"limits.memory_mb={self._memory_mb}\n",
            )
            await self.host.start()
            stack.push_async_callback(self.host.kill)
            await self.host.wait_ready()
            yield ProcessUsage(self.host.pid)

    async def send_request(self, body=b""):
        """Returns the Response to one request of an ordinary caller."""
        async with Caller(self.host.callers_address) as caller:
            return await caller.send_request("/entry/ordinary", body=body)


class HostileCallersTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.patch(gateway_fleet, "RESPONSE_TIMEOUT_S", TEST_TIMEOUT_S)

    def check_callers(self, count, pieces, reads=True, memory_mb=MEMORY_MB):
        """Lets callers send, and looks at the process and at one ordinary request."""

        async def main():
            with (
                log_folder(self.id()) as folder,
                anyio.fail_after(TEST_TIMEOUT_S),
            ):
                play = Play(folder, memory_mb)
                async with play.running() as usage:
                    callers = HostileCallers(
                        play.host.callers_address, count, pieces, reads
                    )
                    callers.start()
                    try:
                        await usage.wait_idle()
                        answer = await play.send_request()
                        self.assert_bounded(play, usage, memory_mb)
                    finally:
                        await callers.stop()
                    self.assertEqual(200, answer.status)
                    self.assertEqual(200, (await play.send_request()).status)

        anyio.run(main)

    def assert_bounded(self, play, usage, memory_mb):
        self.assertTrue(play.host.is_running, play.host.exit_code)
        self.assertLess(usage.peak_memory_bytes / MB, memory_mb)
        max_descriptors = OWN_DESCRIPTORS + memory_mb * MAX_CONNECTIONS_PER_MB
        self.assertLess(usage.descriptor_count, max_descriptors)

    def test_bodies_that_stop_one_byte_short(self):
        """60 of them held 234 MB."""
        self.check_callers(30, hostile_callers.whole_body())

    def test_bodies_in_pieces_that_stop_one_byte_short(self):
        """The pieces were kept until the end of the body, or for 10 s."""
        self.check_callers(30, hostile_callers.body_in_pieces())

    def test_large_chunks_that_stop_short(self):
        """No length tells beforehand how much such a body will hold."""
        self.check_callers(30, hostile_callers.large_chunks())

    def test_chunks_of_one_byte(self):
        """Each chunk took a slot of a list, and all chunks that had arrived were parsed
        in one turn of the event loop."""
        self.check_callers(60, hostile_callers.small_chunks(1))

    def test_chunks_of_three_bytes(self):
        """Each chunk was an object of its own, many times its size."""
        self.check_callers(20, hostile_callers.small_chunks(3))

    def test_heads_of_short_lines(self):
        """A line of four bytes takes some 200 in memory."""
        self.check_callers(200, hostile_callers.short_lines(b"a:\r\n"))

    def test_heads_of_odd_lines(self):
        """Lines without a value, with long white space, or that go on."""
        for line in (
            b"a:\r\n",
            b"b: \t \t\r\n",
            b"-: '\r\n",
            b"c:\xff\r\n",
            b"~:,\r\n",
        ):
            self.check_callers(120, hostile_callers.whole_heads(line))

    def test_pipelined_requests(self):
        """All requests that arrived together were parsed and kept, 256 KB of them."""
        self.check_callers(100, hostile_callers.pipelined(HELD_PATH), reads=False)

    def test_unread_answers(self):
        """Each caller that reads nothing holds an answer."""
        self.check_callers(60, hostile_callers.unread_answers(LARGE_PATH), reads=False)

    def test_many_connections(self):
        """Connections that send nothing hold memory and descriptors as well."""
        self.check_callers(900, [], memory_mb=FEW_MB)


class LargestRequestTest(testtools.TestCase):
    def test_largest_body_is_served_on_the_smallest_host(self):
        """The bound must leave room for any single request within the limits."""

        async def main():
            with (
                log_folder(self.id()) as folder,
                anyio.fail_after(TEST_TIMEOUT_S),
            ):
                play = Play(folder, SMALLEST_HOST_MB)
                async with play.running() as usage:
                    for _ in range(3):
                        answer = await play.send_request(b"x" * BODY_BYTES)
                        self.assertEqual(200, answer.status)
                    self.assertLess(usage.peak_memory_bytes / MB, SMALLEST_HOST_MB)

        anyio.run(main)
