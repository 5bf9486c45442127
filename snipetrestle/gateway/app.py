"""The gateway process: builds all components and runs them from start to drain."""

import asyncio
import random
import signal

import anyio

from snipetrestle.caller_memory import CallerMemory
from snipetrestle.codes import ResultCode
from snipetrestle.coordination.loads.dispatch_permits import DispatchPermits
from snipetrestle.coordination.loads.send_permits import SendPermits
from snipetrestle.coordination.loads.shared_loads import SharedReplicaLoads
from snipetrestle.coordination.loads.shared_request_limits import SharedRequestLimits
from snipetrestle.coordination.membership.heartbeat_content import HeartbeatContent
from snipetrestle.coordination.membership.hosts import Hosts
from snipetrestle.coordination.membership.key_owners import KeyOwners
from snipetrestle.coordination.membership.leadership import Leadership, has_ended
from snipetrestle.coordination.membership.pause_watch import PauseWatch
from snipetrestle.coordination.messaging.datagrams import DatagramEndpoint
from snipetrestle.coordination.messaging.messages import HostInfo
from snipetrestle.coordination.placement.director import PlacementController
from snipetrestle.coordination.placement.locator import Locator
from snipetrestle.coordination.placement.order_activity import OrderActivity
from snipetrestle.coordination.quarantine.shared_quarantine import SharedQuarantine
from snipetrestle.coordination.quarantine.shared_request_quarantine import (
    SharedRequestQuarantine,
)
from snipetrestle.coordination.quotas.quota_issuer import QuotaIssuer
from snipetrestle.coordination.quotas.quota_requests import QuotaRequests
from snipetrestle.coordination.store.store_availability import StoreAvailability
from snipetrestle.coordination.store.store_relay import StoreRelay
from snipetrestle.coordination.streams.kept_prompt_answers import KeptPromptAnswers
from snipetrestle.coordination.streams.kept_prompt_questions import KeptPromptQuestions
from snipetrestle.coordination.streams.stream_records import StreamRecords
from snipetrestle.events import Event, log_event
from snipetrestle.gateway.backends.connection_pool import (
    ConnectionPool,
    OpenConnections,
)
from snipetrestle.gateway.backends.connection_shares import ConnectionShares
from snipetrestle.gateway.backends.drain_times import DrainTimes
from snipetrestle.gateway.backends.replicas import ReplicaDirectory
from snipetrestle.gateway.backends.request_limits import RequestLimits
from snipetrestle.gateway.backends.retry_budget import RetryBudgets
from snipetrestle.gateway.callers.connection_end import Unanswered
from snipetrestle.gateway.callers.http_listener import HttpServer, status_server
from snipetrestle.gateway.configuration import CallerLimits
from snipetrestle.gateway.forwarding import Forwarder
from snipetrestle.gateway.metrics import GatewayMetrics
from snipetrestle.gateway.publication.fresh_reads import FreshReads
from snipetrestle.gateway.publication.published_state import PublishedState
from snipetrestle.gateway.publication.replica_entries import STORE_RETURN_GRACE_S
from snipetrestle.gateway.publication.snapshots import Snapshots
from snipetrestle.gateway.quarantine.crash_quarantine import CrashQuarantine
from snipetrestle.gateway.refusals import NOT_READY_RETRY_AFTER_S
from snipetrestle.gateway.request_fields import configuration_fields, optional_ms
from snipetrestle.gateway.streams.kept_prompts import KeptPrompts
from snipetrestle.gateway.streams.process_check import ProcessCheck
from snipetrestle.gateway.streams.take_ups import TakeUps
from snipetrestle.gateway.streams.version_history import VersionHistory
from snipetrestle.log_lines import RequestLines
from snipetrestle.supervision import (
    call_isolated,
    log_unexpected,
    run_supervised,
)
from snipetrestle.tenants.quota_accounts import QuotaAccounts

IDLE_CHECK_INTERVAL_S = 0.02
SETTINGS_CHECK_INTERVAL_S = 5.0


class Gateway:
    """One gateway process.

    ``platform`` adapts the gateway to a platform: ``dialect``, ``source`` and ``feeds``
    of its store, ``order_client`` for its replicas, and ``read_settings()``.
    """

    @classmethod
    def from_settings(cls, settings, platform, boot, rng=None):
        """Builds a gateway. ``boot`` is the process's start as Unix time in ms."""
        return cls(settings, platform, boot, rng or random.Random())

    def __init__(self, settings, platform, boot, rng):
        self.settings = settings
        self.rng = rng
        self.dialect = platform.dialect
        self._read_settings = platform.read_settings
        self.transfers = platform.source.transfers
        self.metrics = GatewayMetrics()
        self.request_log = RequestLines()
        # The end of one replica suppresses lines about the streams that it cut off.
        # These must not be among them, as they tell which requests it was starting.
        self.lost_request_log = RequestLines()
        # Callers without a key must not suppress the lines of others.
        self.bad_key_log = RequestLines()
        # Callers that leave in great numbers must not suppress the lines of requests.
        self._connection_log = RequestLines()
        self.retry_budgets = RetryBudgets(settings.retry_budget)
        self._process_limits = settings.process_limits
        self._open_connections = OpenConnections(
            lambda: self._process_limits.max_server_connections
        )
        self._connection_shares = ConnectionShares(
            lambda: self.state.backends_by_name, lambda: 1 + len(self.hosts.reachable())
        )
        self.replicas = ReplicaDirectory(
            settings.failure_domain, rng, self._make_replica_pool
        )
        self.pause_watch = PauseWatch()
        self.state = PublishedState(
            platform.source,
            platform.feeds,
            self.replicas,
            rng,
            settings.entry_expiry_s,
            StoreAvailability.from_feeds(
                platform.feeds,
                settings.name,
                settings.entry_expiry_s,
                self.pause_watch,
            ),
        )
        # The first feed lists the replicas.
        self.fresh_reads = FreshReads(self.state, platform.feeds[0].prefix)
        self.version_history = VersionHistory(
            self.state,
            platform.feeds[0].prefix,
            # Hosts keep replicas for a while that expired in an outage of the store.
            settings.replica_drain_s + STORE_RETURN_GRACE_S,
            settings.history_s,
            settings.heartbeat_s,
            self.fresh_reads,
        )
        self.datagram_endpoint = DatagramEndpoint(
            self.metrics.count_too_long_datagram, self.metrics.count_refused_datagram
        )
        own_info = HostInfo(
            settings.name, boot, *settings.peers, settings.failure_domain, settings.size
        )
        heartbeat_content = HeartbeatContent()
        self.hosts = Hosts(
            own_info,
            settings.seeds,
            self.datagram_endpoint,
            heartbeat_content,
        )
        self.order_activity = OrderActivity(self.state, platform.order_client, rng)
        self.leadership = Leadership(
            self.hosts, settings.lease_s, has_ended, self.order_activity
        )
        self.shared_loads = SharedReplicaLoads(
            self.replicas, self.hosts, self.leadership, self.datagram_endpoint
        )
        self.store_relay = StoreRelay(
            self.state,
            self.hosts,
            self.leadership,
            self.datagram_endpoint,
            min(settings.replica_drain_s, settings.configuration_apply_s),
        )
        self.state.relay = self.store_relay
        self.state.on_change(self._label_tenants)
        self.crash_quarantine = CrashQuarantine(
            _log_refused_prompts, self._log_request_refusal
        )
        self.shared_request_quarantine = SharedRequestQuarantine(
            self.crash_quarantine.requests,
            self.hosts,
            self.leadership,
            self.datagram_endpoint,
        )
        heartbeat_content.connect(
            self.leadership,
            self.state,
            self.store_relay,
        )
        self.shared_limits = SharedRequestLimits(
            self.replicas, self.hosts, self.datagram_endpoint
        )
        self.shared_quarantine = SharedQuarantine(
            self.crash_quarantine.prompts, self.hosts, self.datagram_endpoint
        )
        self.send_permits = SendPermits(
            self.leadership,
            self.datagram_endpoint,
            settings.name,
            RequestLimits(self.hosts, rng),
        )
        self._build_quotas()
        self.dispatch_permits = DispatchPermits(
            self.replicas,
            self.hosts,
            KeyOwners(self.hosts),
            self.datagram_endpoint,
            self.metrics,
            rng,
        )
        self.director = PlacementController(
            self.state,
            self.leadership,
            platform.order_client,
            self.shared_loads,
            self.datagram_endpoint,
        )
        self.locator = Locator(
            self.leadership,
            self.datagram_endpoint,
            settings.name,
            self.director.locate,
            self.replicas.ids_listing_adapter,
            self.shared_loads.note_total_load,
        )
        self.snapshots = Snapshots(self.state, self.hosts, rng, self.transfers)
        self.hosts.on_heartbeat(self.snapshots.note_heartbeat)
        self.caller_memory = CallerMemory(
            self._process_limits, self._limits, self._note_shed
        )
        self.take_ups = TakeUps(
            StreamRecords(self.hosts, self.datagram_endpoint),
            self.version_history,
            self._build_kept_prompts(platform.order_client),
            self.state,
            self.metrics,
            RequestLines(),
        )
        self.process_check = ProcessCheck(
            self.replicas,
            platform.order_client.report,
            self.fresh_reads,
        )
        self.replicas.ask_removed(self.process_check.ask)
        self.replicas.on_verdict(self.metrics.count_process_end)
        self.forwarder = Forwarder(self)
        self.caller_server = HttpServer(
            self.forwarder.handle,
            self._limits,
            self._note_connection_end,
            self.transfers,
            self.caller_memory,
        )
        self.readiness_server = status_server(self._serve_readiness)
        self.metrics_server = status_server(self._serve_metrics)
        self.draining = False
        self._stopping = None
        self._on_drained = None
        self._snapshot_server = None

    def _make_replica_pool(self, entry):
        return ConnectionPool(
            entry.ip,
            entry.port,
            lambda: self._connection_shares.for_backend(entry.backend),
            self._open_connections,
        )

    def _build_kept_prompts(self, client):
        self.kept_prompts = KeptPrompts(
            self.replicas, client.kept_parts, self.fresh_reads, RequestLines()
        )
        answers = KeptPromptAnswers(
            self.leadership,
            self.kept_prompts,
            self.datagram_endpoint,
            self.state.ready.is_set,
        )
        return KeptPromptQuestions(
            self.hosts,
            self.leadership,
            self.datagram_endpoint,
            answers,
            self.kept_prompts,
            self.replicas,
            self.fresh_reads,
        )

    def _build_quotas(self):
        self.key_owners = KeyOwners(self.hosts)
        requests = QuotaRequests(self.hosts, self.datagram_endpoint, self.key_owners)
        self.quota_issuer = QuotaIssuer(
            self.hosts,
            self.leadership,
            self.datagram_endpoint,
            self.key_owners,
            requests,
            self._find_tenant,
            self.pause_watch,
            has_ended,
        )
        self.quota_accounts = QuotaAccounts(
            self.settings.name,
            self.key_owners,
            requests,
            self.quota_issuer,
            self.pause_watch,
            RequestLines(),
            self.metrics,
        )

    def _find_tenant(self, name):
        """Returns the Tenant with a name, or None."""
        configuration = self.state.configuration
        if configuration is None or configuration.tenants is None:
            return None
        return configuration.tenants.by_name.get(name)

    def _log_request_refusal(self, request, refused):
        self.lost_request_log.log(
            Event.REQUEST_REFUSAL_CHANGED, fingerprint=request, refused=refused
        )

    def _note_connection_end(self, end):
        """Counts the end of a caller's connection, and logs it if it owed an answer."""
        self.metrics.count_connection_end(end.reason, end.unanswered)
        if end.unanswered is Unanswered.NOTHING:
            return
        self._connection_log.log(
            Event.CONNECTION_ENDED_EARLY,
            reason=end.reason,
            unanswered=end.unanswered,
            unread_bytes=end.unread_bytes,
            late_bytes=end.late_bytes,
            deadline_ms=optional_ms(end.deadline_s),
            silent_ms=optional_ms(end.silent_s),
            replica_silent_ms=optional_ms(end.replica_silent_s),
            quiet_ms=round(end.quiet_s * 1000),
            idle_limit_ms=round(end.idle_limit_s * 1000),
            age_ms=round(end.age_s * 1000),
            request=end.request_id,
            **end.request_fields,
            **configuration_fields(self.state),
        )

    def _label_tenants(self):
        configuration = self.state.configuration
        self.metrics.tenants.follow(
            None if configuration is None else configuration.tenants
        )

    def _note_shed(self, counts):
        """Counts and logs the load that was shed to bound the memory of callers."""
        counts_by_kind = counts.by_kind()
        self.metrics.count_shed(counts_by_kind)
        self._connection_log.log(
            Event.CALLERS_REFUSED_FOR_MEMORY,
            **counts_by_kind,
            held_bytes=self.caller_memory.held_bytes,
            bound_bytes=self.caller_memory.bound_bytes,
            connections=len(self.caller_server.connections),
        )

    def _limits(self):
        configuration = self.state.configuration
        return CallerLimits() if configuration is None else configuration.limits

    @property
    def is_listening(self):
        return self.caller_server.is_open

    def is_ready(self):
        return self.state.ready.is_set() and not self.draining

    async def _serve_readiness(self, request, connection):
        if self.is_ready():
            connection.send_response(200, [], b"")
        else:
            connection.send_result_code(ResultCode.NOT_READY)

    async def _serve_metrics(self, request, connection):
        connection.send_response(
            200,
            [(b"content-type", b"text/plain; version=0.0.4")],
            self.metrics.render(),
        )

    async def run(self, on_drained=lambda: None):
        """Runs until a signal has stopped the gateway and its drain has ended.

        ``on_drained()`` is called while signals are still handled.
        """
        self._on_drained = on_drained
        self._stopping = anyio.Event()
        asyncio.get_running_loop().set_exception_handler(_log_loop_error)
        try:
            await self._open()
            log_event(Event.STARTED, name=self.settings.name, boot=self.hosts.own.boot)
            async with anyio.create_task_group() as group:
                for prefix in self.state.feeds:
                    group.start_soon(run_supervised, self.state.follow, prefix)
                for task in (
                    self.hosts.run,
                    self.leadership.run,
                    self.order_activity.run,
                    self.director.run,
                    self.locator.run,
                    self.pause_watch.run,
                    self.quota_issuer.run,
                    self.quota_accounts.run,
                    self.snapshots.run,
                    self.snapshots.follow_documents,
                    self.version_history.run,
                    self._log_ready,
                    self._handle_signals,
                    self._poll_settings,
                ):
                    group.start_soon(run_supervised, task)
                await self._stopping.wait()
                group.cancel_scope.cancel()
        finally:
            self.close()
        log_event(Event.STOPPED, name=self.settings.name)

    async def _open(self):
        """Binds all addresses, the callers' address last. Raises OSError."""
        settings = self.settings
        await self.datagram_endpoint.open(*settings.peers)
        self._snapshot_server = self.snapshots.serve(
            settings.peers, self._process_limits.max_peer_connections
        )
        await self.readiness_server.open(settings.readiness)
        await self.metrics_server.open(settings.metrics)
        await self.caller_server.open(settings.callers)

    def close(self):
        """Closes all sockets."""
        for server in (self.caller_server, self.readiness_server, self.metrics_server):
            server.close()
        if self._snapshot_server is not None:
            self._snapshot_server.abort()
        self.datagram_endpoint.close()

    async def _log_ready(self):
        await self.state.ready.wait()
        log_event(Event.READY, name=self.settings.name)

    async def _handle_signals(self):
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as signals:
            async for signal_number in signals:
                if signal_number == signal.SIGHUP:
                    self.reload()
                    continue
                await self.drain()
                self._on_drained()
                self._stopping.set()
                return

    async def _poll_settings(self):
        """Reloads the settings periodically, since they may change without a signal."""
        while True:
            await anyio.sleep(SETTINGS_CHECK_INTERVAL_S)
            self.reload()

    def reload(self):
        """Applies the settings that may change while the process runs."""
        try:
            settings = self._read_settings()
        except (OSError, ValueError) as error:
            log_event(Event.SETTINGS_REFUSED, error=str(error))
            return
        if settings == self.settings:
            return
        self.settings = settings
        self.hosts.set_seeds(settings.seeds)
        self.retry_budgets.set_settings(settings.retry_budget)
        self._process_limits = settings.process_limits
        self.caller_memory.set_process_limits(self._process_limits)
        log_event(Event.SETTINGS_RELOADED, seeds=len(settings.seeds))

    async def drain(self):
        """Resigns as leader, announces the stop and finishes requests in progress."""
        started = anyio.current_time()
        times = DrainTimes.from_grace(self.settings.shutdown_grace_s)
        self.draining = True
        log_event(Event.DRAIN_STARTED, name=self.settings.name)
        call_isolated(self.leadership.resign, "this process stops")
        call_isolated(self.hosts.send_leaving)
        self.caller_server.start_draining()
        self.forwarder.start_draining(started + times.give_up_s)
        await anyio.sleep(times.bound_new_s)
        self.forwarder.bound_new()
        self.caller_server.close_idle_connections()
        await self._wait_idle(started + times.give_up_s)
        self.caller_server.stop_listening()
        self.forwarder.give_up()
        self.caller_server.refuse_arriving(NOT_READY_RETRY_AFTER_S)
        await self._wait_idle(started + times.end_s)

    async def _wait_idle(self, deadline):
        """Returns once no request is in progress or about to arrive, or at a time."""
        with anyio.CancelScope(deadline=deadline):
            while True:
                # No event tells that a new connection has stayed silent for too long,
                # or that one which asyncio has accepted gets its protocol.
                await anyio.sleep(IDLE_CHECK_INTERVAL_S)
                if (
                    not self.caller_server.is_engaged
                    and not self.forwarder.has_requests
                ):
                    return


def _log_refused_prompts(refused):
    log_event(
        Event.REFUSED_PROMPTS_CHANGED,
        refused=sorted(sorted(parts) for parts in refused),
    )


def _log_loop_error(loop, context):
    """Logs an error in a callback of the event loop, which then goes on."""
    log_unexpected("event loop", context.get("exception") or context["message"])
