"""Sub-commands that print reports of a running daemon."""

import urllib.parse
from dataclasses import dataclass
from typing import Annotated

import cappa

from snipetrestle.cli.output import print_table
from snipetrestle.cli.remote import Authority, Json, RemoteCommand, Url
from snipetrestle.operators.reports import (
    AdapterReport,
    ContractReport,
    DaemonReport,
    ReplicaReport,
)


@cappa.command(name="status", help="Show a daemon's state and its view of the members.")
@dataclass
class Status(RemoteCommand):
    """Prints a DaemonReport."""

    url: Url = RemoteCommand.url
    authority: Authority = None
    json: Json = False

    def __call__(self):
        self.show("/v1/status", DaemonReport, _print_status)


@cappa.command(name="contracts", help="List the customers' contracts in force.")
@dataclass
class Contracts(RemoteCommand):
    """Prints the ContractReports of all customers."""

    url: Url = RemoteCommand.url
    authority: Authority = None
    json: Json = False

    def __call__(self):
        self.show("/v1/contracts", list[ContractReport], _print_contracts)


@cappa.command(name="adapters", help="List the published adapters.")
@dataclass
class Adapters(RemoteCommand):
    """Prints the AdapterReports of adapters whose name matches a pattern."""

    name: Annotated[str, cappa.Arg(long=True, help="Shell-style pattern.")] = "*"
    url: Url = RemoteCommand.url
    authority: Authority = None
    json: Json = False

    def __call__(self):
        path = "/v1/adapters?" + urllib.parse.urlencode({"name": self.name})
        self.show(path, list[AdapterReport], _print_adapters)


@cappa.command(name="replicas", help="List the replicas that a daemon owns.")
@dataclass
class Replicas(RemoteCommand):
    """Prints the ReplicaReports of a daemon."""

    url: Url = RemoteCommand.url
    authority: Authority = None
    json: Json = False

    def __call__(self):
        self.show("/v1/replicas", list[ReplicaReport], _print_replicas)


def _print_status(report):
    print(f"daemon: {report.name} ({report.incarnation})")
    print(f"ready: {report.ready}  draining: {report.draining}")
    print(f"configuration revision: {report.configuration_revision}")
    print(f"owned replicas: {', '.join(report.owned_replicas) or '-'}")
    print_table(
        ("member", "state", "failure domain", "incarnation"),
        [
            (member.name, member.state, member.failure_domain, member.incarnation)
            for member in report.members
        ],
    )


def _print_contracts(reports):
    print_table(
        ("customer", "requests/s", "concurrency", "tokens/min", "first token s"),
        [
            (
                report.customer,
                report.requests_per_second,
                report.concurrency,
                report.tokens_per_minute,
                report.waiting_first_token_s,
            )
            for report in reports
        ],
    )


def _print_adapters(reports):
    print_table(
        ("adapter", "model", "versions"),
        [(report.name, report.model, ", ".join(report.versions)) for report in reports],
    )


def _print_replicas(reports):
    print_table(
        ("replica", "queued", "running", "resident adapters"),
        [
            (
                report.name,
                report.queued,
                report.running,
                len(report.resident_adapters),
            )
            for report in reports
        ],
    )
