"""A gateway process with limits of its own, and the crowds of callers that it bears."""

import contextlib
import pathlib
import resource

import anyio

from snipetrestle_standins.gateway_fleet import (
    REGISTER_BACKEND,
    Caller,
    configuration,
    route,
)
from snipetrestle_standins.platform_replica import PlatformReplica
from snipetrestle_standins.platform_store import PlatformStore
from snipetrestle_standins.ports import free_port
from tests.platform.hostile_callers import (
    PIECE_BYTES,
    PersistentCallers,
    ProcessUsage,
    chunk,
)
from tests.process_logs import log_folder
from tests.soak.hosts import HostProcess
from tests.stacked import StackedContext

# A guard against a process that hangs, on a busy machine.
TEST_TIMEOUT_S = 240.0
ROUTE_TIMEOUT_MS = 200_000
MEMORY_MB = 152
# Of the descriptors of a process, so many are for files; sockets share the others.
FILE_DESCRIPTORS = 200
# An ordinary caller sends so many writes, one after the other.
ORDINARY_WRITES = 6
MB = 1024 * 1024
ENDLESS_NAME = "endless"


class EndlessReplica(PlatformReplica):
    """A replica whose answers to requests for ENDLESS_NAME have no end."""

    async def _serve_request(self, request, writer):
        if not request.target.endswith(ENDLESS_NAME):
            await super()._serve_request(request, writer)
            return
        headers = "".join(
            f"{name}: {value}\r\n" for name, value in self._proof_headers(request)
        )
        writer.write(
            f"HTTP/1.1 200 OK\r\n{headers}Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        while not writer.transport.is_closing():
            writer.write(chunk(b"x" * PIECE_BYTES))
            await writer.drain()


class CrowdPlay(StackedContext):
    """A gateway process with limits, its store and a replica.

    ``max_fds`` is the limit of the process's descriptors, in its settings and in the
    kernel.
    """

    def __init__(self, folder, memory_mb=MEMORY_MB, max_fds=1000, replica=None):
        self._folder = pathlib.Path(folder)
        self._store = PlatformStore()
        self._limits = f"limits.memory_mb={memory_mb}\nlimits.max_fds={max_fds}\n"
        self.memory_mb = memory_mb
        self.max_fds = max_fds
        self.replica = replica or PlatformReplica("register-0", REGISTER_BACKEND)
        self.host = None
        self.usage = None
        self.ports = {}

    async def _start(self):
        for server in (self._store, self.replica):
            await server.start()
            self._stack.push_async_callback(server.stop)
        fields = {"timeout_ms": ROUTE_TIMEOUT_MS, "target_latency_ms": ROUTE_TIMEOUT_MS}
        routes = [
            route("entry", "non_idempotent", REGISTER_BACKEND, **fields),
            route("lookup", "idempotent", REGISTER_BACKEND, attempts=1, **fields),
            route("draft", "stream", REGISTER_BACKEND, attempts=1, **fields),
        ]
        self._store.put("op/config", configuration(1, routes))
        self._store.put(f"servers/{self.replica.id}", self.replica.entry())
        self.ports = {
            name: free_port() for name in ("front", "ready", "control", "peers")
        }
        self.host = HostProcess(
            0,
            self._folder,
            self.ports,
            [],
            ("127.0.0.1", self._store.port),
            further_settings=self._limits,
        )
        await self.host.start()
        self._stack.push_async_callback(self.host.kill)
        limits = (self.max_fds, self.max_fds)
        resource.prlimit(self.host.pid, resource.RLIMIT_NOFILE, limits)
        await self.host.wait_ready()
        self.usage = ProcessUsage(self.host.pid)

    async def send_writes(self):
        """Returns the statuses of an ordinary caller's writes."""
        statuses = []
        for number in range(ORDINARY_WRITES):
            async with Caller(self.host.callers_address) as caller:
                response = await caller.send_request(f"/entry/{number}", body=b"x")
                statuses.append(response.status)
        return statuses

    def crowd(self, count, pieces, port="front", **options):
        """Returns a crowd of PersistentCallers of one of the process's ports."""
        address = (self.host.ip, self.ports[port])
        return PersistentCallers(address, count, pieces, **options)

    async def probe_readiness(self):
        """Returns the status of a readiness probe, 0 if it is not answered."""
        async with Caller((self.host.ip, self.ports["ready"])) as caller:
            return (await caller.send_request("/-/ready", method="GET")).status


@contextlib.asynccontextmanager
async def playing(**options):
    """Runs a CrowdPlay while the context is open."""
    with log_folder("crowd") as folder, anyio.fail_after(TEST_TIMEOUT_S):
        async with CrowdPlay(folder, **options) as play:
            yield play
