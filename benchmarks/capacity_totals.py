"""Extrapolates the measured slopes to the fleet size that the design plans for."""

import math

import msgspec

from benchmarks.control_costs import call_payload_bytes

# Fleet size and rates after two years, from section 1.6 of the design.
DAEMONS = 330
REGIONS = 4
FAILURE_DOMAINS = 13
WEIGHT_STORES = 4
REPLICAS = 3_900
ADAPTERS = 15_000
CONFIGURATION_CHANGES_PER_S = 4_800 / 86_400
# Hosts that fail, and hosts that are restarted or replaced, per day.
HOST_EVENTS_PER_S = (54 + 470) / 86_400
REQUESTS_PER_S = 55
# Upper bound on loads: 56% of the adapters become active or idle within an hour.
LOADS_PER_S = 0.56 * ADAPTERS / 3_600
# Maximum number of requests in a replica's queue.
QUEUE_LIMIT = 512
# Assumptions: the design gives neither figure.
WRITES_PER_S = 180.0
CUSTOMERS_SHORT_OF_SHARE = 5

# Budgets of a daemon for control work: processor time, bytes sent and received, memory.
BUDGET_MS_PER_S = 41.0
BUDGET_BYTES_PER_S = 18_000.0
BUDGET_KB = 64_000.0

# The published configuration has an item for each adapter and backend server, and both
# cost about the same.
CONFIGURATION_ITEMS = ADAPTERS + REPLICAS
# Ping calls per second at a daemon: one that it sends and one that it receives.
PING_CALLS_PER_S = 2.0
# In each round of 16 pings a daemon draws one new neighbour, and on average one other
# daemon draws it.
NEW_NEIGHBOURS_PER_S = 2 / 16
# A daemon opens this many connections and accepts as many, so its memory is that of
# both ends of this many connections.
NEIGHBOUR_CONNECTIONS = 16


class MechanismCost(msgspec.Struct, frozen=True):
    """Cost of one mechanism in a daemon of the fleet after two years.

    ``code`` is the path of the module that implements it and ``state`` what its memory
    holds. ``bytes_per_s`` are sent and received; ``ms_per_s`` is processor time.
    ``factor`` is the extrapolated size divided by the largest measured one.
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

    def exceeds_half_budget(self):
        """Returns whether this mechanism alone takes more than half of a budget."""
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


class _SlopeLookup:
    """Finds a slope by its role, its measure and the size that it grows with."""

    def __init__(self, slopes):
        self._by_key = {
            (item.role, item.measure, item.against): item for item in slopes
        }

    def __call__(self, role, measure, against):
        return self._by_key[role, measure, against]


def totals_of(slopes):
    """Returns the MechanismCosts of a daemon that has all roles."""
    find = _SlopeLookup(slopes)
    return [
        _ping_cost(find),
        _new_neighbour_cost(find),
        _request_connection_cost(find),
        _host_event_cost(find),
        _configuration_change_cost(find),
        _configuration_reader_cost(find),
        _host_list_cost(find),
        _replica_choice_cost(find),
        _limit_share_cost(find),
        _write_cost(find),
        _queue_cost(find),
        _load_permit_cost(find),
    ]


def _call_cost(find):
    """Returns (bytes, ms at one end) of a call on an open connection."""
    wire_bytes = find("peer", "bytes of calls on the wire", "calls")
    both_ends_time = find("peer", "calls over TLS, both ends", "calls")
    return wire_bytes.slope, both_ends_time.slope / 2


def _extrapolation_factor(size, slope):
    return size / slope.largest_x


def _ping_cost(find):
    handling = find("peer", "handling of pings", "daemons")
    messages = find("peer", "messages sent", "daemons")
    payload = find("peer", "bytes sent", "daemons")
    memory = find("peer", "memory of members", "daemons")
    call_bytes, call_ms = _call_cost(find)
    # The measured call carries a ping without updates, so the updates are added here.
    update_bytes = max(0.0, payload.at(DAEMONS) - call_payload_bytes())
    return MechanismCost(
        "peer",
        "pings",
        "peers/membership.py",
        f"{DAEMONS} members",
        2 * messages.at(DAEMONS),
        PING_CALLS_PER_S * call_bytes + 2 * update_bytes,
        handling.at(DAEMONS) + PING_CALLS_PER_S * call_ms,
        memory.at(DAEMONS),
        _extrapolation_factor(DAEMONS, messages),
        "a fixed rate; the state has an entry for each member",
    )


def _new_neighbour_cost(find):
    first_call_bytes = find("peer", "bytes of first calls on the wire", "peers")
    first_call_time = find("peer", "first calls, both ends", "peers")
    memory = find("peer", "memory of connections, both ends", "peers")
    return MechanismCost(
        "peer",
        "connections to neighbours",
        "peers/grpc_transport.py",
        f"{NEIGHBOUR_CONNECTIONS} neighbours",
        0.0,
        NEW_NEIGHBOURS_PER_S * first_call_bytes.slope,
        NEW_NEIGHBOURS_PER_S * first_call_time.slope / 2,
        NEIGHBOUR_CONNECTIONS * memory.slope,
        1.0,
        "one neighbour is replaced in each round of 16 pings",
    )


def _request_connection_cost(find):
    memory = find("peer", "memory of connections, both ends", "peers")
    peers = DAEMONS // REGIONS
    return MechanismCost(
        "entry, owner",
        f"connections of requests, {peers} peers of the region",
        "peers/grpc_transport.py",
        f"{peers} peers",
        0.0,
        0.0,
        0.0,
        peers * memory.slope,
        _extrapolation_factor(peers, memory),
        f"all {DAEMONS} peers would take {DAEMONS * memory.slope / 1000:.0f} MB",
    )


def _host_event_cost(find):
    event_bytes = find("peer", "bytes sent for a host replaced", "log2 of daemons")
    return MechanismCost(
        "peer",
        "hosts lost and replaced",
        "peers/updates.py",
        "bounded queue of updates",
        0.0,
        2 * HOST_EVENTS_PER_S * event_bytes.at(math.log2(DAEMONS)),
        0.0,
        0.0,
        math.log2(DAEMONS) / event_bytes.largest_x,
        "updates ride on pings; the processor time is in the line of pings",
    )


def _configuration_change_cost(find):
    messages = find("configuration", "messages sent", "changes")
    payload = find("configuration", "bytes sent", "changes")
    accept_time = find("configuration", "accepting a change", "adapters known")
    memory = find("configuration", "memory", "adapters known")
    call_bytes, call_ms = _call_cost(find)
    calls = messages.slope * CONFIGURATION_CHANGES_PER_S
    return MechanismCost(
        "configuration",
        "changes from peers",
        "peers/configuration_spread.py",
        f"{CONFIGURATION_ITEMS} items",
        2 * calls,
        # Each message sent is also received; a call is two messages.
        calls * call_bytes + 2 * payload.slope * CONFIGURATION_CHANGES_PER_S,
        accept_time.at(CONFIGURATION_ITEMS) * CONFIGURATION_CHANGES_PER_S
        + calls * call_ms,
        memory.at(CONFIGURATION_ITEMS),
        _extrapolation_factor(CONFIGURATION_ITEMS, accept_time),
        "only the changed items travel, and only they are checked",
    )


def _configuration_reader_cost(find):
    payload = find("reader", "bytes read for a change", "adapters known")
    read_time = find("reader", "reading a change in parts", "adapters known")
    return MechanismCost(
        "reader",
        "changes from the service",
        "peers/configuration_reader.py",
        f"names of {CONFIGURATION_ITEMS} items",
        2 * CONFIGURATION_CHANGES_PER_S,
        payload.at(CONFIGURATION_ITEMS) * CONFIGURATION_CHANGES_PER_S,
        read_time.at(CONFIGURATION_ITEMS) * CONFIGURATION_CHANGES_PER_S,
        0.0,
        _extrapolation_factor(CONFIGURATION_ITEMS, payload),
        "the index and one part are read for a change of one adapter",
    )


def _host_list_cost(find):
    list_bytes = find("peer", "compressed host list", "hosts")
    hosts = DAEMONS + REPLICAS
    # A host that fails or is replaced leaves the list and comes back.
    return MechanismCost(
        "peer",
        "host list",
        "platform/http_sources.py",
        f"{hosts} hosts",
        2.0,
        2 * HOST_EVENTS_PER_S * list_bytes.at(hosts),
        0.0,
        0.0,
        _extrapolation_factor(hosts, list_bytes),
        "compressed; an unchanged list is answered with 304",
    )


def _replica_choice_cost(find):
    choice_time = find("entry", "choice of a replica", "replicas")
    replica_memory = find("entry", "memory of replicas", "replicas")
    demand_memory = find("entry", "memory of demand", "active adapters")
    return MechanismCost(
        "entry",
        "choice of the replica",
        "placement/chooser.py",
        f"{REPLICAS} replicas, {ADAPTERS} adapters",
        0.0,
        0.0,
        choice_time.at(REPLICAS) * REQUESTS_PER_S,
        replica_memory.at(REPLICAS) + demand_memory.at(ADAPTERS),
        _extrapolation_factor(ADAPTERS, demand_memory),
        "each choice looks at a bounded number of candidates",
    )


def _limit_share_cost(find):
    messages = find("entry", "share messages", "customers short of a share")
    payload = find("entry", "share bytes", "customers short of a share")
    memory = find("entry", "memory of shares", "active customers")
    call_bytes, call_ms = _call_cost(find)
    # Each daemon sends its own share requests and, as a coordinator, answers as many.
    calls = messages.at(CUSTOMERS_SHORT_OF_SHARE)
    own_payload = payload.at(CUSTOMERS_SHORT_OF_SHARE)
    call_overhead_bytes = call_bytes - call_payload_bytes()
    return MechanismCost(
        "entry, coordinator",
        f"shares of {CUSTOMERS_SHORT_OF_SHARE} customers",
        "limits/shares.py",
        f"{CUSTOMERS_SHORT_OF_SHARE} customers",
        2 * calls,
        2 * own_payload + calls * call_overhead_bytes,
        calls * call_ms,
        memory.at(CUSTOMERS_SHORT_OF_SHARE),
        _extrapolation_factor(CUSTOMERS_SHORT_OF_SHARE, messages),
        f"assumed: {CUSTOMERS_SHORT_OF_SHARE} customers use over a quarter of a limit; "
        "others ask for nothing",
    )


def _write_cost(find):
    messages = find("keeper", "messages sent by all", "writes")
    payload = find("keeper", "bytes sent by all", "writes")
    write_time = find("keeper", "writes, all daemons", "writes")
    call_bytes, call_ms = _call_cost(find)
    call_overhead_bytes = call_bytes - call_payload_bytes()
    rate = WRITES_PER_S / DAEMONS
    calls = messages.slope / 2 * rate
    return MechanismCost(
        "home, keeper",
        "writes",
        "writes/keeper.py",
        "bounded by writes.max_records",
        2 * messages.slope * rate,
        2 * (payload.slope * rate + calls * call_overhead_bytes),
        write_time.slope * rate + 2 * calls * call_ms,
        0.0,
        1.0,
        f"assumed: {WRITES_PER_S:.0f} writes per second, 1% of the requests",
    )


def _queue_cost(find):
    dispatch_time = find("owner", "dispatch of a request", "queued requests")
    memory = find("owner", "memory of a queue", "queued requests")
    replicas = REPLICAS / DAEMONS
    return MechanismCost(
        "owner",
        "queues of its replicas",
        "scheduling/request_queue.py",
        f"{replicas:.0f} queues of {QUEUE_LIMIT}",
        0.0,
        0.0,
        dispatch_time.at(QUEUE_LIMIT) * REQUESTS_PER_S,
        memory.at(QUEUE_LIMIT) * replicas,
        _extrapolation_factor(QUEUE_LIMIT, memory),
        "all queues full",
    )


def _load_permit_cost(find):
    messages = find("owner", "messages of load permits", "loads")
    payload = find("owner", "bytes of load permits", "loads")
    call_bytes, call_ms = _call_cost(find)
    # This is the cost at the coordinator of one weight store. There is one for each
    # store, and it answers the owners of all daemons.
    rate = LOADS_PER_S / WEIGHT_STORES
    calls = messages.slope / 2 * rate
    call_overhead_bytes = call_bytes - call_payload_bytes()
    return MechanismCost(
        "coordinator",
        "load permits of one store",
        "placement/load_coordinator.py",
        "pending permits",
        2 * calls,
        payload.slope * rate + calls * call_overhead_bytes,
        calls * call_ms,
        0.0,
        1.0,
        f"{WEIGHT_STORES} stores, {LOADS_PER_S:.1f} loads per second in all",
    )
