"""Runs the items of a batch at its primary holder."""

import anyio

from snipetrestle.batches.messages import ItemResult
from snipetrestle.codes import ServingError

# Maximum number of items that a primary runs at once, of one batch and of all batches.
MAX_RUNNING_ITEMS_PER_BATCH = 16
MAX_RUNNING_ITEMS = 64


class ItemRunner:
    """Runs the items of all batches of which this daemon is the primary holder.

    ``run_item`` is that of the BatchHolder. ``push_results(held_batch)`` sends the
    second holder the results that it has not confirmed.
    """

    def __init__(self, run_item, push_results, generator, times):
        self._run_item = run_item
        self._push_results = push_results
        self._generator = generator
        self._times = times
        self._item_slots = anyio.Semaphore(MAX_RUNNING_ITEMS)

    async def run(self, held_batch):
        """Runs the items that have no result, grouped by adapter."""
        try:
            with held_batch.run_scope:
                indices = [
                    index
                    for index in range(len(held_batch.items))
                    if index not in held_batch.results_by_index
                ]
                indices.sort(key=lambda index: (held_batch.items[index].model, index))
                batch_slots = anyio.Semaphore(MAX_RUNNING_ITEMS_PER_BATCH)
                async with anyio.create_task_group() as group:
                    for index in indices:
                        await batch_slots.acquire()
                        await self._item_slots.acquire()
                        if held_batch.is_moving:
                            batch_slots.release()
                            self._item_slots.release()
                            break
                        group.start_soon(
                            self._run_in_slot, held_batch, index, batch_slots
                        )
        finally:
            held_batch.runner_count = 0

    async def _run_in_slot(self, held_batch, index, batch_slots):
        try:
            if index not in held_batch.results_by_index:
                result = await self._run_until_result(held_batch, index)
                if result is not None:
                    held_batch.add_result(result)
                    if index in held_batch.unconfirmed:
                        await self._push_result(held_batch, index)
        finally:
            batch_slots.release()
            self._item_slots.release()

    async def _push_result(self, held_batch, index):
        async with held_batch.push_lock:
            if index in held_batch.unconfirmed:
                await self._push_results(held_batch)

    async def _run_until_result(self, held_batch, index):
        """Runs an item until it succeeds or fails for good, and returns the ItemResult.

        Returns None if the batch is moved to another daemon before.
        """
        pause_s = self._times.first_retry_pause_s
        end_time = held_batch.started_at + held_batch.finish_within_s
        item = held_batch.items[index]
        while True:
            time_left_s = end_time - anyio.current_time()
            # After its end time an item still runs; it gets the full time again, since
            # a short deadline would not help anymore.
            time_allowed_s = (
                time_left_s if time_left_s > 0 else held_batch.finish_within_s
            )
            try:
                text, finish_reason = await self._run_item(
                    held_batch.id,
                    index,
                    held_batch.customer,
                    item,
                    time_allowed_s,
                )
                return ItemResult(index, text, item.custom_id, finish_reason)
            except ServingError as error:
                if (
                    not error.code.retryable
                    or -time_left_s > self._times.overdue_limit_s
                ):
                    return ItemResult(
                        index,
                        custom_id=item.custom_id,
                        code=error.code.number,
                        detail=error.detail,
                    )
            if held_batch.is_moving:
                return None
            with anyio.move_on_after(pause_s * self._generator.uniform(0.5, 1.5)):
                await held_batch.move_started.wait()
                return None
            pause_s = min(2 * pause_s, self._times.max_retry_pause_s)
