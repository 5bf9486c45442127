"""Plays kept connections through the planned stop of a host that lacks resources.

``python -m tests.platform.test_stop_on_slow_link SHORTAGE[+SHORTAGE...] SEED...`` plays
more of it. What is short is the ``link`` to the host or its ``processor``, or the link is
shared with long request ``bodies``.
"""

import asyncio
import collections
import contextlib
import json
import random
import re
import signal
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
from snipetrestle_standins.platform_replica import PlatformReplica
from snipetrestle_standins.platform_store import PlatformStore
from snipetrestle_standins.ports import free_port
from tests.platform.stop_runs import play, run_by_hand
from tests.soak.hosts import SHUTDOWN_GRACE_S, HostProcess
from tests.soak.proxy import READ_BYTES, LoopbackProxy

SEED = 1
GRACE_S = 5.0
LEAD_S = 2.0
CALLERS = 100
# Each caller pauses for up to this long between two requests.
MAX_PAUSE_S = 4.0
LINK_BYTES_PER_S = 1_250_000
PACKET_BYTES = 1460
RUNNING_S = 0.03
HELD_S = 0.07
ROUTES = 2000
CONFIGURATION_INTERVAL_S = (0.5, 1.5)
# A request that nobody has read may end without an answer within this time.
LOSS_SLACK_S = 0.2
# The share of long requests, if there are any.
LONG_BODY_SHARE = 0.05
LONG_BODY_BYTES = 300_000
# Single requests may cross the end of their connection. More do if connections end while
# requests queue behind a configuration.
MAX_CUT_SHARE = 0.04
# The last byte of each request, which is nowhere else in it.
REQUEST_END = b";"
REQUEST_ID = re.compile(rb"X-Request-Id: (\S+)")


class SlowLink:
    """One first-in, first-out queue of bytes, delivered at LINK_BYTES_PER_S.

    ``delivered_at`` has the time at which the last byte of each request was delivered,
    by the request's id.
    """

    def __init__(self, is_slow):
        self._is_slow = is_slow
        self._packets = collections.deque()
        self._has_packets = asyncio.Event()
        self._incomplete_ids = {}
        self.delivered_at = {}

    def send(self, writer, data):
        """Queues bytes for a writer."""
        for start in range(0, len(data), PACKET_BYTES):
            self._packets.append((writer, data[start : start + PACKET_BYTES]))
        self._has_packets.set()

    async def flush(self):
        """Returns when what is queued now has been delivered."""
        delivered = asyncio.Event()
        self._packets.append((None, delivered))
        self._has_packets.set()
        await delivered.wait()

    async def run(self):
        """Delivers what is queued until it is cancelled."""
        loop = asyncio.get_running_loop()
        free_at = loop.time()
        while True:
            await self._has_packets.wait()
            while self._packets:
                writer, data = self._packets.popleft()
                if writer is None:
                    data.set()
                    continue
                if self._is_slow:
                    free_at = max(free_at, loop.time()) + len(data) / LINK_BYTES_PER_S
                    await asyncio.sleep(free_at - loop.time())
                self._deliver(writer, data, loop.time())
            self._has_packets.clear()

    def _deliver(self, writer, data, now):
        if not writer.transport.is_closing():
            writer.write(data)
        for request_id in REQUEST_ID.findall(data):
            self._incomplete_ids[writer] = request_id.decode()
        if writer in self._incomplete_ids and data.endswith(REQUEST_END):
            self.delivered_at[self._incomplete_ids.pop(writer)] = now


class LinkProxy(LoopbackProxy):
    """Forwards connections, what clients send over one SlowLink, answers over another."""

    def __init__(self, target, requests_link, answers_link):
        super().__init__(target)
        self._requests_link = requests_link
        self._answers_link = answers_link

    async def _copy(self, reader, writer, is_answer):
        link = self._answers_link if is_answer else self._requests_link
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                link.send(writer, data)
        await link.flush()
        if writer.can_write_eof():
            with contextlib.suppress(OSError):
                writer.write_eof()


class Attempt:
    """One request, when it was sent and ended (0 if it has not), and its answer."""

    __slots__ = ("id", "route", "sent_at", "ended_at", "answer")

    def __init__(self, request_id, route_name):
        self.id = request_id
        self.route = route_name
        self.sent_at = self.ended_at = 0.0
        self.answer = Response(0, {}, b"", False)


def _configuration(version):
    fields = {"timeout_ms": 60_000}
    routes = [
        route("draft", "stream", MODELS_BACKEND, resumable=True, **fields),
        route("entry", "non_idempotent", REGISTER_BACKEND, **fields),
        route("lookup", "idempotent", REGISTER_BACKEND, **fields),
    ]
    routes += [
        route(f"other-{number}", "idempotent", REGISTER_BACKEND, **fields)
        for number in range(ROUTES)
    ]
    return configuration(version, routes)


class SlowStop:
    """Kept connections at one host whose link or processor is slow, until it has ended."""

    def __init__(self, seed, shortages):
        self._rng = random.Random(seed)
        self._loop = asyncio.get_running_loop()
        self._holds_processor = "processor" in shortages
        self._has_long_bodies = "bodies" in shortages
        self._link = SlowLink("link" in shortages)
        self._outgoing_link = SlowLink(False)
        self._store = PlatformStore()
        self._store_proxy = None
        self._callers_proxy = None
        self._replicas = [
            PlatformReplica("model-0", MODELS_BACKEND, MODEL),
            PlatformReplica("register-0", REGISTER_BACKEND),
        ]
        self._version = 1
        self.attempts = []
        self.stopped_at = 0.0
        self.ended_at = 0.0
        self.exit_code = None
        # The EV-1437 lines of the host.
        self.ends = []

    async def play(self, folder):
        """Plays the stop. Raises TimeoutError if the process outlives its grace period."""
        async with asyncio.TaskGroup() as group:
            links = [
                group.create_task(link.run())
                for link in (self._link, self._outgoing_link)
            ]
            host = await self._start(folder)
            tasks = [group.create_task(self._call()) for _ in range(CALLERS)]
            if self._holds_processor:
                tasks.append(group.create_task(self._hold_processor(host)))
            try:
                await asyncio.sleep(LEAD_S)
                self.stopped_at = self._loop.time()
                host.signal_process(signal.SIGTERM)
                tasks.append(group.create_task(self._change_configuration()))
                tasks.append(group.create_task(self._repeat_signals(host)))
                async with asyncio.timeout(GRACE_S + HELD_S):
                    while host.is_running:  # noqa: ASYNC110 - a process is polled
                        await asyncio.sleep(0.005)
                self.ended_at = self._loop.time()
                await self._outgoing_link.flush()
                await asyncio.sleep(LOSS_SLACK_S)
            finally:
                self.exit_code = host.exit_code
                for task in tasks:
                    task.cancel()
                await host.kill()
                for server in (self._callers_proxy, self._store_proxy, self._store):
                    await server.stop()
                for replica in self._replicas:
                    await replica.stop()
                for link in links:
                    link.cancel()
        self._read_log(folder / f"{host.name}.log")

    async def _start(self, folder):
        await self._store.start()
        self._store.put("op/config", _configuration(self._version))
        for replica in self._replicas:
            await replica.start()
            self._store.put(f"servers/{replica.id}", replica.entry())
        self._store_proxy = LinkProxy(
            ("127.0.0.1", self._store.port), self._outgoing_link, self._link
        )
        await self._store_proxy.start()
        ports = {name: free_port() for name in ("front", "ready", "control", "peers")}
        host = HostProcess(0, folder, ports, ["127.0.0.2"], self._store_proxy.address)
        path = folder / f"{host.name}.conf"
        path.write_text(
            path.read_text().replace(
                f"grace_s={SHUTDOWN_GRACE_S}", f"grace_s={GRACE_S}"
            )
        )
        self._callers_proxy = LinkProxy(
            host.callers_address, self._link, self._outgoing_link
        )
        await self._callers_proxy.start()
        await host.start()
        await host.wait_ready()
        return host

    async def _hold_processor(self, host):
        while True:
            host.pause()
            await asyncio.sleep(HELD_S)
            host.resume()
            await asyncio.sleep(RUNNING_S)

    async def _change_configuration(self):
        while True:
            self._version += 1
            self._store.put("op/config", _configuration(self._version))
            await asyncio.sleep(self._rng.uniform(*CONFIGURATION_INTERVAL_S))

    async def _repeat_signals(self, host):
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP):
            await asyncio.sleep(self._rng.uniform(0.1, 0.3) * GRACE_S)
            host.signal_process(number)

    async def _call(self):
        """Sends requests, on one connection until it ends, then on a new one."""
        while True:
            caller = Caller(self._callers_proxy.address)
            caller.reader, caller.writer = await asyncio.open_connection(
                *self._callers_proxy.address
            )
            with contextlib.closing(caller.writer):
                while await self._send(caller):
                    await asyncio.sleep(self._rng.uniform(0.0, MAX_PAUSE_S))
                    if caller.reader.at_eof():
                        break
            await asyncio.sleep(self._rng.uniform(0.0, 0.5))

    async def _send(self, caller):
        """Sends one request, and returns whether its connection can be used again."""
        name = self._rng.choice(("entry", "lookup", "entry", "lookup", "draft"))
        attempt = Attempt(f"r{len(self.attempts)}", name)
        self.attempts.append(attempt)
        model = f"X-Model: {MODEL}\r\n" if name == "draft" else ""
        size_bytes = 10
        if self._has_long_bodies and self._rng.random() < LONG_BODY_SHARE:
            size_bytes = LONG_BODY_BYTES
        caller.writer.write(
            f"POST /{name}/1 HTTP/1.1\r\nHost: {HOSTNAME}\r\n{model}"
            f"Content-Length: {size_bytes}\r\nX-Request-Id: {attempt.id}\r\n\r\n"
            f"{'x' * (size_bytes - 1)}".encode()
            + REQUEST_END
        )
        attempt.sent_at = self._loop.time()
        attempt.answer = answer = await caller.read_response()
        attempt.ended_at = self._loop.time()
        return answer.complete and answer.headers.get("connection") != "close"

    def _read_log(self, path):
        for line in path.read_text().splitlines():
            with contextlib.suppress(ValueError):
                event = json.loads(line)
                if event.get("event") == "EV-1437":
                    self.ends.append(event)

    def cut(self):
        """Returns the attempts that were delivered and have no complete answer."""
        return [
            item
            for item in self.attempts
            if item.id in self._link.delivered_at and not item.answer.complete
        ]

    def faults(self):
        """Returns a line for each promise that was broken."""
        passed_on = {
            request.headers["x-request-id"]
            for replica in self._replicas
            for request in replica.arrived_requests
        }
        faults = []
        if self.exit_code != 0:
            faults.append(f"the process ended with {self.exit_code}")
        for item in self.cut():
            delivered_at = self._link.delivered_at[item.id]
            line = (
                f"{item.id} {item.route}, status {item.answer.status}, delivered "
                f"{delivered_at - self.stopped_at:.3f} s after the signal, "
                f"{delivered_at - item.sent_at:.3f} s after it was sent"
            )
            if item.id in passed_on:
                faults.append(f"a replica has got it, and it has no answer: {line}")
            elif not item.ended_at:
                faults.append(f"it never ended: {line}")
            elif item.ended_at - delivered_at > LOSS_SLACK_S:
                faults.append(
                    f"ended {item.ended_at - delivered_at:.3f} s later: {line}"
                )
        return faults

    def summary(self):
        """Returns counts of how requests ended, for the records of runs by hand."""
        sent = [item for item in self.attempts if item.sent_at]
        after = [item for item in sent if item.sent_at > self.stopped_at]
        delivered = [item for item in after if item.id in self._link.delivered_at]
        cut = self.cut()
        after_end = [
            item for item in cut if self._link.delivered_at[item.id] > self.ended_at
        ]
        statuses = collections.Counter(item.answer.status for item in delivered)
        ends = collections.Counter(
            f"{item['reason']}/{item['unanswered']}"
            f"/{'late' if item['late_bytes'] else 'not late'}"
            for item in self.ends
        )
        return (
            f"{len(sent)} sent, {len(after)} after the signal, "
            f"{len(after) - len(delivered)} never delivered, {len(cut)} cut, "
            f"{len(after_end)} of these delivered after the process's end; by status "
            f"{dict(statuses)}; EV-1437 {dict(ends)}; process ended after "
            f"{self.ended_at - self.stopped_at:.2f} s"
        )


class StopOnSlowLinkTest(testtools.TestCase):
    def test_requests_queued_behind_a_configuration_are_not_lost_in_a_stop(self):
        """Their connections were ended while they were on the link."""
        stop = anyio.run(play, SlowStop, SEED, ("link",))
        self.assertGreater(len(stop.attempts), CALLERS)
        self.assertLess(len(stop.cut()), MAX_CUT_SHARE * len(stop.attempts))
        self.assertEqual([], stop.faults())


def main(argv):
    return run_by_hand(argv[1], argv[2:], SlowStop, argv[1].split("+"))


if __name__ == "__main__":
    sys.exit(main(sys.argv))
