"""The batch parts of a few daemons in one process, for tests and measurements."""

import collections
import random

import anyio

from snipetrestle.batches import BatchHolder, BatchItem
from snipetrestle.codes import ResultCode, ServingError
from snipetrestle.peers.members import (
    Incarnation,
    Member,
    MemberState,
    StaticMembership,
)
from snipetrestle.peers.transport import MessageRouter
from snipetrestle_standins.network import InMemoryNetwork

DOMAINS = ("palermo", "catania", "messina")
CUSTOMER = "consorzio"


def make_items(count):
    return [
        BatchItem(f"base:adapter-{number % 3}@1", f"prompt {number}", 5, f"c{number}")
        for number in range(count)
    ]


def answer_of(item):
    return f"answer to {item.prompt} by {item.model}"


class BatchDaemon:
    """One incarnation of a daemon with its view of the members."""

    def __init__(self, fleet, name, number):
        self.name = name
        self.router = MessageRouter()
        self.transport = fleet.network.attach(name, self.router)
        self.membership = StaticMembership(name, Incarnation(number, number * 7), [])
        self.scope = anyio.CancelScope()
        self.holder = fleet.holder_class(
            self.membership,
            self.transport,
            self.router,
            lambda *arguments: fleet.run_item(self, *arguments),
            lambda customer: fleet.allowance if customer == CUSTOMER else None,
            random.Random(number),
            times=fleet.times,
        )

    async def run(self):
        with self.scope:
            await self.holder.run()


class BatchFleet:
    """Daemons by name. Use as an async context manager.

    Each item takes ``item_s``; an item of ``failures_by_prompt`` raises its codes first.
    """

    def __init__(
        self,
        daemons=6,
        *,
        item_s=1.0,
        allowance=1000,
        holder_class=None,
        times=None,
    ):
        self.times = times
        self.names = [f"entry-{number}" for number in range(daemons)]
        self.item_s = item_s
        self.allowance = allowance
        self.holder_class = holder_class or BatchHolder
        self.network = InMemoryNetwork()
        self.daemons_by_name = {}
        self.runs_by_prompt = collections.Counter()
        self.failures_by_prompt = {}
        self._starts = 0
        self._group = None

    async def __aenter__(self):
        await self.network.__aenter__()
        self._group = anyio.create_task_group()
        await self._group.__aenter__()
        for name in self.names:
            self.start(name)
        await anyio.sleep(0.1)
        return self

    async def __aexit__(self, *details):
        self._group.cancel_scope.cancel()
        try:
            return await self._group.__aexit__(*details)
        finally:
            await self.network.__aexit__(None, None, None)

    def start(self, name):
        """Starts a daemon, or replaces it with one that has an empty memory."""
        self.kill(name)
        self._starts += 1
        daemon = BatchDaemon(self, name, self._starts)
        self.daemons_by_name[name] = daemon
        self.show()
        self._group.start_soon(daemon.run)

    def kill(self, name):
        daemon = self.daemons_by_name.pop(name, None)
        if daemon is not None:
            self.network.kill(name)
            daemon.scope.cancel()

    def domain_of(self, name):
        return DOMAINS[self.names.index(name) % len(DOMAINS)]

    def show(self, **states_by_name):
        """Gives all daemons one view: the running ones alive, or as named."""
        members = [
            Member(
                name,
                "127.0.0.1:1",
                self.domain_of(name),
                "sicily",
                state=states_by_name.get(name.replace("-", "_"), MemberState.ALIVE),
                incarnation=daemon.membership.own_incarnation,
            )
            for name, daemon in self.daemons_by_name.items()
        ]
        for daemon in self.daemons_by_name.values():
            daemon.membership.set_members(members)

    async def run_item(self, daemon, batch_id, index, customer, item, time_left_s):
        await daemon.transport.pause_point()
        failures = self.failures_by_prompt.get(item.prompt)
        if failures:
            raise ServingError(failures.pop(0))
        await anyio.sleep(self.item_s)
        await daemon.transport.pause_point()
        self.runs_by_prompt[item.prompt] += 1
        return answer_of(item), "length"

    def holder(self, name=None):
        """Returns the BatchHolder of a daemon, by default any that runs."""
        name = name or next(iter(self.daemons_by_name))
        return self.daemons_by_name[name].holder

    def holders_of(self, batch_id):
        """Returns the names of the daemons with a copy, the primary first."""
        unique = batch_id.split("~")[0]
        copies = {
            name: daemon.holder._batches_by_unique[unique]
            for name, daemon in self.daemons_by_name.items()
            if unique in daemon.holder._batches_by_unique
        }
        return sorted(copies, key=lambda name: not copies[name].is_primary(name))

    async def wait_finished(self, batch_id, limit_s=200.0):
        """Returns the status once the batch is finished, asked at any daemon."""
        start = anyio.current_time()
        while anyio.current_time() - start < limit_s:
            try:
                status = await self.holder().status(batch_id)
            except ServingError as error:
                if error.code is not ResultCode.PEER_UNREACHABLE:
                    raise
            else:
                if status.state != "running":
                    return status
            await anyio.sleep(1.0)
        raise TimeoutError(f"not within {limit_s} s")
