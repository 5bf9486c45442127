"""Types of the published routing configuration, replicas and adapter versions.

The platform's package decodes its documents into these types. Times are in seconds.
"""

import enum
import typing

import msgspec

from snipetrestle.tenants.table import TenantTable

MAX_NAME_LENGTH = 200
Name = typing.Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]


class RequestKind(enum.StrEnum):
    """Kind of the requests of a route, which decides whether they may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class WeightedBackend(msgspec.Struct, frozen=True):
    """A backend of a route and its relative share of the requests."""

    name: str
    weight: float


class Route(msgspec.Struct, frozen=True):
    """How requests with a host name and path prefix are served.

    ``attempts`` is the maximum number of replicas on which one request may run.
    Priority 0 is the most urgent. A ``resumable`` stream may be continued on another
    replica. ``max_gap_s`` is the target for the longest time between two of its events.
    A ``public`` route is open to requests without a tenant's key.
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
    public: bool = False

    @property
    def repeatable(self):
        """Whether a request may run more than once."""
        return self.kind is RequestKind.IDEMPOTENT or self.resumable


class Model(msgspec.Struct, frozen=True):
    """A base model: its size, its load time, and the size of one of its adapters."""

    name: str
    weights_mb: float
    load_s: float
    adapter_mb: float


class Backend(msgspec.Struct, frozen=True):
    """A service with interchangeable replicas.

    ``slots`` is the number of requests that a replica runs at a time, 0 if it is not
    published. A replica has ``weights_mb`` of memory for models and adapters, and holds
    at most ``adapter_slots`` adapters. ``loads_per_s`` limits the loads of base models
    in the whole backend.
    """

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
    """Limits on the size of callers' requests and on the time to send them."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class RoutingConfiguration(msgspec.Struct, frozen=True):
    """All routes, backends and tenants at one version of the configuration.

    Without ``tenants``, requests are not authenticated.
    """

    version: int
    routes: tuple[Route, ...]
    backends_by_name: dict[str, Backend]
    limits: CallerLimits = CallerLimits()
    tenants: TenantTable | None = None


class ReplicaState(enum.StrEnum):
    """State that a replica reports about itself."""

    READY = "ready"
    DRAINING = "draining"


class LoadedModel(msgspec.Struct, frozen=True):
    """A model that a replica has loaded, with its adapters' versions by name."""

    name: str
    version: int
    versions_by_adapter: dict[str, int]


class ReplicaEntry(msgspec.Struct, frozen=True):
    """What a replica publishes about itself.

    ``boot`` identifies its start, since a replica may restart under the same id, and
    ``report_number`` counts what it has published since then.
    ``remaining_s`` is the time until a replica is removed, None if no removal is
    planned. ``software_version`` is the version of the replica's program, not of its
    weights; it is empty if the replica names none.
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
    report_number: int = 0
    software_version: str = ""

    def lists_adapter(self, key):
        """Whether the replica says that it holds an AdapterKey's adapter."""
        return any(
            model.name == key.model and key.adapter in model.versions_by_adapter
            for model in self.models
        )


class AdapterKey(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Identifies an adapter of a model; the base model has an empty adapter name."""

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
            # Every route prefix ends with a slash, so only those positions can match.
            end = path.rfind("/", 0, end)
            if end < 0:
                return None
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
