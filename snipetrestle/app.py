"""The application object, which builds and runs all components of a daemon."""

import asyncio
import contextlib
import random

import anyio

from snipetrestle.answer_memory import AnswerMemory
from snipetrestle.batches import BatchHolder
from snipetrestle.caller_memory import CallerMemory
from snipetrestle.callers.batch_items import BatchItemRunner
from snipetrestle.callers.batches import BatchEndpoints
from snipetrestle.callers.entry import EntryRouter
from snipetrestle.callers.handshake import connection_bytes
from snipetrestle.callers.interface import CallerInterface
from snipetrestle.callers.listener import serving
from snipetrestle.callers.services import ServiceCalls
from snipetrestle.draining import drain_daemon
from snipetrestle.engines.http_client import HttpEngineClient, StreamWakeScheduler
from snipetrestle.engines.owner import ReplicaOwner
from snipetrestle.engines.ownership import ReplicaOwnership
from snipetrestle.events import Event, log_event
from snipetrestle.hashing import rendezvous_first
from snipetrestle.http_connections import ServerConnections
from snipetrestle.limits import LimitShares, ShareCoordinator
from snipetrestle.log_lines import RequestLines
from snipetrestle.metrics import Metrics
from snipetrestle.operators.interface import OperatorInterface
from snipetrestle.peers.configuration_spread import ConfigurationSync
from snipetrestle.peers.grpc_transport import GrpcTransport
from snipetrestle.peers.membership import Membership
from snipetrestle.peers.own_calls import LocalCallTransport
from snipetrestle.peers.transport import MessageRouter
from snipetrestle.placement import CoordinatedPermits, LoadCoordinator, ReplicaChooser
from snipetrestle.process_limits import ProcessLimits, StatusLimits
from snipetrestle.publication.backend_hosts import BackendHosts
from snipetrestle.publication.http_sources import (
    HttpConfigurationSource,
    HttpHostListSource,
)
from snipetrestle.publication.ordered_host_list import OrderedHostList
from snipetrestle.reports import ApplicationReports
from snipetrestle.services.http_client import HttpServiceClient
from snipetrestle.settings import IntakeSettings
from snipetrestle.writes import Keeper, WriteCoordinator

# Requests of operators have no bodies.
OPERATOR_INTAKE = IntakeSettings(max_body_bytes=16_384)


class Application:
    """One daemon: its components and its life cycle.

    ``drain_hooks`` and ``stop_hooks`` are async functions without arguments; drain
    hooks run in the order in which they were added, stop hooks in reverse order.
    ``configured_components`` have ``apply(configuration)``, which is called for each
    accepted revision. ``background_tasks`` are async functions that run from the start
    until the stop.
    """

    @classmethod
    def from_settings(cls, settings, generator=None, *, first_start=False):
        """Builds a daemon. Raises OSError or ssl.SSLError for unusable TLS files.

        With ``first_start`` the coordinators do not wait for the term in which grants
        of a predecessor expire. This is safe only for a fleet that has never run.
        """
        return cls(settings, generator or random.Random(), first_start)

    def __init__(self, settings, generator, first_start=False):
        self.settings = settings
        self._first_start = first_start
        self.generator = generator
        self.metrics = Metrics()
        # Callers that are refused in great numbers must not fill the log.
        self._shed_log = RequestLines()
        self.background_tasks = []
        self.drain_hooks = []
        self.stop_hooks = []
        self.configured_components = []
        self.callers_address = None
        self.operators_address = None
        self.draining = False
        self._runner = None
        self._group = None
        self._stopping = anyio.Event()
        self._build_process_limits()
        self._build_peers()
        self._build_limits()
        self._build_writes()
        self._build_engines()
        self._build_callers()
        self.configuration_sync.on_change(self._apply)

    def _build_process_limits(self):
        settings = self.settings
        self.process_limits = ProcessLimits.from_machine(settings.process.memory_mb)
        self.server_connections = ServerConnections(
            self.process_limits.max_server_connections
        )
        self.caller_memory = CallerMemory(
            self.process_limits,
            lambda: settings.intake,
            self._note_shed,
            connection_bytes(settings.tls.callers),
        )
        self.answer_memory = AnswerMemory(self.caller_memory)

    def _build_peers(self):
        settings = self.settings
        self.router = MessageRouter()
        self.transport = GrpcTransport.from_settings(
            settings,
            self.router,
            lambda name: self.membership.address_of(name),
            self.process_limits.max_permanent_peer_connections,
        )
        self.local_call_transport = LocalCallTransport(
            self.transport, self.router, settings.daemon.name
        )
        host_list = HttpHostListSource(settings.platform.host_list)
        source = HttpConfigurationSource(
            settings.platform.configuration_service,
            settings.platform.configuration_key,
        )
        self.stop_hooks += [host_list.aclose, source.aclose]
        self.backend_hosts = BackendHosts(OrderedHostList(host_list))
        self.membership = Membership.from_settings(
            settings, self.transport, self.router, self.backend_hosts, self.generator
        )
        self.membership.attach_connections(
            self.transport.in_use, self.transport.drop, self.transport.last_heard
        )
        self.configuration_sync = ConfigurationSync(
            self.membership, self.transport, self.router, source, self.generator
        )
        self.background_tasks += [
            self.membership.run,
            self.configuration_sync.run,
            self._stop_when_superseded,
            self._log_ready,
        ]

    def _build_limits(self):
        self.share_coordinator = ShareCoordinator(
            self.router,
            self._contract_of,
            lambda: len(self.membership.routable()),
            first_start=self._first_start,
        )
        self.shares = LimitShares(
            self.local_call_transport,
            self.generator,
            self._contract_of,
            self._coordinator_of,
            self.membership.listed_count,
        )
        self.background_tasks.append(self.shares.run)

    def _build_writes(self):
        self.services = HttpServiceClient(
            self.settings.daemon.region,
            connections=self.server_connections,
            answer_memory=self.answer_memory,
        )
        self.stop_hooks.append(self.services.aclose)
        self.keeper = None
        self.writes = WriteCoordinator(
            self.transport,
            self.router,
            self.membership,
            self.services,
            self.generator,
        )
        self.configured_components += [self.services, self.writes]
        self.background_tasks.append(self.writes.run)

    def _build_engines(self):
        self._stores_by_name = {}
        self.load_coordinator = LoadCoordinator(
            self.router, self._stores_by_name, first=self._first_start
        )
        self.permits = CoordinatedPermits(
            self.local_call_transport,
            self.settings.daemon.name,
            self.generator,
            self._coordinator_of,
            self.membership.listed_count,
            self._stores_by_name,
        )
        self.stream_wake_scheduler = StreamWakeScheduler()
        self._engines = []
        self.stop_hooks.append(self._close_engines)
        self.ownership = ReplicaOwnership(
            self.membership,
            self.transport,
            self.router,
            self._open_engine,
            self._make_owner,
        )
        self.configured_components.append(self.ownership)
        self.background_tasks += [
            self.load_coordinator.run,
            self.ownership.run,
            self._resign_on_membership_change,
        ]

    def _build_callers(self):
        settings = self.settings
        self.entry = EntryRouter(
            self.membership,
            self.transport,
            self.ownership,
            ReplicaChooser(self.generator),
            self.shares,
            self.generator,
        )
        self.callers = CallerInterface(
            self.entry,
            ServiceCalls(self.services, self.writes, self.shares, self.generator),
            self.shares,
            self.metrics,
            settings.intake,
            self.generator,
            self.is_ready,
        )
        self.operators = OperatorInterface(ApplicationReports(self))
        self.configured_components.append(self.callers)
        self.backend_hosts.on_change(self._set_replicas)
        self.batch_item_runner = BatchItemRunner(self.entry, self.generator)
        self.batches = BatchHolder(
            self.membership,
            self.transport,
            self.router,
            self.batch_item_runner.run,
            self._batch_allowance_of,
            self.generator,
        )
        self.callers.attach_batches(BatchEndpoints(self.batches))
        self.configured_components.append(self.batch_item_runner)
        self.background_tasks.append(self.batches.run)
        self.drain_hooks.append(self._drain_components)

    def _note_shed(self, counts):
        """Logs the load that was shed to bound what callers hold."""
        self._shed_log.log(
            Event.CALLERS_REFUSED_FOR_MEMORY,
            **counts.by_kind(),
            held_bytes=self.caller_memory.held_bytes,
            bound_bytes=self.caller_memory.bound_bytes,
        )

    def _start_keeper(self):
        # Built after the join, which may change the own incarnation.
        self.keeper = Keeper(self.transport, self.router, self.membership)
        self.configured_components.append(self.keeper)
        self.background_tasks.append(self.keeper.run)

    def _open_engine(self, server):
        engine = HttpEngineClient(
            server.address,
            self.generator,
            self.stream_wake_scheduler,
            connections=self.server_connections,
            answer_memory=self.answer_memory,
        )
        self._engines.append(engine)
        return engine

    async def _close_engines(self):
        """Closes the channels, whose tasks do not belong to the application."""
        for engine in self._engines:
            await engine.aclose()

    def _make_owner(self, server, engine, number, suffix):
        return ReplicaOwner(
            server,
            engine,
            self.permits,
            number,
            suffix,
            rng=self.generator,
            policy=self.configuration_sync.current.policy,
        )

    async def _drain_components(self):
        await drain_daemon(
            self.membership, self.ownership, self.batches, self.callers, self.writes
        )

    def _batch_allowance_of(self, name):
        contract = self._contract_of(name)
        return None if contract is None else contract.batch.max_queued_requests

    def _contract_of(self, name):
        if self.configuration_sync.current is None:
            return None
        customer = self.configuration_sync.current.customers_by_name.get(name)
        return None if customer is None else customer.contract

    def _coordinator_of(self, name):
        """Returns the member that coordinates a customer's limits or a weight store.

        If no member is routable, since all are leaving, a daemon is its own
        coordinator.
        """
        first = rendezvous_first(name, self.membership.routable())
        return first or self.settings.daemon.name

    async def _resign_on_membership_change(self):
        """Resigns as coordinator of what moves to other members, until cancelled."""
        while True:
            view_number = self.membership.view_number
            configuration = self.configuration_sync.current
            if configuration is not None:
                self._resign(configuration)
            await self.membership.wait_changed(view_number)

    def _resign(self, configuration):
        own_name = self.membership.own_name
        for store in configuration.stores_by_name:
            if self._coordinator_of(store) != own_name:
                self.load_coordinator.resign(store)
        for customer in configuration.customers_by_name:
            if self._coordinator_of(customer) != own_name:
                self.share_coordinator.resign(customer)

    def _apply(self, configuration, revision):
        # CoordinatedPermits and LoadCoordinator share this dictionary.
        self._stores_by_name.clear()
        self._stores_by_name.update(configuration.stores_by_name)
        self.load_coordinator.set_stores(self._stores_by_name)
        self.load_coordinator.set_policy(configuration.policy)
        for component in self.configured_components:
            component.apply(configuration)
        self._set_replicas()

    def _set_replicas(self):
        """Sets the engines to which new requests may be sent."""
        if self.configuration_sync.current is None:
            return
        is_leaving = self.backend_hosts.is_leaving
        self.ownership.set_leaving(
            name
            for name in self.configuration_sync.current.servers_by_name
            if is_leaving(name)
        )
        self.entry.set_replicas(
            {
                model: [item for item in servers if not is_leaving(item.name)]
                for model, servers in (
                    self.configuration_sync.current.replicas_by_model.items()
                )
            }
        )

    def is_ready(self):
        """Tells whether the daemon has a configuration and is not draining."""
        return self.configuration_sync.ready.is_set() and not self.draining

    async def wait_ready(self):
        """Returns once the daemon has a configuration and accepts requests."""
        await self.configuration_sync.ready.wait()

    async def _log_ready(self):
        await self.wait_ready()
        log_event(Event.READY, name=self.settings.daemon.name)

    async def run(self, started=None):
        """Runs the daemon until ``stop`` is called.

        Sets the event ``started`` once the daemon listens.
        """
        settings = self.settings
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(self._run_stop_hooks)
            await stack.enter_async_context(
                self.transport.serving(settings.listen.peers)
            )
            await self.membership.join()
            self._start_keeper()
            async with anyio.create_task_group() as group:
                self._group = group
                for task in self.background_tasks:
                    group.start_soon(task)
                async with self._listening():
                    log_event(Event.STARTED, name=settings.daemon.name)
                    if started is not None:
                        started.set()
                    await self._stopping.wait()
                group.cancel_scope.cancel()
        log_event(Event.STOPPED, name=settings.daemon.name)

    @contextlib.asynccontextmanager
    async def _listening(self):
        listen, tls, intake = (
            self.settings.listen,
            self.settings.tls,
            self.settings.intake,
        )
        reload_s = tls.reload_interval_s
        async with (
            serving(
                self.callers,
                listen.callers,
                tls.callers,
                intake,
                reload_s,
                self.caller_memory,
            ) as callers,
            serving(
                self.operators,
                listen.operators,
                tls.operators,
                OPERATOR_INTAKE,
                reload_s,
                CallerMemory(StatusLimits, lambda: OPERATOR_INTAKE),
            ) as operators,
        ):
            self.callers_address, self.operators_address = callers, operators
            yield

    async def start(self):
        """Starts the daemon in a separate task and returns once it listens."""
        started = anyio.Event()
        self._runner = asyncio.create_task(self.run(started))
        waiter = asyncio.create_task(started.wait())
        await asyncio.wait({self._runner, waiter}, return_when="FIRST_COMPLETED")
        waiter.cancel()
        if self._runner.done():
            await self._runner

    async def _stop_when_superseded(self):
        """Stops immediately, since another run of this name may serve the same keys."""
        await self.membership.superseded.wait()
        self._stopping.set()

    def start_drain(self):
        """Starts a drain, after which the daemon stops. Returns immediately."""
        if not self.draining and self._group is not None:
            self._group.start_soon(self._drain_and_stop)

    async def _drain_and_stop(self):
        await self.drain()
        self._stopping.set()

    async def drain(self):
        """Refuses new work and returns once all requests in progress have ended."""
        self.draining = True
        log_event(Event.DRAIN_STARTED, name=self.settings.daemon.name)
        for hook in self.drain_hooks:
            await hook()

    async def stop(self):
        """Stops all components. Aborts requests in progress unless drained before."""
        self._stopping.set()
        await self.wait_stopped()

    async def wait_stopped(self):
        """Returns once the daemon has stopped. Raises the exception that ended it."""
        await asyncio.wait({self._runner})
        await self._runner

    async def _run_stop_hooks(self):
        with anyio.CancelScope(shield=True):
            for hook in reversed(self.stop_hooks):
                await hook()
