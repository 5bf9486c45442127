"""Selection of a replica by the daemon that received a request."""

import math

import anyio

from snipetrestle.codes import ResultCode, ServingError
from snipetrestle.engines.protocol import format_handle
from snipetrestle.placement.candidates import CandidateTree
from snipetrestle.placement.demand import DemandTracker

# Candidates in addition to the wanted copies, in case a replica is slow, full or
# leaving.
SPARE_CANDIDATES = 2
MAX_CANDIDATES = 8
# One copy of an adapter is enough until its requests fill this fraction of a replica's
# batch.
COPY_TARGET_BATCH_FRACTION = 0.5
# Expected duration of a load until one has been measured.
DEFAULT_LOAD_S = 0.5
# Weight of a new measurement in a moving average.
EWMA_WEIGHT = 0.2
# Hints show the load by other daemons. They lose their weight within this time, since
# replies bring new ones.
HINT_MAX_AGE_S = 2.0
# A copy that was last reported or requested longer ago may have been evicted.
PLACEMENT_MAX_AGE_S = 120.0
# A measured slowdown decays with this half-life, so that a recovered engine gets
# requests again.
SLOWDOWN_HALF_LIFE_S = 60.0
# All daemons prefer candidates in the same order, so that they use the same copy: each
# rank costs this fraction of the duration of a load.
RANK_COST_IN_LOADS = 0.6
# A batch request rather waits for this many durations of a load at a replica with a
# copy than causes another load from the weight store.
BATCH_LOAD_COST_FACTOR = 20.0
DEFAULT_SECONDS_PER_TOKEN = 0.025
DEFAULT_REQUEST_TOKENS = 64
# Time saved by a prompt prefix that is probably in the replica's prefix cache.
PREFIX_HIT_SAVING_S = 0.02
MAX_PLACEMENTS = 20_000
MAX_PREFIXES = 4_096
MAX_CANDIDATE_LISTS = 20_000


class _Replica:
    """Load, copies and speed of a replica, as far as this daemon knows them."""

    __slots__ = (
        "server",
        "tokens_by_class",
        "latest_hints",
        "hints_received_at",
        "residents",
        "residents_received_at",
        "slowdown",
        "slowdown_measured_at",
    )

    def __init__(self, server):
        self.server = server
        # Outstanding tokens of this daemon's requests: waiting, batch (by is_batch).
        self.tokens_by_class = [0, 0]
        self.latest_hints = None
        self.hints_received_at = -math.inf
        self.residents = frozenset()
        self.residents_received_at = -math.inf
        self.slowdown = 1.0
        self.slowdown_measured_at = 0.0

    def token_s(self, now, mean_token_s):
        """Returns the expected seconds per token.

        They follow from the mean of all replicas, the published speed and the slowdown.
        """
        decay = 0.5 ** ((now - self.slowdown_measured_at) / SLOWDOWN_HALF_LIFE_S)
        slowdown = self.slowdown**decay
        return mean_token_s * slowdown / self.server.speed

    def expected_wait_s(self, now, mean_token_s, tokens, is_batch):
        """Returns the expected seconds until a request for ``tokens`` tokens ends.

        Batch requests do not delay waiting requests.
        """
        token_s = self.token_s(now, mean_token_s)
        outstanding_tokens = self.tokens_by_class[False]
        if is_batch:
            outstanding_tokens += self.tokens_by_class[True]
        own_wait_s = token_s * outstanding_tokens / self.server.max_batch
        hints_age_s = now - self.hints_received_at
        if self.latest_hints is None or hints_age_s >= HINT_MAX_AGE_S:
            return token_s * tokens + own_wait_s
        # The hints include this daemon's requests, so the larger value is used.
        hinted_wait_s = self.latest_hints.expected_wait_s
        if is_batch:
            hinted_requests = self.latest_hints.queued + self.latest_hints.running
            hinted_wait_s = token_s * tokens * hinted_requests / self.server.max_batch
        return token_s * tokens + max(
            own_wait_s, hinted_wait_s * (1.0 - hints_age_s / HINT_MAX_AGE_S)
        )


class _BoundedTable(dict):
    """Dictionary that evicts its oldest entry when it is full."""

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
    """Chooses the candidate replica of an adapter with the lowest expected cost.

    The cost is the expected time until the request has finished. With ``sample=2`` only
    two random candidates are compared (power of two choices).
    """

    def __init__(self, rng, *, sample=None):
        self._random = rng
        self._sample = sample
        self._replicas_by_name = {}
        self._trees_by_model = {}
        self._candidates_by_key = _BoundedTable(MAX_CANDIDATE_LISTS)
        # When a copy was last reported or requested, by replica name and handle.
        self._placement_times = _BoundedTable(MAX_PLACEMENTS)
        self._prefixes = _BoundedTable(MAX_PREFIXES)
        self._demand = DemandTracker(half_life_s=20.0)
        self._mean_token_s = DEFAULT_SECONDS_PER_TOKEN
        self._mean_load_s = DEFAULT_LOAD_S
        self._mean_service_s = DEFAULT_SECONDS_PER_TOKEN * DEFAULT_REQUEST_TOKENS

    def set_replicas(self, replicas_by_model):
        """Sets the routable backend servers of each model.

        The state of replicas that are known already is kept.
        """
        known_replicas = self._replicas_by_name
        self._replicas_by_name = {}
        self._trees_by_model = {}
        for model, servers in replicas_by_model.items():
            for server in servers:
                replica = known_replicas.get(server.name) or _Replica(server)
                replica.server = server
                self._replicas_by_name[server.name] = replica
            self._trees_by_model[model] = CandidateTree(
                {server.name: server.adapter_slots or 1 for server in servers}
            )
        self._candidates_by_key.clear()

    def choose(
        self,
        model,
        adapter,
        version,
        exclude=(),
        *,
        prefix="",
        tokens=DEFAULT_REQUEST_TOKENS,
        is_batch=False,
    ):
        """Returns the name of a replica for a request of ``tokens`` tokens.

        Raises ServingError if there is none.
        """
        handle = format_handle(adapter, version)
        self._demand.record(handle)
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
        """Returns the number of copies that the demand for a handle needs."""
        running_requests = self._demand.rate(handle) * self._mean_service_s
        return 1 + int(running_requests / (COPY_TARGET_BATCH_FRACTION * 16))

    def _candidates(self, model, handle, exclude):
        """Returns the names of the candidates for a handle, best first."""
        tree = self._trees_by_model.get(model)
        if tree is None:
            return ()
        key = (model, handle)
        candidates = self._candidates_by_key.get(key)
        if candidates is None:
            candidates = tree.top_candidates(handle, MAX_CANDIDATES)
            self._candidates_by_key.put(key, candidates)
        count = min(MAX_CANDIDATES, self.wanted_copies(handle) + SPARE_CANDIDATES)
        return [name for name in candidates if name not in exclude][:count]

    def _cost(self, index, name, handle, prefix, tokens, is_batch, now):
        """Returns the expected seconds that a request takes at a candidate.

        ``index`` is its rank among the candidates.
        """
        replica = self._replicas_by_name[name]
        cost = replica.expected_wait_s(now, self._mean_token_s, tokens, is_batch)
        load_s = self._mean_load_s * (BATCH_LOAD_COST_FACTOR if is_batch else 1.0)
        if not self._probably_has_copy(replica, handle, now):
            cost += load_s
        cost += index * load_s * RANK_COST_IN_LOADS
        if prefix and (name, handle, prefix) in self._prefixes:
            cost -= PREFIX_HIT_SAVING_S
        return cost

    def _probably_has_copy(self, replica, handle, now):
        """Tells whether the replica probably has the copy or is loading it."""
        placed_at = self._placement_times.get((replica.server.name, handle), -math.inf)
        if handle in replica.residents:
            return (
                now - max(placed_at, replica.residents_received_at)
                <= PLACEMENT_MAX_AGE_S
            )
        # The list does not contain copies that were requested after it was received.
        return (
            placed_at > replica.residents_received_at
            and now - placed_at <= PLACEMENT_MAX_AGE_S
        )

    def on_sent(
        self,
        replica,
        adapter,
        version,
        tokens=DEFAULT_REQUEST_TOKENS,
        prefix="",
        is_batch=False,
    ):
        """Counts a request that this daemon sends, before any hints can include it."""
        state = self._replicas_by_name.get(replica)
        if state is None:
            return
        state.tokens_by_class[is_batch] += tokens
        handle = format_handle(adapter, version)
        self._placement_times.put((replica, handle), anyio.current_time())
        if prefix:
            self._prefixes.put((replica, handle, prefix), True)

    def on_finished(
        self,
        replica,
        adapter,
        version,
        tokens=DEFAULT_REQUEST_TOKENS,
        *,
        service_s=None,
        load_stall_s=0.0,
        failed=False,
        is_batch=False,
    ):
        """Ends a request that ``on_sent`` counted, and updates the measurements.

        ``service_s`` is the time from dispatch to the last of ``tokens`` tokens, and
        ``load_stall_s`` the time that the request waited for a load.
        """
        state = self._replicas_by_name.get(replica)
        if state is None:
            return
        left = state.tokens_by_class[is_batch] - tokens
        state.tokens_by_class[is_batch] = max(0, left)
        if failed:
            self._placement_times.pop((replica, format_handle(adapter, version)), None)
        if load_stall_s > 0.0:
            self._mean_load_s += EWMA_WEIGHT * (load_stall_s - self._mean_load_s)
        if service_s is not None and tokens > 0:
            self._update_slowdown(state, service_s, tokens)

    def _update_slowdown(self, state, service_s, tokens):
        """Updates the slowdown of a replica and the means of all replicas."""
        token_s = service_s / tokens * state.server.speed
        ratio = token_s / self._mean_token_s
        now = anyio.current_time()
        decay = 0.5 ** ((now - state.slowdown_measured_at) / SLOWDOWN_HALF_LIFE_S)
        state.slowdown = math.exp(
            (1 - EWMA_WEIGHT) * decay * math.log(state.slowdown)
            + EWMA_WEIGHT * math.log(max(ratio, 1e-3))
        )
        state.slowdown_measured_at = now
        # Clipped, since a slow engine must not shift the mean that it is compared with.
        clipped = min(max(ratio, 0.5), 2.0) * self._mean_token_s
        self._mean_token_s += 0.02 * (clipped - self._mean_token_s)
        self._mean_service_s += 0.02 * (service_s - self._mean_service_s)

    def on_hints(self, hints, adapter, version):
        """Applies the ReplicaHints of a reply to a request for an adapter."""
        state = self._replicas_by_name.get(hints.replica)
        if state is None:
            return
        state.latest_hints = hints
        state.hints_received_at = anyio.current_time()
        key = (hints.replica, format_handle(adapter, version))
        if hints.resident:
            self._placement_times.put(key, state.hints_received_at)
        if hints.residents is not None:
            state.residents = frozenset(hints.residents)
            state.residents_received_at = state.hints_received_at
