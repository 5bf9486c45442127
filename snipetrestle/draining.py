"""The steps of a planned stop: nothing in progress is cut off, nothing queued is lost."""

import anyio

from snipetrestle.events import Event, log_event


async def drain_daemon(membership, ownership, batches, callers, writes):
    """Returns once this daemon holds no work and has given away what it owned.

    First the members are told that this one leaves, so that new work goes elsewhere.
    Then, at the same time, replicas are handed over, batches move, and the callers'
    requests and the writes in progress end; keyed writes are recorded by that. Last,
    the streams that other daemons have opened here end. There is no time limit: a
    request ends by its own deadline. A step that fails is logged and does not keep the
    others from their work.
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
