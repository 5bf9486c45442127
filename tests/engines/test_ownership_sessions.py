"""Golden-file tests of the messages in a takeover and in a drain.

``PYTHONPATH=. python -m tests.engines.test_ownership_sessions`` rewrites the files.
"""

import pathlib
import random

import anyio
import testtools
from loguru import logger

from snipetrestle.batches import BatchHolder, BatchItem
from snipetrestle.draining import drain_daemon
from snipetrestle.peers.members import MemberState
from snipetrestle_standins.clock import run_in_virtual_time
from snipetrestle_standins.recording import SessionLog
from snipetrestle_standins.replica_fleet import ReplicaFleet, engine_configuration

GOLDEN_FOLDER = pathlib.Path(__file__).parent.parent / "golden"


def write_engine_state(session, fleet):
    status = fleet.engine()
    session.write(
        f"engine-0 resident {sorted(status._resident)}, "
        f"evictions in use {len(status.in_use_evictions)}, "
        f"owners {fleet.owners_of()}"
    )


async def ask(session, fleet, name, adapter, tokens):
    request_id, text = await fleet.send_request(name, adapter, "1", tokens)
    session.write(f"{name} answers {request_id}, {len(text.split())} tokens")


async def take_over(session, checks):
    """Kills the owner in the middle of a stream and starts a replacement."""
    configuration = engine_configuration(1, checks)
    async with ReplicaFleet(configuration, session=session) as fleet:
        first, _, third = fleet.owner_candidates()
        session.write(f"{third} sends a request to {first}")
        async with anyio.create_task_group() as group:
            group.start_soon(ask, session, fleet, third, "adapter-0", 60)
            await anyio.sleep(0.6)
            session.write(f"{first} is killed")
            fleet.kill(first)
        write_engine_state(session, fleet)
        session.write(f"{first} is replaced by an empty daemon")
        fleet.start(first)
        await fleet.settle()
        await ask(session, fleet, third, "adapter-0", 5)
        write_engine_state(session, fleet)


class _MembershipStub:
    """Stands in for the membership: all views show the leave at once."""

    def __init__(self, fleet, name):
        self._fleet = fleet
        self._name = name

    async def leave(self):
        self._fleet.set_member_state_everywhere(self._name, MemberState.LEAVING)


class _NothingToDrain:
    async def drain(self):
        return


async def drain(session, checks):
    """Drains the owner while requests run and wait, and while it runs a batch."""
    configuration = engine_configuration(1, checks, max_batch=2)
    async with ReplicaFleet(configuration, session=session) as fleet:
        holders = {}
        for number, (name, daemon) in enumerate(fleet.daemons_by_name.items()):

            async def run_item(batch_id, index, customer, item, left, name=name):
                await anyio.sleep(0.4)
                return f"answer {index} by {name}", "length"

            holders[name] = BatchHolder(
                daemon.membership,
                daemon.transport,
                daemon.router,
                run_item,
                lambda customer: 100,
                random.Random(number + 4),
            )
            fleet._task_group.start_soon(holders[name].run)
        await anyio.sleep(0.1)
        leaving_daemon, _, third = fleet.owner_candidates()
        items = [BatchItem("base:adapter-0@1", f"p{n}", 5) for n in range(40)]
        batch_id = await holders[leaving_daemon].submit("consorzio", items, 60.0)
        session.write(f"{leaving_daemon} has accepted {batch_id}")
        async with anyio.create_task_group() as group:
            for number in range(3):
                group.start_soon(
                    ask, session, fleet, third, f"adapter-{number % 2}", 30
                )
            await anyio.sleep(0.5)
            session.write(f"{leaving_daemon} drains")
            await drain_daemon(
                _MembershipStub(fleet, leaving_daemon),
                fleet.daemons_by_name[leaving_daemon].ownership,
                holders[leaving_daemon],
                _NothingToDrain(),
                _NothingToDrain(),
            )
            session.write(f"{leaving_daemon} stops")
            fleet.kill(leaving_daemon)
        write_engine_state(session, fleet)
        await anyio.sleep(2.0)
        status = await holders[third].status(batch_id)
        session.write(f"batch {status.state}, {status.done} of {status.total}")


def record(function, *arguments):
    """Runs a session and returns its recorded text."""
    session = SessionLog()
    logger.disable("snipetrestle")
    try:
        run_in_virtual_time(function, session, *arguments)
    finally:
        logger.enable("snipetrestle")
    return session.text()


SESSIONS_BY_FILE = {
    "takeover.txt": (take_over, True),
    "takeover_without_fencing.txt": (take_over, False),
    "drain.txt": (drain, True),
}


class OwnershipSessionTest(testtools.TestCase):
    def check(self, name):
        recorded = record(*SESSIONS_BY_FILE[name])
        self.assertEqual((GOLDEN_FOLDER / name).read_text(), recorded)

    def test_takeover(self):
        """Guards against any change of what daemons send in a takeover."""
        self.check("takeover.txt")

    def test_takeover_without_fencing(self):
        """Guards against any change of a takeover at an engine without fencing."""
        self.check("takeover_without_fencing.txt")

    def test_drain(self):
        """Guards against any change of what a leaving daemon sends."""
        self.check("drain.txt")


if __name__ == "__main__":
    for file_name, arguments in SESSIONS_BY_FILE.items():
        (GOLDEN_FOLDER / file_name).write_text(record(*arguments))
