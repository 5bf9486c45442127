"""The gateway's application object: builds all parts and runs their life cycle."""

import asyncio
import random
import signal

import anyio

from snipetrestle.codes import ResultCode
from snipetrestle.coordination.datagrams import DatagramEndpoint
from snipetrestle.coordination.director import PlacementController
from snipetrestle.coordination.hosts import Hosts
from snipetrestle.coordination.leadership import Leadership, has_ended
from snipetrestle.coordination.locator import Locator
from snipetrestle.coordination.messages import HostInfo
from snipetrestle.coordination.shared_loads import SharedReplicaLoads
from snipetrestle.events import Event, log_event
from snipetrestle.gateway.configuration import CallerLimits
from snipetrestle.gateway.forwarding import Forwarder
from snipetrestle.gateway.http_server import CallerConnection
from snipetrestle.gateway.log_lines import RequestLines
from snipetrestle.gateway.metrics import GatewayMetrics
from snipetrestle.gateway.published_state import PublishedState
from snipetrestle.gateway.replicas import ReplicaDirectory
from snipetrestle.gateway.retry_budget import RetryBudget
from snipetrestle.gateway.snapshots import Snapshots

# After the drain starts, new connections come until the balancer has noticed.
NOTICE_S = 2.5
# Left of the grace period when the last requests are given up.
GRACE_MARGIN_S = 0.6
BACKLOG = 512
SETTINGS_CHECK_S = 5.0


class HttpServer:
    """Listens for HTTP connections. ``handle(request, connection)`` answers one request."""

    def __init__(self, handle, limits):
        self.handle = handle
        self._limits = limits
        self.connections = set()
        self.closing = False
        self.ending = False
        self._server = None
        self._idle = anyio.Event()

    @property
    def limits(self):
        return self._limits()

    async def open(self, address):
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(self), *address, backlog=BACKLOG
        )

    @property
    def is_open(self):
        return self._server is not None

    @property
    def busy(self):
        return any(connection.busy for connection in self.connections)

    def note_answered(self):
        """Called by a connection after each answer."""
        if self.closing and not self.busy:
            self._idle.set()

    async def wait_idle(self, limit_s):
        """Returns once no request is in progress, after ``limit_s`` at the latest."""
        with anyio.move_on_after(limit_s):
            while self.busy:
                self._idle = anyio.Event()
                await self._idle.wait()

    def start_closing(self):
        """Answers go out with a note that the connection ends."""
        self.closing = True

    def close_idle(self):
        """Ends the connections without a request in progress."""
        self.ending = True
        for connection in list(self.connections):
            connection.wake_idle()

    def close(self):
        """Closes the port and all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.abort()


class RetryBudgets:
    """Retry budgets by backend."""

    def __init__(self, settings):
        self._settings = settings
        self._by_backend = {}

    def set_settings(self, settings):
        """Budgets start anew only if their figures changed."""
        if settings != self._settings:
            self._settings = settings
            self._by_backend.clear()

    def of(self, backend):
        budget = self._by_backend.get(backend)
        if budget is None:
            settings = self._settings
            budget = RetryBudget(settings.ratio, settings.slack, settings.window_s)
            self._by_backend[backend] = budget
        return budget


class Gateway:
    """One gateway process.

    ``platform`` has ``dialect``, ``source``, ``feeds``, ``order_client`` and
    ``read_settings``: the adapter's translations.
    """

    @classmethod
    def from_settings(cls, settings, platform, boot, generator=None):
        """Builds all parts. ``boot`` is the start of the process in ms of Unix time."""
        return cls(settings, platform, boot, generator or random.Random())

    def __init__(self, settings, platform, boot, generator):
        self.settings = settings
        self.generator = generator
        self.dialect = platform.dialect
        self._read_settings = platform.read_settings
        self.metrics = GatewayMetrics()
        self.lines = RequestLines()
        self.budgets = RetryBudgets(settings.retry_budget)
        self.replicas = ReplicaDirectory(settings.failure_domain, generator)
        self.state = PublishedState(
            platform.source, platform.feeds, self.replicas, generator
        )
        self.endpoint = DatagramEndpoint()
        own = HostInfo(
            settings.name, boot, *settings.peers, settings.failure_domain, settings.size
        )
        self.hosts = Hosts(
            own,
            settings.seeds,
            self.endpoint,
            self._describe,
            lambda: self.leadership.full_heartbeat_names(),
        )
        self.leadership = Leadership(self.hosts, settings.lease_s, has_ended)
        self.loads = SharedReplicaLoads(self.replicas, self.hosts, self.leadership)
        self.director = PlacementController(
            self.state,
            self.leadership,
            platform.order_client,
            self.loads,
            self.endpoint,
        )
        self.locator = Locator(
            self.leadership,
            self.endpoint,
            settings.name,
            self.director.locate,
            self.replicas.listing,
        )
        self.snapshots = Snapshots(self.state, self.hosts, generator)
        self.callers = HttpServer(Forwarder(self).handle, self._limits)
        self.readiness = HttpServer(self._answer_ready, CallerLimits)
        self.metrics_server = HttpServer(self._answer_metrics, CallerLimits)
        self.draining = False
        self._stopping = None
        self._snapshot_server = None

    def _limits(self):
        configuration = self.state.configuration
        return CallerLimits() if configuration is None else configuration.limits

    def _describe(self):
        """Returns what the own beats say."""
        loads = (
            self.loads.total_loads()
            if self.leadership.leads
            else self.loads.own_loads()
        )
        return (
            self.leadership.leader,
            self.leadership.term,
            self.leadership.leader_age_s(),
            loads,
            self.state.newest_by_prefix(),
        )

    @property
    def is_listening(self):
        return self.callers.is_open

    def is_ready(self):
        return self.state.ready.is_set() and not self.draining

    async def _answer_ready(self, request, connection):
        if self.is_ready():
            connection.answer(200, [], b"")
        else:
            connection.answer_code(ResultCode.NOT_READY)

    async def _answer_metrics(self, request, connection):
        connection.answer(
            200, [(b"content-type", b"text/plain; version=0.0.4")], self.metrics.text()
        )

    async def run(self):
        """Runs until ``drain`` was called on a signal and has ended."""
        self._stopping = anyio.Event()
        try:
            await self._open()
            log_event(Event.STARTED, name=self.settings.name, boot=self.hosts.own.boot)
            async with anyio.create_task_group() as group:
                for prefix in self.state.feeds:
                    group.start_soon(self.state.follow, prefix)
                for task in (
                    self.hosts.run,
                    self.leadership.run,
                    self.director.run,
                    self.locator.run,
                    self.snapshots.run,
                    self._note_ready,
                    self._follow_signals,
                    self._follow_settings,
                ):
                    group.start_soon(task)
                await self._stopping.wait()
                group.cancel_scope.cancel()
        finally:
            self.close()
        log_event(Event.STOPPED, name=self.settings.name)

    async def _open(self):
        """Binds all addresses; the callers' one last. Raises OSError."""
        settings = self.settings
        await self.endpoint.open(*settings.peers)
        self._snapshot_server = await self.snapshots.serve(*settings.peers)
        await self.readiness.open(settings.readiness)
        await self.metrics_server.open(settings.metrics)
        await self.callers.open(settings.callers)

    def close(self):
        """Closes all sockets."""
        for server in (self.callers, self.readiness, self.metrics_server):
            server.close()
        if self._snapshot_server is not None:
            self._snapshot_server.close()
        self.endpoint.close()

    async def _note_ready(self):
        await self.state.ready.wait()
        log_event(Event.READY, name=self.settings.name)

    async def _follow_signals(self):
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as signals:
            async for number in signals:
                if number == signal.SIGHUP:
                    self.reload()
                    continue
                await self.drain()
                self._stopping.set()
                return

    async def _follow_settings(self):
        """Reads the settings again now and then: they may change without a signal."""
        while True:
            await anyio.sleep(SETTINGS_CHECK_S)
            self.reload()

    def reload(self):
        """Takes over the settings that may change while the process runs."""
        try:
            settings = self._read_settings()
        except (OSError, ValueError) as error:
            log_event(Event.SETTINGS_REFUSED, error=str(error))
            return
        if settings == self.settings:
            return
        self.settings = settings
        self.hosts.set_seeds(settings.seeds)
        self.budgets.set_settings(settings.retry_budget)
        log_event(Event.SETTINGS_RELOADED, seeds=len(settings.seeds))

    async def drain(self):
        """Ends this process's duties and finishes the requests in progress."""
        started = anyio.current_time()
        self.draining = True
        log_event(Event.DRAIN_STARTED, name=self.settings.name)
        self.leadership.resign("this process stops")
        self.hosts.send_leaving()
        self.callers.start_closing()
        await anyio.sleep(min(NOTICE_S, self.settings.grace_s / 3))
        self.callers.close_idle()
        end = started + self.settings.grace_s - GRACE_MARGIN_S
        await self.callers.wait_idle(end - anyio.current_time())
