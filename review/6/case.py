"""One machine loses the store for 1.7 s while a replica changes its entry and leaves."""

import asyncio
import os
import pathlib
import sys

from review.standins2.fleet import CONTACT_S, DRAIN_S, START_TIMEOUT_S, Fleet

FOLDER = pathlib.Path(__file__).resolve().parent
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = int(os.environ.get("SEED", "1"))
ROUNDS = 6
CUT_S = 1.7
# A replica goes on serving for ``drain_ms`` and "at times many seconds" more.
LINGER_S = 8.0


async def run_round(fleet, ends):
    """Cuts one machine off the store; meanwhile a replica that just changed leaves."""
    await fleet.add_replica()
    leader = fleet.leader()
    daemon = fleet.rng.choice([item for item in fleet.daemons if item is not leader])
    await wait_for_watch(daemon)
    cut_at = fleet.record.now()
    if HAS_TROUBLE:
        fleet.cut(daemon)
    leaving = await first_changed(fleet, cut_at)
    if leaving is not None:
        await asyncio.sleep(fleet.rng.uniform(0.05, 0.3))
        fleet.replicas.remove(leaving)
        leaving.leave()
        ends.append(asyncio.create_task(fleet.end_later(leaving, DRAIN_S + LINGER_S)))
    await asyncio.sleep(max(0.0, cut_at + CUT_S - fleet.record.now()))
    if HAS_TROUBLE:
        fleet.heal(daemon)
    await asyncio.sleep(CONTACT_S)


async def wait_for_watch(daemon):
    """Waits until a call of the daemon to the store waits for its answer."""
    loop = asyncio.get_running_loop()
    while (  # noqa: ASYNC110 - the link is polled
        asked_at := daemon.link.asked_at
    ) is None or loop.time() - asked_at < 0.02:
        await asyncio.sleep(0.005)


async def first_changed(fleet, since):
    """Returns the first of the older replicas whose entry changes, None if none does."""
    while fleet.record.now() - since < CUT_S - 0.5:
        for replica in fleet.replicas[:-1]:
            if replica.written_at > since:
                return replica
        await asyncio.sleep(0.005)
    return None


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
