"""Stand-in replicas that are processes of their own, so that they can be paused.

A paused process differs from one that falls silent by itself
(``PlatformReplica.fall_silent``): it reads nothing, so requests wait in the buffers of
its sockets, the kernel accepts connections for it, and its heartbeats stop.

The module is run for each replica. It writes JSON lines: first its start, then its entry
with each heartbeat, and last what it has recorded. It reads the commands LEAVE and STOP.
"""

import argparse
import asyncio
import contextlib
import ctypes
import os
import signal
import sys
import time

import msgspec

from snipetrestle_standins.platform_replica import PlatformReplica
from tests.soak.hosts import ROOT

LEAVE = b"leave\n"
STOP = b"stop\n"
HEARTBEAT_S = 0.5
SLOTS = 16
# A stream takes as long as some pauses, so that these fall into it.
EVENT_INTERVAL_S = 0.12
RESPONSE_DELAY_S = 0.15
# A replica that is to end waits until it has had no request for so long.
IDLE_S = 0.3
START_TIMEOUT_S = 10.0
# Orders and runs of a long soak are one line.
MAX_LINE_BYTES = 64 * 1024 * 1024
PR_SET_PDEATHSIG = 1


class ReplicaProcess:
    """One replica. ``on_entry(replica)`` is called with each of its heartbeats.

    ``entry`` is its last entry. ``pauses`` are the (start, end) of its pauses, in loop
    times. ``runs``, ``orders`` and ``overfilled`` are those of PlatformReplica, and are
    known once it has stopped.
    """

    def __init__(self, replica_id, backend, model, on_entry):
        self.id = replica_id
        self.backend = backend
        self.entry = None
        self.port = None
        self.heard_at = 0.0
        self.is_leaving = False
        self.pauses = []
        self.runs = []
        self.orders = []
        self.overfilled = False
        self._model = model
        self._on_entry = on_entry
        self._process = None
        self._reading = None
        self._paused_at = None

    async def start(self):
        """Starts the process. Returns once it listens."""
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "tests.soak.replica_process",
            self.id,
            self.backend,
            self._model or "",
            cwd=ROOT,
            env={**os.environ, "PYTHONPATH": str(ROOT)},
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=MAX_LINE_BYTES,
        )
        async with asyncio.timeout(START_TIMEOUT_S):
            started = msgspec.json.decode(await self._process.stdout.readline())
        self.port = started["port"]
        self._reading = asyncio.create_task(self._read_lines())

    async def _read_lines(self):
        while line := await self._process.stdout.readline():
            fields = msgspec.json.decode(line)
            if "entry" in fields:
                self.entry = fields["entry"]
                self.heard_at = _now()
                self._on_entry(self)
            else:
                self.runs = [tuple(run) for run in fields["runs"]]
                self.orders = fields["orders"]
                self.overfilled = fields["overfilled"]

    @property
    def is_running(self):
        return self._process is not None and self._process.returncode is None

    @property
    def is_paused(self):
        return self._paused_at is not None

    def pause(self):
        """Stops the process as the kernel does, until ``resume``."""
        self._paused_at = _now()
        self._signal(signal.SIGSTOP)

    def resume(self):
        if not self.is_paused:
            return
        self._signal(signal.SIGCONT)
        self.pauses.append((self._paused_at, _now()))
        self._paused_at = None

    def _signal(self, number):
        # A replica that leaves may have ended just now.
        with contextlib.suppress(ProcessLookupError):
            os.kill(self._process.pid, number)

    def leave(self):
        """Lets the replica announce that it leaves; it goes on serving."""
        self.is_leaving = True
        self._process.stdin.write(LEAVE)

    async def stop(self):
        """Ends the process once it has no request, and takes over its records."""
        self._process.stdin.write(STOP)
        await self._reading
        await self._process.wait()

    async def kill(self):
        if self.is_running:
            self._process.kill()
            await self._process.wait()


def _now():
    return asyncio.get_running_loop().time()


def _write_line(**fields):
    sys.stdout.buffer.write(msgspec.json.encode(fields) + b"\n")
    sys.stdout.buffer.flush()


def _write_entry(replica):
    replica.report_count += 1
    state = "draining" if replica.leaving else "ready"
    _write_line(entry=replica.entry(state=state))


async def _send_heartbeats(replica):
    while True:
        _write_entry(replica)
        await asyncio.sleep(HEARTBEAT_S)


async def _wait_idle(replica):
    """Waits until nothing has run or arrived for IDLE_S."""
    idle_since, arrived = _now(), -1
    while _now() - idle_since < IDLE_S:
        if replica.running or arrived != len(replica.arrived_requests):
            idle_since, arrived = _now(), len(replica.arrived_requests)
        await asyncio.sleep(IDLE_S / 10)


async def _open_commands():
    reader = asyncio.StreamReader()
    protocol = asyncio.StreamReaderProtocol(reader)
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: protocol, sys.stdin)
    return reader


async def _run(replica):
    await replica.start()
    commands = await _open_commands()
    _write_line(port=replica.port)
    heartbeats = asyncio.create_task(_send_heartbeats(replica))
    while (command := await commands.readline()) == LEAVE:
        replica.leaving = True
        _write_entry(replica)
    if command == STOP:
        await _wait_idle(replica)
    heartbeats.cancel()
    await replica.stop()
    with contextlib.suppress(BrokenPipeError):
        _write_line(
            runs=replica.runs, orders=replica.orders, overfilled=replica.overfilled
        )


def main():
    # A paused process would outlive a soak that is killed.
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("id")
    parser.add_argument("backend")
    parser.add_argument("model")
    arguments = parser.parse_args()
    replica = PlatformReplica(
        arguments.id, arguments.backend, arguments.model or None, SLOTS
    )
    replica.boot = int(time.time() * 1000)
    replica.event_interval_s = EVENT_INTERVAL_S
    replica.response_delay_s = RESPONSE_DELAY_S
    asyncio.run(_run(replica))


if __name__ == "__main__":
    main()
