"""The application object: builds all parts of a daemon and runs their life cycle."""

import asyncio
import contextlib
import random

import anyio

from snipetrestle.callers.entry import EntryRouter
from snipetrestle.callers.interface import CallerInterface
from snipetrestle.callers.listener import serving
from snipetrestle.engines.forwarding import ForwardHandler
from snipetrestle.engines.http_client import HttpEngineClient
from snipetrestle.engines.owner import ReplicaOwner
from snipetrestle.engines.replicas import OwnedReplicas
from snipetrestle.events import Event, log_event
from snipetrestle.peers.configuration_spread import ConfigurationSpread
from snipetrestle.peers.grpc_transport import GrpcTransport
from snipetrestle.peers.membership import Membership
from snipetrestle.peers.transport import MessageRouter
from snipetrestle.placement.permits import UnlimitedPermits
from snipetrestle.platform.http_sources import (
    HttpConfigurationSource,
    HttpHostListSource,
)
from snipetrestle.services.http_client import HttpServiceClient
from snipetrestle.writes import Keeper, WriteCoordinator


class Application:
    """One daemon: its parts by name, and its life cycle.

    ``drain_hooks`` and ``stop_hooks`` are async functions without arguments that parts
    add; drain hooks run in the order added, stop hooks in the opposite order. ``tasks``
    run from the start until the stop.
    """

    @classmethod
    def from_settings(cls, settings, generator=None):
        """Builds all parts. Raises OSError or ssl.SSLError for unusable TLS files."""
        return cls(settings, generator or random.Random())

    def __init__(self, settings, generator):
        self.settings = settings
        self.generator = generator
        self.tasks = []
        self.drain_hooks = []
        self.stop_hooks = []
        self.callers_address = None
        self._configuration_parts = []
        self._runner = None
        self._stopping = None
        self._build_peers()
        self._build_writes()
        self._build_data_path()
        self.spread.on_change(self._apply)

    def _build_peers(self):
        settings = self.settings
        self.router = MessageRouter()
        self.transport = GrpcTransport.from_settings(
            settings, self.router, lambda name: self.membership.address_of(name)
        )
        host_list = HttpHostListSource(settings.platform.host_list)
        source = HttpConfigurationSource(
            settings.platform.configuration_service,
            settings.platform.configuration_key,
        )
        self.stop_hooks += [host_list.aclose, source.aclose]
        self.membership = Membership.from_settings(
            settings, self.transport, self.router, host_list, self.generator
        )
        self.spread = ConfigurationSpread(
            self.membership, self.transport, self.router, source, self.generator
        )
        self.tasks += [self.membership.run, self.spread.run]

    def _build_writes(self):
        self.services = HttpServiceClient(self.settings.daemon.region)
        self.stop_hooks.append(self.services.aclose)
        self.keeper = None
        self.writes = WriteCoordinator(
            self.transport,
            self.router,
            self.membership,
            self.services,
            self.generator,
        )
        self._configuration_parts += [self.services, self.writes]
        self.tasks.append(self.writes.run)

    def _start_keeper(self):
        # Built after the join, which may raise the own incarnation.
        self.keeper = Keeper(self.transport, self.router, self.membership)
        self._configuration_parts.append(self.keeper)
        self.tasks.append(self.keeper.run)

    def _build_data_path(self):
        self.permits = UnlimitedPermits()
        self.owned = OwnedReplicas(self.membership, self._make_owner)
        self.forward_handler = ForwardHandler(self.router, self.owned)
        self.entry = EntryRouter(self.membership, self.transport, self.owned)
        self.callers = CallerInterface(
            self.entry, self.settings.intake, self.generator, self.is_ready
        )
        self._configuration_parts += [self.owned, self.entry, self.callers]
        self.tasks.append(self.owned.run)
        self.drain_hooks += [self.membership.leave, self.callers.drain]
        self.drain_hooks.append(self.writes.drain)

    def _make_owner(self, server):
        return ReplicaOwner(server, HttpEngineClient(server.address), self.permits)

    def _apply(self, configuration, revision):
        for part in self._configuration_parts:
            part.apply(configuration)

    def is_ready(self):
        return self.spread.ready.is_set()

    async def wait_ready(self):
        """Returns once the daemon has a configuration and takes requests."""
        await self.spread.ready.wait()

    async def run(self, started=None):
        """Runs the daemon until ``stop`` is called; sets ``started`` once it listens."""
        self._stopping = anyio.Event()
        settings = self.settings
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(self._run_stop_hooks)
            await stack.enter_async_context(
                self.transport.serving(settings.listen.peers)
            )
            await self.membership.join()
            self._start_keeper()
            group = await stack.enter_async_context(anyio.create_task_group())
            for task in self.tasks:
                group.start_soon(task)
            self.callers_address = await stack.enter_async_context(
                serving(
                    self.callers,
                    settings.listen.callers,
                    settings.tls.callers,
                    settings.intake,
                )
            )
            log_event(Event.STARTED, name=settings.daemon.name)
            if started is not None:
                started.set()
            await self._stopping.wait()
            group.cancel_scope.cancel()
        log_event(Event.STOPPED, name=settings.daemon.name)

    async def start(self):
        """Starts the daemon in a task of its own; returns once it listens."""
        started = anyio.Event()
        self._runner = asyncio.create_task(self.run(started))
        waiter = asyncio.create_task(started.wait())
        await asyncio.wait({self._runner, waiter}, return_when="FIRST_COMPLETED")
        waiter.cancel()
        if self._runner.done():
            await self._runner

    async def drain(self):
        """Refuses new work and returns once the requests in progress have ended."""
        log_event(Event.DRAIN_STARTED, name=self.settings.daemon.name)
        for hook in self.drain_hooks:
            await hook()

    async def stop(self):
        """Stops all parts. Requests in progress end early unless drained before."""
        if self._stopping is not None:
            self._stopping.set()
        if self._runner is not None:
            await self._runner

    async def wait_stopped(self):
        """Returns once the daemon has stopped. Raises what ended it otherwise."""
        await asyncio.wait({self._runner})
        await self._runner

    async def _run_stop_hooks(self):
        with anyio.CancelScope(shield=True):
            for hook in reversed(self.stop_hooks):
                await hook()
