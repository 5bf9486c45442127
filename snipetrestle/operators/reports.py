"""What a daemon reports to operators, and where the reports come from."""

import typing

import msgspec

from snipetrestle.published import PublishedConfiguration


class MemberReport(msgspec.Struct):
    """A member as the daemon sees it."""

    name: str
    state: str
    failure_domain: str
    incarnation: str


class DaemonReport(msgspec.Struct):
    """State of one daemon."""

    name: str
    incarnation: str
    ready: bool
    draining: bool
    configuration_revision: int
    owned_replicas: tuple[str, ...] = ()
    members: tuple[MemberReport, ...] = ()


class ReplicaReport(msgspec.Struct):
    """A replica that the daemon owns."""

    name: str
    queued: int
    running: int
    resident_adapters: tuple[str, ...]


class ContractReport(msgspec.Struct):
    """A customer's contract in short form."""

    customer: str
    requests_per_second: float
    concurrency: int
    tokens_per_minute: int
    waiting_first_token_s: float
    weight: float


class AdapterReport(msgspec.Struct):
    """A published adapter."""

    name: str
    model: str
    versions: tuple[str, ...]


class OperatorSource(typing.Protocol):
    """The application, as far as operators see it."""

    def configuration(self) -> PublishedConfiguration | None: ...

    def daemon_report(self) -> DaemonReport: ...

    def replica_reports(self) -> list[ReplicaReport]: ...

    def metrics_text(self) -> bytes:
        """Returns the metrics in Prometheus' text format."""

    def start_drain(self) -> None:
        """Starts the drain and returns at once."""


def contract_reports(configuration):
    return [
        ContractReport(
            customer=customer.name,
            requests_per_second=customer.contract.requests_per_second,
            concurrency=customer.contract.concurrency,
            tokens_per_minute=customer.contract.tokens_per_minute,
            waiting_first_token_s=customer.contract.waiting_first_token_s,
            weight=customer.contract.weight,
        )
        for customer in configuration.customers
    ]


def adapter_reports(configuration, pattern_matches):
    return [
        AdapterReport(adapter.name, adapter.model, adapter.versions)
        for adapter in configuration.adapters
        if pattern_matches(adapter.name)
    ]
