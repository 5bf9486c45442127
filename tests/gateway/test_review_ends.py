"""Tests of ends of connections and of waits that callers or transfers prolong."""

import asyncio

import testtools

from snipetrestle.codes import ResultCode
from snipetrestle.gateway import forwarding
from snipetrestle.gateway.callers import http_listener
from snipetrestle.gateway.callers.http_listener import HttpServer
from snipetrestle.gateway.configuration import CallerLimits
from snipetrestle.gateway.publication import snapshots
from snipetrestle.gateway.transfers import SETTLE_S, Transfers
from tests.gateway.running import run_connection, run_fleet

GET = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
FIRST_RESPONSE_S = 0.5
LAST_SENT_AFTER_S = 0.4
MAX_BUSY_S = 0.2


class PipelinedArrivalTest(testtools.TestCase):
    def test_pipelined_request_does_not_begin_when_an_earlier_one_arrived(self):
        """The deadline of a request ran from the arrival of another one before it."""
        begun_at = []

        async def handle(request, connection):
            begun_at.append(request.begun_at)
            if len(begun_at) == 1:
                await asyncio.sleep(FIRST_RESPONSE_S)
            connection.send_response(200, [], b"")

        async def check(reader, writer):
            writer.write(GET)
            await asyncio.sleep(0.05)
            writer.write(GET)
            await asyncio.sleep(LAST_SENT_AFTER_S)
            writer.write(GET)
            for _ in range(3):
                await reader.readuntil(b"\r\n\r\n")

        run_connection(handle, check)
        self.assertGreater(begun_at[2] - begun_at[1], 0.9 * LAST_SENT_AFTER_S)


class TransferChainTest(testtools.TestCase):
    def test_transfers_in_close_succession_do_not_put_off_an_end_for_ever(self):
        """Each short gap between transfers began the time for which they may put off
        the end of connections anew."""

        async def run_transfers(transfers):
            while True:
                with transfers.in_progress():
                    await asyncio.sleep(0.05)
                await asyncio.sleep(SETTLE_S / 4)

        async def check():
            transfers = Transfers()
            chain = asyncio.create_task(run_transfers(transfers))
            await asyncio.sleep(0)
            try:
                async with asyncio.timeout(5 * MAX_BUSY_S):
                    await transfers.wait_until_quiet(MAX_BUSY_S)
            finally:
                chain.cancel()

        asyncio.run(check())


class LingerAfterEndTurnTest(testtools.TestCase):
    def test_wait_for_the_turn_to_end_does_not_cut_short_the_linger(self):
        """The cancelled turn woke the connection while it lingered after its refusal."""

        async def check():
            async def handle(request, connection):
                connection.send_result_code(ResultCode.NOT_READY, 0.3)

            transfers = Transfers()
            server = HttpServer(handle, CallerLimits, transfers=transfers)
            await server.open(("127.0.0.1", 0))
            address = server._server.sockets[0].getsockname()
            reader, writer = await asyncio.open_connection(*address)
            writer.write(GET)
            await reader.readuntil(b"\r\n\r\n")
            with transfers.in_progress():
                server.start_draining()
                server.close_idle_connections()
                await asyncio.sleep(0.6)
                self.assertTrue(server.is_engaged)
                writer.write(GET)
                await reader.readuntil(b"\r\n\r\n")
                await asyncio.sleep(0.1)
                self.assertEqual(1, len(server.connections))
            writer.close()
            server.close()

        asyncio.run(check())


class StreamEndInStopTest(testtools.TestCase):
    def test_request_right_after_a_stream_is_answered_in_a_stop(self):
        """A connection that had been promised to stay open ended with its stream."""

        async def check():
            may_end = asyncio.Event()

            async def handle(request, connection):
                if not may_end.is_set():
                    connection.start_stream(200, [])
                    await may_end.wait()
                    connection.end_stream()
                    return
                connection.send_result_code(ResultCode.NOT_READY, 0.3)

            server = HttpServer(handle, CallerLimits)
            await server.open(("127.0.0.1", 0))
            address = server._server.sockets[0].getsockname()
            reader, writer = await asyncio.open_connection(*address)
            writer.write(GET)
            await reader.readuntil(b"\r\n\r\n")
            server.start_draining()
            may_end.set()
            await reader.readuntil(b"0\r\n\r\n")
            writer.write(GET)
            async with asyncio.timeout(2):
                answer = await reader.read()
            self.assertIn(b" 503 ", answer)
            writer.close()
            server.close()

        asyncio.run(check())


class RefusalBesideFirstEventTest(testtools.TestCase):
    def test_deadline_beside_the_first_event_does_not_cut_off_the_stream(self):
        """A stream was begun and aborted where a refusal could still be sent."""

        async def check(fleet):
            forwarder = fleet.live[0].forwarder

            class ExpiringSplitter(forwarding.EventSplitter):
                def feed(self, data):
                    for scope in forwarder._scopes:
                        scope.cancel()
                    return super().feed(data)

            self.patch(forwarding, "EventSplitter", ExpiringSplitter)
            answer = await fleet.send_request("/night/a", adapter="")
            self.assertEqual((504, True), (answer.status, answer.complete))

        run_fleet(check)


class TransferBeforeStopTest(testtools.TestCase):
    def test_connection_that_waited_before_a_stop_is_ended_in_its_time(self):
        """A wait for a transfer kept the longer limit that holds outside a stop."""

        async def check():
            transfers = Transfers()
            server = HttpServer(None, CallerLimits, transfers=transfers)
            with transfers.in_progress():
                turn = asyncio.create_task(server.wait_for_turn_to_end())
                await asyncio.sleep(0.05)
                server.close_idle_connections()
                await asyncio.wait([turn], timeout=3 * MAX_BUSY_S)
                self.assertTrue(turn.done())

        self.patch(http_listener, "MAX_BUSY_IN_STOP_S", MAX_BUSY_S)
        asyncio.run(check())


class SlowSnapshotTest(testtools.TestCase):
    def test_snapshot_that_its_host_still_reads_counts_as_a_transfer(self):
        """The end of a snapshot on a slow link stopped counting after a second."""
        unsent_bytes = [200_000 - 10_000 * count for count in range(20)] + [0]

        class Writer:
            transport = None

            def write(self, data):
                pass

            async def drain(self):
                pass

        def count_unsent_bytes(transport):
            return unsent_bytes.pop(0)

        async def check():
            await snapshots._write_chunks(Writer(), b"x")

        self.patch(snapshots, "count_unsent_bytes", count_unsent_bytes)
        self.patch(snapshots, "PEER_SILENCE_TIMEOUT_S", 0.1)
        asyncio.run(check())
        self.assertEqual([], unsent_bytes)
