"""Plays planned stops of a gateway's process, in tests and by hand."""

import logging

import anyio

from tests import process_logs

TEST_TIMEOUT_S = 60.0
MAX_PRINTED_FAULTS = 10


async def play(make_stop, *args):
    """Returns what ``make_stop(*args)`` makes, after its ``play(folder)``."""
    name = make_stop.__name__
    with process_logs.log_folder(name) as folder, anyio.fail_after(TEST_TIMEOUT_S):
        stop = make_stop(*args)
        await stop.play(folder)
        if faults := stop.faults():
            (folder / "faults.txt").write_text("\n".join(map(str, faults)))
            process_logs.keep(folder, name)
        return stop


def run_by_hand(title, seeds, make_stop, argument):
    """Plays ``make_stop(seed, argument)`` for each seed, prints the faults and counts.

    Returns the exit status.
    """
    logging.disable()
    fault_count = 0
    for seed in seeds:
        stop = anyio.run(play, make_stop, int(seed), argument)
        faults = stop.faults()
        fault_count += len(faults)
        print(f"{title}, seed {seed}: {len(faults)} faults; {stop.summary()}")
        for fault in faults[:MAX_PRINTED_FAULTS]:
            print(f"  {fault}", flush=True)
    return min(fault_count, 1)
