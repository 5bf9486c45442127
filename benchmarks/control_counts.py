"""Counts messages, bytes and state on the advanced clock, the same in each run."""

import hashlib
import math
import random

import anyio
import msgspec

from benchmarks.slopes import fit
from snipetrestle.limits import LimitShares
from snipetrestle.limits.messages import ShareGrant
from snipetrestle.peers import messages as peer_messages
from snipetrestle.peers.transport import MessageRouter
from snipetrestle.placement import CoordinatedPermits, LoadCoordinator
from snipetrestle.placement.permits import LoadClass
from snipetrestle.publication.sources import Host, HostList
from snipetrestle.published import Contract, WeightStore
from snipetrestle_standins import writes_fleet
from snipetrestle_standins.clock import run_in_virtual_time
from snipetrestle_standins.fleet import MembershipFleet, encode_document, small_document
from snipetrestle_standins.network import InMemoryNetwork

# Sizes at which the counts are taken.
FLEET_SIZES = (8, 16, 32, 64)
# Time for the daemons to pass on the updates of their start, and of each measurement.
SETTLE_S = 30.0
MEASURE_S = 30.0
# Time between the loss of a daemon and the start of its replacement.
OUTAGE_S = 30.0
CHANGE_COUNTS = (0, 1, 2, 4)
CHANGE_INTERVAL_S = 9.0
# Contents above 1 KB are compressed; changes of these sizes stay below that.
ADAPTERS_PER_CHANGE = (1, 4, 8, 16)
KNOWN_ADAPTER_COUNTS = (200, 450, 950, 1950)
# Adapters in each part of a configuration that is published in parts.
ADAPTERS_PER_PART = 250
WRITE_COUNTS = (10, 20, 40, 80)
HOST_COUNTS = (100, 200, 400, 800)
CUSTOMER_COUNTS = (2, 4, 8, 16)
# Hosts among which a limit is divided; their number also sets the term of a grant.
LIMIT_HOSTS = 330
# Requests per second of a contract. One request per second at one of LIMIT_HOSTS hosts
# uses 0.5% of its even part of the first limit, and half of that of the second.
AMPLE_LIMIT_PER_S = 66_000.0
SHORT_LIMIT_PER_S = 660.0
LOAD_COUNTS = (5, 10, 20, 40)
# Daemons of the fleet in which configuration changes are counted.
CHANGE_FLEET_SIZE = 16


def measure_counts():
    """Returns the slopes of all counts."""
    return [
        *_peer_counts(),
        *_configuration_counts(),
        *_reader_counts(),
        *_write_counts(),
        *_limit_counts(),
        *_load_counts(),
    ]


def _run_in_fleet(measure, size, **options):
    """Returns the result of an async function that is called with a settled fleet."""
    result = []

    async def main():
        async with MembershipFleet(size, **options) as fleet:
            fleet.configuration.publish(encode_document(small_document(100)))
            fleet.start_all()
            await anyio.sleep(SETTLE_S)
            result.append(await measure(fleet))

    run_in_virtual_time(main)
    return result[0]


class _Traffic:
    """Counts messages and bytes sent per daemon since the creation of this object."""

    def __init__(self, fleet):
        self._network = fleet.network
        self._daemons = len(fleet.daemons_by_name)
        self._before = self._network.sent_messages, self._network.sent_bytes

    def messages(self):
        return (self._network.sent_messages - self._before[0]) / self._daemons

    def bytes(self):
        return (self._network.sent_bytes - self._before[1]) / self._daemons


def _peer_counts():
    messages, sizes, member_counts, replacement_bytes = [], [], [], []
    for size in FLEET_SIZES:
        idle_rates, members, event_bytes = _run_in_fleet(_measure_peer, size)
        messages.append((size, idle_rates[0]))
        sizes.append((size, idle_rates[1]))
        member_counts.append((size, members))
        # Each update is passed on a number of times that grows with log(fleet size).
        replacement_bytes.append((math.log2(size), event_bytes))
    hosts = [(count, len(host_list_body(count))) for count in HOST_COUNTS]
    return [
        fit("peer", "bytes of the host list", "B", "hosts", hosts),
        fit("peer", "messages sent", "1/s", "daemons", messages),
        fit("peer", "bytes sent", "B/s", "daemons", sizes),
        fit("peer", "members held", "entries", "daemons", member_counts),
        fit(
            "peer",
            "bytes sent for a host replaced",
            "B",
            "log2 of daemons",
            replacement_bytes,
        ),
    ]


def host_list_body(count):
    """Returns a host list in JSON, with addresses and failure domains that vary."""
    generator = random.Random(count)
    hosts = (
        Host(
            f"engine-{number}",
            f"10.{generator.randrange(256)}.{generator.randrange(256)}.1:8000",
            f"domain-{generator.randrange(13)}",
            f"region-{generator.randrange(4)}",
            role="backend",
        )
        for number in range(count)
    )
    return msgspec.json.encode(HostList(1, tuple(hosts)))


async def _measure_peer(fleet):
    """Returns rates per idle daemon, members held, and bytes for a host replaced.

    The rates are (messages/s, bytes/s). The bytes per daemon are those beyond the idle
    rate while another daemon is lost and replaced.
    """
    traffic = _Traffic(fleet)
    await anyio.sleep(MEASURE_S)
    idle_rates = traffic.messages() / MEASURE_S, traffic.bytes() / MEASURE_S
    member_count = len(fleet.daemons_by_name["entry-0"].membership.members())
    traffic = _Traffic(fleet)
    fleet.kill("entry-1")
    await anyio.sleep(OUTAGE_S)
    fleet.start(fleet.host(1))
    await anyio.sleep(MEASURE_S)
    size = len(fleet.daemons_by_name)
    # Mean time in which a daemon sends: the lost one sends nothing during the outage.
    sending_s = OUTAGE_S * (size - 1) / size + MEASURE_S
    return idle_rates, member_count, traffic.bytes() - idle_rates[1] * sending_s


def _configuration_counts():
    messages, sizes, delays = [], [], []
    for changes in CHANGE_COUNTS:
        sent, sent_bytes, _ = _run_in_fleet(
            _change_measurement(changes, 1), CHANGE_FLEET_SIZE
        )
        messages.append((changes, sent))
        sizes.append((changes, sent_bytes))
    per_adapter = []
    for adapters in ADAPTERS_PER_CHANGE:
        _, sent_bytes, _ = _run_in_fleet(
            _change_measurement(1, adapters), CHANGE_FLEET_SIZE
        )
        per_adapter.append((adapters, sent_bytes))
    for size in FLEET_SIZES:
        _, _, delay = _run_in_fleet(_change_measurement(max(CHANGE_COUNTS), 1), size)
        delays.append((math.log2(size), delay))
    return [
        fit("configuration", "messages sent", "messages", "changes", messages),
        fit("configuration", "bytes sent", "B", "changes", sizes),
        fit("configuration", "bytes sent", "B", "adapters in a change", per_adapter),
        fit("configuration", "time to effect", "s", "log2 of daemons", delays),
    ]


def _change_measurement(count, adapters):
    """Returns a measurement of ``count`` changes, each of some added adapters.

    It takes the same time for any count, so that the pings add the same. Its result is
    (messages, bytes) per daemon and the longest time to effect in seconds.
    """

    async def measure(fleet):
        start = anyio.current_time()
        traffic = _Traffic(fleet)
        longest = 0.0
        for number in range(count):
            data = small_document(100 + adapters * (number + 1))
            revision = fleet.configuration.publish(encode_document(data))
            longest = max(longest, await _wait_for_revision(fleet, revision))
            next_start = start + CHANGE_INTERVAL_S * (number + 1)
            await anyio.sleep(max(0.0, next_start - anyio.current_time()))
        end = start + CHANGE_INTERVAL_S * max(CHANGE_COUNTS)
        await anyio.sleep(end - anyio.current_time())
        return traffic.messages(), traffic.bytes(), longest

    return measure


async def _wait_for_revision(fleet, revision):
    """Returns the seconds until a revision is in effect at all daemons."""
    return await fleet.wait_until(
        lambda: fleet.revisions() == ({revision}, {revision}), CHANGE_INTERVAL_S
    )


def _reader_counts():
    calls, sizes = [], []
    for domains in (1, 2, 4, 8):
        calls.append(
            (domains, _run_in_fleet(_service_calls, CHANGE_FLEET_SIZE, domains=domains))
        )
    for adapters in KNOWN_ADAPTER_COUNTS:
        sizes.append(
            (
                adapters,
                _run_in_fleet(_service_bytes_measurement(adapters), 6, domains=3),
            )
        )
    return [
        fit("reader", "service calls for a change", "calls", "domains", calls),
        fit("reader", "bytes read for a change", "B", "adapters known", sizes),
    ]


async def _service_calls(fleet):
    """Returns the calls of all readers for a change of a configuration in one value."""
    before = fleet.configuration.calls.total()
    fleet.configuration.publish(encode_document(small_document(101)))
    await _wait_for_revision(fleet, 2)
    return fleet.configuration.calls.total() - before


def _service_bytes_measurement(adapters):
    """Returns a measurement of the bytes per reader for one new adapter, in parts."""

    async def measure(fleet):
        publish_in_parts(fleet.configuration, small_document(adapters))
        await _wait_for_revision(fleet, 2)
        before = fleet.configuration.sent_bytes
        publish_in_parts(fleet.configuration, small_document(adapters + 1))
        await _wait_for_revision(fleet, 3)
        readers = sum(
            daemon.spread.is_reader() for daemon in fleet.daemons_by_name.values()
        )
        return (fleet.configuration.sent_bytes - before) / readers

    return measure


def publish_in_parts(service, data):
    """Publishes a configuration with its adapters in parts, and the index last.

    Unchanged parts are not published again. Returns the revision of the index.
    """
    adapters = data["adapters"]
    parts = {"rest": {**data, "adapters": []}}
    for start in range(0, len(adapters), ADAPTERS_PER_PART):
        part = {"adapters": adapters[start : start + ADAPTERS_PER_PART]}
        parts[f"adapters-{start // ADAPTERS_PER_PART}"] = part
    digests = {}
    for key, part in parts.items():
        text = encode_document(part)
        digests[key] = hashlib.sha256(text).hexdigest()
        current = service._find(f"snipetrestle/{key}")
        if current is None or current.document != text:
            service.publish(text, key=f"snipetrestle/{key}")
    return service.publish(encode_document({"parts": digests}))


def _write_counts():
    messages, sizes, records = [], [], []
    for writes in WRITE_COUNTS:
        sent, sent_bytes, record_count = _run_writes(writes)
        messages.append((writes, sent))
        sizes.append((writes, sent_bytes))
        records.append((writes, record_count))
    return [
        fit("keeper", "messages sent by all", "messages", "writes", messages),
        fit("keeper", "bytes sent by all", "B", "writes", sizes),
        fit("keeper", "records held by all", "records", "writes", records),
    ]


def _run_writes(writes):
    """Returns [messages, bytes, records held] of all daemons after some writes."""
    result = []

    async def main():
        async with writes_fleet.WritesFleet() as fleet:
            before = fleet.network.sent_messages, fleet.network.sent_bytes
            for number in range(writes):
                name = fleet.names[number % len(fleet.names)]
                await fleet.write(name, key=f"key-{number}")
            await fleet.settle()
            result.extend(
                (
                    fleet.network.sent_messages - before[0],
                    fleet.network.sent_bytes - before[1],
                    sum(
                        daemon.keeper.table.record_count
                        for daemon in fleet.daemons_by_name.values()
                    ),
                )
            )

    run_in_virtual_time(main)
    return result


class _GrantingTransport:
    """PeerTransport that grants each share at once and counts messages and bytes."""

    def __init__(self):
        self.messages = 0
        self.bytes = 0

    async def call(self, member, message, timeout):
        grant = ShareGrant(1.0, 1.0, 1.0, 1.0, 3.0)
        for item in (message, grant):
            self.messages += 1
            self.bytes += len(peer_messages.encode(item)[1])
        return grant


def _limit_counts():
    ample, messages, sizes = [], [], []
    for customers in CUSTOMER_COUNTS:
        transport = run_in_virtual_time(_run_shares, customers, AMPLE_LIMIT_PER_S)
        ample.append((customers, transport.messages / MEASURE_S))
        transport = run_in_virtual_time(_run_shares, customers, SHORT_LIMIT_PER_S)
        messages.append((customers, transport.messages / MEASURE_S))
        sizes.append((customers, transport.bytes / MEASURE_S))
    return [
        fit("entry", "share messages", "1/s", "customers with room", ample),
        fit("entry", "share messages", "1/s", "customers short of a share", messages),
        fit("entry", "share bytes", "B/s", "customers short of a share", sizes),
    ]


async def _run_shares(customers, limit):
    """Returns the transport of a daemon with active customers, after MEASURE_S.

    Each customer sends a request per second. ``limit`` is the contract's number of
    requests per second, for LIMIT_HOSTS hosts.
    """
    transport = _GrantingTransport()
    contract = Contract(
        requests_per_second=limit,
        concurrency=1000,
        tokens_per_minute=10_000_000,
        waiting_first_token_s=1.0,
    )
    shares = LimitShares(
        transport,
        random.Random(1),
        lambda customer: contract,
        lambda customer: "coordinator",
        lambda: LIMIT_HOSTS,
    )
    async with anyio.create_task_group() as group:
        group.start_soon(shares.run)
        for _ in range(int(MEASURE_S)):
            for number in range(customers):
                with shares.admit(f"customer-{number}", "waiting", 100):
                    pass
            await anyio.sleep(1.0)
        group.cancel_scope.cancel()
    return transport


def _load_counts():
    messages, sizes = [], []
    for loads in LOAD_COUNTS:
        sent, sent_bytes = run_in_virtual_time(_run_loads, loads)
        messages.append((loads, sent))
        sizes.append((loads, sent_bytes))
    return [
        fit("owner", "messages of load permits", "messages", "loads", messages),
        fit("owner", "bytes of load permits", "B", "loads", sizes),
    ]


async def _run_loads(loads):
    """Returns (messages, bytes) of obtaining and releasing permits one by one.

    The coordinator is another daemon, so that each request crosses the network.
    """
    store = WeightStore("store", loads_per_second=1.0, parallel_loads=1)
    async with InMemoryNetwork() as network, anyio.create_task_group() as group:
        router = MessageRouter()
        coordinator = LoadCoordinator(router, {"store": store}, first=True)
        network.attach("coordinator", router)
        group.start_soon(coordinator.run)
        permits = CoordinatedPermits(
            network.attach("owner", MessageRouter()),
            "owner",
            random.Random(1),
            lambda name: "coordinator",
            lambda: 7,
            {"store": store},
        )
        for _ in range(loads):
            async with permits.permit("store", LoadClass.WAITING):
                await anyio.sleep(store.load_s)
        group.cancel_scope.cancel()
    return network.sent_messages, network.sent_bytes
