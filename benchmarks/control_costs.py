"""Measures processor time and memory of a daemon's control work on this machine."""

import contextlib
import gzip
import pathlib
import random
import subprocess
import sys
import tempfile
import time
import tracemalloc

import anyio
import anyio.lowlevel
import msgspec

from benchmarks.control_counts import (
    FLEET_SIZES,
    HOST_COUNTS,
    host_list_body,
    publish_in_parts,
)
from benchmarks.reference_loop import cpu_seconds
from benchmarks.slopes import fit
from snipetrestle.limits import LimitShares
from snipetrestle.peers.configuration_changes import (
    Changes,
    apply_changes,
    changes_from_empty,
)
from snipetrestle.peers.configuration_reader import ConfigurationReader
from snipetrestle.peers.grpc_transport import GrpcTransport
from snipetrestle.peers.membership_messages import (
    Health,
    MemberMetadata,
    MemberUpdate,
    Ping,
    PingReply,
)
from snipetrestle.peers.messages import encode
from snipetrestle.peers.tls import TlsMaterial
from snipetrestle.peers.transport import MessageRouter
from snipetrestle.placement import ReplicaChooser
from snipetrestle.placement.demand import DemandTracker
from snipetrestle.published import (
    BackendServer,
    Contract,
    PolicyWeights,
    PublishedConfiguration,
)
from snipetrestle.scheduling.request_queue import QueueEntry, RequestQueue
from snipetrestle_standins import writes_fleet
from snipetrestle_standins.certificates import CertificateAuthority
from snipetrestle_standins.clock import run_in_virtual_time
from snipetrestle_standins.configuration_service import (
    ConfigurationService,
    LocalConfigurationSource,
)
from snipetrestle_standins.fleet import MembershipFleet, encode_document, small_document

# Sizes at which the costs are measured.
ADAPTER_COUNTS = (1000, 2000, 4000, 8000)
MEMBER_COUNTS = (100, 200, 400, 800)
REPLICA_COUNTS = (500, 1000, 2000, 4000)
PEER_COUNTS = (16, 32, 64, 128)
CALL_COUNTS = (200, 400, 800, 1600)
WRITE_COUNTS = (25, 50, 100, 200)
CUSTOMER_COUNTS = (100, 200, 400, 800)
QUEUE_LENGTHS = (50, 100, 200, 400)
# Choices of a replica, and dispatches of a request, in one timed loop.
TIMED_STEPS = 500
# Adapter slots of an engine, customers in its queue, and tokens of a request.
ADAPTER_SLOTS = 8
QUEUE_CUSTOMERS = 10
REQUEST_TOKENS = 100
MEASURE_S = 30.0
CALL_TIMEOUT_S = 5.0
# Time for gRPC's threads to finish with closed calls.
GRPC_SETTLE_S = 1.0
# A page of memory in bytes, the unit of statm.
PAGE_BYTES = 4096

# What a daemon says of itself in each ping.
OWN_UPDATE = MemberUpdate(
    "entry-100",
    10**18,
    2**31,
    0,
    Health.ALIVE,
    False,
    MemberMetadata("10.0.0.100:8100", "palermo", "sicily", 1.0),
)


def measure_costs():
    """Returns the slopes of times in ms, memory in kB and sizes on the wire in B."""
    return [
        # First, since connections could use memory again that other measurements freed.
        *anyio.run(_connection_costs),
        *_peer_costs(),
        *_configuration_costs(),
        *_entry_costs(),
        *_keeper_costs(),
        *_owner_costs(),
    ]


def _peer_costs():
    times = []
    for size in FLEET_SIZES:
        times.append((size, run_in_virtual_time(_idle_fleet_ms, size)))
    memory = [
        (count, run_in_virtual_time(_membership_kb, count)) for count in MEMBER_COUNTS
    ]
    # Not among the counts, since compression libraries give different sizes.
    list_sizes = [
        (count, len(gzip.compress(host_list_body(count)))) for count in HOST_COUNTS
    ]
    return [
        fit("peer", "compressed host list", "B", "hosts", list_sizes, False),
        fit("peer", "handling of pings", "ms/s", "daemons", times, False),
        fit("peer", "memory of members", "kB", "daemons", memory, False),
    ]


async def _idle_fleet_ms(size):
    """Returns the processor time per daemon in ms/s while only pings are sent."""
    async with MembershipFleet(size) as fleet:
        fleet.configuration.publish(encode_document(small_document(10)))
        fleet.start_all()
        await anyio.sleep(MEASURE_S)
        start = time.process_time()
        await anyio.sleep(MEASURE_S)
        return (time.process_time() - start) * 1000 / MEASURE_S / size


async def _membership_kb(count):
    """Returns the memory of a daemon that knows ``count`` members."""
    async with MembershipFleet(count) as fleet:
        # Fills caches, so that only the memory of the next daemon is counted.
        fleet.start(fleet.host(1))
        await anyio.lowlevel.checkpoint()
        tracemalloc.start()
        daemon = fleet.start(fleet.host(0))
        await daemon.membership._refresh_host_list()
        for number in range(1, count):
            daemon.membership._apply_update(
                msgspec.structs.replace(OWN_UPDATE, name=f"entry-{number}")
            )
        daemon.membership.routable()
        size = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        return size / 1000


def _configuration_costs():
    change_times, whole_times, read_times, memory = [], [], [], []
    for count in ADAPTER_COUNTS:
        data = msgspec.json.decode(encode_document(small_document(count)))
        tracemalloc.start()
        configuration = PublishedConfiguration.from_data(data)
        memory.append((count, tracemalloc.get_traced_memory()[0] / 1000))
        tracemalloc.stop()
        change = Changes(puts={"adapters": [data["adapters"][7]]})
        change_times.append(
            (
                count,
                _cpu_ms(lambda old=configuration, new=change: apply_changes(old, new)),
            )
        )
        whole = changes_from_empty(configuration)
        whole_times.append(
            (count, _cpu_ms(lambda first=whole: apply_changes(None, first)))
        )
        read_times.append((count, run_in_virtual_time(_read_part_ms, count)))
    against = "adapters known"
    return [
        fit("configuration", "accepting a change", "ms", against, change_times, False),
        fit(
            "configuration",
            "accepting a whole document",
            "ms",
            against,
            whole_times,
            False,
        ),
        fit("reader", "reading a change in parts", "ms", against, read_times, False),
        fit("configuration", "memory", "kB", against, memory, False),
    ]


def _cpu_ms(function):
    return cpu_seconds(function) * 1000


async def _read_part_ms(count):
    """Returns the least time to read a change of one adapter, of three changes.

    The first reading, of the whole configuration, is not timed.
    """
    service = ConfigurationService()
    reader = ConfigurationReader(LocalConfigurationSource(service))
    configuration = None
    least_s = float("inf")
    for step in range(4):
        publish_in_parts(service, small_document(count + step))
        reading = await reader.next_reading()
        start = time.process_time()
        content = await reader.content(reading, step, configuration)
        if step:
            least_s = min(least_s, time.process_time() - start)
        configuration = apply_changes(configuration, content.changes)
        reader.note_result(reading.revision, True)
    return least_s * 1000


def _entry_costs():
    choice, replicas, demand, shares = [], [], [], []
    for count in REPLICA_COUNTS:
        elapsed, size = run_in_virtual_time(_chooser_cost, count)
        choice.append((count, elapsed))
        replicas.append((count, size))
    for count in ADAPTER_COUNTS:
        demand.append((count, run_in_virtual_time(_demand_kb, count)))
    for count in CUSTOMER_COUNTS:
        shares.append((count, run_in_virtual_time(_shares_kb, count)))
    return [
        fit("entry", "choice of a replica", "ms", "replicas", choice, False),
        fit("entry", "memory of replicas", "kB", "replicas", replicas, False),
        fit("entry", "memory of demand", "kB", "active adapters", demand, False),
        fit("entry", "memory of shares", "kB", "active customers", shares, False),
    ]


async def _chooser_cost(count):
    """Returns (ms per choice, kB) of a ReplicaChooser with ``count`` replicas."""
    servers = [
        BackendServer(
            f"engine-{number}",
            "10.0.0.1:8000",
            "palermo",
            "sicily",
            model="base",
            adapter_slots=8,
            max_batch=32,
        )
        for number in range(count)
    ]
    tracemalloc.start()
    chooser = ReplicaChooser(random.Random(1))
    chooser.set_replicas({"base": servers})
    size = tracemalloc.get_traced_memory()[0] / 1000
    tracemalloc.stop()

    def choose():
        for number in range(TIMED_STEPS):
            name = chooser.choose("base", f"adapter-{number}", "1")
            chooser.on_sent(name, f"adapter-{number}", "1")
            chooser.on_finished(name, f"adapter-{number}", "1", service_s=1.0)

    return _cpu_ms(choose) / TIMED_STEPS, size


async def _demand_kb(count):
    """Returns the memory of a DemandTracker with ``count`` active adapters."""
    tracemalloc.start()
    tracker = DemandTracker()
    for number in range(count):
        tracker.record(f"adapter-{number}@1")
    size = tracemalloc.get_traced_memory()[0] / 1000
    tracemalloc.stop()
    return size


async def _shares_kb(count):
    """Returns the memory of LimitShares with ``count`` active customers."""
    contract = Contract(
        requests_per_second=100.0,
        concurrency=1000,
        tokens_per_minute=1_000_000,
        waiting_first_token_s=1.0,
    )
    names = [f"customer-{number}" for number in range(count)]
    tracemalloc.start()
    shares = LimitShares(
        None, random.Random(1), lambda name: contract, lambda name: "", lambda: 1
    )
    for name in names:
        with shares.admit(name, "waiting", 1):
            pass
    size = tracemalloc.get_traced_memory()[0] / 1000
    tracemalloc.stop()
    return size


def _keeper_costs():
    times = [(count, run_in_virtual_time(_writes_ms, count)) for count in WRITE_COUNTS]
    return [fit("keeper", "writes, all daemons", "ms", "writes", times, False)]


async def _writes_ms(count):
    """Returns the processor time of ``count`` writes at all daemons together."""
    async with writes_fleet.WritesFleet() as fleet:
        start = time.process_time()
        for number in range(count):
            name = fleet.names[number % len(fleet.names)]
            await fleet.write(name, key=f"key-{number}")
        return (time.process_time() - start) * 1000


async def _connection_costs():
    """Measures calls and connections under mutual TLS, both ends in this process."""
    call_times, open_times, memory, call_bytes, open_bytes = [], [], [], [], []
    async with _TransportPair() as pair:
        await pair.ping("warm.peers.test")
        await anyio.sleep(GRPC_SETTLE_S)
        before = time.process_time(), _resident_kb()
        for number in range(max(PEER_COUNTS)):
            await pair.ping(f"peer-{number}.peers.test")
            if number + 1 in PEER_COUNTS:
                # The time slept here uses no processor time.
                await anyio.sleep(GRPC_SETTLE_S)
                elapsed = (time.process_time() - before[0]) * 1000
                open_times.append((number + 1, elapsed))
                memory.append((number + 1, _resident_kb() - before[1]))
    for count in CALL_COUNTS:
        async with _TransportPair() as pair:
            await pair.ping("warm.peers.test")
            start = time.process_time()
            for _ in range(count):
                await pair.ping("warm.peers.test")
            await anyio.sleep(GRPC_SETTLE_S)
            call_times.append((count, (time.process_time() - start) * 1000))
    for count in PEER_COUNTS:
        async with _TransportPair(counts_bytes=True) as pair:
            await pair.ping("warm.peers.test")
            await anyio.sleep(GRPC_SETTLE_S)
            before = pair.relayed_bytes
            for _ in range(count):
                await pair.ping("warm.peers.test")
            await anyio.sleep(GRPC_SETTLE_S)
            call_bytes.append((count, pair.relayed_bytes - before))
            before = pair.relayed_bytes
            for number in range(count):
                await pair.ping(f"peer-{number}.peers.test")
            await anyio.sleep(GRPC_SETTLE_S)
            open_bytes.append((count, pair.relayed_bytes - before))
    return [
        fit("peer", "calls over TLS, both ends", "ms", "calls", call_times, False),
        fit("peer", "first calls, both ends", "ms", "peers", open_times, False),
        fit("peer", "memory of connections, both ends", "kB", "peers", memory, False),
        fit("peer", "bytes of calls on the wire", "B", "calls", call_bytes, False),
        fit(
            "peer",
            "bytes of first calls on the wire",
            "B",
            "peers",
            open_bytes,
            False,
        ),
    ]


def _owner_costs():
    times, memory = [], []
    for count in QUEUE_LENGTHS:
        elapsed, size = run_in_virtual_time(_queue_cost, count)
        times.append((count, elapsed))
        memory.append((count, size))
    return [
        fit("owner", "dispatch of a request", "ms", "queued requests", times, False),
        fit("owner", "memory of a queue", "kB", "queued requests", memory, False),
    ]


async def _queue_cost(count):
    """Returns (ms per dispatch, kB) of a RequestQueue of ``count`` requests."""

    def make_entry(number):
        return QueueEntry(
            f"adapter-{number % ADAPTER_SLOTS}@1",
            False,
            f"customer-{number % QUEUE_CUSTOMERS}",
            REQUEST_TOKENS,
            CALL_TIMEOUT_S,
        )

    tracemalloc.start()
    queue = RequestQueue(PolicyWeights(), limit=2 * count)
    for number in range(count):
        queue.put(make_entry(number))
    size = tracemalloc.get_traced_memory()[0] / 1000
    tracemalloc.stop()
    handles = [f"adapter-{number}@1" for number in range(ADAPTER_SLOTS)]

    def dispatch():
        for number in range(TIMED_STEPS):
            queue.check_capacity(False)
            queue.put(make_entry(number))
            queue.pop(queue.next(handles, False))

    return _cpu_ms(dispatch) / TIMED_STEPS, size


def call_payload_bytes():
    """Returns the encoded size of a measured call's request and reply, without gRPC."""
    return sum(
        len(encode(item)[1])
        for item in (Ping(own=OWN_UPDATE), PingReply(own=OWN_UPDATE))
    )


class _TransportPair:
    """A server and a client of GrpcTransport over mutual TLS in this process.

    With ``counts_bytes`` a relay between them counts the bytes of both directions.
    Names under peers.test are peers at the same address; each has its own connection.
    """

    def __init__(self, counts_bytes=False):
        self.relayed_bytes = 0
        self._counts_bytes = counts_bytes
        self._stack = None

    async def __aenter__(self):
        self._stack = contextlib.AsyncExitStack()
        with tempfile.TemporaryDirectory() as directory:
            authority = CertificateAuthority()
            server_tls = TlsMaterial.from_files(
                authority.issue(directory, "*.peers.test")
            )
            client_tls = TlsMaterial.from_files(authority.issue(directory, "client"))
        router = MessageRouter()
        router.on_call(Ping, self._reply)
        server = GrpcTransport("server", router, {}.get, server_tls)
        self._client = GrpcTransport(
            "client", MessageRouter(), lambda name: self._address, client_tls
        )
        enter = self._stack.enter_async_context
        self._address = await enter(server.serving("127.0.0.1:0"))
        await enter(self._client.serving("127.0.0.1:0"))
        if self._counts_bytes:
            group = await enter(anyio.create_task_group())
            self._stack.callback(group.cancel_scope.cancel)
            await self._start_relay(group)
        return self

    async def __aexit__(self, *details):
        await self._stack.aclose()

    async def _start_relay(self, group):
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        host, _, port = self._address.rpartition(":")
        target = host, int(port)

        async def relay(stream):
            async with (
                stream,
                await anyio.connect_tcp(*target) as server,
                anyio.create_task_group() as tasks,
            ):
                tasks.start_soon(self._copy_stream, stream, server, tasks)
                tasks.start_soon(self._copy_stream, server, stream, tasks)

        group.start_soon(listener.serve, relay)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        self._address = f"127.0.0.1:{port}"

    async def _copy_stream(self, source, target, tasks):
        with contextlib.suppress(
            anyio.EndOfStream, anyio.ClosedResourceError, anyio.BrokenResourceError
        ):
            async for data in source:
                self.relayed_bytes += len(data)
                await target.send(data)
        tasks.cancel_scope.cancel()

    async def _reply(self, sender, message):
        return PingReply(own=OWN_UPDATE)

    async def ping(self, member):
        await self._client.call(member, Ping(own=OWN_UPDATE), CALL_TIMEOUT_S)


def _resident_kb():
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return pages * PAGE_BYTES / 1000


async def measure_round_trip():
    """Returns median and 95th percentile in ms of a call to a peer over loopback."""
    times = []
    async with _TransportPair() as pair:
        await pair.ping("warm.peers.test")
        for _ in range(max(CALL_COUNTS)):
            start = time.perf_counter()
            await pair.ping("warm.peers.test")
            times.append((time.perf_counter() - start) * 1000)
    times.sort()
    return times[len(times) // 2], times[len(times) * 95 // 100]


def measure_base_memory():
    """Returns resident kB of the bare interpreter, and with the product's libraries."""
    return {
        "interpreter": _resident_kb_after("pass"),
        "interpreter and libraries": _resident_kb_after(
            "import anyio, grpc.aio, google.protobuf, prometheus_client, uvicorn,"
            " httpcore, cappa, loguru, msgspec, yaml, xxhash"
        ),
    }


def _resident_kb_after(imports):
    code = f"{imports}\nprint(open('/proc/self/statm').read().split()[1])"
    output = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, check=True, text=True
    )
    return int(output.stdout) * PAGE_BYTES / 1000
