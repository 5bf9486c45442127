"""Measures the control costs of each role of a daemon for docs/CAPACITY.md.

``make bench-control`` prints each slope; the last line is one JSON object.
``ARGS=--counts`` measures the counts only; ``ARGS=--write-page`` also writes the tables
of that page.
"""

import argparse
import sys

import anyio
import msgspec
from loguru import logger

from benchmarks import capacity_page
from benchmarks.capacity_totals import totals_of
from benchmarks.control_costs import (
    measure_base_memory,
    measure_costs,
    measure_round_trip,
)
from benchmarks.control_counts import measure_counts
from benchmarks.reference_loop import cpu_seconds, run_reference


def main(argv):
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--counts", action="store_true", help="measure counts only")
    parser.add_argument("--write-page", action="store_true", help="write the tables")
    arguments = parser.parse_args(argv)
    logger.remove()
    slopes = measure_counts()
    if arguments.counts:
        print_slopes(slopes)
        print(msgspec.json.encode({"slopes": slopes}).decode())
        return
    reference_ms = cpu_seconds(run_reference) * 1000
    base_memory_kb = measure_base_memory()
    slopes += measure_costs()
    hop_ms = anyio.run(measure_round_trip)
    totals = totals_of(slopes)
    print_slopes(slopes, reference_ms)
    for cost in totals:
        print(f"{cost.role}: {cost.mechanism}: {cost.summary()}")
    if arguments.write_page:
        capacity_page.write_tables(slopes, totals, base_memory_kb, reference_ms)
        capacity_page.write_hops_table(slopes, hop_ms)
    report = {
        "reference_ms": reference_ms,
        "base_memory_kb": base_memory_kb,
        "hop_ms": hop_ms,
        "slopes": slopes,
        "totals": totals,
    }
    print(msgspec.json.encode(report).decode())


def print_slopes(slopes, reference_ms=None):
    for slope in slopes:
        text = (
            f"{slope.role}: {slope.measure} per {slope.against}: "
            f"{slope.slope:.6g} +- {slope.error:.2g} {slope.unit}, "
            f"at 0: {slope.intercept:.4g} {slope.unit}"
        )
        if reference_ms is not None and slope.unit.startswith("ms"):
            text += f" ({slope.slope / reference_ms:.3g} of the reference loop)"
        print(text)


if __name__ == "__main__":
    main(sys.argv[1:])
