"""Runs the soak by hand: ``python -m tests.soak --seeds 50`` or ``--seed 7``."""

import argparse
import asyncio
import pathlib
import random
import sys
import tempfile

from tests.soak.mixed_versions import MixedVersions
from tests.soak.soak import Soak


def run_seed(kind, seed, seconds, folder):
    """Runs one seed of a kind of soak, with logs in ``folder``, and returns it."""
    folder.mkdir(parents=True, exist_ok=True)
    soak = kind(seed, seconds, folder)
    asyncio.run(soak.run())
    return soak


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, help="runs this seed only")
    parser.add_argument("--seeds", type=int, default=5, help="how many fresh seeds")
    parser.add_argument(
        "--seconds", type=float, default=12.0, help="seconds of faults per seed"
    )
    parser.add_argument(
        "--mixed-versions",
        action="store_true",
        help="lets software versions of replicas mix, see mixed_versions.py",
    )
    parser.add_argument("--logs", help="folder for the logs of the processes")
    arguments = parser.parse_args()
    kind = MixedVersions if arguments.mixed_versions else Soak
    system_random = random.SystemRandom()
    seeds = [arguments.seed]
    if arguments.seed is None:
        seeds = [system_random.getrandbits(32) for _ in range(arguments.seeds)]
    failed = 0
    with tempfile.TemporaryDirectory() as temporary:
        root = pathlib.Path(arguments.logs or temporary)
        for seed in seeds:
            soak = run_seed(kind, seed, arguments.seconds, root / str(seed))
            failed += bool(soak.violations)
            print(
                f"seed {seed}: {soak.summary()}, "
                f"{len(soak.violations)} promises broken",
                flush=True,
            )
            for violation in soak.violations[:20]:
                print(f"  {violation}", flush=True)
    print(f"{len(seeds) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
