"""Choice of the replica for a request, at its entry."""

import math

import anyio

from snipetrestle.codes import ResultCode, ServingError
from snipetrestle.engines.protocol import format_handle
from snipetrestle.placement.candidates import CandidateTree
from snipetrestle.placement.demand import DemandTracker

# Candidates beyond the wanted copies, for a slow, full or leaving replica.
SPARE_CANDIDATES = 2
MAX_CANDIDATES = 8
# A copy takes the load of an adapter until it fills this part of a replica's batch.
COPY_FILL = 0.5
# Expected seconds of a load until one was measured.
DEFAULT_LOAD_S = 0.5
# Share of a new measurement in a moving average.
SMOOTHING = 0.2
# Hints of other daemons' work fade within seconds, since replies bring new ones.
HINT_LIFE_S = 2.0
# A copy that was seen or promised this long ago may have been evicted.
PLACEMENT_LIFE_S = 120.0
# A measured slow-down fades with this half-life, so that a recovered engine is tried.
SPEED_HALF_LIFE_S = 60.0
# Entries prefer candidates in the same order, so that they agree on one copy: each
# step down the order costs this part of a load's time.
RANK_COST = 0.6
# Batch work waits this many load times at a replica with the copy rather than use the
# store for another copy.
BATCH_LOAD_COST = 20.0
DEFAULT_TOKEN_S = 0.025
DEFAULT_TOKENS = 64
# Seconds saved by a prompt prefix that the replica probably still holds.
PREFIX_GAIN_S = 0.02
MAX_PLACEMENTS = 20_000
MAX_PREFIXES = 4_096
MAX_ORDERS = 20_000


class _Replica:
    __slots__ = (
        "server",
        "tokens_by_class",
        "hint",
        "hinted_at",
        "residents",
        "listed_at",
        "slowness",
        "measured_at",
    )

    def __init__(self, server):
        self.server = server
        # Own outstanding tokens: waiting, batch.
        self.tokens_by_class = [0, 0]
        self.hint = None
        self.hinted_at = -math.inf
        self.residents = frozenset()
        self.listed_at = -math.inf
        self.slowness = 1.0
        self.measured_at = 0.0

    def token_s(self, now, mean_token_s):
        """Seconds per token: the fleet's mean, published speed, measured slowness."""
        fading = 0.5 ** ((now - self.measured_at) / SPEED_HALF_LIFE_S)
        slowness = self.slowness**fading
        return mean_token_s * slowness / self.server.speed

    def expected_wait_s(self, now, mean_token_s, tokens, is_batch):
        """Seconds until a request is done. Batch work does not delay waiting requests."""
        token_s = self.token_s(now, mean_token_s)
        work = self.tokens_by_class[False]
        if is_batch:
            work += self.tokens_by_class[True]
        own = token_s * work / self.server.max_batch
        age = now - self.hinted_at
        if self.hint is None or age >= HINT_LIFE_S:
            return token_s * tokens + own
        # The hint counts own work too, so the larger of both is taken.
        hinted = self.hint.expected_wait_s
        if is_batch:
            queued = self.hint.queued + self.hint.running
            hinted = token_s * tokens * queued / self.server.max_batch
        return token_s * tokens + max(own, hinted * (1.0 - age / HINT_LIFE_S))


class _BoundedTable(dict):
    """Dictionary that drops its oldest entry when it is full."""

    __slots__ = ("_limit",)

    def __init__(self, limit):
        super().__init__()
        self._limit = limit

    def put(self, key, value):
        self.pop(key, None)
        self[key] = value
        if len(self) > self._limit:
            del self[next(iter(self))]


class ReplicaChooser:
    """Picks replicas by least expected wait among an adapter's candidates.

    With ``sample=2`` it compares two random candidates only (power-of-two choices).
    """

    def __init__(self, rng, *, sample=None):
        self._random = rng
        self._sample = sample
        self._replicas_by_name = {}
        self._trees_by_model = {}
        self._orders = _BoundedTable(MAX_ORDERS)
        self._placements = _BoundedTable(MAX_PLACEMENTS)
        self._prefixes = _BoundedTable(MAX_PREFIXES)
        self._demand = DemandTracker(half_life_s=20.0)
        self._mean_token_s = DEFAULT_TOKEN_S
        self._load_s = DEFAULT_LOAD_S
        self._mean_service_s = DEFAULT_TOKEN_S * DEFAULT_TOKENS

    def set_replicas(self, replicas_by_model):
        """Takes the routable backend servers of each model; known state is kept."""
        known = self._replicas_by_name
        self._replicas_by_name = {}
        self._trees_by_model = {}
        for model, servers in replicas_by_model.items():
            for server in servers:
                replica = known.get(server.name) or _Replica(server)
                replica.server = server
                self._replicas_by_name[server.name] = replica
            self._trees_by_model[model] = CandidateTree(
                {server.name: server.adapter_slots or 1 for server in servers}
            )
        self._orders.clear()

    def choose(
        self,
        model,
        adapter,
        version,
        exclude=(),
        *,
        prefix="",
        tokens=DEFAULT_TOKENS,
        is_batch=False,
    ):
        """Returns the name of a replica. Raises ServingError if there is none."""
        handle = format_handle(adapter, version)
        self._demand.note(handle)
        names = self._candidates(model, handle, exclude)
        if not names:
            raise ServingError(ResultCode.NO_REPLICA, retry_after=1.0)
        if self._sample is not None and len(names) > self._sample:
            names = self._random.sample(names, self._sample)
        now = anyio.current_time()
        costs = [
            (self._cost(index, name, handle, prefix, tokens, is_batch, now), index)
            for index, name in enumerate(names)
        ]
        return names[min(costs)[1]]

    def wanted_copies(self, handle):
        """Returns the number of copies that the demand for a handle fills."""
        busy = self._demand.rate(handle) * self._mean_service_s
        return 1 + int(busy / (COPY_FILL * 16))

    def _candidates(self, model, handle, exclude):
        tree = self._trees_by_model.get(model)
        if tree is None:
            return ()
        key = (model, handle)
        order = self._orders.get(key)
        if order is None:
            order = tree.order(handle, MAX_CANDIDATES)
            self._orders.put(key, order)
        count = min(MAX_CANDIDATES, self.wanted_copies(handle) + SPARE_CANDIDATES)
        return [name for name in order if name not in exclude][:count]

    def _cost(self, index, name, handle, prefix, tokens, is_batch, now):
        replica = self._replicas_by_name[name]
        cost = replica.expected_wait_s(now, self._mean_token_s, tokens, is_batch)
        load_s = self._load_s * (BATCH_LOAD_COST if is_batch else 1.0)
        if not self._is_placed(replica, handle, now):
            cost += load_s
        cost += index * load_s * RANK_COST
        if prefix and (name, handle, prefix) in self._prefixes:
            cost -= PREFIX_GAIN_S
        return cost

    def _is_placed(self, replica, handle, now):
        """Whether the replica probably has the copy, or loads it."""
        placed_at = self._placements.get((replica.server.name, handle), -math.inf)
        if handle in replica.residents:
            return now - max(placed_at, replica.listed_at) <= PLACEMENT_LIFE_S
        # What was sent after the list was made is not in it yet.
        return placed_at > replica.listed_at and now - placed_at <= PLACEMENT_LIFE_S

    def on_sent(
        self,
        replica,
        adapter,
        version,
        tokens=DEFAULT_TOKENS,
        prefix="",
        is_batch=False,
    ):
        """Counts own work at once, before any hint can show it."""
        state = self._replicas_by_name.get(replica)
        if state is None:
            return
        state.tokens_by_class[is_batch] += tokens
        handle = format_handle(adapter, version)
        self._placements.put((replica, handle), anyio.current_time())
        if prefix:
            self._prefixes.put((replica, handle, prefix), True)

    def on_finished(
        self,
        replica,
        adapter,
        version,
        tokens=DEFAULT_TOKENS,
        *,
        service_s=None,
        load_stall_s=0.0,
        failed=False,
        is_batch=False,
    ):
        """Ends what ``on_sent`` counted.

        ``service_s`` is the time from dispatch to the last of ``tokens`` tokens.
        """
        state = self._replicas_by_name.get(replica)
        if state is None:
            return
        left = state.tokens_by_class[is_batch] - tokens
        state.tokens_by_class[is_batch] = max(0, left)
        if failed:
            self._placements.pop((replica, format_handle(adapter, version)), None)
        if load_stall_s > 0.0:
            self._load_s += SMOOTHING * (load_stall_s - self._load_s)
        if service_s is not None and tokens > 0:
            self._measure(state, service_s, tokens)

    def _measure(self, state, service_s, tokens):
        token_s = service_s / tokens * state.server.speed
        ratio = token_s / self._mean_token_s
        now = anyio.current_time()
        fading = 0.5 ** ((now - state.measured_at) / SPEED_HALF_LIFE_S)
        state.slowness = math.exp(
            (1 - SMOOTHING) * fading * math.log(state.slowness)
            + SMOOTHING * math.log(max(ratio, 1e-3))
        )
        state.measured_at = now
        # A slow engine must not shift the mean that it is compared with.
        clipped = min(max(ratio, 0.5), 2.0) * self._mean_token_s
        self._mean_token_s += 0.02 * (clipped - self._mean_token_s)
        self._mean_service_s += 0.02 * (service_s - self._mean_service_s)

    def on_hints(self, hints, adapter, version):
        """Takes an owner's hints about a replica, and about the copy if named."""
        state = self._replicas_by_name.get(hints.replica)
        if state is None:
            return
        state.hint = hints
        state.hinted_at = anyio.current_time()
        key = (hints.replica, format_handle(adapter, version))
        if hints.resident:
            self._placements.put(key, state.hinted_at)
        if hints.residents is not None:
            state.residents = frozenset(hints.residents)
            state.listed_at = state.hinted_at
