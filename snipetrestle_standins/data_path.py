"""The data path of several daemons in one process, for tests on virtual time.

Callers, engines and services are connected by HTTP over in-memory connections, daemons
by the in-memory network. Membership is static; tests change it with ``set_members``.
"""

import contextlib
import hashlib
import random

import anyio

from snipetrestle.callers.entry import EntryRouter
from snipetrestle.callers.interface import CallerInterface
from snipetrestle.callers.services import ServiceCalls
from snipetrestle.engines.http_client import HttpEngineClient
from snipetrestle.engines.owner import ReplicaOwner
from snipetrestle.limits import LimitShares
from snipetrestle.metrics import Metrics
from snipetrestle.peers.members import Incarnation, Member, StaticMembership
from snipetrestle.peers.transport import MessageRouter
from snipetrestle.placement import ReplicaChooser
from snipetrestle.placement.permits import UnlimitedPermits
from snipetrestle.published import PublishedConfiguration
from snipetrestle.services.http_client import HttpServiceClient
from snipetrestle.settings import IntakeSettings
from snipetrestle_standins.engine import StandInEngine, StepTimes
from snipetrestle_standins.engine_http import engine_app
from snipetrestle_standins.memory_http import MemoryBackend, MemoryListener
from snipetrestle_standins.network import InMemoryNetwork
from snipetrestle_standins.owned_replicas import ForwardHandler, OwnedReplicas
from snipetrestle_standins.recording import RecordingTransport
from snipetrestle_standins.service import StandInService
from snipetrestle_standins.service_http import service_app
from snipetrestle_standins.store import StandInWeightStore

API_KEY = "sample-key-counter"
OTHER_API_KEY = "sample-key-workshop"
MODEL = "size-chart"
SERVICE = "register"
REGION = "sicily"
# Fixed time of day that answers contain, as seconds since the epoch.
WALL_CLOCK_S = 1_800_000_000


def contract(**changes):
    """Returns a contract as plain data, with ``changes`` to its keys."""
    return {
        "requests_per_second": 1000,
        "concurrency": 1000,
        "tokens_per_minute": 60_000_000,
        "waiting_first_token_s": 2.0,
        "operations": [
            {"service": SERVICE, "name": "enter", "idempotent": False, "timeout_s": 2},
            {"service": SERVICE, "name": "lookup", "idempotent": True, "timeout_s": 2},
        ],
        **changes,
    }


def make_document(daemons, engines, **changes):
    """Returns a published configuration as plain data.

    ``daemons`` and ``engines`` are names; ``changes`` go to both customers' contracts.
    """
    return {
        "models": [{"name": MODEL}, {"name": "idle-model"}],
        "adapters": [
            {"name": f"workshop-{number}", "model": MODEL, "versions": ["1", "2"]}
            for number in range(4)
        ]
        + [{"name": "private", "model": MODEL, "versions": ["1"]}],
        "customers": [
            {
                "name": name,
                "api_key_sha256": [hashlib.sha256(key.encode()).hexdigest()],
                "contract": contract(**changes),
                "adapters": ["workshop-*"],
            }
            for name, key in (("counter", API_KEY), ("workshop", OTHER_API_KEY))
        ],
        "backend_servers": [
            {
                "name": name,
                "address": f"127.0.0.1:{7000 + index}",
                "failure_domain": "palermo",
                "region": REGION,
                "model": MODEL,
                "adapter_slots": 4,
                "max_batch": 8,
                "weight_store": "store",
                "checks_fencing_numbers": True,
            }
            for index, name in enumerate(engines)
        ]
        + [
            {
                "name": "register-1",
                "address": "127.0.0.1:7900",
                "failure_domain": "palermo",
                "region": REGION,
                "service": SERVICE,
            }
        ],
        "services": [{"name": SERVICE}],
        "daemons": [{"name": name, "failure_domain": "palermo"} for name in daemons],
        "weight_stores": [
            {"name": "store", "loads_per_second": 50, "parallel_loads": 8}
        ],
    }


class PathDaemon:
    """One daemon: its listener for callers, entry router and replica owners."""

    def __init__(self, data_path, name):
        self.name = name
        router = MessageRouter()
        transport = data_path.network.attach(name, router)
        if data_path.session is not None:
            transport = RecordingTransport(transport, data_path.session)
        self.membership = StaticMembership(name, Incarnation(1, 1), data_path.members)
        generator = random.Random(f"{data_path.seed}-{name}")
        self.backend = MemoryBackend(name)
        self.backend.listeners_by_address = data_path.listeners_by_address
        self.owned_replicas = OwnedReplicas(
            self.membership,
            lambda server: ReplicaOwner(
                server,
                data_path.wrap_engine(
                    HttpEngineClient(server.address, generator, backend=self.backend)
                ),
                UnlimitedPermits(),
            ),
        )
        ForwardHandler(router, self.owned_replicas)
        self.shares = LimitShares(
            transport,
            generator,
            lambda customer: (
                data_path.configuration.customers_by_name[customer].contract
            ),
            lambda customer: name,
            lambda: 1,
        )
        self.metrics = Metrics()
        self.chooser = ReplicaChooser(generator)
        self.entry = EntryRouter(
            self.membership,
            transport,
            self.owned_replicas,
            self.chooser,
            self.shares,
            generator,
        )
        self.services = HttpServiceClient(REGION, self.backend)
        self.interface = CallerInterface(
            self.entry,
            ServiceCalls(self.services, data_path.writes, self.shares, generator),
            self.shares,
            self.metrics,
            data_path.intake,
            generator,
            lambda: True,
            wall_clock=lambda: WALL_CLOCK_S,
        )
        self.listener = MemoryListener(
            self.interface, name, data_path.session, intake=data_path.intake
        )
        self.apply(data_path.configuration)

    def apply(self, configuration):
        """Applies a published configuration."""
        for component in (self.owned_replicas, self.services, self.interface):
            component.apply(configuration)
        self.entry.set_replicas(configuration.replicas_by_model)


class DataPath:
    """Daemons, engines and a plain service. Use as an async context manager.

    ``writes`` takes the place of the WriteCoordinator. ``wrap_engine(client)`` returns
    the engine client that an owner uses instead of ``client``. ``changes`` go to the
    customers' contracts.
    """

    def __init__(
        self,
        daemons=("entry-1", "entry-2"),
        engines=("drafting-1", "drafting-2"),
        *,
        session=None,
        intake=None,
        writes=None,
        wrap_engine=lambda client: client,
        step_times=None,
        seed=1,
        **changes,
    ):
        self.session = session
        self.intake = intake or IntakeSettings()
        self.writes = writes
        self.wrap_engine = wrap_engine
        self.seed = seed
        self.network = InMemoryNetwork()
        self.configuration = PublishedConfiguration.from_data(
            make_document(daemons, engines, **changes)
        )
        self.members = [
            Member(name, "127.0.0.1:1", "palermo", REGION) for name in daemons
        ]
        self.listeners_by_address = {}
        self.listeners_by_name = {}
        self.engines_by_name = {}
        self.daemons_by_name = {}
        self.service = StandInService()
        self._daemon_names = daemons
        self._step_times = step_times or StepTimes()
        self._exit_stack = contextlib.AsyncExitStack()

    async def __aenter__(self):
        exit_stack = self._exit_stack
        await exit_stack.enter_async_context(self.network)
        await exit_stack.enter_async_context(self.service)
        task_group = await exit_stack.enter_async_context(anyio.create_task_group())
        exit_stack.callback(task_group.cancel_scope.cancel)
        store = StandInWeightStore(loads_per_second=50, parallel_loads=8)
        for server in self.configuration.backend_servers:
            app = service_app(self.service, SERVICE)
            if server.model is not None:
                engine = StandInEngine(
                    server.name,
                    store,
                    adapter_slots=server.adapter_slots,
                    max_batch=server.max_batch,
                    checks_fencing_numbers=True,
                    step_times=self._step_times,
                )
                self.engines_by_name[server.name] = engine
                task_group.start_soon(engine.run)
                app = engine_app(engine)
            listener = MemoryListener(app, server.name, self.session)
            self.listeners_by_address[server.address] = listener
            self.listeners_by_name[server.name] = listener
        for name in self._daemon_names:
            self.daemons_by_name[name] = PathDaemon(self, name)
        return self

    async def __aexit__(self, *details):
        return await self._exit_stack.__aexit__(*details)

    def set_members(self, *names):
        """Makes the named daemons the only members in the views of all daemons."""
        members = [member for member in self.members if member.name in names]
        for daemon in self.daemons_by_name.values():
            daemon.membership.set_members(members)
            daemon.owned_replicas.apply(self.configuration)

    def owner_of(self, replica):
        """Returns the name of the daemon that owns a replica."""
        server = self.configuration.servers_by_name[replica]
        return next(iter(self.daemons_by_name.values())).owned_replicas.owner_name(
            server
        )
