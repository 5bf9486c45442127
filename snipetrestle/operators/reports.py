"""Reports of a daemon to operators, and the interface of their source."""

import typing

import msgspec

from snipetrestle.published import PublishedConfiguration


class MemberReport(msgspec.Struct):
    """A member as seen by the reporting daemon."""

    name: str
    state: str
    failure_domain: str
    incarnation: str


class DaemonReport(msgspec.Struct):
    """State of the reporting daemon and its view of the members."""

    name: str
    incarnation: str
    ready: bool
    draining: bool
    configuration_revision: int
    owned_replicas: tuple[str, ...] = ()
    members: tuple[MemberReport, ...] = ()


class ReplicaReport(msgspec.Struct):
    """A replica that the reporting daemon owns."""

    name: str
    queued: int
    running: int
    resident_adapters: tuple[str, ...]


class ContractReport(msgspec.Struct):
    """The main limits of a customer's contract."""

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
    """Interface of the application for operators' requests."""

    def configuration(self) -> PublishedConfiguration | None: ...

    def daemon_report(self) -> DaemonReport: ...

    def replica_reports(self) -> list[ReplicaReport]: ...

    def metrics_text(self) -> bytes:
        """Returns the metrics in the Prometheus text format."""

    def start_drain(self) -> None:
        """Starts the drain and returns immediately."""

    def confirm_stopped(self, name):
        """Records that a daemon's host is stopped for good."""


def contract_reports(configuration):
    """Returns a ContractReport of each customer."""
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


def adapter_reports(configuration, name_matches):
    """Returns reports of the adapters for which ``name_matches(name)`` is true."""
    return [
        AdapterReport(adapter.name, adapter.model, adapter.versions)
        for adapter in configuration.adapters
        if name_matches(adapter.name)
    ]
