"""Keepers and write coordinators of several daemons in one process."""

import random

import anyio
from loguru import logger

from snipetrestle.codes import ServingError
from snipetrestle.hashing import rendezvous_first
from snipetrestle.peers.members import Incarnation, Member, StaticMembership
from snipetrestle.peers.transport import MessageRouter
from snipetrestle.published import PublishedConfiguration
from snipetrestle.services.protocol import OldFencingNumber, ServiceUnreachable
from snipetrestle.writes import Keeper, WriteCoordinator, WriteRequest
from snipetrestle.writes.groups import GroupLayout
from snipetrestle.writes.records import digest_of
from snipetrestle_standins.network import InMemoryNetwork
from snipetrestle_standins.recording import RecordingTransport
from snipetrestle_standins.service import PausableServiceClient, StandInService

FAILURE_DOMAINS = ("palermo", "catania", "messina")
CUSTOMER, SERVICE = "consorzio", "register"


def make_configuration(daemons=7, **changes):
    """Returns a published configuration with one customer and one service.

    ``names`` are the daemons' names and ``checks_fencing_numbers`` belongs to the
    service; the other ``changes`` go to the section ``writes``.
    """
    operations = [
        {"service": SERVICE, "name": "plain", "idempotent": False, "timeout_s": 2.0},
        {
            "service": SERVICE,
            "name": "enter",
            "idempotent": False,
            "lookup": "lookup",
            "timeout_s": 2.0,
        },
        {"service": SERVICE, "name": "lookup", "idempotent": True, "timeout_s": 2.0},
    ]
    contract = {
        "requests_per_second": 100,
        "concurrency": 100,
        "tokens_per_minute": 1000,
        "waiting_first_token_s": 1,
        "operations": operations,
    }
    checks = changes.pop("checks_fencing_numbers", False)
    names = changes.pop("names", [f"entry-{number}" for number in range(daemons)])
    return PublishedConfiguration.from_data(
        {
            "models": [],
            "adapters": [],
            "customers": [
                {"name": CUSTOMER, "api_key_sha256": [], "contract": contract}
            ],
            "backend_servers": [],
            "daemons": daemon_entries(names),
            "services": [{"name": SERVICE, "checks_fencing_numbers": checks}],
            "writes": changes,
        }
    )


def daemon_entries(names):
    return [
        {"name": name, "failure_domain": FAILURE_DOMAINS[int(name.split("-")[1]) % 3]}
        for name in names
    ]


def make_members(names):
    return [
        Member(
            name, "127.0.0.1:1", FAILURE_DOMAINS[int(name.split("-")[1]) % 3], "sicily"
        )
        for name in names
    ]


class WritesDaemon:
    """One incarnation of a daemon: its keeper and its write coordinator.

    ``applied`` is the configuration in effect; ``connections`` has the cancel scopes of
    the callers' requests.
    """

    def __init__(self, fleet, name, incarnation_number):
        self.fleet = fleet
        self.name = name
        self.router = MessageRouter()
        self.endpoint = fleet.network.attach(name, self.router)
        self.transport = self.endpoint
        if fleet.session is not None:
            self.transport = RecordingTransport(self.endpoint, fleet.session)
        self.incarnation = Incarnation(incarnation_number, 7)
        self.membership = StaticMembership(
            name, self.incarnation, make_members(fleet.names)
        )
        self.keeper = fleet.keeper_class(
            self.transport, self.router, self.membership, fleet.partitions
        )
        self.service_client = PausableServiceClient(
            fleet.service, self.endpoint.wait_while_paused
        )
        self.coordinator = fleet.coordinator_class(
            self.transport,
            self.router,
            self.membership,
            self.service_client
            if fleet.session is None
            else _RecordingServiceClient(self),
            random.Random(f"{fleet.seed}-{name}-{incarnation_number}"),
            fleet.partitions,
        )
        self.scope = anyio.CancelScope()
        self.connections = set()
        self.apply(fleet.configuration)

    def apply(self, configuration):
        self.applied = configuration
        self.keeper.apply(configuration)
        self.coordinator.apply(configuration)

    def stop(self):
        """Cancels all tasks at once and closes the callers' connections."""
        self.service_client.stop()
        self.endpoint.resume()
        self.scope.cancel()
        for connection in tuple(self.connections):
            connection.cancel()

    async def run(self):
        with self.scope:
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(self.keeper.run)
                task_group.start_soon(self.coordinator.run)


class _RecordingServiceClient:
    """ServiceClient that records a daemon's calls and their answers in the session."""

    def __init__(self, daemon):
        self._daemon = daemon

    async def call(self, call):
        name, session = self._daemon.name, self._daemon.fleet.session
        session.record(name, call.service, call)
        try:
            answer = await self._daemon.service_client.call(call)
        except (ServiceUnreachable, OldFencingNumber) as error:
            session.write(f"{call.service} -> {name} {error}")
            raise
        session.record(call.service, name, answer)
        return answer


class WritesFleet:
    """All daemons, the network and the service. Use as an async context manager.

    All messages are recorded in ``session``, if there is one. Tests that switch off a
    safeguard pass their own ``keeper_class`` or ``coordinator_class``. With one
    partition the start is cheap and every key has the same keepers.
    """

    def __init__(
        self,
        configuration=None,
        keeper_class=Keeper,
        coordinator_class=WriteCoordinator,
        faults=None,
        seed=1,
        session=None,
        partitions=1,
    ):
        self.configuration = configuration or make_configuration()
        self.names = [item.name for item in self.configuration.daemons]
        self.keeper_class = keeper_class
        self.coordinator_class = coordinator_class
        self.seed = seed
        self.session = session
        self.partitions = partitions
        self.network = InMemoryNetwork()
        self.service = StandInService(faults=faults)
        self.daemons_by_name = {}
        self._starts = 0
        self._runs = []
        self._task_group = None

    async def __aenter__(self):
        logger.disable("snipetrestle")
        await self.network.__aenter__()
        await self.service.__aenter__()
        self._task_group = anyio.create_task_group()
        await self._task_group.__aenter__()
        for name in self.names:
            self.start(name)
        await self.settle()
        return self

    async def __aexit__(self, *details):
        for daemon in self._runs:
            daemon.stop()
        self._task_group.cancel_scope.cancel()
        await self._task_group.__aexit__(*details)
        await self.service.__aexit__(*details)
        await self.network.__aexit__(*details)
        logger.enable("snipetrestle")

    def start(self, name, incarnation_number=None):
        """Starts a daemon with an empty memory, in place of one that runs already.

        ``incarnation_number`` is by default the count of starts.
        """
        self.kill(name)
        return self._start_run(name, incarnation_number)

    def _start_run(self, name, incarnation_number=None):
        self._starts += 1
        daemon = WritesDaemon(self, name, incarnation_number or self._starts)
        self.daemons_by_name[name] = daemon
        self._runs.append(daemon)
        self._task_group.start_soon(daemon.run)
        return daemon

    def kill(self, name):
        """Ends a daemon without notice; does nothing if it does not run."""
        daemon = self.daemons_by_name.pop(name, None)
        if daemon is not None:
            self.network.kill(name)
            daemon.stop()

    def replace_paused(self, name):
        """Starts a new run of a daemon whose old run is paused.

        Returns the old run. Once resumed it still sends messages, but messages to its
        name reach the new run.
        """
        old = self.daemons_by_name.pop(name)
        self._start_run(name)
        return old

    def publish(self, configuration, names=None):
        """Applies a configuration at the named daemons, by default at all."""
        self.configuration = configuration
        for name in names or tuple(self.daemons_by_name):
            self.daemons_by_name[name].apply(configuration)

    async def settle(self, seconds=3.0):
        """Waits for the daemons to set up the keepers."""
        await anyio.sleep(seconds)

    def keepers(self):
        """Returns the names of the keepers of the first partition."""
        layout = GroupLayout.current(self.configuration, self.partitions)
        return layout.groups[0].members

    def set_visible_members(self, name, members):
        """Gives one daemon a view that contains only the given members."""
        self.daemons_by_name[name].membership.set_members(make_members(members))

    async def write(
        self, name, key="k1", operation="plain", body=b"{}", time_left_s=5.0
    ):
        """Sends a write to one daemon; returns (code, WriteResult or ServingError).

        The code is 0 for a result and the number of the ResultCode for an error. Both
        values are None if the daemon does not run or is killed meanwhile.
        """
        request = WriteRequest(
            CUSTOMER, SERVICE, operation, key, body, "application/json", time_left_s
        )
        daemon = self.daemons_by_name.get(name)
        if daemon is None:
            return None, None
        with anyio.CancelScope() as connection:
            daemon.connections.add(connection)
            try:
                await daemon.endpoint.wait_while_paused()
                result = await daemon.coordinator.run_write(request)
                await daemon.endpoint.wait_while_paused()
                return 0, result
            except ServingError as error:
                await daemon.endpoint.wait_while_paused()
                return error.code.number, error
            finally:
                daemon.connections.discard(connection)
        return None, None

    async def write_everywhere(self, **arguments):
        """Sends the same write to all daemons at once and returns the results."""
        answers = []

        async def send(name):
            answers.append(await self.write(name, **arguments))

        async with anyio.create_task_group() as task_group:
            for name in tuple(self.daemons_by_name):
                task_group.start_soon(send, name)
        return answers

    def coordinator_of(self, key="k1"):
        """Returns the name of the daemon that coordinates the writes of a key."""
        return rendezvous_first(
            digest_of(CUSTOMER, SERVICE, key).hex(), dict.fromkeys(self.names, 1.0)
        )

    def executions(self, key="k1"):
        """Returns how many times the service has run the write of a key."""
        return self.service.executions_by_key[key]
