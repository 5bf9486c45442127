"""Daemons with replica ownership, and stand-in engines, in one process for tests."""

import contextlib

import anyio
import msgspec

from snipetrestle.codes import ResultCode, ServingError
from snipetrestle.engines.forward import Accepted, Forward, RequestClass, Tokens
from snipetrestle.engines.owner import ReplicaOwner
from snipetrestle.engines.ownership import ReplicaOwnership
from snipetrestle.peers.members import (
    Incarnation,
    Member,
    MemberState,
    StaticMembership,
)
from snipetrestle.peers.transport import MessageRouter, PeerUnreachable
from snipetrestle.placement.permits import UnlimitedPermits
from snipetrestle.published import PublishedConfiguration
from snipetrestle_standins.engine import StandInEngine
from snipetrestle_standins.network import InMemoryNetwork
from snipetrestle_standins.recording import RecordingTransport
from snipetrestle_standins.store import StandInWeightStore

FAILURE_DOMAINS = ("palermo", "catania", "messina")
REGION = "sicily"
# The entry gives up on an owner that has not accepted a request within this time.
ACCEPT_TIMEOUT_S = 1.0
RETRY_DELAY_S = 0.05


def engine_configuration(
    replicas=1, checks_fencing_numbers=True, adapter_slots=4, max_batch=4
):
    """Returns a published configuration with engines and eight adapters.

    ``checks_fencing_numbers`` tells whether the engines check fencing numbers.
    """
    return PublishedConfiguration.from_data(
        {
            "models": [{"name": "base"}],
            "adapters": [
                {"name": f"adapter-{number}", "model": "base", "versions": ["1", "2"]}
                for number in range(8)
            ],
            "customers": [],
            "daemons": [],
            "weight_stores": [
                {"name": "store", "loads_per_second": 1000, "parallel_loads": 8}
            ],
            "backend_servers": [
                {
                    "name": f"engine-{number}",
                    "address": f"127.0.0.1:{9000 + number}",
                    "failure_domain": FAILURE_DOMAINS[number % 3],
                    "region": REGION,
                    "model": "base",
                    "adapter_slots": adapter_slots,
                    "max_batch": max_batch,
                    "checks_fencing_numbers": checks_fencing_numbers,
                    "weight_store": "store",
                }
                for number in range(replicas)
            ],
        }
    )


class PausableEngine:
    """EngineClient of one daemon. While that is paused, calls wait before and after.

    ``wait_while_paused()`` returns once the daemon is not paused.
    """

    def __init__(self, engine, wait_while_paused):
        self._engine = engine
        self._wait_while_paused = wait_while_paused

    def __getattr__(self, name):
        async def call(*arguments):
            await self._wait_while_paused()
            try:
                return await getattr(self._engine, name)(*arguments)
            finally:
                await self._wait_while_paused()

        return call

    @contextlib.asynccontextmanager
    async def generate(self, request):
        await self._wait_while_paused()
        async with self._engine.generate(request) as batches:
            yield self._read(batches)

    async def _read(self, batches):
        async for batch in batches:
            await self._wait_while_paused()
            yield batch


class ReplicaDaemon:
    """One incarnation of a daemon: its view of the members and its replica ownership.

    ``scope`` ends it.
    """

    def __init__(self, fleet, name, incarnation_number):
        self.name = name
        self.router = MessageRouter()
        network_transport = fleet.network.attach(name, self.router)
        self.wait_while_paused = network_transport.wait_while_paused
        self.transport = network_transport
        if fleet.session is not None:
            self.transport = RecordingTransport(network_transport, fleet.session)
        self.membership = StaticMembership(
            name, Incarnation(incarnation_number, incarnation_number * 7), []
        )
        self.scope = anyio.CancelScope()
        self.ownership = fleet.ownership_class(
            self.membership,
            self.transport,
            self.router,
            lambda server: PausableEngine(
                fleet.engines_by_name[server.name], self.wait_while_paused
            ),
            lambda server, engine, number, suffix: fleet.owner_class(
                server, engine, UnlimitedPermits(), number, suffix
            ),
        )
        self.ownership.apply(fleet.configuration)

    async def run(self):
        with self.scope:
            await self.ownership.run()

    def leave(self):
        """Makes this daemon see itself as leaving."""
        self.update_member_state(self.name, MemberState.LEAVING)

    def update_member_state(self, name, state):
        """Changes the state of a member in the view of this daemon."""
        members = self.membership.members_by_name
        changed = msgspec.structs.replace(members[name], state=state)
        self.membership.set_members({**members, name: changed}.values())


class ReplicaFleet:
    """Daemons and engines by name. Use as an async context manager."""

    def __init__(
        self,
        configuration=None,
        daemons=3,
        *,
        owner_class=ReplicaOwner,
        ownership_class=ReplicaOwnership,
        session=None,
        load_s=0.25,
    ):
        self.configuration = configuration or engine_configuration()
        self.names = [f"entry-{number}" for number in range(daemons)]
        self.owner_class = owner_class
        self.ownership_class = ownership_class
        self.session = session
        self.network = InMemoryNetwork()
        store = StandInWeightStore(1000.0, 8, load_s)
        self.engines_by_name = {
            server.name: StandInEngine(
                server.name,
                store,
                adapter_slots=server.adapter_slots,
                max_batch=server.max_batch,
                checks_fencing_numbers=server.checks_fencing_numbers,
            )
            for server in self.configuration.backend_servers
        }
        self.daemons_by_name = {}
        self._starts = 0
        self._request_count = 0
        self._task_group = None

    async def __aenter__(self):
        await self.network.__aenter__()
        self._task_group = anyio.create_task_group()
        await self._task_group.__aenter__()
        for engine in self.engines_by_name.values():
            self._task_group.start_soon(engine.run)
        for name in self.names:
            self.start(name)
        await self.settle()
        return self

    async def __aexit__(self, *details):
        self._task_group.cancel_scope.cancel()
        try:
            return await self._task_group.__aexit__(*details)
        finally:
            await self.network.__aexit__(None, None, None)

    async def settle(self, seconds=2.0):
        """Waits for daemons to take over their replicas."""
        await anyio.sleep(seconds)

    def start(self, name):
        """Starts a daemon with an empty memory, in place of one that runs already."""
        self.kill(name)
        self._starts += 1
        daemon = ReplicaDaemon(self, name, self._starts)
        self.daemons_by_name[name] = daemon
        for other in self.daemons_by_name.values():
            self._set_view(other)
        self._task_group.start_soon(daemon.run)
        return daemon

    def _set_view(self, daemon):
        """Gives a daemon a view in which all running daemons are alive."""
        daemon.membership.set_members(
            Member(
                name,
                "127.0.0.1:1",
                FAILURE_DOMAINS[self.names.index(name) % 3],
                REGION,
                incarnation=other.membership.own_incarnation,
            )
            for name, other in self.daemons_by_name.items()
        )

    def kill(self, name):
        """Ends a daemon without notice; the views of the others do not change."""
        daemon = self.daemons_by_name.pop(name, None)
        if daemon is not None:
            self.network.kill(name)
            daemon.scope.cancel()

    def set_member_state_everywhere(self, name, state):
        """Changes the state of a member in the views of all daemons."""
        for daemon in self.daemons_by_name.values():
            if name in daemon.membership.members_by_name:
                daemon.update_member_state(name, state)

    def owners_of(self, replica="engine-0"):
        """Returns the names of the daemons that act as owner of a replica."""
        return [
            name
            for name, daemon in self.daemons_by_name.items()
            if replica in daemon.ownership.owned_names()
        ]

    def owner_candidates(self, replica="engine-0"):
        """Returns the candidates for the ownership of a replica in their order."""
        daemon = next(iter(self.daemons_by_name.values()))
        return daemon.ownership.candidates.of(
            self.configuration.servers_by_name[replica]
        )

    def engine(self, replica="engine-0"):
        return self.engines_by_name[replica]

    async def send_request(
        self, name, adapter="adapter-0", version="1", max_tokens=20, **options
    ):
        """Sends a request through one daemon's entry; returns (request id, text).

        Retries as an entry does: reports owners that do not answer, and resumes refused
        and broken streams at the current owner with the tokens received so far.
        """
        replica = options.pop("replica", "engine-0")
        time_left_s = options.pop("time_left_s", 20.0)
        self._request_count += 1
        request_id = f"request-{self._request_count}"
        deadline = anyio.current_time() + time_left_s
        received = []
        while anyio.current_time() < deadline:
            forward = Forward(
                request_id=request_id,
                replica=replica,
                customer="consorzio",
                request_class=RequestClass.WAITING,
                model="base",
                adapter=adapter,
                version=version,
                prompt=request_id,
                prompt_tokens=10,
                max_tokens=max_tokens,
                time_left_s=deadline - anyio.current_time(),
                next_index=len(received),
                forced_tokens=tuple(received),
            )
            try:
                await self._attempt(self.daemons_by_name[name], forward, received)
                return request_id, "".join(received)
            except (ServingError, PeerUnreachable):
                await anyio.sleep(RETRY_DELAY_S)
        raise ServingError(ResultCode.DEADLINE_PASSED, request_id)

    async def _attempt(self, daemon, forward, received):
        ownership = daemon.ownership
        server = self.configuration.servers_by_name[forward.replica]
        target = ownership.owner_name(server)
        if target is None:
            raise ServingError(ResultCode.NO_REPLICA, forward.replica)
        if target == daemon.name:
            opened = ownership.replica_client(forward.replica).submit(forward)
        else:
            opened = daemon.transport.stream(target, forward)
        accepted = False
        with anyio.move_on_after(ACCEPT_TIMEOUT_S) as scope:
            try:
                async with opened as replies, contextlib.aclosing(replies):
                    async for reply in replies:
                        scope.deadline = anyio.current_time() + 5.0
                        accepted = accepted or isinstance(reply, Accepted)
                        if isinstance(reply, Tokens):
                            received.extend(
                                reply.tokens[len(received) - reply.first_index :]
                            )
            except PeerUnreachable:
                ownership.mark_unreachable(target)
                raise
        if scope.cancelled_caught:
            if target != daemon.name:
                ownership.mark_unreachable(target)
            raise ServingError(ResultCode.STREAM_BROKEN, "no reply in time")
