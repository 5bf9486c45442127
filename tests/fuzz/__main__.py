"""Command ``python -m tests.fuzz``: fuzzes with a fresh seed, bounded by arguments."""

import argparse
import secrets
import sys
import traceback

from tests.fuzz.machine import FleetMachine
from tests.fuzz.running import run_for


def main(arguments=None):
    parser = argparse.ArgumentParser(prog="python -m tests.fuzz", description=__doc__)
    parser.add_argument("--seconds", type=float, default=120.0, help="time limit")
    parser.add_argument("--examples", type=int, default=5000, help="limit of examples")
    parser.add_argument("--steps", type=int, default=40, help="steps per example")
    parser.add_argument("--seed", type=int, help="first seed (default: fresh)")
    options = parser.parse_args(arguments)
    seed = secrets.randbelow(2**32) if options.seed is None else options.seed
    print(f"seed {seed}", flush=True)
    examples = steps = 0
    reports = run_for(
        FleetMachine, seed, options.seconds, options.steps, options.examples
    )
    for report in reports:
        examples += report.examples
        steps += report.steps
        if report.failure is None:
            continue
        print(f"tried {steps} steps in {examples} examples")
        print(f"failed with seed {report.seed}; shortest failing case:")
        traceback.print_exception(report.failure, limit=-3, file=sys.stdout)
        print(
            f"again: python -m tests.fuzz --seed {report.seed} "
            f"--steps {options.steps} --examples {report.limit}"
        )
        return 1
    print(f"tried {steps} steps in {examples} examples; no promise was broken")
    return 0


if __name__ == "__main__":
    sys.exit(main())
