"""Typed routing configuration, replicas and adapter versions as they are published.

The adapter of a platform decodes its documents into these types. Times are in seconds.
"""

import enum

import msgspec


class RequestKind(enum.StrEnum):
    """What may be repeated on a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class WeightedBackend(msgspec.Struct, frozen=True):
    """A backend of a route and its share of the requests."""

    name: str
    weight: float


class Route(msgspec.Struct, frozen=True):
    """One route: requests of a host name and path prefix, and how they are served.

    ``attempts`` is the highest number of replicas that one request may be sent to.
    Priority 0 is the most urgent.
    """

    name: str
    hostname: str
    prefix: str
    kind: RequestKind
    timeout_s: float
    target_latency_s: float
    priority: int
    backends: tuple[WeightedBackend, ...]
    attempts: int
    resumable: bool = False
    max_gap_s: float | None = None

    @property
    def repeatable(self):
        """Whether a request may run more than once."""
        return self.kind is RequestKind.IDEMPOTENT or self.resumable


class Model(msgspec.Struct, frozen=True):
    """A base model. Sizes are in MB."""

    name: str
    weights_mb: float
    load_s: float
    adapter_mb: float


class Backend(msgspec.Struct, frozen=True):
    """A service whose replicas are alike. ``slots`` 0 means that it is not published."""

    name: str
    max_connections: int
    slots: int = 0
    models: tuple[Model, ...] = ()
    weights_mb: float = 0.0
    adapter_slots: int = 0
    loads_per_s: float = 0.0

    @property
    def serves_models(self):
        return bool(self.models)


class CallerLimits(msgspec.Struct, frozen=True):
    """Bounds on what a caller may send, and how long it may take or stay idle."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class RoutingConfiguration(msgspec.Struct, frozen=True):
    """One version of all routes and backends."""

    version: int
    routes: tuple[Route, ...]
    backends_by_name: dict[str, Backend]
    limits: CallerLimits = CallerLimits()


class ReplicaState(enum.StrEnum):
    """State of a replica as it reports it."""

    READY = "ready"
    DRAINING = "draining"


class LoadedModel(msgspec.Struct, frozen=True):
    """A model at a replica, with its adapters' versions by name."""

    name: str
    version: int
    versions_by_adapter: dict[str, int]


class ReplicaEntry(msgspec.Struct, frozen=True):
    """What a replica publishes about itself.

    ``boot`` identifies its start: a replica may start again under the same id.
    ``remaining_s`` is the time until a replica that is taken away is gone.
    """

    id: str
    boot: int
    backend: str
    ip: str
    port: int
    failure_domain: str
    state: ReplicaState
    slots: int = 0
    models: tuple[LoadedModel, ...] = ()
    remaining_s: float | None = None


class AdapterKey(msgspec.Struct, frozen=True, order=True, array_like=True):
    """An adapter of a model."""

    model: str
    adapter: str


class AdapterVersion(msgspec.Struct, frozen=True):
    """The newest declared version of an adapter."""

    key: AdapterKey
    version: int


class RouteTable:
    """Finds the route of a request by host name and longest prefix of the path."""

    def __init__(self, routes):
        self._by_prefix_by_hostname = {}
        for route in routes:
            by_prefix = self._by_prefix_by_hostname.setdefault(route.hostname, {})
            by_prefix[route.prefix] = route

    def match(self, hostname, path):
        """Returns the Route, or None. ``path`` has no query."""
        by_prefix = self._by_prefix_by_hostname.get(hostname)
        if by_prefix is None:
            return None
        end = len(path)
        while True:
            # Every prefix ends with a slash, so only those positions can match.
            end = path.rfind("/", 0, end)
            if end < 0:
                return None
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
