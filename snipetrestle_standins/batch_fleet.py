"""Batch holders of several daemons in one process, for tests and measurements."""

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

FAILURE_DOMAINS = ("palermo", "catania", "messina")
CUSTOMER = "consorzio"


def make_items(count):
    """Returns batch items with distinct prompts, spread over three adapters."""
    return [
        BatchItem(f"base:adapter-{number % 3}@1", f"prompt {number}", 5, f"c{number}")
        for number in range(count)
    ]


def expected_answer(item):
    """Returns the text with which the fleet answers an item."""
    return f"answer to {item.prompt} by {item.model}"


class BatchDaemon:
    """One incarnation of a daemon: its batch holder and its view of the members."""

    def __init__(self, fleet, name, incarnation_number):
        self.name = name
        self.router = MessageRouter()
        self.transport = fleet.network.attach(name, self.router)
        self.membership = StaticMembership(
            name, Incarnation(incarnation_number, incarnation_number * 7), []
        )
        self.scope = anyio.CancelScope()
        self.holder = fleet.holder_class(
            self.membership,
            self.transport,
            self.router,
            lambda *arguments: fleet.run_item(self, *arguments),
            lambda customer: fleet.allowance if customer == CUSTOMER else None,
            random.Random(incarnation_number),
            times=fleet.times,
        )

    async def run(self):
        with self.scope:
            await self.holder.run()


class BatchFleet:
    """Daemons with batch holders, by name. Use as an async context manager.

    Each item runs for ``item_s`` seconds. ``failures_by_prompt`` lists result codes by
    prompt; each run of such an item raises the next code until none is left.
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
        self._task_group = None

    async def __aenter__(self):
        await self.network.__aenter__()
        self._task_group = anyio.create_task_group()
        await self._task_group.__aenter__()
        for name in self.names:
            self.start(name)
        await anyio.sleep(0.1)
        return self

    async def __aexit__(self, *details):
        self._task_group.cancel_scope.cancel()
        try:
            return await self._task_group.__aexit__(*details)
        finally:
            await self.network.__aexit__(None, None, None)

    def start(self, name):
        """Starts a daemon with an empty memory, in place of one that runs already."""
        self.kill(name)
        self._starts += 1
        daemon = BatchDaemon(self, name, self._starts)
        self.daemons_by_name[name] = daemon
        self.set_member_states()
        self._task_group.start_soon(daemon.run)

    def kill(self, name):
        """Ends a daemon without notice; does nothing if it does not run."""
        daemon = self.daemons_by_name.pop(name, None)
        if daemon is not None:
            self.network.kill(name)
            daemon.scope.cancel()

    def failure_domain_of(self, name):
        return FAILURE_DOMAINS[self.names.index(name) % len(FAILURE_DOMAINS)]

    def set_member_states(self, **states_by_name):
        """Gives all daemons the same view of the running members.

        A member is alive unless ``states_by_name`` has its name, with ``_`` for ``-``.
        """
        members = [
            Member(
                name,
                "127.0.0.1:1",
                self.failure_domain_of(name),
                "sicily",
                state=states_by_name.get(name.replace("-", "_"), MemberState.ALIVE),
                incarnation=daemon.membership.own_incarnation,
            )
            for name, daemon in self.daemons_by_name.items()
        ]
        for daemon in self.daemons_by_name.values():
            daemon.membership.set_members(members)

    async def run_item(self, daemon, batch_id, index, customer, item, time_left_s):
        """Runs an item as a daemon's data path does; returns (text, finish reason)."""
        await daemon.transport.wait_while_paused()
        failures = self.failures_by_prompt.get(item.prompt)
        if failures:
            raise ServingError(failures.pop(0))
        await anyio.sleep(self.item_s)
        await daemon.transport.wait_while_paused()
        self.runs_by_prompt[item.prompt] += 1
        return expected_answer(item), "length"

    def holder(self, name=None):
        """Returns the BatchHolder of a daemon, by default any that runs."""
        name = name or next(iter(self.daemons_by_name))
        return self.daemons_by_name[name].holder

    def holders_of(self, batch_id):
        """Returns the names of the daemons with a copy of a batch, primary first."""
        unique = batch_id.split("~")[0]
        copies = {
            name: daemon.holder._batches_by_unique[unique]
            for name, daemon in self.daemons_by_name.items()
            if unique in daemon.holder._batches_by_unique
        }
        return sorted(copies, key=lambda name: not copies[name].is_primary(name))

    async def wait_finished(self, batch_id, timeout_s=200.0):
        """Polls any daemon each second and returns the status of the finished batch.

        Raises TimeoutError after ``timeout_s`` seconds.
        """
        start = anyio.current_time()
        while anyio.current_time() - start < timeout_s:
            try:
                status = await self.holder().status(batch_id)
            except ServingError as error:
                if error.code is not ResultCode.PEER_UNREACHABLE:
                    raise
            else:
                if status.state != "running":
                    return status
            await anyio.sleep(1.0)
        raise TimeoutError(f"the batch did not finish within {timeout_s} s")
