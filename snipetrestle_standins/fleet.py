"""Membership and configuration sync of a fleet of daemons in one process."""

import random

import anyio
import msgspec

from snipetrestle.peers.configuration_spread import ConfigurationSync
from snipetrestle.peers.membership import Membership
from snipetrestle.peers.membership_messages import MemberMetadata
from snipetrestle.peers.transport import MessageRouter
from snipetrestle.publication.sources import Host
from snipetrestle_standins.configuration_service import (
    ConfigurationService,
    LocalConfigurationSource,
)
from snipetrestle_standins.host_list import HostListService, LocalHostListSource
from snipetrestle_standins.network import InMemoryNetwork
from snipetrestle_standins.recording import RecordingTransport


class MembershipDaemon:
    """One run of a daemon: its components, and the cancel scope that ends it."""

    def __init__(self, membership, spread, transport):
        self.membership = membership
        self.spread = spread
        self.transport = transport
        self.scope = anyio.CancelScope()


class MembershipFleet:
    """Daemons with membership and configuration sync, by name.

    Use as an async context manager. Host number N is in failure domain N modulo
    ``domains``. The wall clock of all daemons is ``wall_clock_ns`` plus the time of the
    event loop. Messages are recorded in ``session``, if there is one.
    """

    def __init__(self, size, *, domains=3, seed=1, wall_clock_ns=10**18, session=None):
        self.network = InMemoryNetwork()
        self.hosts = HostListService()
        self.configuration = ConfigurationService()
        self.daemons_by_name = {}
        self.wall_clock_ns = wall_clock_ns
        self._generator = random.Random(seed)
        self._domain_count = domains
        self._session = session
        self._task_group = None
        self.hosts.put(*(self.host(number) for number in range(size)))

    def host(self, number):
        """Returns the host list's entry of host number N."""
        domain = number % self._domain_count
        return Host(
            name=f"entry-{number}",
            address=f"10.0.{number // 250}.{number % 250 + 1}:8100",
            failure_domain=f"domain-{domain}",
            region=f"region-{domain % 4}",
        )

    @property
    def names(self):
        return [host.name for host in self.hosts.current]

    async def __aenter__(self):
        await self.network.__aenter__()
        self._task_group = anyio.create_task_group()
        await self._task_group.__aenter__()
        return self

    async def __aexit__(self, *details):
        self._task_group.cancel_scope.cancel()
        try:
            return await self._task_group.__aexit__(*details)
        finally:
            await self.network.__aexit__(None, None, None)

    def start_all(self):
        for host in self.hosts.current:
            self.start(host)

    def start(self, host):
        """Starts a daemon on a host, in place of one that runs under its name."""
        router = MessageRouter()
        transport = self.network.attach(host.name, router)
        if self._session is not None:
            transport = RecordingTransport(transport, self._session)
        generator = random.Random(self._generator.getrandbits(64))
        membership = Membership(
            host.name,
            MemberMetadata(host.address, host.failure_domain, host.region, host.size),
            transport,
            router,
            LocalHostListSource(self.hosts),
            generator,
            wall_clock_ns=self.read_wall_clock,
        )
        source = LocalConfigurationSource(self.configuration)
        spread = ConfigurationSync(membership, transport, router, source, generator)
        daemon = MembershipDaemon(membership, spread, transport)
        self.daemons_by_name[host.name] = daemon
        self._task_group.start_soon(self._run, daemon)
        return daemon

    async def _run(self, daemon):
        with daemon.scope:
            await daemon.membership.join()
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(daemon.membership.run)
                task_group.start_soon(daemon.spread.run)

    def read_wall_clock(self):
        return self.wall_clock_ns + int(anyio.current_time() * 1e9)

    def kill(self, name):
        """Ends a daemon without notice. Its host stays on the host list."""
        self.network.kill(name)
        self.daemons_by_name.pop(name).scope.cancel()

    def states_of(self, name):
        """Returns the states in which the other running daemons see a member."""
        members = (
            daemon.membership.get(name)
            for other, daemon in self.daemons_by_name.items()
            if other != name
        )
        return {None if member is None else str(member.state) for member in members}

    def revisions(self):
        """Returns the sets of revisions in effect and of highest revisions seen."""
        spreads = [daemon.spread for daemon in self.daemons_by_name.values()]
        return (
            {spread.revision for spread in spreads},
            {spread.seen_revision for spread in spreads},
        )

    async def wait_until(self, condition, timeout_s, step_s=0.1):
        """Waits until ``condition()`` holds and returns the seconds that took.

        Raises TimeoutError after ``timeout_s`` seconds.
        """
        start = anyio.current_time()
        while not condition():
            if anyio.current_time() - start > timeout_s:
                raise TimeoutError(f"the condition did not hold within {timeout_s} s")
            await anyio.sleep(step_s)
        return anyio.current_time() - start


def small_document(adapters=3, **extra):
    """Returns a small valid published configuration as plain data."""
    return {
        "models": [{"name": "base"}],
        "adapters": [
            {"name": f"adapter-{number}", "model": "base", "versions": ["1"]}
            for number in range(adapters)
        ],
        "customers": [],
        "backend_servers": [],
        "daemons": [],
        **extra,
    }


def encode_document(data):
    """Returns a document as the bytes that are published."""
    return msgspec.json.encode(data)
