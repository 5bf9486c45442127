"""Polling helper for tests that run on the real clock."""

import anyio

POLL_INTERVAL_S = 0.005


async def wait_until(condition):
    """Returns once ``condition()`` is true. The test runner limits the wait."""
    while not condition():  # noqa: ASYNC110 - the condition is not an event's
        await anyio.sleep(POLL_INTERVAL_S)
