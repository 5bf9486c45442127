"""Sub-commands that show reports of a running daemon."""

import urllib.parse
from dataclasses import dataclass
from typing import Annotated

import cappa

from snipetrestle.cli.output import print_json, print_table
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
    """Shows a DaemonReport."""

    url: Url = RemoteCommand.url
    authority: Authority = None
    json: Json = False

    def __call__(self):
        report = self.call(lambda client: client.get("/v1/status", DaemonReport))
        if self.json:
            print_json(report)
            return
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


@cappa.command(name="contracts", help="List the customers' contracts in force.")
@dataclass
class Contracts(RemoteCommand):
    """Shows ContractReports."""

    url: Url = RemoteCommand.url
    authority: Authority = None
    json: Json = False

    def __call__(self):
        reports = self.call(
            lambda client: client.get("/v1/contracts", list[ContractReport])
        )
        if self.json:
            print_json(reports)
            return
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


@cappa.command(name="adapters", help="List the published adapters.")
@dataclass
class Adapters(RemoteCommand):
    """Shows AdapterReports."""

    name: Annotated[str, cappa.Arg(long=True, help="Shell-style pattern.")] = "*"
    url: Url = RemoteCommand.url
    authority: Authority = None
    json: Json = False

    def __call__(self):
        path = "/v1/adapters?" + urllib.parse.urlencode({"name": self.name})
        reports = self.call(lambda client: client.get(path, list[AdapterReport]))
        if self.json:
            print_json(reports)
            return
        print_table(
            ("adapter", "model", "versions"),
            [
                (report.name, report.model, ", ".join(report.versions))
                for report in reports
            ],
        )


@cappa.command(name="replicas", help="List the replicas that a daemon owns.")
@dataclass
class Replicas(RemoteCommand):
    """Shows ReplicaReports."""

    url: Url = RemoteCommand.url
    authority: Authority = None
    json: Json = False

    def __call__(self):
        reports = self.call(
            lambda client: client.get("/v1/replicas", list[ReplicaReport])
        )
        if self.json:
            print_json(reports)
            return
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
