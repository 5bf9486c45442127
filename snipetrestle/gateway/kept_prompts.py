"""Tells which software version has run a request, by the prompts that replicas keep.

The last part of a prompt belongs to its request alone, or to the session of its caller.
A replica that keeps it has read that prompt. That helps when no host knows what
began a stream, as after a restart of all of them.
"""

import asyncio
import collections

import anyio

from snipetrestle.gateway.http_client import ConnectFailed, ExchangeFailed
from snipetrestle.gateway.stream_origin import StreamOrigin

# Questions that come within this time share the listings of replicas.
GATHER_S = 0.01
# Between two listings of a replica: each delays its work, and has a price.
MIN_INTERVAL_S = 0.25
# A request waits no longer for the listings.
ANSWER_TIMEOUT_S = 0.6
# If a backend has more replicas, only those are asked that list the request's adapter.
MAX_ASKED_REPLICAS = 32
# Processes whose last listings are remembered.
MAX_PROCESSES = 4096


class KeptPrompts:
    """Asks replicas for the prompt parts that they keep.

    ``replicas`` is the ReplicaDirectory. ``read_kept_parts(replica)`` returns a set of
    (model, id of a prompt part), and raises ConnectFailed or ExchangeFailed.
    """

    def __init__(self, replicas, read_kept_parts):
        self._replicas = replicas
        self._read_kept_parts = read_kept_parts
        # Tasks of listings that have not begun yet, by the process of the replica.
        self._next_by_process = {}
        self._begun_at_by_process = collections.OrderedDict()

    async def only_origin(self, backend, adapter, part):
        """Returns the StreamOrigin of the replicas that keep a prompt part.

        Returns None if there are none, or if more than one version may keep it: a
        replica that does not answer may do so as well. ``adapter`` is the AdapterKey of
        the request.
        """
        asked = self._replicas_to_ask(backend, adapter)
        if not asked:
            return None
        listings = {item.process_id: self._next_listing(item) for item in asked}
        await asyncio.wait(set(listings.values()), timeout=ANSWER_TIMEOUT_S)
        versions = set()
        is_kept = False
        for replica in asked:
            kept_parts = _result(listings[replica.process_id])
            keeps_it = kept_parts is not None and (adapter.model, part) in kept_parts
            is_kept = is_kept or keeps_it
            if keeps_it or kept_parts is None:
                versions.add(replica.software_version)
        if not is_kept or len(versions) > 1:
            return None
        (version,) = versions
        return StreamOrigin(backend, version) if version else None

    def _replicas_to_ask(self, backend, adapter):
        """Returns the replicas that can have run a request; none if they are many.

        Some may have unloaded its adapter since, and still keep its prompt.
        """
        replicas = list(self._replicas.listed_replicas(backend))
        if len(replicas) > MAX_ASKED_REPLICAS and adapter.adapter:
            replicas = [item for item in replicas if item.entry.lists_adapter(adapter)]
        return [] if len(replicas) > MAX_ASKED_REPLICAS else replicas

    def _next_listing(self, replica):
        """Returns the task of a listing that has not begun yet.

        One that has begun may lack what the replica has read since.
        """
        process_id = replica.process_id
        task = self._next_by_process.get(process_id)
        if task is None:
            task = asyncio.get_running_loop().create_task(self._list(replica))
            self._next_by_process[process_id] = task
        return task

    async def _list(self, replica):
        """Returns the prompt parts that a replica keeps, or None without an answer."""
        process_id = replica.process_id
        begun_at = self._begun_at_by_process.get(process_id)
        wait_s = GATHER_S
        if begun_at is not None:
            wait_s = max(wait_s, begun_at + MIN_INTERVAL_S - anyio.current_time())
        await anyio.sleep(wait_s)
        self._note_begun(process_id)
        if replica.pause.is_active:
            return None
        try:
            return await self._read_kept_parts(replica)
        except (ConnectFailed, ExchangeFailed):
            return None

    def _note_begun(self, process_id):
        del self._next_by_process[process_id]
        begun_at = self._begun_at_by_process
        begun_at.pop(process_id, None)
        begun_at[process_id] = anyio.current_time()
        if len(begun_at) > MAX_PROCESSES:
            begun_at.popitem(last=False)


def _result(task):
    """Returns the result of a listing; None if it has not ended, or has failed."""
    if not task.done() or task.cancelled() or task.exception() is not None:
        return None
    return task.result()
