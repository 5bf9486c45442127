"""Plays callers through the planned stop of a gateway process, with real signals.

``python -m tests.platform.test_stop_under_load GRACE_S SEED...`` plays more of it.
"""

import asyncio
import contextlib
import itertools
import random
import signal
import socket
import sys

import anyio
import testtools

from snipetrestle_standins.gateway_fleet import (
    HOSTNAME,
    MODEL,
    MODELS_BACKEND,
    REGISTER_BACKEND,
    Caller,
    Response,
    configuration,
    route,
)
from snipetrestle_standins.platform_http import response
from snipetrestle_standins.platform_replica import PlatformReplica
from snipetrestle_standins.platform_store import PlatformStore
from snipetrestle_standins.ports import free_port
from tests.platform.stop_runs import TEST_TIMEOUT_S, play, run_by_hand
from tests.soak.hosts import SHUTDOWN_GRACE_S, HostProcess
from tests.stalls import Stalls

SHORT_GRACE_S = 3.0
SEED = 1
# Time under load before the stop signal.
LEAD_S = 1.0
NEW_CONNECTIONS_PER_S = 60
KEPT_CONNECTIONS = 12
# Requests that were sent later than this after the signal may not be cut off at all.
LATEST_CUT_S = 3.0
# Time after which a request that was not passed on must have an answer.
LOSS_SLACK_S = 0.2
# The clocks of the test and of the process read the start of the stop at other times.
CLOCK_TOLERANCE_S = 0.1
# A deadline begins when the request has arrived, a little after the start of its last
# bytes; a stream ends by its deadline.
DEADLINE_TOLERANCE_S = 0.02
SMALL_BUFFER_BYTES = 4096
LARGE_BODY_BYTES = 200_000
REFUSED_SHARE = 0.1
NOT_RUN_STATUSES = (408, 421, 429, 503)
# Routes that may run a request once only.
ONCE_ROUTES = ("night", "entry")
STREAM_ROUTES = ("draft", "night")
ROUTE_TIMEOUT_MS = 60_000
SHORT_DEADLINE_S = 0.5
CONFIGURATION_INTERVAL_S = 0.3


class TimedReplica(PlatformReplica):
    """A replica that takes as long as a request's path says: /ROUTE/MS/BYTES.

    It refuses some requests. ``ended_at`` has the times at which runs have ended.
    """

    def __init__(self, generator, *arguments):
        super().__init__(*arguments)
        self._generator = generator
        self.ended_at = {}

    async def _serve_request(self, request, writer):
        request_id = request.headers["x-request-id"]
        self.arrived_requests.append(request)
        _, _, milliseconds, size_bytes = request.target.split("/")
        if self._generator.random() < REFUSED_SHARE:
            await asyncio.sleep(self._generator.choice((0.0, 0.0, 0.5)))
            writer.write(response(503, self._not_run_headers(request)))
            return
        last_event_id = request.headers.get("last-event-id")
        self.runs.append((request_id, last_event_id))
        seconds = int(milliseconds) / 1000
        try:
            if "x-model" in request.headers:
                await self._send_timed_stream(request, writer, seconds, int(size_bytes))
                return
            await asyncio.sleep(seconds)
            body = b"x" * int(size_bytes)
            writer.write(response(200, self._proof_headers(request), body))
        finally:
            self.ended_at[request_id] = asyncio.get_running_loop().time()

    async def _send_timed_stream(self, request, writer, seconds, size_bytes):
        headers = "".join(
            f"{name}: {value}\r\n" for name, value in self._proof_headers(request)
        )
        writer.write(
            f"HTTP/1.1 200 OK\r\n{headers}Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        padding = "x" * (size_bytes // self.events)
        last_event_id = int(request.headers.get("last-event-id") or 0)
        for number in range(last_event_id + 1, self.events + 1):
            await asyncio.sleep(seconds / self.events)
            if writer.transport.is_closing():
                return
            event = f"id: {number}\ndata: {padding}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
        writer.write(b"0\r\n\r\n")


def _configuration(version):
    fields = {"timeout_ms": ROUTE_TIMEOUT_MS}
    routes = [
        route("draft", "stream", MODELS_BACKEND, resumable=True, **fields),
        route("night", "stream", MODELS_BACKEND, **{**fields, "attempts": 1}),
        route("entry", "non_idempotent", REGISTER_BACKEND, **fields),
        route("lookup", "idempotent", REGISTER_BACKEND, **fields),
    ]
    return configuration(version, routes)


class Attempt:
    """One request of a caller: when its last byte was sent, and how it ended.

    ``sent_at`` is 0 if it was not sent, or could get no answer after a cut response.
    """

    __slots__ = ("id", "route", "deadline_s", "sent_at", "ended_at", "answer")

    def __init__(self, request_id, route_name, deadline_s):
        self.id = request_id
        self.route = route_name
        self.deadline_s = deadline_s
        self.sent_at = self.ended_at = 0.0
        self.answer = Response(0, {}, b"", False)

    def __repr__(self):
        return (
            f"{self.id} {self.route}: status {self.answer.status}, "
            f"complete {self.answer.complete}, sent {self.sent_at:.3f}, "
            f"ended {self.ended_at:.3f}"
        )


class StopUnderLoad:
    """Callers of all kinds at one host, from before its stop until its process ends."""

    def __init__(self, seed, grace_s):
        self._rng = random.Random(seed)
        self._grace_s = grace_s
        self._loop = asyncio.get_running_loop()
        self.attempts = []
        self.stopped_at = None
        self.exit_code = None
        # The Stalls of the host and this process, once the host runs.
        self._stalls = None
        self._address = None
        self._store = PlatformStore()
        self.replicas = [
            TimedReplica(self._rng, f"model-{number}", MODELS_BACKEND, MODEL)
            for number in range(2)
        ]
        self.replicas += [
            TimedReplica(self._rng, f"register-{number}", REGISTER_BACKEND)
            for number in range(2)
        ]

    async def play(self, folder):
        """Plays the stop."""
        host = await self._start(folder)
        self._stalls = Stalls(host.pid)
        try:
            async with asyncio.TaskGroup() as group:
                arrivals = group.create_task(self._open_connections(group))
                kept = [
                    group.create_task(self._use_kept_connection())
                    for _ in range(KEPT_CONNECTIONS)
                ]
                await asyncio.sleep(LEAD_S)
                self._stalls.sample()
                self.stopped_at = self._loop.time()
                host.signal_process(signal.SIGTERM)
                signals = group.create_task(self._repeat_signals(host))
                changes = group.create_task(self._change_configuration())
                await self._wait_for_end(host)
                self.ended_at = self._loop.time()
                for task in (arrivals, signals, changes, *kept):
                    task.cancel()
        finally:
            self.exit_code = host.exit_code
            await host.kill()
            for server in (self._store, *self.replicas):
                await server.stop()

    async def _start(self, folder):
        await self._store.start()
        self._store.put("op/config", _configuration(1))
        for replica in self.replicas:
            await replica.start()
            self._store.put(f"servers/{replica.id}", replica.entry())
        ports = {name: free_port() for name in ("front", "ready", "control", "peers")}
        host = HostProcess(
            0, folder, ports, ["127.0.0.2"], ("127.0.0.1", self._store.port)
        )
        path = folder / f"{host.name}.conf"
        path.write_text(
            path.read_text().replace(
                f"grace_s={SHUTDOWN_GRACE_S}", f"grace_s={self._grace_s}"
            )
        )
        await host.start()
        await host.wait_ready()
        self._address = host.callers_address
        return host

    async def _wait_for_end(self, host):
        while host.is_running:
            self._stalls.sample()
            await asyncio.sleep(0.005)
        self._stalls.sample()

    async def _repeat_signals(self, host):
        """Sends signals that must not disturb the stop while it goes on."""
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
            await asyncio.sleep(self._rng.uniform(0.05, 0.25) * self._grace_s)
            host.signal_process(number)

    async def _change_configuration(self):
        for version in itertools.count(2):
            await asyncio.sleep(CONFIGURATION_INTERVAL_S)
            self._store.put("op/config", _configuration(version))

    async def _open_connections(self, group):
        while True:
            group.create_task(self._use_new_connection())
            await asyncio.sleep(self._rng.expovariate(NEW_CONNECTIONS_PER_S))

    def _draw(self):
        """Returns (Attempt, bytes) of a request."""
        name = self._rng.choice((*ONCE_ROUTES, "draft", "lookup"))
        seconds = 0.001 * (1500 * self._grace_s) ** self._rng.random()
        size_bytes = self._rng.choice((10, 10, LARGE_BODY_BYTES))
        deadline_s = self._rng.choice((SHORT_DEADLINE_S, None, None))
        attempt = Attempt(f"r{len(self.attempts)}", name, deadline_s)
        self.attempts.append(attempt)
        model = f"X-Model: {MODEL}\r\n" if name in STREAM_ROUTES else ""
        deadline = f"X-Deadline-Ms: {deadline_s * 1000:.0f}\r\n" if deadline_s else ""
        head = (
            f"POST /{name}/{seconds * 1000:.0f}/{size_bytes} HTTP/1.1\r\n"
            f"Host: {HOSTNAME}\r\nX-Request-Id: {attempt.id}\r\n{model}{deadline}"
            "Content-Length: 10\r\n\r\n"
        )
        return attempt, head.encode() + b"0123456789"

    async def _connect(self):
        """Opens a connection, with a small buffer if its caller reads slowly."""
        sock = socket.socket()
        reads_slowly = self._rng.random() < 0.2
        if reads_slowly:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        sock.setblocking(False)
        try:
            await self._loop.sock_connect(sock, self._address)
        except BaseException:
            sock.close()
            raise
        caller = Caller(self._address)
        caller.reader, caller.writer = await asyncio.open_connection(sock=sock)
        return caller, reads_slowly

    async def _use_new_connection(self):
        """Sends one request, slowly, or two at once, on a new connection."""
        attempts_and_bytes = [self._draw()]
        is_slow = self._rng.random() < 0.2
        if not is_slow and self._rng.random() < 0.15:
            attempts_and_bytes.append(self._draw())
        attempts = [attempt for attempt, _ in attempts_and_bytes]
        data = b"".join(item for _, item in attempts_and_bytes)
        try:
            caller, reads_slowly = await self._connect()
        except OSError:
            return
        try:
            if is_slow:
                cut = self._rng.randrange(1, len(data))
                caller.writer.write(data[:cut])
                data = data[cut:]
                await asyncio.sleep(self._rng.uniform(0.0, 0.5))
            caller.writer.write(data)
            for attempt in attempts:
                attempt.sent_at = self._loop.time()
            if reads_slowly:
                await self._wait_for_close(caller, 0.3)
            for attempt in attempts:
                await self._read(caller, attempt)
                if not attempt.answer.complete:
                    # Nothing can follow a response that was cut off.
                    for unanswered in attempts[attempts.index(attempt) + 1 :]:
                        unanswered.sent_at = 0.0
                    break
        finally:
            caller.writer.close()

    async def _wait_for_close(self, caller, limit_s):
        """Waits without reading, until the connection ends or for ``limit_s``."""
        end = self._loop.time() + limit_s
        reader = caller.reader
        while self._loop.time() < end:
            if reader.at_eof() or reader.exception() is not None:
                return
            await asyncio.sleep(0.005)

    async def _use_kept_connection(self):
        """Sends requests on one connection after the other, each until it closes."""
        while True:
            try:
                caller, _ = await self._connect()
            except OSError:
                await asyncio.sleep(0.05)
                continue
            with contextlib.closing(caller.writer):
                await self._send_until_closed(caller)
            await asyncio.sleep(self._rng.uniform(0.0, 0.1))

    async def _send_until_closed(self, caller):
        while True:
            attempt, data = self._draw()
            caller.writer.write(data)
            attempt.sent_at = self._loop.time()
            await asyncio.shield(asyncio.ensure_future(self._read(caller, attempt)))
            answer = attempt.answer
            if not answer.complete or answer.headers.get("connection") == "close":
                return
            await asyncio.sleep(self._rng.uniform(0.0, 0.3))
            if caller.reader.at_eof():
                return

    async def _read(self, caller, attempt):
        try:
            async with asyncio.timeout(TEST_TIMEOUT_S):
                attempt.answer = await caller.read_response()
        except TimeoutError:
            pass
        attempt.ended_at = self._loop.time()

    # What must hold.

    def faults(self):
        """Returns a line for each promise that was broken."""
        run_ids = [item for replica in self.replicas for item, _ in replica.runs]
        passed_on = {
            request.headers["x-request-id"]
            for replica in self.replicas
            for request in replica.arrived_requests
        }
        faults = []
        if self.exit_code != 0:
            faults.append(f"the process ended with {self.exit_code}")
        stalls_s = self._stalls.between(self.stopped_at, self.ended_at)
        ended_after_s = self.ended_at - self.stopped_at
        if ended_after_s - stalls_s > self._grace_s:
            faults.append(
                f"the process ended after {ended_after_s:.3f} s, "
                f"of which stalls took {stalls_s:.3f} s"
            )
        for attempt in self.attempts:
            if not attempt.sent_at:
                continue
            runs = run_ids.count(attempt.id)
            if runs and attempt.answer.status in NOT_RUN_STATUSES:
                faults.append(f"told as not run, but ran: {attempt}")
            if attempt.route in ONCE_ROUTES and runs > 1:
                faults.append(f"ran {runs} times: {attempt}")
            if not attempt.answer.complete and not self._may_be_cut(
                attempt, attempt.id in passed_on
            ):
                faults.append(f"cut off: {attempt}")
        return faults

    def _may_be_cut(self, attempt, was_passed_on):
        """Whether a request may end without a complete answer."""
        lasted_s = attempt.ended_at - attempt.sent_at
        if not was_passed_on:
            stalls_s = self._stalls.between(attempt.sent_at, attempt.ended_at)
            return lasted_s - stalls_s < LOSS_SLACK_S
        if attempt.deadline_s and lasted_s > attempt.deadline_s - DEADLINE_TOLERANCE_S:
            return True
        # Streams that are still on their way at the end can only be cut.
        sent_after_s = attempt.sent_at - self.stopped_at
        ended_after_s = attempt.ended_at - self.stopped_at
        last_run_end = max(
            replica.ended_at.get(attempt.id, 0.0) for replica in self.replicas
        )
        return (
            attempt.answer.status == 200
            and attempt.route in STREAM_ROUTES
            and sent_after_s < LATEST_CUT_S
            and ended_after_s > self._grace_s * 5 / 6 - CLOCK_TOLERANCE_S
            and last_run_end > self.stopped_at + self._grace_s * 5 / 6
        )

    def summary(self):
        """Returns counts of how requests ended, for the records of runs by hand."""
        sent = [item for item in self.attempts if item.sent_at]
        late = [item for item in sent if item.sent_at > self.stopped_at]
        statuses = [item.answer.status for item in late]
        return (
            f"{len(sent)} requests, {len(late)} after the signal, of these "
            f"{sum(item.answer.complete for item in late)} complete; "
            f"by status { ({item: statuses.count(item) for item in sorted({*statuses})}) }; "
            f"process ended after {self.ended_at - self.stopped_at:.2f} s"
        )


class StopUnderLoadTest(testtools.TestCase):
    def test_no_request_is_lost_or_told_wrongly_in_a_planned_stop(self):
        """Requests that came late in the grace period were passed on and cut off."""
        stop = anyio.run(play, StopUnderLoad, SEED, SHORT_GRACE_S)
        self.assertGreater(len(stop.attempts), 100)
        self.assertEqual([], stop.faults())


def main(argv):
    return run_by_hand(f"grace {argv[1]} s", argv[2:], StopUnderLoad, float(argv[1]))


if __name__ == "__main__":
    sys.exit(main(sys.argv))
