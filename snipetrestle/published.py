"""Published configuration: the document that operators publish for all daemons.

The document is YAML or JSON (JSON is much faster to decode with 15,000 adapters). Its
revision is assigned by the configuration service and is not part of the document.
"""

import fnmatch
import typing
from collections import Counter

import msgspec

from snipetrestle.checking import InvalidDocument, Problem, check_struct, parse_document

# A bound also refuses NaN, which passes comparisons in Python.
Number = typing.Annotated[float, msgspec.Meta(ge=-1e15, le=1e15)]


class PolicyWeights(msgspec.Struct, frozen=True):
    """Relative weights of the two optimization goals; they need not sum to one."""

    load_stalls: Number = 1.0
    batch_efficiency: Number = 1.0


class Model(msgspec.Struct, frozen=True):
    """A base model."""

    name: str
    context_tokens: int = 8192


class Adapter(msgspec.Struct, frozen=True):
    """A LoRA adapter of one model, with the versions that may be requested."""

    name: str
    model: str
    versions: tuple[str, ...]


class BatchAllowance(msgspec.Struct, frozen=True):
    """Limit of a customer's queued batch requests and default time to finish them."""

    max_queued_requests: int = 10_000
    finish_within_s: Number = 28_800.0


class Operation(msgspec.Struct, frozen=True):
    """One operation of a plain service.

    ``lookup`` names an idempotent operation of the same service that returns whether a
    write with a given idempotency key was executed.
    """

    service: str
    name: str
    idempotent: bool
    lookup: str | None = None
    timeout_s: Number = 10.0


class Contract(msgspec.Struct, frozen=True):
    """Limits, latency target, retry budget and service operations of a customer.

    ``waiting_first_token_s`` is the target time to the first token for requests of
    class waiting. ``weight`` is the customer's share of the capacity within a request
    class. ``retry_ratio`` limits retries to a fraction of first attempts.
    """

    requests_per_second: Number
    concurrency: int
    tokens_per_minute: int
    waiting_first_token_s: Number
    weight: Number = 1.0
    burst_s: Number = 2.0
    retry_ratio: Number = 0.2
    batch: BatchAllowance = BatchAllowance()
    operations: tuple[Operation, ...] = ()


class Customer(msgspec.Struct, frozen=True):
    """A customer with the SHA-256 digests (hexadecimal) of its keys and its contract.

    ``adapters`` are shell-style patterns of adapters that the customer may use.
    """

    name: str
    api_key_sha256: tuple[str, ...]
    contract: Contract
    adapters: tuple[str, ...] = ("*",)

    def may_use(self, adapter_name):
        """Tells whether a pattern of the customer matches the adapter."""
        return any(
            fnmatch.fnmatchcase(adapter_name, pattern) for pattern in self.adapters
        )


class Service(msgspec.Struct, frozen=True):
    """A plain service. Its servers are the backend servers with its name as service."""

    name: str
    checks_fencing_numbers: bool = False


class BackendServer(msgspec.Struct, frozen=True):
    """A model engine (if ``model`` is set) or a plain service's server (``service``).

    ``speed`` is relative to the other engines. ``address`` is ``IP:PORT``.
    """

    name: str
    address: str
    failure_domain: str
    region: str
    model: str | None = None
    service: str | None = None
    speed: Number = 1.0
    adapter_slots: int = 0
    max_batch: int = 0
    checks_fencing_numbers: bool = False
    weight_store: str | None = None


class WeightStore(msgspec.Struct, frozen=True):
    """A rate-limited store of adapter weights.

    Up to ``parallel_loads`` loads run at full speed; a load takes ``load_s`` while no
    more than ``full_speed_in_flight`` loads are in flight.
    """

    name: str
    loads_per_second: Number
    parallel_loads: int
    load_s: Number = 0.25
    full_speed_in_flight: int = 8


class DaemonEntry(msgspec.Struct, frozen=True):
    """Name of a daemon, which does not change when its host is replaced."""

    name: str
    failure_domain: str


class PreviousKeepers(msgspec.Struct, frozen=True):
    """The previous epoch of keepers, from which records are handed over.

    Its fields determine the keeper groups of that epoch.
    """

    epoch: int
    daemons: tuple[DaemonEntry, ...]
    keepers_per_key: int = 5


class Writes(msgspec.Struct, frozen=True):
    """Parameters of non-idempotent writes. ``start`` is ``new`` or ``existing``.

    ``previous`` is published with a new epoch and removed once all keepers are ready.
    ``max_records`` and ``max_result_bytes`` limit the memory of one keeper.
    """

    epoch: int = 1
    start: str = "new"
    keepers_per_key: int = 5
    result_retention_s: Number = 86_400.0
    max_records: int = 200_000
    max_result_bytes: int = 16_777_216
    previous: PreviousKeepers | None = None


class Operator(msgspec.Struct, frozen=True):
    """An operator with the SHA-256 digests (hexadecimal) of its keys."""

    name: str
    api_key_sha256: tuple[str, ...]


class PublishedConfiguration(msgspec.Struct, frozen=True, dict=True):
    """The whole published document, with dictionaries of its items by name or key."""

    models: tuple[Model, ...]
    adapters: tuple[Adapter, ...]
    customers: tuple[Customer, ...]
    backend_servers: tuple[BackendServer, ...]
    daemons: tuple[DaemonEntry, ...]
    services: tuple[Service, ...] = ()
    weight_stores: tuple[WeightStore, ...] = ()
    operators: tuple[Operator, ...] = ()
    policy: PolicyWeights = PolicyWeights()
    writes: Writes = Writes()

    @classmethod
    def parse(cls, text):
        """Returns the checked configuration. Raises InvalidDocument."""
        return cls.from_data(parse_document(text))

    @classmethod
    def from_data(cls, data):
        """Returns the checked configuration of plain data. Raises InvalidDocument."""
        problems = []
        configuration = check_struct(cls, data, "", problems)
        if configuration is not None:
            problems.extend(cross_checks(configuration))
        if problems:
            raise InvalidDocument(problems)
        return configuration

    def __post_init__(self):
        # A frozen struct does not allow attribute assignment, not even here.
        vars(self).update(
            adapters_by_name={item.name: item for item in self.adapters},
            models_by_name={item.name: item for item in self.models},
            customers_by_name={item.name: item for item in self.customers},
            customers_by_key={
                key: item for item in self.customers for key in item.api_key_sha256
            },
            operators_by_key={
                key: item for item in self.operators for key in item.api_key_sha256
            },
            services_by_name={item.name: item for item in self.services},
            servers_by_name={item.name: item for item in self.backend_servers},
            stores_by_name={item.name: item for item in self.weight_stores},
            daemons_by_name={item.name: item for item in self.daemons},
            replicas_by_model={},
            servers_by_service={},
        )
        for server in self.backend_servers:
            if server.model is not None:
                self.replicas_by_model.setdefault(server.model, []).append(server)
            if server.service is not None:
                self.servers_by_service.setdefault(server.service, []).append(server)


def cross_checks(configuration):
    """Yields a Problem for each violated rule between or beyond single fields."""
    for section in (
        "models",
        "adapters",
        "customers",
        "backend_servers",
        "daemons",
        "services",
        "weight_stores",
        "operators",
    ):
        counts = Counter(item.name for item in getattr(configuration, section))
        for name, count in counts.items():
            if count > 1:
                yield Problem(f"{section}", repr(name), "name is repeated")
            if not name:
                yield Problem(f"{section}", repr(name), "name must not be empty")
    yield from _check_keys(configuration)
    yield from _check_adapters(configuration)
    yield from _check_customers(configuration)
    yield from _check_servers(configuration)
    yield from _check_numbers(configuration)


def _check_keys(configuration):
    counts = Counter(
        key
        for item in (*configuration.customers, *configuration.operators)
        for key in item.api_key_sha256
    )
    for key, count in counts.items():
        if count > 1:
            yield Problem("api_key_sha256", repr(key), "key belongs to more than one")
        if len(key) != 64 or set(key) - set("0123456789abcdef"):
            yield Problem("api_key_sha256", repr(key), "must be 64 hexadecimal digits")


def _check_adapters(configuration):
    for index, adapter in enumerate(configuration.adapters):
        path = f"adapters[{index}]"
        if adapter.model not in configuration.models_by_name:
            yield Problem(f"{path}.model", repr(adapter.model), "no such model")
        if not adapter.versions:
            yield Problem(f"{path}.versions", "()", "needs at least one version")
        for text in (adapter.name, *adapter.versions):
            if set(text) & set(":@#/ ") or not text:
                yield Problem(path, repr(text), "must be non-empty without ':@#/ '")


def _check_customers(configuration):
    for customer in configuration.customers:
        for index, operation in enumerate(customer.contract.operations):
            path = f"customers.{customer.name}.contract.operations[{index}]"
            if operation.service not in configuration.services_by_name:
                yield Problem(
                    f"{path}.service", repr(operation.service), "no such service"
                )
            names = {
                other.name: other
                for other in customer.contract.operations
                if other.service == operation.service
            }
            if operation.lookup is None:
                continue
            lookup = names.get(operation.lookup)
            if lookup is None or not lookup.idempotent:
                yield Problem(
                    f"{path}.lookup",
                    repr(operation.lookup),
                    "must name an idempotent operation of the same service",
                )


def _check_servers(configuration):
    for server in configuration.backend_servers:
        path = f"backend_servers.{server.name}"
        if (server.model is None) == (server.service is None):
            yield Problem(path, server.name, "needs either model or service")
        if (
            server.model is not None
            and server.model not in configuration.models_by_name
        ):
            yield Problem(f"{path}.model", repr(server.model), "no such model")
        if (
            server.service is not None
            and server.service not in configuration.services_by_name
        ):
            yield Problem(f"{path}.service", repr(server.service), "no such service")
        if (
            server.weight_store is not None
            and server.weight_store not in configuration.stores_by_name
        ):
            yield Problem(
                f"{path}.weight_store", repr(server.weight_store), "no such store"
            )
        if server.model is not None and server.weight_store is None:
            yield Problem(f"{path}.weight_store", "missing", "is required of an engine")
        if server.model is not None and min(server.adapter_slots, server.max_batch) < 1:
            yield Problem(
                path, server.name, "needs adapter_slots and max_batch of at least 1"
            )


def _check_numbers(configuration):
    for customer in configuration.customers:
        path = f"customers.{customer.name}.contract"
        for name in (
            "requests_per_second",
            "concurrency",
            "tokens_per_minute",
            "waiting_first_token_s",
            "weight",
            "burst_s",
        ):
            value = getattr(customer.contract, name)
            if value <= 0:
                yield Problem(f"{path}.{name}", repr(value), "must be above 0")
    for server in configuration.backend_servers:
        if server.speed <= 0:
            yield Problem(
                f"backend_servers.{server.name}.speed",
                repr(server.speed),
                "must be above 0",
            )
    for store in configuration.weight_stores:
        for name in ("loads_per_second", "parallel_loads", "load_s"):
            if getattr(store, name) <= 0:
                yield Problem(
                    f"weight_stores.{store.name}.{name}",
                    repr(getattr(store, name)),
                    "must be above 0",
                )
    writes = configuration.writes
    if writes.start not in ("new", "existing"):
        yield Problem("writes.start", repr(writes.start), "must be new or existing")
    if writes.keepers_per_key < 1 or writes.keepers_per_key % 2 == 0:
        yield Problem(
            "writes.keepers_per_key", repr(writes.keepers_per_key), "must be odd"
        )
    if writes.previous is not None and writes.previous.epoch >= writes.epoch:
        yield Problem(
            "writes.previous.epoch",
            repr(writes.previous.epoch),
            "must be below writes.epoch",
        )
    for name in ("load_stalls", "batch_efficiency"):
        value = getattr(configuration.policy, name)
        if value < 0:
            yield Problem(f"policy.{name}", repr(value), "must not be negative")
