"""Process of the chaos run with all stand-ins: engines, a service and the platform.

Reads one JSON line with the daemons from standard input, writes one with the addresses
and serves until standard input closes. ``/counts`` at the control address returns what
the engines and the service have counted.
"""

import contextlib
import hashlib
import json
import sys
import time

import anyio
import anyio.to_thread
import msgspec

from snipetrestle.callers.listener import serving
from snipetrestle.publication.sources import Host
from snipetrestle_standins.configuration_service import (
    ConfigurationService,
    configuration_app,
)
from snipetrestle_standins.engine import StandInEngine
from snipetrestle_standins.engine_http import engine_app
from snipetrestle_standins.host_list import HostListService, host_list_app
from snipetrestle_standins.http_answers import (
    query_parameters,
    run_lifespan,
    send_response,
)
from snipetrestle_standins.service import StandInService
from snipetrestle_standins.service_http import service_app
from snipetrestle_standins.store import StandInWeightStore

LOOPBACK = "127.0.0.1:0"
REGION = "loopback"
CUSTOMER, KEY, OPERATOR_KEY = "chaos", "caller-key", "operator-key"
SERVICE = "register"
ENGINES = 9
ADAPTERS = 30
VERSIONS = ("1", "2")


class OwnerRecordingEngine(StandInEngine):
    """Engine that records when the first request of each new owner starts."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        # (monotonic time, fencing number) of each change of the requests' owner.
        self.owner_changes = []

    def _start(self, request):
        stream = super()._start(request)
        request_fencing_number = request.fencing_number
        if (
            not self.owner_changes
            or self.owner_changes[-1][1] != request_fencing_number
        ):
            self.owner_changes.append((time.monotonic(), request_fencing_number))
        return stream


def make_engines():
    """Returns engines by name; every third of them ignores fencing numbers."""
    weight_store = StandInWeightStore(20.0, 4, 0.1)
    return {
        f"engine-{number}": OwnerRecordingEngine(
            f"engine-{number}",
            weight_store,
            adapter_slots=8,
            max_batch=8,
            checks_fencing_numbers=number % 3 != 0,
        )
        for number in range(ENGINES)
    }


def configuration_data(daemons, engines, addresses_by_name):
    """Returns the plain data of the published configuration."""
    servers = [
        {
            "name": name,
            "address": addresses_by_name[name],
            "failure_domain": "kitami",
            "region": REGION,
            "model": "base",
            "adapter_slots": core.adapter_slots,
            "max_batch": core.max_batch,
            "checks_fencing_numbers": core.checks_fencing_numbers,
            "weight_store": "store",
        }
        for name, core in engines.items()
    ]
    servers.append(
        {
            "name": "register-1",
            "address": addresses_by_name["register-1"],
            "failure_domain": "kitami",
            "region": REGION,
            "service": SERVICE,
        }
    )
    operations = [
        {"service": SERVICE, "name": "enter", "idempotent": False, "lookup": "lookup"},
        {"service": SERVICE, "name": "lookup", "idempotent": True},
    ]
    contract = {
        "requests_per_second": 2000,
        "concurrency": 2000,
        "tokens_per_minute": 100_000_000,
        "waiting_first_token_s": 1,
        "retry_ratio": 1.0,
        "operations": operations,
    }
    return {
        "models": [{"name": "base"}],
        "adapters": [
            {"name": f"adapter-{number}", "model": "base", "versions": list(VERSIONS)}
            for number in range(ADAPTERS)
        ],
        "customers": [
            {
                "name": CUSTOMER,
                "api_key_sha256": [_digest(KEY)],
                "contract": contract,
            }
        ],
        "operators": [{"name": "chaos", "api_key_sha256": [_digest(OPERATOR_KEY)]}],
        "backend_servers": servers,
        "services": [{"name": SERVICE}],
        "weight_stores": [
            {"name": "store", "loads_per_second": 20, "parallel_loads": 4}
        ],
        "daemons": [
            {"name": item["name"], "failure_domain": item["failure_domain"]}
            for item in daemons
        ],
    }


def _digest(key):
    return hashlib.sha256(key.encode()).hexdigest()


def control_app(engines, service, hosts):
    """Returns the ASGI application that reports counts and marks hosts as leaving."""

    async def app(scope, receive, send):
        if scope["type"] == "lifespan":
            await run_lifespan(receive, send)
            return
        name = query_parameters(scope).get("name", "")
        if scope["path"] == "/leaving":
            hosts.set_leaving(name)
        body = {
            "executions_by_key": dict(service.executions_by_key),
            "evictions_in_use": sum(
                len(core.in_use_evictions) for core in engines.values()
            ),
            "refused_orders": sum(core.refused_orders for core in engines.values()),
            "statuses": {
                name: msgspec.to_builtins(await core.status())
                for name, core in engines.items()
            },
            "owner_changes": {
                name: core.owner_changes for name, core in engines.items()
            },
        }
        await send_response(send, 200, json.dumps(body).encode())

    return app


async def main():
    daemons = json.loads(sys.stdin.readline())
    engines = make_engines()
    configuration, hosts = ConfigurationService(), HostListService()
    hosts.put(
        *(
            Host(item["name"], item["peers"], item["failure_domain"], REGION)
            for item in daemons
        )
    )
    async with contextlib.AsyncExitStack() as stack:
        group = await stack.enter_async_context(anyio.create_task_group())
        service = await stack.enter_async_context(StandInService())
        apps = {name: engine_app(core) for name, core in engines.items()}
        apps["register-1"] = service_app(service, SERVICE)
        apps["configuration"] = configuration_app(configuration)
        apps["hosts"] = host_list_app(hosts)
        apps["control"] = control_app(engines, service, hosts)
        addresses = {}
        for name, app in apps.items():
            addresses[name] = await stack.enter_async_context(serving(app, LOOPBACK))
        for core in engines.values():
            group.start_soon(core.run)
        text = json.dumps(configuration_data(daemons, engines, addresses))
        configuration.publish(text.encode())
        print(json.dumps(addresses), flush=True)
        # Standard input closes when the parent ends, however it ends.
        await anyio.to_thread.run_sync(sys.stdin.read)
        configuration.set_down(True)
        group.cancel_scope.cancel()


if __name__ == "__main__":
    anyio.run(main)
