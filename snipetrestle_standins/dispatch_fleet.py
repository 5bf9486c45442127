"""Hosts that send requests to replicas without models, in one process, on a clock.

The search of replicas, the permits and their messages are those of the gateway; the
replicas, the membership and the exchange of loads are simulated.
"""

import random
import types

import anyio

from snipetrestle.codes import ResultCode
from snipetrestle.coordination.loads.dispatch_permits import DispatchPermits
from snipetrestle.coordination.loads.group_owners import GroupOwners
from snipetrestle.coordination.membership.key_owners import KeyOwners
from snipetrestle.dispatch.group_dispatcher import Outcome
from snipetrestle.dispatch.replica_search import ReplicaSearch
from snipetrestle.gateway.backends.replicas import ReplicaDirectory
from snipetrestle.gateway.backends.retry_budget import RetryBudget
from snipetrestle.gateway.configuration import (
    Backend,
    ReplicaEntry,
    ReplicaState,
    RequestKind,
    Route,
    WeightedBackend,
)
from snipetrestle.gateway.dialect import RequestMetadata
from snipetrestle.gateway.job import Job, Refused
from snipetrestle.gateway.metrics import GatewayMetrics
from snipetrestle.gateway.retries import MAX_SENDS
from snipetrestle_standins.datagram_network import DatagramNetwork, LocalEndpoint

BACKEND = "desk"
LINK_S = 0.001
LOADS_INTERVAL_S = 0.5
# How long hosts go on listing a host that has stopped.
FORGET_S = 3.0
TARGET_LATENCY_S = 0.3
TIMEOUT_S = 3.0


class NoDispatch:
    """Stands in for DispatchPermits: requests are sent as without them."""

    def must_ask(self, backend):
        return False

    def note_turned_away(self, backend):
        pass


class SimulatedReplica:
    """Runs up to ``slots`` requests at a time and turns others away.

    A request takes ``service_s`` at random within a quarter, for each request above
    ``fast_slots`` longer by ``slowdown`` of it.
    """

    def __init__(self, replica_id, slots, service_s, fast_slots=None, slowdown=0.0):
        self.id = replica_id
        self.boot = 1
        self.slots = slots
        self.published_slots = slots
        self.service_s = service_s
        self.fast_slots = slots if fast_slots is None else fast_slots
        self.slowdown = slowdown
        self.running = 0
        self.most_running = 0
        # Times of all arrivals, and of those that were turned away.
        self.arrived_at = []
        self.turned_away_at = []
        self.is_up = True
        self._stopped = anyio.Event()

    async def serve(self, rng):
        """Returns the Outcome of a request."""
        await anyio.sleep(LINK_S)
        if not self.is_up:
            return Outcome.NOT_CONNECTED
        self.arrived_at.append(anyio.current_time())
        if self.running >= self.slots:
            self.turned_away_at.append(anyio.current_time())
            await anyio.sleep(LINK_S)
            return Outcome.TURNED_AWAY
        return await self._run(rng)

    async def _run(self, rng):
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        stopped = self._stopped
        excess = max(0, self.running - self.fast_slots)
        mean_s = self.service_s * (1 + self.slowdown * excess)
        try:
            with anyio.move_on_after(mean_s * rng.uniform(0.75, 1.25)):
                await stopped.wait()
                return Outcome.UNKNOWN
        finally:
            if stopped is self._stopped:
                self.running -= 1
        await anyio.sleep(LINK_S)
        return Outcome.SERVED

    def stop(self):
        """Ends the process and its requests."""
        self.is_up = False
        self.running = 0
        self._stopped.set()
        self._stopped = anyio.Event()

    def start(self):
        """Starts a new process."""
        self.boot += 1
        self.is_up = True

    def entry(self):
        return ReplicaEntry(
            self.id,
            self.boot,
            BACKEND,
            "127.0.0.1",
            1,
            "zone-1",
            ReplicaState.READY,
            slots=self.published_slots,
        )


class _Members:
    """Membership of a host: the hosts that it knows."""

    leaving = False

    def __init__(self, fleet, own):
        self._fleet = fleet
        self.own = types.SimpleNamespace(name=own)
        self.by_name = {}
        self._names = ()

    @property
    def max_known(self):
        return len(self._fleet.hosts)

    def sender_names(self):
        return self._names

    def update(self, names):
        addresses = self._fleet.addresses
        self.by_name = {
            name: types.SimpleNamespace(address=addresses[name])
            for name in names
            if name != self.own.name
        }
        names = tuple(sorted({*names, self.own.name}))
        if names != self._names:
            self._names = names


class DispatchHost:
    """One host with its view of the replicas and its part in the permits."""

    def __init__(self, fleet, name, with_permits):
        self.name = name
        # Scopes of its requests, which end with it.
        self.scopes = set()
        self.is_up = True
        rng = random.Random(f"{fleet.seed} {name}")
        self.rng = rng
        self.members = _Members(fleet, name)
        self.endpoint = LocalEndpoint(fleet.network, name, fleet.addresses[name])
        self.directory = ReplicaDirectory("zone-1", rng)
        key_owners = KeyOwners(self.members)
        self.owners = GroupOwners(key_owners, self.members)
        self.metrics = GatewayMetrics()
        self.dispatch = NoDispatch()
        if with_permits:
            self.dispatch = DispatchPermits(
                self.directory,
                self.members,
                key_owners,
                self.endpoint,
                self.metrics,
                rng,
            )
        self.search = ReplicaSearch(
            types.SimpleNamespace(
                state=types.SimpleNamespace(versions_by_adapter={}),
                replicas=self.directory,
                locator=None,
                send_permits=types.SimpleNamespace(may_be_spare=lambda item: True),
                dispatch_permits=self.dispatch,
                hosts=self.members,
            )
        )
        self.retries = RetryBudget(0.6, 60.0, 8.0)


class Answer:
    """What a caller got, and when."""

    __slots__ = ("priority", "at", "after_s", "result", "retry_after_s")

    def __init__(self, priority, at, after_s, result, retry_after_s=None):
        self.priority = priority
        self.at = at
        self.after_s = after_s
        self.result = result
        self.retry_after_s = retry_after_s

    @property
    def is_served(self):
        return self.result == "served"


class DispatchFleet:
    """Hosts, replicas and callers. ``answers`` holds what callers got, in order."""

    def __init__(self, host_count, replicas, seed=1, with_permits=True):
        self.seed = seed
        self.rng = random.Random(seed)
        self.network = DatagramNetwork()
        self.addresses = {}
        self.hosts = {}
        self.replicas = {item.id: item for item in replicas}
        self.answers = []
        self.with_permits = with_permits
        self._loads = {}
        for number in range(host_count):
            self.add_host(number)
        self.update_members()

    def add_host(self, number):
        name = f"entry-{number}"
        self.addresses[name] = (f"127.0.{number // 250}.{number % 250}", 7000)
        host = self.hosts[name] = DispatchHost(self, name, self.with_permits)
        for replica in self.replicas.values():
            host.directory.list_replica(replica.entry())
        return host

    def update_members(self):
        for host in self.hosts.values():
            host.members.update(self.hosts)

    def owner(self, group=0):
        """Returns the host that owns a group."""
        host = next(iter(self.hosts.values()))
        return self.hosts[host.owners.owner(BACKEND, group)]

    async def stop_host(self, name):
        """Stops a host; the others know it for some time."""
        host = self.hosts.pop(name)
        host.endpoint.up = False
        host.is_up = False
        for scope in host.scopes:
            scope.cancel()
        await anyio.sleep(FORGET_S)
        self.update_members()

    async def freeze_host(self, name, seconds):
        """Suspends a host, as far as the others see: its callers are to be elsewhere."""
        endpoint = self.hosts[name].endpoint
        endpoint.frozen = anyio.Event()
        await anyio.sleep(seconds)
        endpoint.frozen.set()
        endpoint.frozen = None

    async def cut(self, seconds):
        """Cuts the network between the hosts in two halves for a time."""
        names = sorted(self.hosts)
        halves = names[::2], names[1::2]
        cuts = {frozenset((a, b)) for a in halves[0] for b in halves[1]}
        self.network.cuts |= cuts
        await anyio.sleep(seconds)
        self.network.cuts -= cuts

    async def restart_replica(self, replica_id, down_s):
        replica = self.replicas[replica_id]
        replica.stop()
        await anyio.sleep(down_s)
        replica.start()
        for host in self.hosts.values():
            host.directory.list_replica(replica.entry())

    async def exchange_loads(self):
        """Tells each host the loads of the others, as they were in the last round."""
        while True:
            previous, self._loads = self._loads, self._current_loads()
            for name, host in self.hosts.items():
                for replica_id, replica in host.directory.by_id.items():
                    replica.others_in_flight = sum(
                        count
                        for other, count in previous.get(replica_id, {}).items()
                        if other != name and self.network.connected(name, other)
                    )
            await anyio.sleep(LOADS_INTERVAL_S)

    def _current_loads(self):
        loads = {}
        for name, host in self.hosts.items():
            for replica in host.directory.by_id.values():
                if replica.in_flight:
                    loads.setdefault(replica.id, {})[name] = replica.in_flight
        return loads

    async def send_requests(self, per_s, seconds, priorities=(1,), avoid_hosts=()):
        """Sends requests that come at random to random hosts, then returns."""
        ends_at = anyio.current_time() + seconds
        group = self.network.task_group
        while True:
            await anyio.sleep(self.rng.expovariate(per_s))
            if anyio.current_time() >= ends_at:
                return
            names = [item for item in self.hosts if item not in avoid_hosts]
            host = self.hosts[self.rng.choice(names)]
            group.start_soon(self.call, host, self.rng.choice(priorities))

    async def call(self, host, priority, timeout_s=TIMEOUT_S):
        """Forwards one request as the gateway does, and records the answer."""
        job = _job(priority, timeout_s)
        started_at = anyio.current_time()
        result, retry_after_s = "late", None
        host.scopes.add(job.scope)
        try:
            with job.scope:
                result = await self._forward(host, job)
        except Refused as refusal:
            result, retry_after_s = str(refusal.code), refusal.retry_after_s
        finally:
            job.end_permit()
            host.scopes.discard(job.scope)
        if not host.is_up:
            result = "gone"
        now = anyio.current_time()
        self.answers.append(
            Answer(priority, started_at, now - started_at, result, retry_after_s)
        )

    async def _forward(self, host, job):
        host.retries.note_request()
        while True:
            replica = await host.search.choose_replica(job)
            outcome = await self._attempt(host, job, replica)
            if outcome == Outcome.SERVED:
                return "served"
            if outcome == Outcome.NOT_CONNECTED:
                replica.note_silence()
                job.connect_failures += 1
                if job.connect_failures >= 4:
                    return "failed"
                continue
            if outcome == Outcome.TURNED_AWAY:
                replica.note_failure()
                host.search.note_turned_away(job)
            else:
                replica.note_failure()
                job.may_have_run_on.append(replica.id)
            has_retry = job.send_count < MAX_SENDS and host.retries.try_spend(
                len(self.hosts)
            )
            if not has_retry or not job.has_attempts_left:
                if job.may_have_run:
                    return "failed"
                raise Refused(ResultCode.QUEUE_FULL, 0.5, reason="replicas are full")

    async def _attempt(self, host, job, replica):
        permit = job.take_permit(replica.id)
        replica.note_sent(None)
        job.send_count += 1
        job.sent_to.append(replica.id)
        started_at = anyio.current_time()
        outcome = Outcome.UNKNOWN
        try:
            simulated = self.replicas[replica.id]
            outcome = await simulated.serve(self.rng)
        finally:
            replica.note_ended(None)
            service_s = anyio.current_time() - started_at
            if permit is not None:
                permit.end(outcome, service_s)
        if outcome == Outcome.SERVED:
            replica.note_success(service_s)
        return outcome


def _job(priority, timeout_s):
    now = anyio.current_time()
    route = Route(
        f"r{priority}",
        "desk",
        "/",
        RequestKind.IDEMPOTENT,
        timeout_s,
        TARGET_LATENCY_S,
        priority,
        (WeightedBackend(BACKEND, 1.0),),
        2,
    )
    request = types.SimpleNamespace(
        hostname="desk",
        method=b"GET",
        target=b"/",
        body=b"",
        received_at=now,
        begun_at=now,
    )
    return Job(request, RequestMetadata(b"1"), route, Backend(BACKEND, 100), None)
