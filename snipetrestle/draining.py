"""Graceful shutdown, which aborts no request in progress and loses no queued work."""

import anyio

from snipetrestle.events import Event, log_event


async def drain_daemon(membership, ownership, batches, callers, writes):
    """Returns once this daemon has no more work and has handed over its replicas.

    The first step announces to the members that this daemon is leaving, so that they
    send new work elsewhere. Then the daemon concurrently hands over replicas, moves
    batches, and waits for callers' requests and writes in progress; that also records
    the outcomes of writes with an idempotency key. The last step waits for the streams
    that other daemons have opened here. There is no time limit, since each request has
    its own deadline. A failed step is logged and does not prevent the other steps.
    """
    await _run_step("announce", membership.leave)
    async with anyio.create_task_group() as group:
        group.start_soon(_run_step, "replicas", ownership.hand_over_all)
        group.start_soon(_run_step, "batches", batches.drain)
        group.start_soon(_run_step, "callers", callers.drain)
        group.start_soon(_run_step, "writes", writes.drain)
    await _run_step("streams", ownership.wait_idle)


async def _run_step(name, step):
    start = anyio.current_time()
    try:
        await step()
    except Exception as error:
        log_event(Event.DRAIN_STEP_FAILED, step=name, detail=repr(error))
        return
    elapsed = anyio.current_time() - start
    log_event(Event.DRAIN_STEP_ENDED, step=name, seconds=round(elapsed, 3))
