"""Measures writes: bytes per record of a keeper, and messages per write.

``python -m benchmarks.writes`` prints a table; its last line is one JSON object.
Messages, with their replies, are counted on the in-memory network and compared with a
baseline: a forwarded write without keepers, which is one request and one reply.
"""

import argparse
import gc
import json
import random
import tracemalloc

from snipetrestle.peers.members import Incarnation
from snipetrestle.writes.records import (
    Ballot,
    Claim,
    KeyRecord,
    OutcomeKind,
    RecordTable,
    WriteOutcome,
    digest_of,
)
from snipetrestle_standins.clock import run_in_virtual_time
from snipetrestle_standins.writes_fleet import WritesFleet, make_configuration

# A forwarded request and its reply.
BASELINE_MESSAGES = 2
DAY_S = 86_400


def measure_bytes_per_record(count, result_bytes):
    """Returns the bytes of memory of (a record with its result, a fingerprint).

    A fingerprint is what stays of a record after the result's retention.
    """
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    table = RecordTable(count, 2 * count * (result_bytes + 250), DAY_S)
    records = {}
    for number in range(count):
        add_record(table, records, number, result_bytes)
    with_results = tracemalloc.get_traced_memory()[0] - before
    table.expire(2 * DAY_S)
    gc.collect()
    without_results = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return with_results / count, without_results / count


def add_record(table, records, number, result_bytes):
    """Adds a record whose parts share no memory with those of other records.

    A keeper's records are like this, since each part is decoded from its own message.
    """
    digest = digest_of(f"body-{number}")
    claim = Claim(f"entry-{number % 7}", Incarnation(number, 7), number, digest)
    record = KeyRecord((claim,), True, request_digest=digest)
    table.add(records, digest_of(f"key-{number}"), record)
    body = random.Random(number).randbytes(result_bytes)
    outcome = WriteOutcome(OutcomeKind.DONE, 201, f"application/{number}", body)
    table.set_outcome(record, Ballot(0), outcome, 0.0)


async def count_messages(keepers, writes):
    """Returns (messages, bytes) per first write and messages per later retry."""
    configuration = make_configuration(keepers_per_key=keepers)
    async with WritesFleet(configuration) as fleet:
        non_keeper = next(name for name in fleet.names if name not in fleet.keepers())
        counts = []
        for _ in range(2):
            before = fleet.network.sent_messages, fleet.network.sent_bytes
            for number in range(writes):
                code, answer = await fleet.write(non_keeper, key=f"key-{number}")
                if code != 0:
                    raise answer
            await fleet.settle()
            counts.append(
                (
                    (fleet.network.sent_messages - before[0]) / writes,
                    (fleet.network.sent_bytes - before[1]) / writes,
                )
            )
        if any(fleet.executions(f"key-{number}") != 1 for number in range(writes)):
            raise RuntimeError("a write did not run exactly once")
    (first, first_bytes), (retry, _) = counts
    return first, first_bytes, retry


def main(arguments=None):
    parser = argparse.ArgumentParser(prog="python -m benchmarks.writes")
    parser.add_argument("--records", type=int, default=20_000)
    parser.add_argument("--result-bytes", type=int, default=256)
    parser.add_argument("--writes", type=int, default=200)
    options = parser.parse_args(arguments)
    with_result, fingerprint = measure_bytes_per_record(
        options.records, options.result_bytes
    )
    limits = make_configuration().writes
    report = {
        "records": options.records,
        "result_bytes": options.result_bytes,
        "bytes_per_record_with_result": round(with_result, 1),
        "bytes_per_fingerprint": round(fingerprint, 1),
        "megabytes_at_limits": round(
            (limits.max_records * fingerprint + limits.max_result_bytes) / 1e6, 1
        ),
        "baseline_messages_per_write": BASELINE_MESSAGES,
    }
    print(f"record with a result of {options.result_bytes} bytes: {with_result:.0f} B")
    print(f"fingerprint after the retention: {fingerprint:.0f} B")
    for keepers in (3, 5):
        first, first_bytes, retry = run_in_virtual_time(
            count_messages, keepers, options.writes
        )
        report[f"messages_per_write_{keepers}_keepers"] = round(first, 2)
        report[f"bytes_per_write_{keepers}_keepers"] = round(first_bytes)
        report[f"messages_per_retry_{keepers}_keepers"] = round(retry, 2)
        report[f"ratio_to_baseline_{keepers}_keepers"] = round(
            first / BASELINE_MESSAGES, 2
        )
        print(
            f"{keepers} keepers: {first:.2f} messages per write "
            f"({first / BASELINE_MESSAGES:.1f} x baseline), {first_bytes:.0f} B; "
            f"{retry:.2f} messages per later retry"
        )
    print(json.dumps(report))


if __name__ == "__main__":
    main()
