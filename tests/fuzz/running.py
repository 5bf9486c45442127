"""Runs a state machine with a seed and limits, and reports what it tried."""

import time

import hypothesis
from hypothesis.stateful import run_state_machine_as_test

from tests.fuzz.base import Counters

# A run checks its time limit only between batches of examples.
EXAMPLES_PER_BATCH = 20


class Report:
    """Seed and totals of one batch of at most ``limit`` examples.

    ``failure`` is the error of the shortest failing case, or None.
    """

    __slots__ = ("seed", "limit", "examples", "steps", "failure")

    def __init__(self, seed, limit):
        self.seed = seed
        self.limit = limit
        self.examples = 0
        self.steps = 0
        self.failure = None


def run_batch(machine, seed, examples, steps, shrink=True):
    """Runs one batch of examples and returns its Report.

    The same seed gives the same cases. ``shrink`` looks for the shortest failing one.
    """
    phases = [hypothesis.Phase.generate]
    if shrink:
        phases.append(hypothesis.Phase.shrink)
    settings = hypothesis.settings(
        max_examples=examples,
        stateful_step_count=steps,
        phases=phases,
        deadline=None,
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    # Hypothesis stores the seed in the class, so a subclass is made for each batch.
    seeded = hypothesis.seed(seed)(type(machine.__name__, (machine,), {}))
    report = Report(seed, examples)
    counts_before = Counters.examples, Counters.steps
    try:
        run_state_machine_as_test(seeded, settings=settings)
    except Exception as failure:
        report.failure = failure
    report.examples = Counters.examples - counts_before[0]
    report.steps = Counters.steps - counts_before[1]
    return report


def run_for(machine, seed, seconds, steps, max_examples):
    """Yields a Report for each batch, up to a failure or until a limit is reached."""
    deadline = time.monotonic() + seconds
    examples = 0
    while examples < max_examples and time.monotonic() < deadline:
        count = min(EXAMPLES_PER_BATCH, max_examples - examples)
        report = run_batch(machine, seed, count, steps)
        yield report
        if report.failure is not None:
            return
        examples += report.examples
        seed += 1
