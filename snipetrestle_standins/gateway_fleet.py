"""Gateways on loopback in front of stand-ins for the users' platform, and a caller."""

import asyncio
import contextlib
import random
import types

from snipetrestle.gateway.app import Gateway
from snipetrestle.gateway.publication.published_items import Feed
from snipetrestle.gateway.settings import GatewaySettings, RetryBudgetSettings
from snipetrestle.platform.calls import OrderClient, StoreSource
from snipetrestle.platform.entries import ALL_ITEMS, decode_item
from snipetrestle.platform.headers import PlatformDialect
from snipetrestle.publication.sources import SourceUnreachable
from snipetrestle_standins.platform_replica import PlatformReplica
from snipetrestle_standins.platform_store import PlatformStore
from snipetrestle_standins.ports import free_port

HOSTNAME = "desk.example"
MODEL = "m0"
MODELS_BACKEND = "models"
REGISTER_BACKEND = "register"
READY_TIMEOUT_S = 10.0
# After this time the store removes the entry of a silent replica.
ENTRY_EXPIRY_S = 1.5
RESPONSE_TIMEOUT_S = 10.0


def route(name, route_type, backend, **fields):
    """Returns a route of the published configuration with the prefix ``/NAME/``."""
    return {
        "name": name,
        "hostname": HOSTNAME,
        "prefix": f"/{name}/",
        "route_type": route_type,
        "timeout_ms": 5000,
        "target_latency_ms": 600,
        "priority": 1,
        "backend": backend,
        "attempts": 2,
        **fields,
    }


def tenant(name, *keys, **fields):
    """Returns a tenant of the published configuration with API keys."""
    return {"name": name, "api_keys": list(keys), **fields}


def configuration(
    version=1,
    routes=None,
    adapter_slots=4,
    model_load_s=0.05,
    tenants=None,
    **limits,
):
    """Returns a published configuration, by default with routes of all types.

    ``limits`` are added to its section of the same name. It has no ``tenants`` if they
    are None.
    """
    routes = routes or [
        route("draft", "stream", MODELS_BACKEND, resumable=True),
        route("night", "stream", MODELS_BACKEND, attempts=1),
        route("entry", "non_idempotent", REGISTER_BACKEND, attempts=2),
        route("lookup", "idempotent", REGISTER_BACKEND),
    ]
    runtime = {
        "slots": 8,
        "models": [
            {
                "name": MODEL,
                "weights_mb": 100,
                "load_s": model_load_s,
                "adapter_mb": 1,
            }
        ],
        "weights_mb": 200,
        "adapter_slots": adapter_slots,
        "loads_per_s": 5,
    }
    backends = [
        {"name": MODELS_BACKEND, "max_conns": 100, "runtime": runtime},
        {"name": REGISTER_BACKEND, "max_conns": 100},
    ]
    content = {
        "version": version,
        "routes": routes,
        "backends": backends,
        "limits": {"header_timeout_ms": 500, "idle_timeout_ms": 2000, **limits},
    }
    if tenants is not None:
        content["tenants"] = tenants
    return content


class SeparableSource:
    """A gateway's access to the store, which ``cut_off_from_store`` can prevent."""

    def __init__(self, fleet, settings):
        self._fleet = fleet
        self._name = settings.name
        self._source = StoreSource(*settings.store)
        self.transfers = self._source.transfers

    def _check(self):
        if self._name in self._fleet.cut_off_from_store:
            raise SourceUnreachable("cut off")

    async def read(self, prefix):
        self._check()
        return await self._source.read(prefix)

    async def watch(self, *arguments):
        self._check()
        changes = await self._source.watch(*arguments)
        self._check()
        return changes


class GatewayFleet:
    """A store, replicas and gateways. Use as an async context manager."""

    def __init__(
        self,
        gateways=1,
        models=2,
        registers=2,
        adapter_slots=4,
        model_load_s=0.05,
        seed=1,
        model_versions=None,
        history_s=None,
    ):
        self.store = PlatformStore()
        self.models = [
            PlatformReplica(
                f"model-{number}", MODELS_BACKEND, MODEL, adapter_slots=adapter_slots
            )
            for number in range(models)
        ]
        # The software versions of the model replicas, by default all the same.
        for replica, version in zip(self.models, model_versions or (), strict=False):
            replica.software_version = version
        self.registers = [
            PlatformReplica(f"register-{number}", REGISTER_BACKEND)
            for number in range(registers)
        ]
        self.gateways = []
        self.settings_by_name = {}
        # Names of gateways that cannot reach the store.
        self.cut_off_from_store = set()
        self._gateway_count = gateways
        self._configuration = configuration(
            adapter_slots=adapter_slots, model_load_s=model_load_s
        )
        self._tasks = {}
        self._seed = seed
        self._history_s = history_s
        self._peer_ports = [free_port() for _ in range(gateways)]

    @property
    def replicas(self):
        return [*self.models, *self.registers]

    async def __aenter__(self):
        await self.store.start()
        self.store.put("op/config", self._configuration)
        for replica in self.replicas:
            await replica.start()
            replica.on_restart = self.publish
            self.publish(replica)
        for number in range(self._gateway_count):
            self.start_gateway(number)
        await self.wait_ready()
        return self

    async def __aexit__(self, *details):
        for task in self._tasks.values():
            task.cancel()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)
        for server in (self.store, *self.replicas):
            await server.stop()

    def publish(self, replica, **fields):
        """Writes a replica's entry, with changed ``fields``, to the store."""
        replica.report_count += 1
        self.store.put(f"servers/{replica.id}", replica.entry(**fields))

    def start_gateway(self, number):
        """Starts gateway number N, which may have been killed before."""
        settings = GatewaySettings(
            name=f"entry-{number}",
            failure_domain="zone-1",
            size=1.0,
            callers=("127.0.0.1", free_port()),
            readiness=("127.0.0.1", free_port()),
            metrics=("127.0.0.1", free_port()),
            peers=("127.0.0.1", self._peer_ports[number]),
            seeds=tuple(("127.0.0.1", port) for port in self._peer_ports[:3]),
            store=("127.0.0.1", self.store.port),
            lease_s=3.0,
            replica_drain_s=2.0,
            configuration_apply_s=2.0,
            shutdown_grace_s=4.0,
            entry_expiry_s=ENTRY_EXPIRY_S,
            retry_budget=RetryBudgetSettings(0.2, 60.0, 10.0),
            history_s=self._history_s,
        )
        self.settings_by_name[settings.name] = settings
        platform = types.SimpleNamespace(
            dialect=PlatformDialect(),
            source=SeparableSource(self, settings),
            feeds=(Feed(ALL_ITEMS, decode_item, 0.02, 0.5),),
            order_client=OrderClient(),
            read_settings=lambda: self.settings_by_name[settings.name],
        )
        boot = 1000 + len(self.gateways)
        generator = random.Random(self._seed * 100 + number)
        gateway = Gateway.from_settings(settings, platform, boot, generator)
        self.gateways.append(gateway)
        self._tasks[gateway] = asyncio.create_task(gateway.run())
        return gateway

    async def kill(self, gateway):
        """Cancels a gateway's tasks and closes its sockets, as if its process ended."""
        task = self._tasks.pop(gateway)
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
        gateway.close()

    @property
    def live(self):
        """The gateways that run."""
        return list(self._tasks)

    async def wait_ready(self):
        """Waits until all gateways are ready and agree on a leader.

        Raises RuntimeError if a gateway ends, TimeoutError after READY_TIMEOUT_S.
        """
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not self._are_ready():
                self._check_running()
                await asyncio.sleep(0.01)

    def _are_ready(self):
        if not all(gateway.state.ready.is_set() for gateway in self.live):
            return False
        return bool(self.leaders()) and self._agree_on_leader()

    def _check_running(self):
        """Raises RuntimeError if a gateway has ended, which also SIGTERM makes it do."""
        for gateway, task in self._tasks.items():
            if task.done():
                error = None if task.cancelled() else task.exception()
                raise RuntimeError(f"{gateway.settings.name} has ended") from error

    def leaders(self):
        return [gateway for gateway in self.live if gateway.leadership.leads]

    def _agree_on_leader(self):
        names = {gateway.leadership.leader for gateway in self.live}
        return len(names) == 1 and len(self.leaders()) == 1

    async def send_request(self, path, gateway=None, **options):
        """Sends one request on a new connection and returns the Response.

        Raises RuntimeError if a gateway has ended by itself.
        """
        gateway = gateway or self.live[0]
        self._check_running()
        async with Caller(gateway.settings.callers) as caller:
            return await caller.send_request(path, **options)


class Response:
    """An HTTP response. ``complete`` is False if the connection ended too early."""

    def __init__(self, status, headers, body, complete):
        self.status = status
        self.headers = headers
        self.body = body
        self.complete = complete

    @property
    def event_ids(self):
        return [
            int(line[4:]) for line in self.body.split(b"\n") if line.startswith(b"id: ")
        ]


class Caller:
    """A caller's HTTP/1.1 connection. Use as an async context manager."""

    _request_count = 0

    def __init__(self, address):
        self._address = address
        self.reader = None
        self.writer = None

    async def __aenter__(self):
        self.reader, self.writer = await asyncio.open_connection(*self._address)
        return self

    async def __aexit__(self, *details):
        self.writer.close()

    async def send_request(
        self, path, method="POST", adapter=None, body=b"", headers=()
    ):
        """Sends a request and returns its Response.

        ``adapter`` selects an adapter of the model, or the model itself if empty; the
        request has no model if it is None. A request id is added unless one is given.
        """
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOSTNAME}"]
        given_names = {name.lower() for name, _ in headers}
        if "x-request-id" not in given_names:
            Caller._request_count += 1
            lines.append(f"X-Request-Id: request-{Caller._request_count}")
        if adapter is not None:
            lines.append(
                f"X-Model: {MODEL}/{adapter}" if adapter else f"X-Model: {MODEL}"
            )
        lines += [f"{name}: {value}" for name, value in headers]
        if method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        return await self.read_response(has_body=method != "HEAD")

    async def read_response(self, has_body=True):
        """Reads a response; its status is 0 if the connection ended before it.

        The response to a HEAD request has no body.
        """
        async with asyncio.timeout(RESPONSE_TIMEOUT_S):
            try:
                head = await self.reader.readuntil(b"\r\n\r\n")
            except (asyncio.IncompleteReadError, ConnectionError):
                return Response(0, {}, b"", False)
            lines = head.decode("latin-1").split("\r\n")
            headers = {}
            for line in lines[1:]:
                name, _, value = line.partition(":")
                if name:
                    headers[name.lower()] = value.strip()
            status = int(lines[0].split(" ")[1])
            if not has_body:
                return Response(status, headers, b"", True)
            try:
                if headers.get("transfer-encoding") == "chunked":
                    body, complete = await self._read_chunks()
                else:
                    length = int(headers.get("content-length", 0))
                    body, complete = await self.reader.readexactly(length), True
            except (asyncio.IncompleteReadError, ConnectionError):
                body, complete = b"", False
            return Response(status, headers, body, complete)

    async def _read_chunks(self):
        body = b""
        try:
            while True:
                length = int(await self.reader.readline() or b"x", 16)
                content = await self.reader.readexactly(length + 2)
                if not length:
                    return body, True
                body += content[:-2]
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            return body, False
