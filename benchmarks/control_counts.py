"""Counts of messages, bytes and state on the advanced clock, the same in each run."""

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

FLEET_SIZES = (8, 16, 32, 64)
# Time for the updates of the start to be passed on, and of each measurement.
SETTLE_S = 30.0
MEASURE_S = 30.0
# A daemon is lost for this long before its host is replaced.
OUTAGE_S = 30.0
CHANGES = (0, 1, 2, 4)
CHANGE_INTERVAL_S = 9.0
# Contents above 1 KB are compressed, which these stay below.
ADAPTERS_PER_CHANGE = (1, 4, 8, 16)
ADAPTERS_KNOWN = (200, 450, 950, 1950)
# Adapters in each part of a document in parts.
PART_ADAPTERS = 250
WRITES = (10, 20, 40, 80)
HOSTS = (100, 200, 400, 800)
CUSTOMERS = (2, 4, 8, 16)
# Hosts on the list, which divide a limit and set the term of a grant.
SHARE_HOSTS = 330
# Limits that a request per second at one of these hosts uses little and much of.
ROOMY_LIMIT = 66_000.0
SHORT_LIMIT = 660.0
LOADS = (5, 10, 20, 40)
# Daemons of the fleet in which changes are counted.
CHANGE_FLEET = 16


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


def _run(function, size, **options):
    result = []

    async def main():
        async with MembershipFleet(size, **options) as fleet:
            fleet.configuration.publish(encode_document(small_document(100)))
            fleet.start_all()
            await anyio.sleep(SETTLE_S)
            result.append(await function(fleet))

    run_in_virtual_time(main)
    return result[0]


class _Traffic:
    """Messages and bytes per daemon since its creation."""

    def __init__(self, fleet):
        self._network = fleet.network
        self._daemons = len(fleet.daemons_by_name)
        self._before = self._network.sent_messages, self._network.sent_bytes

    def messages(self):
        return (self._network.sent_messages - self._before[0]) / self._daemons

    def bytes(self):
        return (self._network.sent_bytes - self._before[1]) / self._daemons


def _peer_counts():
    messages, sizes, state, lost = [], [], [], []
    for size in FLEET_SIZES:
        quiet, entries, event_bytes = _run(_measure_peer, size)
        messages.append((size, quiet[0]))
        sizes.append((size, quiet[1]))
        state.append((size, entries))
        # Updates are repeated a logarithmic number of times.
        lost.append((math.log2(size), event_bytes))
    hosts = [(count, len(host_list_body(count))) for count in HOSTS]
    return [
        fit("peer", "bytes of the host list", "B", "hosts", hosts),
        fit("peer", "messages sent", "1/s", "daemons", messages),
        fit("peer", "bytes sent", "B/s", "daemons", sizes),
        fit("peer", "members held", "entries", "daemons", state),
        fit("peer", "bytes sent for a host replaced", "B", "log2 of daemons", lost),
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
    traffic = _Traffic(fleet)
    await anyio.sleep(MEASURE_S)
    quiet = traffic.messages() / MEASURE_S, traffic.bytes() / MEASURE_S
    entries = len(fleet.daemons_by_name["entry-0"].membership.members())
    traffic = _Traffic(fleet)
    fleet.kill("entry-1")
    await anyio.sleep(OUTAGE_S)
    fleet.start(fleet.host(1))
    await anyio.sleep(MEASURE_S)
    size = len(fleet.daemons_by_name)
    # The lost daemon sends nothing while it is away.
    live = OUTAGE_S * (size - 1) / size + MEASURE_S
    return quiet, entries, traffic.bytes() - quiet[1] * live


def _configuration_counts():
    messages, sizes, delays = [], [], []
    for changes in CHANGES:
        sent, sent_bytes, _ = _run(_changes(changes, 1), CHANGE_FLEET)
        messages.append((changes, sent))
        sizes.append((changes, sent_bytes))
    per_adapter = []
    for adapters in ADAPTERS_PER_CHANGE:
        _, sent_bytes, _ = _run(_changes(1, adapters), CHANGE_FLEET)
        per_adapter.append((adapters, sent_bytes))
    for size in FLEET_SIZES:
        _, _, delay = _run(_changes(max(CHANGES), 1), size)
        delays.append((math.log2(size), delay))
    return [
        fit("configuration", "messages sent", "messages", "changes", messages),
        fit("configuration", "bytes sent", "B", "changes", sizes),
        fit("configuration", "bytes sent", "B", "adapters in a change", per_adapter),
        fit("configuration", "time to effect", "s", "log2 of daemons", delays),
    ]


def _changes(count, adapters):
    """Returns a measurement of ``count`` changes with the pings of a fixed time."""

    async def measure(fleet):
        start = anyio.current_time()
        traffic = _Traffic(fleet)
        longest = 0.0
        for number in range(count):
            data = small_document(100 + adapters * (number + 1))
            revision = fleet.configuration.publish(encode_document(data))
            longest = max(longest, await _effect(fleet, revision))
            next_start = start + CHANGE_INTERVAL_S * (number + 1)
            await anyio.sleep(max(0.0, next_start - anyio.current_time()))
        end = start + CHANGE_INTERVAL_S * max(CHANGES)
        await anyio.sleep(end - anyio.current_time())
        return traffic.messages(), traffic.bytes(), longest

    return measure


async def _effect(fleet, revision):
    return await fleet.wait_until(
        lambda: fleet.revisions() == ({revision}, {revision}), CHANGE_INTERVAL_S
    )


def _reader_counts():
    calls, sizes = [], []
    for domains in (1, 2, 4, 8):
        calls.append((domains, _run(_service_calls, CHANGE_FLEET, domains=domains)))
    for adapters in ADAPTERS_KNOWN:
        sizes.append((adapters, _run(_service_bytes(adapters), 6, domains=3)))
    return [
        fit("reader", "service calls for a change", "calls", "domains", calls),
        fit("reader", "bytes read for a change", "B", "adapters known", sizes),
    ]


async def _service_calls(fleet):
    """Returns the calls of all readers for one change of a document in one value."""
    before = fleet.configuration.calls.total()
    fleet.configuration.publish(encode_document(small_document(101)))
    await _effect(fleet, 2)
    return fleet.configuration.calls.total() - before


def _service_bytes(adapters):
    async def measure(fleet):
        publish_in_parts(fleet.configuration, small_document(adapters))
        await _effect(fleet, 2)
        before = fleet.configuration.sent_bytes
        publish_in_parts(fleet.configuration, small_document(adapters + 1))
        await _effect(fleet, 3)
        readers = sum(
            daemon.spread.is_reader() for daemon in fleet.daemons_by_name.values()
        )
        return (fleet.configuration.sent_bytes - before) / readers

    return measure


def publish_in_parts(service, data):
    """Publishes a document with its adapters in parts, and the index last."""
    adapters = data["adapters"]
    parts = {"rest": {**data, "adapters": []}}
    for start in range(0, len(adapters), PART_ADAPTERS):
        part = {"adapters": adapters[start : start + PART_ADAPTERS]}
        parts[f"adapters-{start // PART_ADAPTERS}"] = part
    digests = {}
    for key, part in parts.items():
        text = encode_document(part)
        digests[key] = hashlib.sha256(text).hexdigest()
        known = service._find(f"snipetrestle/{key}")
        if known is None or known.document != text:
            service.publish(text, key=f"snipetrestle/{key}")
    return service.publish(encode_document({"parts": digests}))


def _write_counts():
    messages, sizes, records = [], [], []
    for writes in WRITES:
        sent, sent_bytes, kept = _run_writes(writes)
        messages.append((writes, sent))
        sizes.append((writes, sent_bytes))
        records.append((writes, kept))
    return [
        fit("keeper", "messages sent by all", "messages", "writes", messages),
        fit("keeper", "bytes sent by all", "B", "writes", sizes),
        fit("keeper", "records held by all", "records", "writes", records),
    ]


def _run_writes(writes):
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
    """PeerTransport that grants each share at once and counts."""

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
    roomy, messages, sizes = [], [], []
    for customers in CUSTOMERS:
        transport = run_in_virtual_time(_run_shares, customers, ROOMY_LIMIT)
        roomy.append((customers, transport.messages / MEASURE_S))
        transport = run_in_virtual_time(_run_shares, customers, SHORT_LIMIT)
        messages.append((customers, transport.messages / MEASURE_S))
        sizes.append((customers, transport.bytes / MEASURE_S))
    return [
        fit("entry", "share messages", "1/s", "customers with room", roomy),
        fit("entry", "share messages", "1/s", "customers short of a share", messages),
        fit("entry", "share bytes", "B/s", "customers short of a share", sizes),
    ]


async def _run_shares(customers, limit):
    """Keeps some customers active at one daemon, each with a request per second.

    ``limit`` is the contract's number of requests per second, for SHARE_HOSTS hosts.
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
        lambda: SHARE_HOSTS,
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
    for loads in LOADS:
        sent, sent_bytes = run_in_virtual_time(_run_loads, loads)
        messages.append((loads, sent))
        sizes.append((loads, sent_bytes))
    return [
        fit("owner", "messages of load permits", "messages", "loads", messages),
        fit("owner", "bytes of load permits", "B", "loads", sizes),
    ]


async def _run_loads(loads):
    """Obtains and releases permits one after the other at a coordinator elsewhere."""
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
