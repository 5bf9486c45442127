"""Tests that crowds of callers cannot fill the memory of a daemon, or stop it.

They start the real program and look only at what does not depend on the speed of the
machine: the process lives, its memory and its descriptors stay below a bound, and an
ordinary call of a service is answered while the crowd is there.
"""

import contextlib
import ssl

import anyio
import testtools

from tests.callers.daemon_process import (
    API_KEY,
    HELD_BODY,
    LARGE_BODY,
    OTHER_API_KEY,
    DaemonProcess,
)
from tests.platform.hostile_callers import (
    BODY_BYTES,
    PIECE_BYTES,
    PersistentCallers,
    ProcessUsage,
    chunk,
    pieces_of,
)
from tests.process_logs import log_folder

# A guard against a process that hangs, on a busy machine.
TEST_TIMEOUT_S = 240.0
MB = 1_000_000
# The setting of the process; the process itself uses some 60 MB.
MEMORY_MB = 152
MAX_FDS = 400
SETTLE_POLL_S = 0.1
LEAVING_CALLERS = 3000
REFUSED_STATUSES = frozenset({0, 503})


class DaemonCrowdTest(testtools.TestCase):
    def check_crowd(
        self,
        count,
        make_pieces,
        reads=True,
        address="callers",
        uses_tls=False,
        key=API_KEY,
    ):
        """Lets a crowd send ``make_pieces(daemon)``, and looks at the process.

        ``key`` is that of the ordinary caller.
        """

        async def main():
            with (
                log_folder(self.id()) as folder,
                anyio.fail_after(TEST_TIMEOUT_S),
            ):
                settings = {"process": {"memory_mb": MEMORY_MB}}
                async with DaemonProcess(
                    folder, MAX_FDS, uses_tls, **settings
                ) as daemon:
                    await self.check_daemon(
                        daemon, count, make_pieces(daemon), reads, address, key
                    )

        anyio.run(main)

    async def check_daemon(self, daemon, count, pieces, reads, address, key):
        usage = ProcessUsage(daemon.pid)
        crowd = PersistentCallers(daemon.addresses[address], count, pieces, reads)
        async with crowd:
            await usage.wait_idle_or(lambda: crowd.ended_count > 2 * count)
            self.assertEqual(200, await self.send_until_taken(daemon, key))
            self.assertTrue(daemon.is_running)
            self.assertLess(usage.peak_memory_bytes / MB, MEMORY_MB)
            self.assertLess(usage.descriptor_count, MAX_FDS)
        self.assertEqual(200, await self.send_until_taken(daemon, key))

    async def send_until_taken(self, daemon, key=API_KEY):
        """Returns the status of a call that is repeated when it is refused."""
        while (status := await daemon.send_lookup(key=key)) in REFUSED_STATUSES:  # noqa: ASYNC110
            await anyio.sleep(SETTLE_POLL_S)
        return status

    def test_bodies_that_stop_one_byte_short(self):
        """60 of them held 277 MB, and 200 held 946 MB."""
        self.check_crowd(
            60,
            lambda daemon: [
                daemon.head(f"Content-Length: {BODY_BYTES}") + b"x" * (BODY_BYTES - 1)
            ],
        )

    def test_many_bodies_in_pieces(self):
        def make_pieces(daemon):
            head = daemon.head(f"Content-Length: {BODY_BYTES}")
            return pieces_of(head + b"x" * (BODY_BYTES - 1))

        self.check_crowd(200, make_pieces)

    def test_large_chunks_that_stop_short(self):
        """No length tells beforehand how much such a body will hold."""
        count = BODY_BYTES // PIECE_BYTES - 1
        self.check_crowd(
            60,
            lambda daemon: [
                daemon.head("Transfer-Encoding: chunked"),
                *[chunk(b"x" * PIECE_BYTES)] * count,
            ],
        )

    def test_chunks_of_one_byte(self):
        content = chunk(b"x") * 200_000
        self.check_crowd(
            60,
            lambda daemon: [
                daemon.head("Transfer-Encoding: chunked"),
                *pieces_of(content),
            ],
        )

    def test_bodies_far_over_the_limit(self):
        """They are refused, whether their size is announced or not."""
        self.check_crowd(
            60,
            lambda daemon: [
                daemon.head("Transfer-Encoding: chunked"),
                *[chunk(b"x" * PIECE_BYTES)] * 200,
            ],
        )
        self.check_crowd(
            60,
            lambda daemon: [
                daemon.head(f"Content-Length: {10**20}"),
                *[b"x" * PIECE_BYTES] * 200,
            ],
        )

    def test_chunked_bodies_that_stop_after_a_byte(self):
        """The kernel refused further connections once the descriptors were used up."""
        self.check_crowd(
            500,
            lambda daemon: [daemon.head("Transfer-Encoding: chunked") + b"400\r\na"],
        )

    def test_connections_that_send_nothing(self):
        self.check_crowd(500, lambda daemon: [])

    def test_pipelined_requests(self):
        """Each that had arrived was kept with its own objects, some KB of them."""
        self.check_crowd(
            100,
            lambda daemon: pieces_of(
                daemon.head(path="/healthz", method="GET") * 8000, PIECE_BYTES
            ),
            reads=False,
        )

    def test_callers_that_leave_calls_of_a_slow_service(self):
        """Calls go on without their callers, who open others: there was no bound of
        the connections to services."""

        async def main():
            with (
                log_folder(self.id()) as folder,
                anyio.fail_after(TEST_TIMEOUT_S),
            ):
                async with DaemonProcess(folder, MAX_FDS) as daemon:
                    call = daemon.head(f"Content-Length: {len(HELD_BODY)}") + HELD_BODY
                    crowd = PersistentCallers(
                        daemon.addresses["callers"], 60, [call], stays=False
                    )
                    async with crowd:
                        await self.check_while_leaving(daemon, crowd)
                    status = await self.send_until_taken(daemon, OTHER_API_KEY)
                    self.assertEqual(200, status)

        anyio.run(main)

    async def check_while_leaving(self, daemon, crowd):
        """Looks at a daemon whose callers leave, after some thousand of them."""
        usage = ProcessUsage(daemon.pid)
        while crowd.ended_count < LEAVING_CALLERS:
            await anyio.sleep(SETTLE_POLL_S)
            self.assertLess(usage.descriptor_count, MAX_FDS)
        # The crowd uses up what the contract of its own customer allows.
        status = await self.send_until_taken(daemon, OTHER_API_KEY)
        self.assertEqual(200, status)
        self.assertTrue(daemon.is_running)
        self.assertLess(usage.peak_memory_bytes / MB, MEMORY_MB)

    def test_large_answers_that_stop_one_byte_short(self):
        """Each was bounded, but not all of them together."""
        self.check_crowd(
            100,
            lambda daemon: [
                daemon.head(f"Content-Length: {len(LARGE_BODY)}") + LARGE_BODY
            ],
            key=OTHER_API_KEY,
        )

    def test_operators_address(self):
        """Its connections have a bound of their own, and must not use up the others'."""
        self.check_crowd(
            500,
            lambda daemon: [b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n"],
            address="operators",
        )

    def test_connections_to_the_port_for_peers(self):
        """gRPC took any number of them, up to all descriptors of the process."""
        self.check_crowd(500, lambda daemon: [], address="peers")

    def test_handshakes_that_stop_half_way(self):
        """They were in no bound of connections, and each stayed open for a minute."""
        hello = _client_hello()
        for content in (hello[: len(hello) // 2], hello):
            self.check_crowd(500, lambda daemon, sent=content: [sent], uses_tls=True)


def _client_hello():
    """Returns the first bytes of a TLS handshake."""
    outgoing = ssl.MemoryBIO()
    context = ssl.create_default_context()
    connection = context.wrap_bio(ssl.MemoryBIO(), outgoing, server_hostname="a")
    with contextlib.suppress(ssl.SSLWantReadError):
        connection.do_handshake()
    return outgoing.read()
