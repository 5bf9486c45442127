"""Plays each row of the table of the ends of waits (docs/notes/ends-of-waits.md)."""

import asyncio
import functools
import importlib
import pathlib
import typing

import anyio
import msgspec

from snipetrestle.events import Event
from snipetrestle.gateway.callers.connection_end import Unanswered
from snipetrestle_standins.gateway_fleet import (
    HOSTNAME,
    MODEL,
    Caller,
    GatewayFleet,
    configuration,
    route,
)
from snipetrestle_standins.platform_http import reset_on_close
from snipetrestle_standins.platform_replica import Fault
from tests.gateway.log_recording import LogRecordingTest
from tests.gateway.test_connection_ends import count_ends
from tests.waiting import wait_until

PAGE = (
    pathlib.Path(__file__).resolve().parents[2] / "docs" / "notes" / "ends-of-waits.md"
)
# Fleets that run at the same time, and the time that one row may take.
MAX_FLEETS = 6
ROW_TIMEOUT_S = 15.0
# Later than the end of any stop in these tests.
LONG_DEADLINE_S = 4.9
# The grace period of the fleet is 4 s: a stop bounds new requests after 1.33 s.
LATE_IN_STOP_S = 1.5
CONNECTION_ENDS = "snipetrestle_gateway_connection_ends_total"
PLAYED_HERE = "row"
NOT_STATED = "-"


class Row(typing.NamedTuple):
    """A row of the table."""

    name: str
    situation: str
    answer: str
    retry_after: str
    may_have_run: str
    result: str
    connection_end: str
    test: str


def read_rows():
    """Returns the rows of all tables of the page."""
    lines = [
        [cell.strip() for cell in line.strip("|\n").split("|")]
        for line in PAGE.read_text().splitlines()
        if line.startswith("|")
    ]
    return [Row(*cells) for cells in lines if cells[0] not in ("row", "---")]


def describe_answer(response):
    """Returns a Response in the words of the column ``answer``.

    It is None if the caller closed the connection before a response.
    """
    if response is None:
        return "none"
    if not response.status:
        return "closed"
    if not response.complete:
        return f"{response.status} aborted"
    if "x-server-signature" in response.headers:
        return f"{response.status} of the replica"
    return f"{response.status} {response.body.decode()}"


def count_results(gateway, result):
    """Returns how many requests the metrics of a gateway count with a result."""
    return sum(
        sample.value
        for metric in gateway.metrics.registry.collect()
        for sample in metric.samples
        if sample.name == "snipetrestle_gateway_requests_total"
        and sample.labels["result"] == result
    )


def count_early_ends(gateway):
    """Returns how many ends the metrics of a gateway count that left an answer owed."""
    return sum(
        sample.value
        for metric in gateway.metrics.registry.collect()
        for sample in metric.samples
        if sample.name == CONNECTION_ENDS
        and sample.labels["unanswered"] != Unanswered.NOTHING
    )


CASES = {}


def case(name, **fleet_options):
    """Registers a coroutine function as the case of a row.

    It is called with a Play and returns the Response to the request whose id is the
    row's name, or None if the caller closed the connection before.
    """

    def register(function):
        CASES[name] = (function, fleet_options)
        return function

    return register


class Play:
    """One row that is played on a fleet of its own."""

    def __init__(self, name, fleet):
        self.name = name
        self.fleet = fleet
        self.gateway = fleet.live[0]

    def caller(self):
        return Caller(self.gateway.settings.callers)

    async def send(self, path="/entry/a", *, deadline_s=None, name=None, **options):
        """Sends a request on a new connection.

        Returns None if its deadline, counted from the moment of sending, passes first.
        """
        headers = [("X-Request-Id", name or self.name)]
        if deadline_s is not None:
            headers.append(("X-Deadline-Ms", round(deadline_s * 1000)))
        async with self.caller() as caller:
            with anyio.move_on_after(deadline_s):
                return await caller.send_request(path, headers=headers, **options)
        return None

    def request_bytes(self, name, path="/entry/a", lines=""):
        return (
            f"POST {path} HTTP/1.1\r\nHost: {HOSTNAME}\r\nX-Request-Id: {name}\r\n"
            f"{lines}Content-Length: 0\r\n\r\n"
        ).encode()

    async def send_raw(self, data):
        async with self.caller() as caller:
            caller.writer.write(data)
            return await caller.read_response()

    def set_faults(self, fault, count=20):
        for replica in self.fleet.replicas:
            replica.faults = [fault] * count

    def slow_down_streams(self, interval_s):
        for replica in self.fleet.models:
            replica.event_interval_s = interval_s

    @property
    def has_run(self):
        """Whether a replica has run the request of the row."""
        return any(
            request_id == self.name
            for replica in self.fleet.replicas
            for request_id, _ in replica.runs
        )

    async def stop_while_at_replica(self, path, **options):
        """Stops the gateway while a replica is at work on a request."""
        request = asyncio.create_task(self.send(path, **options))
        await wait_until(lambda: self.has_run)
        await self.gateway.drain()
        return await request

    def shorten_stop(self):
        """Makes a stop end before requests are refused for other reasons."""
        settings = msgspec.structs.replace(self.gateway.settings, shutdown_grace_s=1.0)
        self.gateway.settings = self.fleet.settings_by_name[settings.name] = settings

    async def send_late_in_stop(self, deadline_s):
        drain = asyncio.create_task(self.gateway.drain())
        # A request in progress keeps the stop from ending early.
        self.slow_down_streams(0.4)
        stream = asyncio.create_task(self.send("/night/a", adapter="", name="other"))
        await asyncio.sleep(LATE_IN_STOP_S)
        response = await self.send(deadline_s=deadline_s)
        await asyncio.gather(drain, stream)
        return response

    async def use_up_replicas(self, path):
        """Sends calls until replicas accept no more; returns the last Response."""
        for number in range(20):
            response = await self.send(path, name=f"before-{number}")
            if response.status == 503:
                break
        return await self.send(path)


@case("not-ready")
async def play_not_ready(play):
    name = play.gateway.settings.name
    await play.fleet.kill(play.gateway)
    play.fleet.cut_off_from_store.add(name)
    play.gateway = play.fleet.start_gateway(0)
    await wait_until(lambda: play.gateway.is_listening)
    return await play.send()


@case("unknown-path")
async def play_unknown_path(play):
    return await play.send("/elsewhere/a")


@case("no-request-id")
async def play_no_request_id(play):
    data = play.request_bytes("x").replace(b"X-Request-Id: x\r\n", b"")
    return await play.send_raw(data)


@case("malformed-head")
async def play_malformed_head(play):
    return await play.send_raw(b"no request\r\n\r\n")


@case("large-head")
async def play_large_head(play):
    lines = f"X-Filler: {'x' * 20_000}\r\n"
    return await play.send_raw(play.request_bytes(play.name, lines=lines))


@case("large-body")
async def play_large_body(play):
    data = play.request_bytes(play.name)
    return await play.send_raw(data.replace(b"Length: 0", b"Length: 99999999"))


@case("slow-head")
async def play_slow_head(play):
    return await play.send_raw(b"POST /entry/a HTTP/1.1\r\nHost: ")


@case("no-replica")
async def play_no_replica(play):
    for replica in play.fleet.registers:
        play.fleet.store.delete(f"servers/{replica.id}")
    replicas = play.gateway.replicas
    await wait_until(lambda: not replicas.ready_replicas("register"))
    return await play.send()


@case("no-place", models=0)
async def play_no_place(play):
    return await play.send("/draft/a", adapter="a1")


@case("all-paused")
async def play_all_paused(play):
    for replica in play.fleet.registers:
        replica.refuses_requests = True
        replica.retry_after = 30
    return await play.use_up_replicas("/lookup/a")


@case("all-limited")
async def play_all_limited(play):
    for replica in play.fleet.registers:
        replica.request_limit = 0.5
    return await play.use_up_replicas("/lookup/a")


@case("internal-error")
async def play_internal_error(play):
    play.gateway.replicas.ready_replicas = lambda name: int("no number")
    return await play.send()


@case("early-error")
async def play_early_error(play):
    play.gateway.state.routes.match = lambda *arguments: int("no number")
    return await play.send()


@case("no-connection")
async def play_no_connection(play):
    for replica in play.fleet.registers:
        await replica.stop()
    return await play.send()


@case("refused-call")
async def play_refused_call(play):
    play.set_faults(Fault.REFUSED)
    return await play.send()


@case("refused-stream")
async def play_refused_stream(play):
    play.set_faults(Fault.REFUSED)
    return await play.send("/night/a", adapter="")


def register_faults():
    """Registers the rows whose replicas have the same fault at each attempt."""
    for name, fault, path in (
        ("failure-write", Fault.SERVER_ERROR, "/entry/a"),
        ("failure-idempotent", Fault.SERVER_ERROR, "/lookup/a"),
        ("lost-write", Fault.RESET, "/entry/a"),
        ("lost-idempotent", Fault.RESET, "/lookup/a"),
        ("lost-stream", Fault.RESET, "/night/a"),
        ("cut-write", Fault.TRUNCATED, "/entry/a"),
        ("cut-stream", Fault.RESET_IN_RESPONSE, "/night/a"),
    ):
        case(name)(functools.partial(play_fault, fault=fault, path=path))


async def play_fault(play, fault, path):
    play.set_faults(fault)
    return await play.send(path, adapter="" if path == "/night/a" else None)


register_faults()


async def play_fault_then_refusals(play, fault, path, **options):
    """Sends a request whose first replica fails, and which all others refuse."""
    faults = [fault] + [Fault.REFUSED] * 20
    for replica in play.fleet.replicas:
        replica.faults = faults
    return await play.send(path, **options)


@case("lost-then-refused")
async def play_lost_then_refused(play):
    return await play_fault_then_refusals(play, Fault.RESET, "/lookup/a")


@case("lost-stream-then-refused")
async def play_lost_stream_then_refused(play):
    return await play_fault_then_refusals(play, Fault.RESET, "/draft/a", adapter="")


@case("cut-stream-then-refused")
async def play_cut_stream_then_refused(play):
    fault = Fault.RESET_IN_RESPONSE
    return await play_fault_then_refusals(play, fault, "/draft/a", adapter="")


@case("deadline-write")
async def play_deadline_write(play):
    play.set_faults(Fault.NO_RESPONSE)
    return await play.send(deadline_s=1.5)


@case("deadline-idempotent")
async def play_deadline_idempotent(play):
    play.set_faults(Fault.NO_RESPONSE)
    return await play.send("/lookup/a", deadline_s=1.5)


@case("deadline-stream")
async def play_deadline_stream(play):
    play.set_faults(Fault.NO_RESPONSE)
    return await play.send("/night/a", adapter="", deadline_s=1.5)


@case("deadline-events")
async def play_deadline_events(play):
    play.slow_down_streams(0.4)
    async with play.caller() as caller:
        headers = [("X-Request-Id", play.name), ("X-Deadline-Ms", 1500)]
        return await caller.send_request("/night/a", adapter="", headers=headers)


@case("deadline-place", models=0)
async def play_deadline_place(play):
    return await play.send("/draft/a", adapter="a1", deadline_s=0.5)


@case("deadline-pause")
async def play_deadline_pause(play):
    for replica in play.gateway.replicas.ready_replicas("register"):
        replica.pause.note(0.4)
    return await play.send("/lookup/a", deadline_s=0.2)


@case("deadline-zero")
async def play_deadline_zero(play):
    async with play.caller() as caller:
        headers = [("X-Request-Id", play.name), ("X-Deadline-Ms", 0)]
        return await caller.send_request("/entry/a", headers=headers)


@case("route-timeout")
async def play_route_timeout(play):
    routes = [route("entry", "non_idempotent", "register", timeout_ms=600)]
    play.fleet.store.put("op/config", configuration(2, routes))
    await wait_until(lambda: play.gateway.state.configuration.version == 2)
    play.set_faults(Fault.NO_RESPONSE)
    return await play.send(deadline_s=LONG_DEADLINE_S)


@case("stop-early", gateways=2)
async def play_stop_early(play):
    drain = asyncio.create_task(play.gateway.drain())
    await wait_until(lambda: play.gateway.draining)
    response = await play.send()
    await drain
    return response


@case("stop-late-short", gateways=2)
async def play_stop_late_short(play):
    return await play.send_late_in_stop(1.0)


@case("stop-late-long", gateways=2)
async def play_stop_late_long(play):
    return await play.send_late_in_stop(LONG_DEADLINE_S)


@case("stop-retry", gateways=2)
async def play_stop_retry(play):
    for replica in play.fleet.registers:
        replica.response_delay_s = 1.8
    play.set_faults(Fault.REFUSED)
    drain = asyncio.create_task(play.gateway.drain())
    await asyncio.sleep(1.2)
    response = await play.send()
    await drain
    return response


@case("stop-end-write", gateways=2)
async def play_stop_end_write(play):
    play.set_faults(Fault.NO_RESPONSE)
    return await play.stop_while_at_replica("/entry/a")


@case("stop-end-idempotent", gateways=2)
async def play_stop_end_idempotent(play):
    play.set_faults(Fault.NO_RESPONSE)
    return await play.stop_while_at_replica("/lookup/a")


@case("stop-end-stream", gateways=2)
async def play_stop_end_stream(play):
    play.shorten_stop()
    play.set_faults(Fault.NO_RESPONSE)
    return await play.stop_while_at_replica("/night/a", adapter="")


@case("stop-end-events", gateways=2)
async def play_stop_end_events(play):
    play.slow_down_streams(0.75)
    return await play.stop_while_at_replica("/night/a", adapter="")


@case("stop-end-waiting", gateways=2, models=0)
async def play_stop_end_waiting(play):
    play.shorten_stop()
    drain = asyncio.create_task(play.gateway.drain())
    await asyncio.sleep(0.1)
    response = await play.send("/draft/a", adapter="a1")
    await drain
    return response


@case("stop-end-arriving", gateways=2)
async def play_stop_end_arriving(play):
    data = play.request_bytes(play.name).replace(b"Length: 0", b"Length: 6") + b"abc"
    async with play.caller() as caller:
        caller.writer.write(data)
        await wait_until(lambda: play.gateway.caller_server.is_engaged)
        await play.gateway.drain()
        play.gateway.close()
        return await caller.read_response()


@case("stop-port-closed", gateways=2)
async def play_stop_port_closed(play):
    await play.gateway.drain()
    try:
        return await play.send()
    except ConnectionRefusedError:
        return None


@case("process-end")
async def play_process_end(play):
    play.set_faults(Fault.NO_RESPONSE)
    request = asyncio.create_task(play.send())
    await wait_until(lambda: play.has_run)
    play.gateway.caller_server.close()
    return await request


async def end_while_idle(play, end):
    """Returns what a caller gets whose idle connection is ended."""
    async with play.caller() as caller:
        headers = [("X-Request-Id", "before")]
        await caller.send_request("/entry/a", headers=headers)
        end()
        return await caller.read_response()


@case("stop-idle")
async def play_stop_idle(play):
    return await end_while_idle(play, play.gateway.caller_server.close_idle_connections)


@case("idle-limit")
async def play_idle_limit(play):
    return await end_while_idle(play, lambda: None)


async def cross_end(play, end):
    """Returns what a caller gets whose request crosses the end of its connection."""
    async with play.caller() as caller:
        headers = [("X-Request-Id", "before")]
        await caller.send_request("/entry/a", headers=headers)
        end()
        (connection,) = play.gateway.caller_server.connections
        await wait_until(lambda: connection._lingering)
        caller.writer.write(play.request_bytes(play.name))
        return await caller.read_response()


@case("crossing-stop")
async def play_crossing_stop(play):
    return await cross_end(play, play.gateway.caller_server.close_idle_connections)


@case("crossing-idle")
async def play_crossing_idle(play):
    return await cross_end(play, lambda: None)


async def leave(play, path):
    """Closes a connection while a replica is at work on its request."""
    for replica in play.fleet.registers:
        replica.response_delay_s = 0.3
    async with play.caller() as caller:
        caller.writer.write(play.request_bytes(play.name, path))
        await wait_until(lambda: play.has_run)


@case("caller-leaves")
async def play_caller_leaves(play):
    await leave(play, "/lookup/a")


@case("caller-leaves-write")
async def play_caller_leaves_write(play):
    await leave(play, "/entry/a")


@case("caller-resets")
async def play_caller_resets(play):
    play.set_faults(Fault.NO_RESPONSE)
    async with play.caller() as caller:
        caller.writer.write(play.request_bytes(play.name, "/lookup/a"))
        await wait_until(lambda: play.has_run)
        reset_on_close(caller.writer)


async def read_second(play, first):
    """Returns what a caller gets for a request that is pipelined behind ``first``."""
    async with play.caller() as caller:
        caller.writer.write(first + play.request_bytes(play.name))
        await caller.read_response()
        return await caller.read_response()


@case("behind-close")
async def play_behind_close(play):
    first = play.request_bytes("first", lines="Connection: close\r\n")
    return await read_second(play, first)


@case("behind-announced")
async def play_behind_announced(play):
    play.slow_down_streams(0.1)
    play.gateway.caller_server.start_draining()
    lines = f"X-Model: {MODEL}\r\n"
    async with play.caller() as caller:
        caller.writer.write(play.request_bytes("first", "/night/a", lines))
        await wait_until(lambda: any(item.running for item in play.fleet.models))
        await asyncio.sleep(0.25)
        caller.writer.write(play.request_bytes(play.name))
        await caller.read_response()
        return await caller.read_response()


@case("behind-abort")
async def play_behind_abort(play):
    play.set_faults(Fault.RESET_IN_RESPONSE, 1)
    lines = f"X-Model: {MODEL}\r\n"
    return await read_second(play, play.request_bytes("first", "/night/a", lines))


class EndsOfWaitsTest(LogRecordingTest):
    def test_each_row_of_the_table_has_one_case(self):
        """Guards against an end of a wait that is documented but never played."""
        rows = read_rows()
        names = [row.name for row in rows]
        self.assertEqual(sorted(set(names)), sorted(names))
        played = [row.name for row in rows if row.test == PLAYED_HERE]
        self.assertEqual(sorted(CASES), sorted(played))
        for row in rows:
            if row.test != PLAYED_HERE:
                module, class_name, test = row.test.rsplit(".", 2)
                test_class = getattr(importlib.import_module(module), class_name)
                self.assertTrue(callable(getattr(test_class, test, None)), row.name)

    def test_only_requests_that_have_not_run_are_refused_as_such(self):
        """Guards against a row that promises 503 for a request that may have run."""
        for row in read_rows():
            if row.answer.startswith("503"):
                self.assertEqual("no", row.may_have_run, row.name)

    def test_callers_get_what_the_table_says(self):
        """Guards against waits that end with no answer or with a wrong one."""
        rows = [row for row in read_rows() if row.test == PLAYED_HERE]
        mismatches = anyio.run(self.play_rows, rows)
        self.assertEqual([], mismatches)

    async def play_rows(self, rows):
        """Plays rows side by side and returns what differs from the table."""
        limiter = asyncio.Semaphore(MAX_FLEETS)

        async def play_one(row):
            async with limiter:
                return await self.play_row(row)

        mismatches = await asyncio.gather(*map(play_one, rows))
        return [line for lines in mismatches for line in lines]

    async def play_row(self, row):
        function, fleet_options = CASES[row.name]
        try:
            async with asyncio.timeout(ROW_TIMEOUT_S):
                async with GatewayFleet(**fleet_options) as fleet:
                    play = Play(row.name, fleet)
                    response = await function(play)
                    return await self.compare(row, play, response)
        except Exception as error:
            return [f"{row.name}: {error!r}"]

    async def compare(self, row, play, response):
        """Returns a line for each column that does not hold."""
        headers = {} if response is None else response.headers
        found = {
            "answer": describe_answer(response),
            "retry_after": "yes" if "retry-after" in headers else "no",
            "may_have_run": "yes" if play.has_run else "no",
        }
        mismatches = [
            f"{row.name}: {column} is {value!r}, the table says {expected!r}"
            for column, value in found.items()
            if value != (expected := getattr(row, column))
        ]
        if not await self.is_result_reported(row, play.gateway):
            mismatches.append(f"{row.name}: result {row.result} is not reported")
        if not await self.is_end_reported(row, play.gateway):
            ends = self.described_ends(play.gateway)
            mismatches.append(
                f"{row.name}: ends are {ends}, the table says {row.connection_end}"
            )
        return mismatches

    async def is_result_reported(self, row, gateway):
        if row.result == NOT_STATED:
            return True
        with anyio.move_on_after(1.0):
            await wait_until(lambda: count_results(gateway, row.result))
            if not row.result.startswith("SN-"):
                return True
            await wait_until(lambda: row.result in self.failed_codes(row.name))
            return True
        return False

    def failed_codes(self, request_id):
        """Returns the codes of the EV-1404 lines of a request."""
        return [
            item["code"]
            for item in self.logged(Event.REQUEST_FAILED)
            if item["request"] == request_id
        ]

    def described_ends(self, gateway):
        """Returns reason and what was unanswered of each kind of end, as text."""
        return [
            f"{sample.labels['reason']}, {sample.labels['unanswered']}"
            for metric in gateway.metrics.registry.collect()
            for sample in metric.samples
            if sample.name == CONNECTION_ENDS
        ]

    async def is_end_reported(self, row, gateway):
        if row.connection_end == NOT_STATED:
            return count_early_ends(gateway) == 0
        reason, unanswered = row.connection_end.split(", ")
        is_early = unanswered != Unanswered.NOTHING
        with anyio.move_on_after(1.0):
            await wait_until(lambda: count_ends(gateway, reason, unanswered))
            if is_early:
                await wait_until(lambda: (reason, unanswered) in self.early_ends())
            return count_early_ends(gateway) == is_early
        return False
