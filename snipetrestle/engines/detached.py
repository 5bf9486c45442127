"""Runs an engine order to completion even if the task that started it is cancelled.

A cancelled gRPC call cancels the asyncio task of its handler directly, and a shielded
anyio scope does not prevent that. An order that was sent cannot be withdrawn, and its
outcome must be recorded.
"""

import asyncio

# Strong references to the running tasks: the event loop holds only weak ones.
_tasks = set()


async def run_detached(coroutine):
    """Runs a coroutine in a task of its own and returns its result.

    Cancelling the caller stops the wait but not the coroutine.
    """
    task = asyncio.ensure_future(coroutine)
    _tasks.add(task)
    task.add_done_callback(_on_done)
    return await asyncio.shield(task)


def _on_done(task):
    _tasks.discard(task)
    if not task.cancelled():
        # Retrieves the error, since the caller may be gone. The coroutine has already
        # handled it.
        task.exception()
