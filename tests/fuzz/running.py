"""Runs a state machine for a seed, within bounds, and reports what was tried."""

import time

import hypothesis
from hypothesis.stateful import run_state_machine_as_test

from tests.fuzz.base import Counters

# A long run is cut into batches, so that it can end between them.
EXAMPLES_PER_BATCH = 20


class Report:
    """What a run tried, with at most ``limit`` examples.

    ``failure`` is the error of the shortest failing case found.
    """

    __slots__ = ("seed", "limit", "examples", "steps", "failure")

    def __init__(self, seed, limit):
        self.seed = seed
        self.limit = limit
        self.examples = 0
        self.steps = 0
        self.failure = None


def run_batch(machine, seed, examples, steps, shrink=True):
    """Runs one batch and returns its report. The same seed gives the same cases."""
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
    # A class of its own, since the seed is an attribute of the class.
    seeded = hypothesis.seed(seed)(type(machine.__name__, (machine,), {}))
    report = Report(seed, examples)
    before = Counters.examples, Counters.steps
    try:
        run_state_machine_as_test(seeded, settings=settings)
    except Exception as failure:
        report.failure = failure
    report.examples = Counters.examples - before[0]
    report.steps = Counters.steps - before[1]
    return report


def run_for(machine, seed, seconds, steps, max_examples):
    """Yields the reports of batches until a failure, the time or the limit is reached."""
    end = time.monotonic() + seconds
    examples = 0
    while examples < max_examples and time.monotonic() < end:
        count = min(EXAMPLES_PER_BATCH, max_examples - examples)
        report = run_batch(machine, seed, count, steps)
        yield report
        if report.failure is not None:
            return
        examples += report.examples
        seed += 1
