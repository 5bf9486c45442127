"""Runs the soak by hand: ``python -m tests.soak --seeds 50`` or ``--seed 7``."""

import argparse
import asyncio
import pathlib
import random
import sys
import tempfile

from tests.soak.soak import Soak


def run_seed(seed, seconds, folder):
    """Runs one seed with logs in ``folder`` and returns its Soak."""
    folder.mkdir(parents=True, exist_ok=True)
    soak = Soak(seed, seconds, folder)
    asyncio.run(soak.run())
    return soak


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, help="runs this seed only")
    parser.add_argument("--seeds", type=int, default=5, help="how many fresh seeds")
    parser.add_argument(
        "--seconds", type=float, default=12.0, help="seconds of faults per seed"
    )
    parser.add_argument("--logs", help="folder for the logs of the processes")
    arguments = parser.parse_args()
    system_random = random.SystemRandom()
    seeds = [arguments.seed]
    if arguments.seed is None:
        seeds = [system_random.getrandbits(32) for _ in range(arguments.seeds)]
    failed = 0
    with tempfile.TemporaryDirectory() as temporary:
        root = pathlib.Path(arguments.logs or temporary)
        for seed in seeds:
            soak = run_seed(seed, arguments.seconds, root / str(seed))
            failed += bool(soak.violations)
            served = sum(soak.oracle.served_by_route.values())
            sent = len(soak.oracle.requests_by_id)
            print(
                f"seed {seed}: {len(soak.faults)} faults, "
                f"{soak.endless_bodies.body_count} endless bodies, "
                f"{served} of {sent} served, "
                f"{len(soak.violations)} promises broken",
                flush=True,
            )
            for violation in soak.violations[:20]:
                print(f"  {violation}", flush=True)
    print(f"{len(seeds) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
