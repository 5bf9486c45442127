"""Decodes the entries of the platform's store into the gateway's types."""

import msgspec

from snipetrestle.decoding import decode
from snipetrestle.gateway.configuration import (
    AdapterKey,
    AdapterVersion,
    Backend,
    CallerLimits,
    LoadedModel,
    Model,
    Name,
    ReplicaEntry,
    ReplicaState,
    RequestKind,
    Route,
    RoutingConfiguration,
    WeightedBackend,
)
from snipetrestle.gateway.publication.published_items import Revision, Unlisted, Version
from snipetrestle.platform.documents import CONFIGURATION_KEY
from snipetrestle.platform.tenants import tenant_table_from
from snipetrestle.platform.values import (
    Count,
    Megabytes,
    Milliseconds,
    NonEmptyName,
    PositiveBytes,
    PositiveMs,
    RatePerS,
    RemainingMs,
    Seconds,
    SizeBytes,
    Weight,
    check_id,
    parse_address,
    parse_versioned_name,
)

# An empty key prefix: one watch covers the operator's items and the replicas.
ALL_ITEMS = ""
_REPLICA_PREFIX = "servers/"
_VERSION_PREFIX = "op/version/"


class _Split(msgspec.Struct):
    backend: Name
    weight: Weight


class _Route(msgspec.Struct):
    name: Name
    hostname: str
    prefix: str
    route_type: RequestKind
    timeout_ms: PositiveMs
    target_latency_ms: Milliseconds = 0.0
    priority: int = 0
    backend: Name | None = None
    split: list[_Split] = []
    # 0 stands for one attempt without repetitions.
    attempts: Count = 1
    resumable: bool = False
    gap_aim_ms: Milliseconds | None = None
    public: bool = False


class _Model(msgspec.Struct):
    name: Name
    weights_mb: Megabytes = 0.0
    load_s: Seconds = 0.0
    adapter_mb: Megabytes = 0.0


class _Runtime(msgspec.Struct):
    slots: Count = 0
    models: list[_Model] = []
    weights_mb: Megabytes = 0.0
    adapter_slots: Count = 0
    loads_per_s: RatePerS = 1.0


class _Backend(msgspec.Struct):
    name: Name
    max_conns: Count = 0
    runtime: _Runtime | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: PositiveBytes = 16_384
    max_body_bytes: SizeBytes = 4_194_304
    header_timeout_ms: PositiveMs = 3000.0
    idle_timeout_ms: PositiveMs = 15_000.0


class _Configuration(msgspec.Struct):
    version: Version
    routes: list[_Route]
    backends: list[_Backend]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    # Decoded separately, so that an error can name the tenant.
    tenants: msgspec.Raw | msgspec.UnsetType = msgspec.UNSET


class _DeclaredVersion(msgspec.Struct):
    model: NonEmptyName
    adapter: NonEmptyName
    version: Version


class _LoadedModel(msgspec.Struct):
    name: Name
    version: Revision = 0
    # Adapters are listed as NAME@VERSION.
    adapters: list[str] = []


class _Replica(msgspec.Struct):
    backend: NonEmptyName
    address: str
    zone: Name
    state: ReplicaState
    slots: Count = 0
    models: list[_LoadedModel] = []
    # The version of the replica's program, in no order.
    version: Name = ""
    # Time left until a preempted replica is taken away.
    remaining_ms: RemainingMs | None = None
    # Start time of the replica in ms of Unix time.
    born: Revision = 0
    # The number of heartbeats that the replica has written since its start.
    seq: Revision = 0


_configuration_decoder = msgspec.json.Decoder(_Configuration)
_version_decoder = msgspec.json.Decoder(_DeclaredVersion)
_replica_decoder = msgspec.json.Decoder(_Replica)


def decode_item(item):
    """Returns a RoutingConfiguration, AdapterVersion, ReplicaEntry or Unlisted.

    Returns None for other items. Raises ValueError for a malformed operator's item;
    a malformed replica's entry gives Unlisted.
    """
    if item.key.startswith(_REPLICA_PREFIX):
        return _decode_replica(item)
    if item.value is None:
        return None
    if item.key == CONFIGURATION_KEY:
        return _configuration_from(decode(_configuration_decoder, item.value))
    if item.key.startswith(_VERSION_PREFIX):
        declared = decode(_version_decoder, item.value)
        key = AdapterKey(declared.model, declared.adapter)
        return AdapterVersion(key, declared.version)
    return None


def _configuration_from(document):
    backends = {backend.name: _backend_from(backend) for backend in document.backends}
    routes = tuple(_route_from(route) for route in document.routes)
    for route in routes:
        for item in route.backends:
            # Replicas may be listed for a backend that is not described.
            backends.setdefault(item.name, Backend(item.name, 0))
    limits = document.limits
    tenants = None
    if document.tenants is not msgspec.UNSET:
        tenants = tenant_table_from(document.tenants)
    return RoutingConfiguration(
        document.version,
        routes,
        backends,
        CallerLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms / 1000,
            limits.idle_timeout_ms / 1000,
        ),
        tenants,
    )


def _route_from(route):
    backends = tuple(WeightedBackend(item.backend, item.weight) for item in route.split)
    if not backends:
        if route.backend is None:
            raise ValueError(f"route {route.name} names no backend")
        backends = (WeightedBackend(route.backend, 1.0),)
    if len(backends) > 1 and not any(item.weight for item in backends):
        raise ValueError(f"all backends of route {route.name} have the weight 0")
    return Route(
        name=route.name,
        hostname=route.hostname.lower(),
        prefix=route.prefix,
        kind=route.route_type,
        timeout_s=route.timeout_ms / 1000,
        target_latency_s=route.target_latency_ms / 1000,
        priority=max(0, route.priority),
        backends=backends,
        attempts=max(1, route.attempts),
        resumable=route.resumable,
        max_gap_s=None if route.gap_aim_ms is None else route.gap_aim_ms / 1000,
        public=route.public,
    )


def _backend_from(backend):
    runtime = backend.runtime
    if runtime is None:
        return Backend(backend.name, backend.max_conns)
    return Backend(
        backend.name,
        backend.max_conns,
        runtime.slots,
        tuple(
            Model(model.name, model.weights_mb, model.load_s, model.adapter_mb)
            for model in runtime.models
        ),
        runtime.weights_mb,
        runtime.adapter_slots,
        runtime.loads_per_s,
    )


def _decode_replica(item):
    """Returns a ReplicaEntry, or Unlisted for a deleted or malformed entry."""
    replica_id = item.key.removeprefix(_REPLICA_PREFIX)
    if item.value is None:
        return Unlisted(replica_id)
    try:
        check_id(replica_id)
        replica = decode(_replica_decoder, item.value)
        ip, port = parse_address(replica.address)
        return ReplicaEntry(
            id=replica_id,
            boot=replica.born,
            report_number=replica.seq,
            backend=replica.backend,
            ip=ip,
            port=port,
            failure_domain=replica.zone,
            state=replica.state,
            slots=replica.slots,
            models=tuple(loaded_model_from(model) for model in replica.models),
            remaining_s=None
            if replica.remaining_ms is None
            else max(0.0, replica.remaining_ms) / 1000,
            software_version=replica.version,
        )
    except ValueError as error:
        return Unlisted(replica_id, str(error))


def loaded_model_from(model):
    """Returns a LoadedModel. Raises ValueError for a malformed adapter version."""
    versions = dict(parse_versioned_name(text) for text in model.adapters)
    return LoadedModel(model.name, model.version, versions)
