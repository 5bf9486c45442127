"""The leader loses the store for 3 s; replicas leave about when it comes back."""

import asyncio
import os
import pathlib
import sys

from review.standins2.fleet import CONTACT_S, DRAIN_S, START_TIMEOUT_S, Fleet

FOLDER = pathlib.Path(__file__).resolve().parent
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = int(os.environ.get("SEED", "1"))
ROUNDS = 10
CUT_S = 3.0
# A replica goes on serving for ``drain_ms`` and "a little longer".
LINGER_S = 0.5


async def run_round(fleet, ends):
    """Cuts the leader off the store; a replica leaves in the second of its return."""
    await fleet.add_replica()
    leader = fleet.leader()
    cut_at = fleet.record.now()
    if HAS_TROUBLE:
        fleet.cut(leader)
    leave_at = cut_at + CUT_S + fleet.rng.uniform(-0.6, 0.4)
    leave = asyncio.create_task(leave_first(fleet, leave_at, ends))
    await asyncio.sleep(CUT_S)
    if HAS_TROUBLE:
        fleet.heal(leader)
    await leave
    await asyncio.sleep(CONTACT_S)


async def leave_first(fleet, at, ends):
    """Lets the oldest replica leave at a time."""
    await asyncio.sleep(max(0.0, at - fleet.record.now()))
    leaving = fleet.replicas.pop(0)
    leaving.leave()
    ends.append(asyncio.create_task(fleet.end_later(leaving, DRAIN_S + LINGER_S)))


async def main():
    async with Fleet(FOLDER / "record.txt", seed=SEED) as fleet:
        fleet.start_clients(6, 0.3)
        await asyncio.sleep(5.0)
        ends = []
        for _ in range(ROUNDS):
            await run_round(fleet, ends)
        await asyncio.gather(*ends)
        return fleet.report_late_requests()


if __name__ == "__main__":
    try:
        sys.exit(asyncio.run(main()))
    except (OSError, TimeoutError) as error:
        print(f"the case could not run: {error!r} (start limit {START_TIMEOUT_S} s)")
        sys.exit(2)
