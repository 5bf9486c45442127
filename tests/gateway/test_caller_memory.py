"""Tests of the bound on the memory of all callers: whom it refuses, and what it counts."""

import asyncio
import gc
import re
import weakref

import anyio
import testtools

from snipetrestle import log_lines
from snipetrestle.caller_memory import (
    BODY_COPIES,
    CHECK_INTERVAL_S,
    CONNECTION_BYTES,
    MAX_CONNECTIONS_EXCESS,
    MIN_STAY_S,
    TARGET_SHARE,
    CallerMemory,
    ConnectionState,
)
from snipetrestle.codes import ResultCode
from snipetrestle.events import Event
from snipetrestle.gateway.callers import http_server
from snipetrestle.gateway.callers.http_listener import HttpServer
from snipetrestle.gateway.configuration import CallerLimits
from snipetrestle.gateway.settings import DEFAULT_MEMORY_MB
from snipetrestle.process_limits import MB, ProcessLimits
from snipetrestle_standins.gateway_fleet import Caller
from tests.gateway.log_recording import LogRecordingTest
from tests.gateway.running import TEST_TIMEOUT_S, run_fleet
from tests.systems import with_own_system, with_system
from tests.waiting import wait_until

LIMITS = CallerLimits(max_body_bytes=100_000)
NO_LIMITS = CallerLimits(max_body_bytes=0)
REQUEST = b"POST /a HTTP/1.1\r\nHost: h\r\n"
# As little as a bound may be: that of one request of the largest size.
LEAST_MB = 1.0


class FakeConnection:
    """A connection that holds what a test says, and tells what is asked of it."""

    def __init__(self, memory, unfinished=0, unread=0, other=0, since=0.0):
        self._memory = memory
        self.unfinished_bytes = unfinished
        self.unread_bytes = unread
        self._other_bytes = other
        self.unfinished_since = self.unread_since = since
        self.received_at = self.waiting_since = since
        self._held_bytes = 0
        self.is_idle = True
        self.ended = []

    def report_held(self):
        old_bytes = self._held_bytes
        self._held_bytes = self.unfinished_bytes + self.unread_bytes + self._other_bytes
        self._memory.resize(old_bytes, self._held_bytes)

    def refuse_for_memory(self):
        self.ended.append("refused")
        self.unfinished_bytes = 0
        self.report_held()

    def end_unread(self):
        self.ended.append("unread")
        self.unread_bytes = 0
        self.report_held()

    @property
    def state(self):
        if not self.is_idle:
            return ConnectionState.BUSY
        if self.ended:
            return ConnectionState.ENDING
        if self.unfinished_bytes:
            return ConnectionState.ARRIVING
        return ConnectionState.IDLE

    def end_excess(self, is_urgent):
        kind = "arriving" if self.state is ConnectionState.ARRIVING else "idle"
        self.ended.append(f"{kind} at once" if is_urgent else kind)

    def end_unserved(self):
        self.ended.append("unserved")


class DecisionTest(testtools.TestCase):
    """The bound is 1 MB here."""

    def setUp(self):
        super().setUp()
        self.shed = []

    def run_with_memory(self, function):
        async def main():
            memory = CallerMemory(
                ProcessLimits(0.001), lambda: NO_LIMITS, self.shed.append
            )
            self.assertEqual(MB, memory.bound_bytes)
            function(memory)

        asyncio.run(main())

    def add(self, memory, *arguments, **options):
        connection = FakeConnection(memory, *arguments, **options)
        memory.add(connection)
        connection.report_held()
        return connection

    def test_largest_unfinished_requests_are_refused_first(self):
        """A caller with an ordinary request must not pay for one that fills memory."""

        def check(memory):
            small = self.add(memory, 1000)
            large = self.add(memory, 600_000)
            middle = self.add(memory, 250_000)
            self.assertEqual([], self.shed)
            last = self.add(memory, 300_000)
            self.assertEqual(["refused"], large.ended)
            for other in (small, middle, last):
                self.assertEqual([], other.ended)
            self.assertEqual([1], [item.unfinished_requests for item in self.shed])
            self.assertLessEqual(memory.held_bytes, TARGET_SHARE * MB)

        self.run_with_memory(check)

    def test_slowest_of_equal_requests_is_refused_first(self):
        """A caller that has stopped holds as much as one that is about to end."""

        def check(memory):
            now = asyncio.get_running_loop().time()
            fast = self.add(memory, 260_000, since=now)
            stopped = self.add(memory, 261_000, since=now - 8.0)
            slow = self.add(memory, 262_000, since=now - 2.0)
            self.add(memory, 256_000, since=now)
            self.assertEqual(["refused"], stopped.ended)
            self.assertEqual([[], []], [fast.ended, slow.ended])

        self.run_with_memory(check)

    def test_complete_requests_are_never_refused(self):
        """They may run or have run."""

        def check(memory):
            complete = [self.add(memory, 0, other=400_000) for _ in range(4)]
            unfinished = self.add(memory, 100)
            self.add(memory, 0, other=400_000)
            self.assertEqual([[]] * 4, [item.ended for item in complete])
            self.assertEqual(["refused"], unfinished.ended)
            self.assertTrue(memory.is_full)

        self.run_with_memory(check)

    def test_unread_responses_are_ended_last(self):
        """Their requests have run, so an unfinished request goes first."""

        def check(memory):
            unread = self.add(memory, 0, 400_000)
            unfinished = self.add(memory, 300_000)
            self.add(memory, 0, other=400_000)
            self.assertEqual([[], ["refused"]], [unread.ended, unfinished.ended])
            self.add(memory, 0, other=300_000)
            self.assertEqual(["unread"], unread.ended)
            self.assertEqual([1], [item.unread_responses for item in self.shed[1:]])

        self.run_with_memory(check)

    def test_room_is_not_looked_for_at_each_byte(self):
        """With requests in progress alone above the bound, a look at all connections
        for each piece of data would take more time than the requests."""

        def check(memory):
            looks = []
            busy = [self.add(memory, 0, other=300_000) for _ in range(4)]
            for connection in busy:
                self.patch(connection, "report_held", lambda: looks.append(1))
            for _ in range(100):
                memory.resize(0, 100)
            self.assertEqual([], looks)
            memory.resize(0, int((1 - TARGET_SHARE) * MB))
            self.assertEqual([1] * 4, looks)

        self.run_with_memory(check)

    def test_bound_holds_again_after_it_was_exceeded_in_vain(self):
        """Unfinished requests could later hold as much as complete ones had held."""

        def check(memory):
            complete = self.add(memory, other=2_000_000)
            complete._other_bytes = 0
            complete.report_held()
            unfinished = [self.add(memory, 300_000) for _ in range(6)]
            self.assertLessEqual(memory.held_bytes, MB)
            self.assertIn(["refused"], [item.ended for item in unfinished])

        self.run_with_memory(check)

    def test_sent_responses_make_room_for_new_requests(self):
        """Connections do not report that a response was sent: new requests were refused
        until the next event on its connection."""

        def check(memory):
            sent = self.add(memory, 0, other=600_000)
            self.add(memory, 0, other=600_000)
            self.assertTrue(memory.refuses_new())
            sent._other_bytes = 0
            self.assertTrue(memory.refuses_new())
            memory._checked_at -= CHECK_INTERVAL_S
            self.assertFalse(memory.refuses_new())

        self.run_with_memory(check)

    def test_longest_idle_connection_makes_room_for_a_new_one(self):
        """Idle connections must not keep ordinary callers out."""

        def check(memory):
            limit = memory.max_connections
            self.assertGreater(limit, 10)
            connections = [self.add(memory, since=number) for number in range(limit)]
            connections[0].is_idle = False
            self.add(memory, since=limit)
            self.assertEqual([[], ["idle"]], [item.ended for item in connections[:2]])
            for _ in range(int((MAX_CONNECTIONS_EXCESS - 1) * limit)):
                self.add(memory, since=limit)
            self.assertEqual(["idle", "idle at once"], connections[1].ended)
            self.assertEqual([], connections[0].ended)

        self.run_with_memory(check)

    def test_new_connection_is_ended_if_none_is_idle(self):
        """The number of connections must be bounded in any case."""

        def check(memory):
            limit = int(MAX_CONNECTIONS_EXCESS * memory.max_connections)
            for _ in range(limit):
                self.add(memory).is_idle = False
            self.assertEqual(["unserved"], self.add(memory).ended)

        self.run_with_memory(check)

    def test_connections_are_bounded_by_descriptors(self):
        """Unfinished requests held all descriptors, at a fifth of the memory."""
        few, many = (
            CallerMemory(ProcessLimits(DEFAULT_MEMORY_MB, sockets), lambda: NO_LIMITS)
            for sockets in (100, 1335)
        )
        self.assertEqual(27, few.max_connections)
        self.assertEqual(582, many.max_connections)

    def add_more_than_allowed(self, memory, now, states_and_ages):
        """Adds connections of a state and age, and new ones until one is too much."""
        connections = [
            self.add(memory, unfinished, since=now - age_s)
            for unfinished, age_s in states_and_ages
        ]
        for _ in range(memory.max_connections + 1 - len(connections)):
            self.add(memory, since=now)
        return [item.ended for item in connections]

    def test_requests_that_have_stopped_arriving_are_ended_first(self):
        """Idle connections of ordinary callers must not make room for a crowd."""

        def check(memory):
            now = asyncio.get_running_loop().time()
            ended = self.add_more_than_allowed(
                memory, now, [(0, 9.0), (10, 0.5), (10, 1.5), (10, 0.0)]
            )
            self.assertEqual([[], [], ["arriving"], []], ended)
            self.assertEqual(1, self.shed[0].arriving_requests)

        self.run_with_memory(check)

    def test_idle_connections_are_ended_before_requests_that_go_on_arriving(self):
        """They have no request that would be refused."""

        def check(memory):
            now = asyncio.get_running_loop().time()
            ended = self.add_more_than_allowed(
                memory, now, [(10, 0.5), (0, 0.3), (10, 0.9)]
            )
            self.assertEqual([[], ["idle"], []], ended)

        self.run_with_memory(check)

    def test_connections_that_were_just_opened_are_not_ended_for_others(self):
        """Otherwise a crowd that opens again at once ends each ordinary connection
        before its request can have arrived."""

        def check(memory):
            now = asyncio.get_running_loop().time()
            self.add_more_than_allowed(memory, now, [])
            self.assertEqual([], self.shed)

        self.run_with_memory(check)

    def test_new_connections_wait_until_others_may_be_ended(self):
        """More were taken than could be ended, up to the last descriptor."""

        async def main():
            memory = CallerMemory(ProcessLimits(0.001), lambda: NO_LIMITS)
            now = asyncio.get_running_loop().time()
            limit = int(MAX_CONNECTIONS_EXCESS * memory.max_connections) + 1
            connections = [self.add(memory, 10, since=now) for _ in range(limit)]
            wait = asyncio.create_task(memory.wait_for_room(lambda: 0))
            await asyncio.sleep(MIN_STAY_S / 2)
            self.assertFalse(wait.done())
            await wait_until(lambda: any(item.ended for item in connections))
            for connection in connections:
                if connection.ended:
                    memory.discard(connection)
            await wait
            for connection in connections:
                connection.is_idle = False
            # A new connection is ended then, as no other can be.
            await memory.wait_for_room(lambda: limit)

        asyncio.run(main())

    def test_connection_for_which_there_is_room_is_not_ended_at_once(self):
        """Where nine eighths of the bound were no whole number, one connection more was
        taken, and it or another one was aborted without regard for its age."""

        async def main():
            # Too young to be ended for others, however slow the machine is.
            since = asyncio.get_running_loop().time() + 60.0
            for max_sockets in range(100, 120):
                memory = CallerMemory(
                    ProcessLimits(DEFAULT_MEMORY_MB, max_sockets), lambda: NO_LIMITS
                )
                connections = []
                while self.has_room(memory):
                    connections.append(self.add(memory, 10, since=since))
                self.assertGreater(len(connections), memory.max_connections)
                self.assertEqual([], [item for item in connections if item.ended])

        asyncio.run(main())

    def has_room(self, memory):
        """Whether another connection may be opened without a wait."""
        wait = memory.wait_for_room(lambda: 0)
        try:
            wait.send(None)
        except StopIteration:
            return True
        wait.close()
        return False

    def test_bound_leaves_room_for_the_largest_request(self):
        """A host with little memory must serve it all the same."""
        for memory_mb in (1.0, 80.0, DEFAULT_MEMORY_MB, 1000.0):
            memory = CallerMemory(ProcessLimits(memory_mb), CallerLimits)
            body_bytes = CallerLimits().max_body_bytes
            self.assertGreater(memory.bound_bytes, BODY_COPIES * body_bytes)
        self.assertGreater(memory.bound_bytes, 600 * MB)
        memory.set_process_limits(ProcessLimits(DEFAULT_MEMORY_MB))
        self.assertLess(memory.bound_bytes, DEFAULT_MEMORY_MB * MB / 2)


class Served:
    """A server whose handler waits until the test lets it go on."""

    def __init__(self):
        self.memory = CallerMemory(ProcessLimits(LEAST_MB), lambda: LIMITS)
        self.server = HttpServer(self._handle, lambda: LIMITS, memory=self.memory)
        self.requests = []
        self.go_on = asyncio.Event()
        self.go_on.set()
        self.response = b"done"

    async def _handle(self, request, connection):
        self.requests.append((request.method, request.target, len(request.body)))
        await self.go_on.wait()
        connection.send_response(200, [], self.response)

    async def open(self):
        await self.server.open(("127.0.0.1", 0))
        return self.server._server.sockets[0].getsockname()


class ConnectionTest(testtools.TestCase):
    """Connections of a server whose bound is that of few large requests."""

    def run_served(self, function):
        async def main():
            served = Served()
            address = await served.open()
            try:
                with anyio.fail_after(TEST_TIMEOUT_S):
                    async with Caller(address) as caller:
                        await function(served, caller)
                    await wait_until(lambda: not served.server.connections)
            finally:
                served.go_on.set()
                served.server.close()

        asyncio.run(main())

    def fill(self, served):
        """Makes the bound exceeded by what is in progress."""
        served.memory.resize(0, served.memory.bound_bytes + 1)

    @with_own_system("run_served")
    async def test_refused_request_has_not_run(self, served, caller):
        """A refusal must tell so, and end the connection with what follows on it."""
        caller.writer.write(REQUEST + b"Content-Length: 9\r\n\r\nabc")
        await wait_until(lambda: served.memory.held_bytes > CONNECTION_BYTES)
        self.fill(served)
        answer = await caller.read_response()
        self.assertEqual(503, answer.status)
        self.assertEqual(str(ResultCode.QUEUE_FULL).encode(), answer.body)
        self.assertEqual("close", answer.headers["connection"])
        self.assertEqual("1", answer.headers["retry-after"])
        caller.writer.write(b"defghi" + REQUEST + b"Content-Length: 0\r\n\r\n")
        self.assertEqual(b"", await caller.reader.read())
        self.assertEqual([], served.requests)

    @with_own_system("run_served")
    async def test_new_request_is_refused_while_all_is_in_use(self, served, caller):
        """Complete requests are not refused, so no new one may begin."""
        self.fill(served)
        caller.writer.write(b"HEAD /a HTTP/1.1\r\nHost: h\r\n\r\n")
        answer = await caller.read_response(has_body=False)
        self.assertEqual(503, answer.status)
        # A body in response to HEAD would be taken for the next answer.
        self.assertEqual(b"", await caller.reader.read())
        self.assertEqual([], served.requests)

    @with_own_system("run_served")
    async def test_request_in_progress_is_answered_before_the_refusal(
        self, served, caller
    ):
        """Only what follows it on its connection may be refused."""
        served.go_on.clear()
        caller.writer.write(REQUEST + b"Content-Length: 0\r\n\r\n")
        await wait_until(lambda: served.requests)
        caller.writer.write(REQUEST + b"Content-Length: 90000\r\n\r\n" + b"x" * 9)
        (connection,) = served.server.connections
        await wait_until(lambda: connection.unfinished_bytes)
        self.fill(served)
        self.assertEqual(0, connection.unfinished_bytes)
        served.go_on.set()
        answer = await caller.read_response()
        self.assertEqual((200, b"done"), (answer.status, answer.body))
        answer = await caller.read_response()
        self.assertEqual((503, "close"), (answer.status, answer.headers["connection"]))
        self.assertEqual(1, len(served.requests))

    @with_own_system("run_served")
    async def test_refused_pipelined_head_request_gets_no_body(self, served, caller):
        """Its method is known only from bytes that have not been parsed."""
        served.go_on.clear()
        caller.writer.write(REQUEST + b"Content-Length: 0\r\n\r\n")
        await wait_until(lambda: served.requests)
        caller.writer.write(b"\r\nHEAD /a HTTP/1.1\r\nHost: h\r\n")
        (connection,) = served.server.connections
        await wait_until(lambda: connection.unfinished_bytes)
        self.fill(served)
        served.go_on.set()
        self.assertEqual(200, (await caller.read_response()).status)
        self.assertEqual(503, (await caller.read_response(has_body=False)).status)
        self.assertEqual(b"", await caller.reader.read())

    def test_request_that_came_too_slowly_holds_nothing(self):
        """Its body was kept while the connection waited for its caller's end."""
        self.patch(http_server, "MAX_BODY_PAUSE_S", 0.05)
        held = []

        async def check(served, caller):
            await wait_until(lambda: served.server.connections)
            (connection,) = served.server.connections
            send = connection.send_result_code

            def send_and_look(*arguments):
                held.append(connection.unfinished_bytes)
                send(*arguments)

            self.patch(connection, "send_result_code", send_and_look)
            caller.writer.write(
                REQUEST + b"Content-Length: 90000\r\n\r\n" + b"x" * 80_000
            )
            self.assertEqual(408, (await caller.read_response()).status)
            self.assertEqual([0], held)

        self.run_served(check)

    @with_own_system("run_served")
    async def test_objects_count_and_not_only_their_text(self, served, caller):
        """Lines of four bytes take forty times as much, and so do trickled bytes."""
        caller.writer.write(REQUEST + b"a:\r\n" * 2000)
        await wait_until(lambda: served.memory.held_bytes > 2000 * 150)
        caller.writer.write(b"\r\n")
        self.assertEqual(200, (await caller.read_response()).status)

    @with_own_system("run_served")
    async def test_ended_requests_and_connections_hold_nothing(self, served, caller):
        """What is not given back would lower the bound for ever."""
        for size in (0, 10, 100_000):
            request = REQUEST + b"Content-Length: %d\r\n\r\n" % size
            caller.writer.write(request + b"x" * size)
            self.assertEqual(200, (await caller.read_response()).status)
            await wait_until(lambda: served.memory.held_bytes == CONNECTION_BYTES)
        caller.writer.write(REQUEST + b"Transfer-Encoding: chunked\r\n\r\n3\r\nab")
        await wait_until(lambda: served.memory.held_bytes > CONNECTION_BYTES)
        caller.writer.transport.abort()
        await wait_until(lambda: not served.memory.held_bytes)

    @with_own_system("run_served")
    async def test_request_without_its_caller_counts_until_its_end(
        self, served, caller
    ):
        """A write goes on without its caller: callers that leave could fill memory."""
        served.go_on.clear()
        caller.writer.write(REQUEST + b"Content-Length: 90000\r\n\r\n" + b"x" * 90_000)
        await wait_until(lambda: served.requests)
        caller.writer.transport.abort()
        await wait_until(lambda: not served.server.connections)
        self.assertGreater(served.memory.held_bytes, BODY_COPIES * 90_000)
        served.go_on.set()
        await wait_until(lambda: not served.memory.held_bytes)

    @with_own_system("run_served")
    async def test_ended_connection_waits_for_no_collector(self, served, caller):
        """Connections and requests that refer to each other stay until a collection of
        all generations, which may be far off."""
        caller.writer.write(REQUEST + b"Content-Length: 3\r\n\r\nabc")
        self.assertEqual(200, (await caller.read_response()).status)
        (connection,) = served.server.connections
        ended = weakref.ref(connection)
        del connection
        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)
        caller.writer.close()
        await wait_until(lambda: ended() is None)

    def test_caller_that_does_not_read_is_ended_above_the_bound(self):
        """Its response was kept for 10 s, however little memory was left."""
        self.patch(http_server, "MAX_RESPONSE_PAUSE_S", 2 * TEST_TIMEOUT_S)

        async def check(served, caller):
            served.response = b"x" * 8 * MB
            caller.reader._transport.pause_reading()
            caller.writer.write((REQUEST + b"Content-Length: 0\r\n\r\n") * 3)
            await wait_until(lambda: not served.server.connections)
            await wait_until(lambda: not served.memory.held_bytes)

        self.run_served(check)


class TurnTest(testtools.TestCase):
    """Chunks of one byte are parsed in slices, and all other work goes on in between."""

    CONTENT = REQUEST + b"Transfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 20_000

    def run_server(self, function):
        async def main():
            served = Served()
            address = await served.open()
            served.memory.set_process_limits(ProcessLimits(DEFAULT_MEMORY_MB))
            self.sizes = []
            parse = http_server.CallerConnection._parse

            def record(connection, data, received_at):
                self.sizes.append(len(data))
                self.last_iterations.append(self.iteration)
                parse(connection, data, received_at)

            self.patch(http_server.CallerConnection, "_parse", record)
            self.last_iterations = []
            self.iteration = 0
            loop = asyncio.get_running_loop()

            def count_iteration():
                self.iteration += 1
                loop.call_soon(count_iteration)

            count_iteration()
            try:
                with anyio.fail_after(TEST_TIMEOUT_S):
                    await function(served, address)
            finally:
                served.server.close()

        asyncio.run(main())

    @with_own_system("run_server")
    async def test_slices_of_all_connections_are_spread_over_iterations(
        self, served, address
    ):
        """An ordinary request waited until the bytes of all others were parsed."""
        writers = []
        for _ in range(5):
            _, writer = await asyncio.open_connection(*address)
            writers.append(writer)
            writer.write(self.CONTENT)
        await wait_until(lambda: sum(self.sizes) == 5 * len(self.CONTENT))
        # Each recv brings one slice of its own.
        self.assertLess(max(self.sizes), 33_000)
        slice_count = len(self.sizes)
        self.assertGreater(slice_count, 5 * len(self.CONTENT) / 8192)
        per_iteration = [
            self.last_iterations.count(number) for number in set(self.last_iterations)
        ]
        self.assertLessEqual(max(per_iteration), 1 + 5)
        for writer in writers:
            writer.close()

    @with_own_system("run_server")
    async def test_body_with_a_declared_length_needs_no_slices(self, served, address):
        """It is one part for the parser, however large it is."""
        async with Caller(address) as caller:
            caller.writer.write(
                REQUEST + b"Content-Length: 100000\r\n\r\n" + b"x" * 100_000
            )
            self.assertEqual(200, (await caller.read_response()).status)
            self.assertLess(len(self.sizes), 12)
            self.assertEqual([(b"POST", b"/a", 100_000)], served.requests)

    @with_own_system("run_server")
    async def test_slices_change_no_request(self, served, address):
        """Each request must be the same wherever its bytes are cut."""
        chunks = b"".join(
            b"%x\r\n%b\r\n" % (size, b"y" * size) for size in range(1, 400)
        )
        async with Caller(address) as caller:
            caller.writer.write(
                (
                    REQUEST
                    + b"Transfer-Encoding: chunked\r\n\r\n"
                    + chunks
                    + b"0\r\nTrailer: t\r\n\r\n"
                    + REQUEST
                    + b"Content-Length: 9000\r\n\r\n"
                    + b"z" * 9000
                    + b"GET /b HTTP/1.1\r\nHost: h\r\n%b\r\n" % (b"a: b\r\n" * 1500)
                )
                * 3
            )
            for _ in range(9):
                self.assertEqual(200, (await caller.read_response()).status)
        expected = [
            (b"POST", b"/a", sum(range(1, 400))),
            (b"POST", b"/a", 9000),
            (b"GET", b"/b", 0),
        ]
        self.assertEqual(expected * 3, served.requests)


class ReportTest(LogRecordingTest):
    def test_refusals_are_counted_and_logged_within_bounds(self):
        """Operators must be able to tell why callers get 503, and many callers
        must not fill the log."""
        self.patch(log_lines, "LINES_PER_SECOND", 0)

        async def check(fleet):
            gateway = fleet.gateways[0]
            memory = gateway.caller_memory
            for _ in range(300):
                for _ in range(2):
                    connection = FakeConnection(memory, memory.bound_bytes // 2 + 1)
                    memory.add(connection)
                    connection.report_held()
                    self.addCleanup(memory.discard, connection)
            metrics = gateway.metrics.render().decode()
            name = "snipetrestle_gateway_connections_relieved_total"
            refused = re.search(rf'{name}{{kind="unfinished_requests"}} (.*)', metrics)
            self.assertGreater(float(refused[1]), 290)
            logged = self.logged(Event.CALLERS_REFUSED_FOR_MEMORY)
            self.assertEqual(1, logged[0]["unfinished_requests"])
            self.assertLess(0, logged[0]["bound_bytes"])
            self.assertLessEqual(len(logged), log_lines.BURST_LINES)

        run_fleet(check)


class ResponseMemoryTest(testtools.TestCase):
    @with_system(run_fleet)
    async def test_response_waits_for_no_collector(self, fleet):
        """Exchanges that refer to each other kept each response of up to 2 MB until a
        collection of all generations: 120 of 1.5 MB held 180 MB."""
        for replica in fleet.registers:
            replica.body_for = lambda request: b"x" * 100_000
        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)
        for _ in range(5):
            answer = await fleet.send_request("/lookup/a", method="GET")
            self.assertEqual(100_000, len(answer.body))
        await wait_until(lambda: not fleet.gateways[0].caller_server.connections)
        left = [
            item
            for item in gc.get_objects()
            if type(item).__name__ in ("Exchange", "Job", "Request")
        ]
        self.assertEqual([], left)
