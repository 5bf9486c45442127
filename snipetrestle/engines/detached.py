"""Runs an order to its end even if the task that led it is cancelled.

A cancelled gRPC call cancels its handler's asyncio task directly, which no shielded
scope keeps off. An order on its way cannot be taken back, and its outcome must be noted.
"""

import asyncio

# Keeps a reference to the tasks, which the event loop holds only weakly.
_tasks = set()


async def run_detached(coroutine):
    """Returns the coroutine's result. A cancellation ends only the waiting."""
    task = asyncio.ensure_future(coroutine)
    _tasks.add(task)
    task.add_done_callback(_forget)
    return await asyncio.shield(task)


def _forget(task):
    _tasks.discard(task)
    if not task.cancelled():
        # Nobody may be left to take the error; the order's own code has noted it.
        task.exception()
