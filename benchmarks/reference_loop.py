"""Reference loop that relates processor times of machines of different speed."""

import gc
import time

import msgspec

# Steps of the loop; it takes some tens of milliseconds.
STEPS = 20_000
REPEATS = 5


def run_reference():
    """Encodes, decodes and counts small messages, like the control work of a daemon."""
    decoder = msgspec.msgpack.Decoder(dict[str, int])
    counts = {}
    for step in range(STEPS):
        message = decoder.decode(msgspec.msgpack.encode({"step": step}))
        counts[message["step"] % 97] = counts.get(message["step"] % 97, 0) + 1
    return counts


def cpu_seconds(function, repeats=REPEATS):
    """Returns the least processor time of a call over some repeats."""
    best = float("inf")
    for _ in range(repeats):
        gc.collect()
        start = time.process_time()
        function()
        best = min(best, time.process_time() - start)
    return best
