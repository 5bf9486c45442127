"""Measures the memory that a part of a test allocates."""

import contextlib
import tracemalloc

# A host's memory may grow by this while a peer sends without end.
MAX_GROWTH_BYTES = 8 * 1024 * 1024


@contextlib.contextmanager
def assert_bounded_memory(test, name):
    """Fails ``test`` if the memory grows by more than MAX_GROWTH_BYTES meanwhile."""
    tracemalloc.start()
    try:
        yield
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    test.assertLess(peak_bytes, MAX_GROWTH_BYTES, name)
