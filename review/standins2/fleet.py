"""A small deployment on loopback: the store, replicas, daemons and clients.

The daemons are separate processes, started with the command of the deploy file. The
store and the replicas are the project's stand-ins; replicas here write their entries as
PROTOCOL says: about every ``heartbeat_ms``, and the entry changes when more than ``seq``
does.
"""

import asyncio
import contextlib
import math
import os
import pathlib
import random
import shlex
import signal
import tempfile
import time
import tomllib

from review.standins2.link import Link
from snipetrestle_standins.platform_replica import PlatformReplica
from snipetrestle_standins.platform_store import PlatformStore
from snipetrestle_standins.ports import free_port

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HOSTNAME = "desk.example"
MODEL = "m0"
MODELS = "models"
HEARTBEAT_S = 1.2
DRAIN_S = 2.0
CONTACT_S = 3.0
START_TIMEOUT_S = 20.0
SETTINGS = """\
node={name}
role=gateway
machine_class=front
serves=front
ip={ip}
zone={zone}
region=sicilia
listen.front={ip}:{front}
listen.ready={ip}:{ready}
listen.control={ip}:{control}
port_range={peers},{last_peer}
seeds={seeds}
bootstrap=true
limits.cpu_share=0.537
limits.cores=2
limits.memory_mb={memory_mb}
limits.max_fds=4100
limits.link_mbps=1000.0
heartbeat_ms=1200
bounds.contact_ms=3000
bounds.drain_ms=2000
bounds.grace_s=8
bounds.config_apply_ms=2000
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.budget_slack=54
bounds.require_fence=true
bounds.lease_ms=3000
bounds.thaw_ms=300
provider.address={store}
provider.form=read
"""


class Record:
    """Writes what is sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self._file = pathlib.Path(path).open("w")  # noqa: SIM115 - open for the run
        self._started_at = time.monotonic()

    def now(self):
        return time.monotonic() - self._started_at

    def write(self, text):
        self._file.write(f"{self.now():8.3f} s  {text}\n")

    def close(self):
        self._file.close()


class Replica(PlatformReplica):
    """A model replica that writes its own entry, leaves, and ends.

    ``left_at`` is when the store accepted the removal of its entry, ``arrivals`` lists
    (time, request id) of the requests that reached it.
    """

    def __init__(self, replica_id, store, record):
        super().__init__(replica_id, MODELS, MODEL, slots=16, adapter_slots=4)
        self._store = store
        self._record = record
        self._written = None
        self._heartbeats = None
        self.boot = int(time.time() * 1000)
        self.events = 20
        self.event_interval_s = 0.05
        self.load_s = 0.25
        # When the entry changed last.
        self.written_at = 0.0
        self.left_at = None
        self.ended_at = None
        self.arrivals = []

    async def join(self):
        await self.start()
        self._heartbeats = asyncio.create_task(self._write_entries())

    async def _write_entries(self):
        while True:
            self.report_count += 1
            entry = self.entry()
            if {**entry, "seq": 0} != self._written:
                self._written = {**entry, "seq": 0}
                self.written_at = self._record.now()
                self._store.put(f"servers/{self.id}", entry)
            await asyncio.sleep(HEARTBEAT_S)

    def leave(self):
        """Leaves as replicas do that never report ``draining``: the entry is removed."""
        self._heartbeats.cancel()
        self._store.delete(f"servers/{self.id}")
        self.left_at = self._record.now()
        self._record.write(f"{self.id} leaves: its entry is removed from the store")

    async def end(self):
        """Ends the process: all its connections are cut."""
        if self.ended_at is None:
            self.ended_at = self._record.now()
            self._record.write(f"{self.id} ends")
            if self._heartbeats is not None:
                self._heartbeats.cancel()
            await self.stop()

    async def _serve_request(self, request, writer):
        request_id = request.headers["x-request-id"]
        self.arrivals.append((self._record.now(), request_id))
        self._record.write(f"{request_id} reaches {self.id}")
        await super()._serve_request(request, writer)


class Daemon:
    """One daemon process with its own address and its own link to the store."""

    def __init__(self, number, folder, ports, seeds, link, memory_mb=300):
        self.number = number
        self.name = f"front-{number}"
        self.ip = f"127.0.0.{number + 2}"
        self.address = (self.ip, ports["front"])
        self.link = link
        # The spans, from beginning to end, in which the machine was out of touch.
        self.out_of_touch = []
        self._ready_address = (self.ip, ports["ready"])
        self._settings = folder / f"{self.name}.conf"
        self._log = folder / f"{self.name}.log"
        self._process = None
        self._settings.write_text(
            SETTINGS.format(
                name=self.name,
                zone=("palermo", "catania", "messina")[number % 3],
                ip=self.ip,
                seeds=",".join(f"{ip}:{ports['control']}" for ip in seeds),
                store="{}:{}".format(*link.address),
                last_peer=ports["peers"] + 15,
                memory_mb=memory_mb,
                **ports,
            )
        )

    async def start(self):
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = shlex.split(deploy["roles"]["gateway"]["run"])
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["PYTHONUNBUFFERED"] = "1"
        environment["SNIPETRESTLE_CONFIG"] = str(self._settings)
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    @property
    def pid(self):
        return self._process.pid

    @property
    def is_running(self):
        return self._process is not None and self._process.returncode is None

    def was_in_touch(self, start, end):
        """Whether the machine was in touch all the time between two moments."""
        return not any(
            out_start <= end and start < out_end
            for out_start, out_end in self.out_of_touch
        )

    async def wait_ready(self):
        while not await self.is_ready():  # noqa: ASYNC110 - a process is polled
            await asyncio.sleep(0.1)

    async def is_ready(self):
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(*self._ready_address)
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    async def kill(self):
        if self.is_running:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self._process.pid, signal.SIGKILL)
            await self._process.wait()


class Fleet:
    """The deployment. Use as an async context manager."""

    def __init__(self, record_path, daemons=3, replicas=4, seed=1):
        self.record = Record(record_path)
        self.rng = random.Random(seed)
        self.store = PlatformStore()
        self.replicas = []
        self.all_replicas = []
        self.daemons = []
        self.sent = 0
        # When each request was sent, and how those ended that were not answered whole.
        self.sent_at = {}
        self.end_by_broken_id = {}
        self._daemon_count = daemons
        self._replica_count = replicas
        self._clients = []
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self):
        folder = pathlib.Path(self._stack.enter_context(tempfile.TemporaryDirectory()))
        await self.store.start()
        self._stack.push_async_callback(self.store.stop)
        self.store.put("op/config", configuration())
        for _ in range(self._replica_count):
            await self.add_replica()
        ports = {name: free_port() for name in ("front", "ready", "control", "peers")}
        seeds = [f"127.0.0.{number + 2}" for number in range(self._daemon_count)]
        for number in range(self._daemon_count):
            link = Link(("127.0.0.1", self.store.port))
            await link.start()
            self._stack.push_async_callback(link.stop)
            daemon = Daemon(number, folder, ports, seeds, link)
            self.daemons.append(daemon)
            await daemon.start()
            self._stack.push_async_callback(daemon.kill)
        async with asyncio.timeout(START_TIMEOUT_S):
            for daemon in self.daemons:
                await daemon.wait_ready()
        return self

    async def __aexit__(self, *details):
        for client in self._clients:
            client.cancel()
        await asyncio.gather(*self._clients, return_exceptions=True)
        for replica in self.all_replicas:
            await replica.end()
        await self._stack.aclose()
        self.record.close()

    async def add_replica(self):
        replica = Replica(f"replica-{len(self.all_replicas)}", self.store, self.record)
        self.all_replicas.append(replica)
        self.replicas.append(replica)
        await replica.join()
        return replica

    def leader(self):
        """Returns the daemon that gave the last order to a replica."""
        holders = [
            (order["fence_token"], order["holder"])
            for replica in self.all_replicas
            for order in replica.orders[-1:]
        ]
        name = max(holders)[1]
        return next(item for item in self.daemons if item.name == name)

    async def end_later(self, replica, delay_s):
        await asyncio.sleep(delay_s)
        await replica.end()

    def start_clients(self, per_daemon, pause_s):
        for daemon in self.daemons:
            for _ in range(per_daemon):
                task = asyncio.create_task(self._run_client(daemon, pause_s))
                self._clients.append(task)

    async def _run_client(self, daemon, pause_s):
        while True:
            await asyncio.sleep(self.rng.uniform(0.5, 1.5) * pause_s)
            await self._send(daemon)

    async def _send(self, daemon):
        self.sent += 1
        request_id = f"d{daemon.number}-{self.sent}"
        adapter = self.rng.randrange(24)
        # Half of the requests are for the model itself, which each replica holds.
        is_for_adapter = self.rng.random() < 0.5
        model = f"{MODEL}/a{adapter}" if is_for_adapter else MODEL
        content = (
            f"POST /night/{self.sent} HTTP/1.1\r\nHost: {HOSTNAME}\r\n"
            f"X-Request-Id: {request_id}\r\nX-Deadline-Ms: 8000\r\n"
            f"X-Model: {model}\r\nX-Token-Count: 100,60\r\n"
            f"X-Prompt-Prefix: p{adapter}:50,{self.sent:x}:50\r\n"
            "Content-Length: 4\r\nConnection: close\r\n\r\nbody"
        )
        self.sent_at[request_id] = self.record.now()
        self.record.write(f"{request_id} sent to {daemon.name}")
        try:
            async with asyncio.timeout(9.0):
                reader, writer = await asyncio.open_connection(*daemon.address)
                writer.write(content.encode())
                answer = await reader.read()
                writer.close()
        except (OSError, TimeoutError) as error:
            answer = b""
            self.record.write(f"{request_id} {error!r}")
        status = answer[9:12].decode() or "none"
        is_whole = status == "200" and answer.endswith(b"0\r\n\r\n")
        if is_whole:
            self.record.write(f"{request_id} answered 200, whole")
            return
        kind = "broken off" if status == "200" else f"answered {status}"
        self.end_by_broken_id[request_id] = kind
        self.record.write(f"{request_id} {kind}")

    def cut(self, daemon):
        """Partitions a machine from the store."""
        self.record.write(f"{daemon.name} is cut off from the store")
        daemon.out_of_touch.append((self.record.now(), math.inf))
        daemon.link.cut()

    def heal(self, daemon):
        daemon.link.heal()
        began_at, _ = daemon.out_of_touch.pop()
        daemon.out_of_touch.append((began_at, self.record.now() + CONTACT_S))
        self.record.write(f"{daemon.name} reaches the store again")

    def late_requests(self):
        """Returns the requests that break DRAIN.

        These reach a replica later than ``drain_ms`` after the store accepted its
        leaving, sent on by a machine that was in touch when its client sent them.
        """
        late = []
        for replica in self.all_replicas:
            # Arrivals are in the order of time.
            if replica.left_at is None:
                continue
            for at, request_id in replica.arrivals:
                daemon = self.daemons[int(request_id[1 : request_id.index("-")])]
                if at - replica.left_at > DRAIN_S and daemon.was_in_touch(
                    self.sent_at[request_id], at
                ):
                    late.append((request_id, replica, at - replica.left_at, daemon))
        return late

    def report_late_requests(self):
        """Writes the result to the record and returns the exit code."""
        late = self.late_requests()
        for request_id, replica, late_s, daemon in late:
            end = self.end_by_broken_id.get(request_id, "answered whole")
            self.record.write(
                f"DRAIN: {request_id} reached {replica.id} {late_s * 1000:.0f} ms after "
                f"its leaving was accepted, from {daemon.name}, in touch; {end}"
            )
        lost = sum(item[0] in self.end_by_broken_id for item in late)
        summary = (
            f"{self.sent} requests sent, {len(late)} reached a replica later than "
            f"{DRAIN_S * 1000:.0f} ms after its leaving, {lost} of them not answered whole"
        )
        self.record.write(summary)
        print(summary)
        return 1 if late else 0


def configuration():
    """Returns the operator's configuration: one route of streams that run once."""
    return {
        "version": 7,
        "routes": [
            {
                "name": "night",
                "hostname": HOSTNAME,
                "prefix": "/night/",
                "route_type": "stream",
                "timeout_ms": 8000,
                "target_latency_ms": 1000,
                "gap_aim_ms": 250,
                "priority": 1,
                "backend": MODELS,
                "attempts": 1,
                "resumable": False,
            }
        ],
        "backends": [
            {
                "name": MODELS,
                "max_conns": 360,
                "runtime": {
                    "slots": 16,
                    "models": [
                        {
                            "name": MODEL,
                            "weights_mb": 72700,
                            "load_s": 0.61,
                            "adapter_mb": 66,
                        }
                    ],
                    "weights_mb": 76000,
                    "adapter_slots": 4,
                    "loads_per_s": 2.2,
                },
            }
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }
