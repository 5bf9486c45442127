"""Runs the soak by hand: ``python -m tests.soak --seeds 50`` or ``--seed 7``."""

import argparse
import asyncio
import pathlib
import random
import sys
import tempfile

from tests.soak.mixed_versions import MixedVersions
from tests.soak.replica_pauses import ReplicaPauses
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
    kinds = parser.add_mutually_exclusive_group()
    kinds.add_argument(
        "--mixed-versions",
        dest="kind",
        action="store_const",
        const=MixedVersions,
        help="lets software versions of replicas mix, see mixed_versions.py",
    )
    kinds.add_argument(
        "--pauses",
        dest="kind",
        action="store_const",
        const=ReplicaPauses,
        help="pauses sound replicas beside planned work, see replica_pauses.py",
    )
    parser.set_defaults(kind=Soak)
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
            folder = root / str(seed)
            soak = run_seed(arguments.kind, seed, arguments.seconds, folder)
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
