"""The demo: three daemons and all stand-ins in one process on loopback."""

import contextlib
import hashlib
import json
import random
import socket

import anyio
import httpcore

from snipetrestle.app import Application
from snipetrestle.callers.listener import serving
from snipetrestle.platform.sources import Host
from snipetrestle.settings import (
    DaemonSettings,
    ListenSettings,
    PlatformSettings,
    Settings,
)
from snipetrestle_standins.configuration_service import (
    ConfigurationService,
    configuration_app,
)
from snipetrestle_standins.engine import EngineCore
from snipetrestle_standins.engine_http import engine_app
from snipetrestle_standins.host_list import HostListService, host_list_app
from snipetrestle_standins.store import WeightStoreCore

LOOPBACK = "127.0.0.1:0"
MODEL = "drafting"
KEY = "consorzio-demo-key"


def free_address():
    """Returns a loopback address with a port that is free now."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{listener.getsockname()[1]}"


class LocalFleet:
    """Daemons, engines and platform of one process. Use as an async context manager.

    ``document(engine_addresses)`` returns the published configuration.
    """

    def __init__(self, daemons, cores, document, seed=1):
        self.cores = cores
        self.apps = []
        self._daemons = daemons
        self._document = document
        self._random = random.Random(seed)
        self._stack = contextlib.AsyncExitStack()
        self.configuration = ConfigurationService()
        self.hosts = HostListService()

    async def __aenter__(self):
        stack = self._stack
        await stack.__aenter__()
        group = await stack.enter_async_context(anyio.create_task_group())
        stack.callback(group.cancel_scope.cancel)
        addresses = []
        for core in self.cores:
            group.start_soon(core.run)
            addresses.append(
                await stack.enter_async_context(serving(engine_app(core), LOOPBACK))
            )
        self.platform = PlatformSettings(
            configuration_service="http://"
            + await stack.enter_async_context(
                serving(configuration_app(self.configuration), LOOPBACK)
            ),
            host_list="http://"
            + await stack.enter_async_context(
                serving(host_list_app(self.hosts), LOOPBACK)
            ),
        )
        # Ends the watches that are held, so that the listeners close at once.
        stack.callback(self.configuration.set_down, True)
        self.configuration.publish(json.dumps(self._document(addresses)))
        all_settings = [self._settings(item) for item in self._daemons]
        self.hosts.put(*(host_of(settings) for settings in all_settings))
        for settings in all_settings:
            app = Application.from_settings(
                settings, random.Random(self._random.getrandbits(64)), first_start=True
            )
            self.apps.append(app)
            await app.start()
            stack.push_async_callback(app.stop)
        for app in self.apps:
            await app.wait_ready()
        return self

    async def __aexit__(self, *details):
        return await self._stack.__aexit__(*details)

    def _settings(self, daemon):
        return Settings(
            daemon=daemon,
            listen=ListenSettings(LOOPBACK, free_address(), LOOPBACK),
            platform=self.platform,
        )


def host_of(settings):
    daemon = settings.daemon
    return Host(
        daemon.name,
        settings.listen.peers,
        daemon.failure_domain,
        daemon.region,
        daemon.size,
    )


DAEMONS = [
    DaemonSettings(f"entry-{domain}", domain, "sicily")
    for domain in ("palermo", "catania", "messina")
]


def document(addresses):
    """Returns the published configuration of the demo."""
    return {
        "models": [{"name": MODEL}],
        "adapters": [
            {"name": f"glove-{number}", "model": MODEL, "versions": ["1"]}
            for number in range(12)
        ],
        "customers": [
            {
                "name": "consorzio",
                "api_key_sha256": [hashlib.sha256(KEY.encode()).hexdigest()],
                "contract": {
                    "requests_per_second": 100,
                    "concurrency": 100,
                    "tokens_per_minute": 1_000_000,
                    "waiting_first_token_s": 1.0,
                },
            }
        ],
        "backend_servers": [
            {
                "name": f"drafting-{number}",
                "address": address,
                "failure_domain": DAEMONS[number % 3].failure_domain,
                "region": "sicily",
                "model": MODEL,
                "adapter_slots": 8,
                "max_batch": 16,
                "weight_store": "store",
            }
            for number, address in enumerate(addresses)
        ],
        "daemons": [
            {"name": item.name, "failure_domain": item.failure_domain}
            for item in DAEMONS
        ],
        "weight_stores": [
            {"name": "store", "loads_per_second": 2, "parallel_loads": 1}
        ],
    }


async def run():
    """Runs the demo and returns the exit status."""
    store = WeightStoreCore(loads_per_second=2, parallel_loads=1)
    cores = [EngineCore(f"drafting-{number}", store) for number in range(3)]
    async with LocalFleet(DAEMONS, cores, document) as fleet:
        print(f"{len(fleet.apps)} daemons and {len(cores)} engines are ready")
        async with httpcore.AsyncConnectionPool() as pool:
            for number, app in enumerate(fleet.apps):
                body = {
                    "model": f"{MODEL}:glove-{number}@1",
                    "prompt": "Draft the size chart of a driving glove.",
                    "max_tokens": 24,
                    "stream": True,
                }
                response = await pool.request(
                    "POST",
                    f"http://{app.callers_address}/v1/completions",
                    headers={"Authorization": f"Bearer {KEY}"},
                    content=json.dumps(body).encode(),
                )
                print(response.status, read_text(response.content))
    return 0


def read_text(body):
    """Returns the text of a streamed answer."""
    events = [line[6:] for line in body.split(b"\n\n") if line.startswith(b"data: {")]
    return "".join(
        choice["text"] for event in events for choice in json.loads(event)["choices"]
    )
