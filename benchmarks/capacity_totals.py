"""Extrapolates the slopes to the two-year size of the design."""

import math

import msgspec

from benchmarks.control_costs import measured_call_payload

# Design section 1.6.
DAEMONS = 330
REGIONS = 4
DOMAINS = 13
STORES = 4
REPLICAS = 3_900
ADAPTERS = 15_000
CHANGES_PER_S = 4_800 / 86_400
# Hosts failing and hosts restarted or replaced.
HOST_EVENTS_PER_S = (54 + 470) / 86_400
REQUESTS_PER_S = 55
# 56% of the adapters become active or idle within an hour, so at most this many loads.
LOADS_PER_S = 0.56 * ADAPTERS / 3_600
# A queue holds at most this many requests.
QUEUE_LIMIT = 512
# Assumptions: the design names neither figure.
WRITES_PER_S = 180.0
SHORT_CUSTOMERS = 5

BUDGET_MS_PER_S = 41.0
BUDGET_BYTES_PER_S = 18_000.0
BUDGET_KB = 64_000.0

# The published configuration has an item for each adapter and backend server, and both
# cost about the same.
ITEMS = ADAPTERS + REPLICAS
# Calls of pings at one daemon per second: its own and those of others.
PING_CALLS_PER_S = 2.0
# One neighbour in sixteen is new in each round of pings, here and at others.
NEW_NEIGHBOURS_PER_S = 2 / 16
# A peer connection has an end at each of the two daemons, and each daemon opens one.
NEIGHBOUR_CONNECTIONS = 16


class Line(msgspec.Struct, frozen=True):
    """Cost of one mechanism in a daemon at the two-year size.

    ``bytes_per_s`` are sent and received. ``factor`` is the extrapolation beyond the
    largest measured size.
    """

    role: str
    mechanism: str
    code: str
    state: str
    messages_per_s: float
    bytes_per_s: float
    ms_per_s: float
    kilobytes: float
    factor: float
    note: str = ""

    def over(self):
        """Tells whether this line alone takes more than half of a budget."""
        return (
            2 * self.bytes_per_s > BUDGET_BYTES_PER_S
            or 2 * self.ms_per_s > BUDGET_MS_PER_S
            or 2 * self.kilobytes > BUDGET_KB
        )

    def summary(self):
        return (
            f"{self.messages_per_s:.3g} messages/s, {self.bytes_per_s:.4g} B/s, "
            f"{self.ms_per_s / 10:.3g}% of a core, {self.kilobytes / 1000:.3g} MB"
        )


class _Slopes:
    def __init__(self, slopes):
        self._by_key = {
            (item.role, item.measure, item.against): item for item in slopes
        }

    def __call__(self, role, measure, against):
        return self._by_key[role, measure, against]


def totals_of(slopes):
    """Returns the lines of all mechanisms at the two-year size."""
    find = _Slopes(slopes)
    return [
        _pings(find),
        _new_neighbours(find),
        _connections(find),
        _host_events(find),
        _changes(find),
        _reader(find),
        _host_list(find),
        _choice(find),
        _shares(find),
        _writes(find),
        _queues(find),
        _loads(find),
    ]


def _call(find):
    """Returns (bytes, ms at one end) of a call on an open connection."""
    wire = find("peer", "bytes of calls on the wire", "calls")
    times = find("peer", "calls over TLS, both ends", "calls")
    return wire.slope, times.slope / 2


def _factor(x, slope):
    return x / slope.largest_x


def _pings(find):
    handling = find("peer", "handling of pings", "daemons")
    messages = find("peer", "messages sent", "daemons")
    payload = find("peer", "bytes sent", "daemons")
    memory = find("peer", "memory of members", "daemons")
    call_bytes, call_ms = _call(find)
    # The measured call carries a ping without updates; the rest is the updates.
    extra = max(0.0, payload.at(DAEMONS) - measured_call_payload())
    return Line(
        "peer",
        "pings",
        "peers/membership.py",
        f"{DAEMONS} members",
        2 * messages.at(DAEMONS),
        PING_CALLS_PER_S * call_bytes + 2 * extra,
        handling.at(DAEMONS) + PING_CALLS_PER_S * call_ms,
        memory.at(DAEMONS),
        _factor(DAEMONS, messages),
        "a fixed rate; the state has an entry for each member",
    )


def _new_neighbours(find):
    opening = find("peer", "bytes of first calls on the wire", "peers")
    times = find("peer", "first calls, both ends", "peers")
    memory = find("peer", "memory of connections, both ends", "peers")
    return Line(
        "peer",
        "connections to neighbours",
        "peers/grpc_transport.py",
        f"{NEIGHBOUR_CONNECTIONS} neighbours",
        0.0,
        NEW_NEIGHBOURS_PER_S * opening.slope,
        NEW_NEIGHBOURS_PER_S * times.slope / 2,
        NEIGHBOUR_CONNECTIONS * memory.slope,
        1.0,
        "one neighbour is replaced in each round of 16 pings",
    )


def _connections(find):
    memory = find("peer", "memory of connections, both ends", "peers")
    peers = DAEMONS // REGIONS
    return Line(
        "entry, owner",
        f"connections of requests, {peers} peers of the region",
        "peers/grpc_transport.py",
        f"{peers} peers",
        0.0,
        0.0,
        0.0,
        peers * memory.slope,
        _factor(peers, memory),
        f"all {DAEMONS} peers would take {DAEMONS * memory.slope / 1000:.0f} MB",
    )


def _host_events(find):
    slope = find("peer", "bytes sent for a host replaced", "log2 of daemons")
    return Line(
        "peer",
        "hosts lost and replaced",
        "peers/updates.py",
        "bounded queue of updates",
        0.0,
        2 * HOST_EVENTS_PER_S * slope.at(math.log2(DAEMONS)),
        0.0,
        0.0,
        math.log2(DAEMONS) / slope.largest_x,
        "updates ride on pings; the processor time is in the line of pings",
    )


def _changes(find):
    messages = find("configuration", "messages sent", "changes")
    payload = find("configuration", "bytes sent", "changes")
    accept = find("configuration", "accepting a change", "adapters known")
    memory = find("configuration", "memory", "adapters known")
    call_bytes, call_ms = _call(find)
    calls = messages.slope * CHANGES_PER_S
    return Line(
        "configuration",
        "changes from peers",
        "peers/configuration_spread.py",
        f"{ITEMS} items",
        2 * calls,
        # Each message sent is also received; a call is two messages.
        calls * call_bytes + 2 * payload.slope * CHANGES_PER_S,
        accept.at(ITEMS) * CHANGES_PER_S + calls * call_ms,
        memory.at(ITEMS),
        _factor(ITEMS, accept),
        "only the changed items travel, and only they are checked",
    )


def _reader(find):
    payload = find("reader", "bytes read for a change", "adapters known")
    read = find("reader", "reading a change in parts", "adapters known")
    return Line(
        "reader",
        "changes from the service",
        "peers/configuration_reader.py",
        f"names of {ITEMS} items",
        2 * CHANGES_PER_S,
        payload.at(ITEMS) * CHANGES_PER_S,
        read.at(ITEMS) * CHANGES_PER_S,
        0.0,
        _factor(ITEMS, payload),
        "the index and one part are read for a change of one adapter",
    )


def _host_list(find):
    size = find("peer", "compressed host list", "hosts")
    hosts = DAEMONS + REPLICAS
    # A host that fails or is replaced leaves the list and comes back.
    return Line(
        "peer",
        "host list",
        "platform/http_sources.py",
        f"{hosts} hosts",
        2.0,
        2 * HOST_EVENTS_PER_S * size.at(hosts),
        0.0,
        0.0,
        _factor(hosts, size),
        "compressed; an unchanged list is answered with 304",
    )


def _choice(find):
    choice = find("entry", "choice of a replica", "replicas")
    replicas = find("entry", "memory of replicas", "replicas")
    demand = find("entry", "memory of demand", "active adapters")
    return Line(
        "entry",
        "choice of the replica",
        "placement/chooser.py",
        f"{REPLICAS} replicas, {ADAPTERS} adapters",
        0.0,
        0.0,
        choice.at(REPLICAS) * REQUESTS_PER_S,
        replicas.at(REPLICAS) + demand.at(ADAPTERS),
        _factor(ADAPTERS, demand),
        "each choice looks at a bounded number of candidates",
    )


def _shares(find):
    messages = find("entry", "share messages", "customers short of a share")
    payload = find("entry", "share bytes", "customers short of a share")
    memory = find("entry", "memory of shares", "active customers")
    call_bytes, call_ms = _call(find)
    # At each daemon: its own requests, and those that it answers as a coordinator.
    calls = messages.at(SHORT_CUSTOMERS)
    own_payload = payload.at(SHORT_CUSTOMERS)
    overhead = call_bytes - measured_call_payload()
    return Line(
        "entry, coordinator",
        f"shares of {SHORT_CUSTOMERS} customers",
        "limits/shares.py",
        f"{SHORT_CUSTOMERS} customers",
        2 * calls,
        2 * own_payload + calls * overhead,
        calls * call_ms,
        memory.at(SHORT_CUSTOMERS),
        _factor(SHORT_CUSTOMERS, messages),
        f"assumed: {SHORT_CUSTOMERS} customers use over a quarter of a limit; others ask "
        "for nothing",
    )


def _writes(find):
    messages = find("keeper", "messages sent by all", "writes")
    payload = find("keeper", "bytes sent by all", "writes")
    times = find("keeper", "writes, all daemons", "writes")
    call_bytes, call_ms = _call(find)
    overhead = call_bytes - measured_call_payload()
    rate = WRITES_PER_S / DAEMONS
    calls = messages.slope / 2 * rate
    return Line(
        "home, keeper",
        "writes",
        "writes/keeper.py",
        "bounded by writes.max_records",
        2 * messages.slope * rate,
        2 * (payload.slope * rate + calls * overhead),
        times.slope * rate + 2 * calls * call_ms,
        0.0,
        1.0,
        f"assumed: {WRITES_PER_S:.0f} writes per second, 1% of the requests",
    )


def _queues(find):
    dispatch = find("owner", "dispatch of a request", "queued requests")
    memory = find("owner", "memory of a queue", "queued requests")
    replicas = REPLICAS / DAEMONS
    return Line(
        "owner",
        "queues of its replicas",
        "scheduling/request_queue.py",
        f"{replicas:.0f} queues of {QUEUE_LIMIT}",
        0.0,
        0.0,
        dispatch.at(QUEUE_LIMIT) * REQUESTS_PER_S,
        memory.at(QUEUE_LIMIT) * replicas,
        _factor(QUEUE_LIMIT, memory),
        "all queues full",
    )


def _loads(find):
    messages = find("owner", "messages of load permits", "loads")
    payload = find("owner", "bytes of load permits", "loads")
    call_bytes, call_ms = _call(find)
    # Each daemon asks for its loads; the coordinators are four daemons of the fleet,
    # and the line is that of a coordinator.
    rate = LOADS_PER_S / STORES
    calls = messages.slope / 2 * rate
    overhead = call_bytes - measured_call_payload()
    return Line(
        "coordinator",
        "load permits of one store",
        "placement/load_coordinator.py",
        "pending permits",
        2 * calls,
        payload.slope * rate + calls * overhead,
        calls * call_ms,
        0.0,
        1.0,
        f"{STORES} stores, {LOADS_PER_S:.1f} loads per second in all",
    )
