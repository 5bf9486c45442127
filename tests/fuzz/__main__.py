"""Command ``python -m tests.fuzz``: fuzzes with a fresh seed, bounded by arguments."""

import argparse
import secrets
import sys
import traceback

from loguru import logger

from tests.fuzz.base import Counters
from tests.fuzz.batches import BatchMachine
from tests.fuzz.configuration import ConfigurationMachine
from tests.fuzz.orders import OrdersMachine
from tests.fuzz.replicas import ReplicaMachine
from tests.fuzz.running import run_for
from tests.fuzz.writes import WriteMachine

MACHINES_BY_NAME = {
    "writes": WriteMachine,
    "replicas": ReplicaMachine,
    "batches": BatchMachine,
    "configuration": ConfigurationMachine,
    "orders": OrdersMachine,
}


def main(arguments=None):
    parser = argparse.ArgumentParser(prog="python -m tests.fuzz", description=__doc__)
    parser.add_argument(
        "--machine", choices=MACHINES_BY_NAME, help="one machine (default: all)"
    )
    parser.add_argument(
        "--seconds", type=float, default=60.0, help="time limit of each machine"
    )
    parser.add_argument(
        "--examples", type=int, default=5000, help="limit of each machine's examples"
    )
    parser.add_argument("--steps", type=int, default=40, help="steps per example")
    parser.add_argument("--seed", type=int, help="first seed (default: fresh)")
    options = parser.parse_args(arguments)
    seed = secrets.randbelow(2**32) if options.seed is None else options.seed
    print(f"seed {seed}", flush=True)
    logger.disable("snipetrestle")
    names = [options.machine] if options.machine else list(MACHINES_BY_NAME)
    try:
        return int(sum(not fuzz_machine(name, seed, options) for name in names) > 0)
    finally:
        logger.enable("snipetrestle")


def fuzz_machine(name, seed, options):
    """Runs one machine and prints its totals; returns whether all promises held.

    ``options`` are the parsed command-line arguments.
    """
    machine = MACHINES_BY_NAME[name]
    examples = steps = 0
    Counters.answers_by_code.clear()
    for report in run_for(
        machine, seed, options.seconds, options.steps, options.examples
    ):
        examples += report.examples
        steps += report.steps
        if report.failure is None:
            continue
        print(f"{name}: tried {steps} steps in {examples} examples")
        print(f"{name}: failed with seed {report.seed}; shortest failing case:")
        traceback.print_exception(report.failure, limit=-3, file=sys.stdout)
        print(
            f"again: python -m tests.fuzz --machine {name} --seed {report.seed} "
            f"--steps {options.steps} --examples {report.limit}"
        )
        return False
    print(f"{name}: tried {steps} steps in {examples} examples; no promise was broken")
    if Counters.answers_by_code:
        totals = sorted(Counters.answers_by_code.items(), key=str)
        print(f"{name}: answers by code {dict(totals)}", flush=True)
    return True


if __name__ == "__main__":
    sys.exit(main())
