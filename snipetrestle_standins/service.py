"""Stand-in for a plain service: runs writes, counts them by key, and has faults.

``PausableServiceClient`` is one daemon's ``ServiceClient`` to a ``StandInService`` in
the same process; it stops while the daemon is paused.
"""

import json
from collections import Counter

import anyio

from snipetrestle.services.protocol import (
    OldFencingNumber,
    ServiceAnswer,
    ServiceUnreachable,
)

NOT_FOUND = ServiceAnswer(404, b"{}")


class ServiceFaults:
    """Faults of a service; all can be changed at any time. Times are in seconds.

    ``run_delay_s`` delays the run of a write, ``answer_delay_s`` the answer after it
    ran. The answers of the next ``lose_answers`` writes are lost, and the next
    ``refuse_connections`` calls are refused; both count down. With
    ``checks_fencing_numbers``, calls with an old fencing number are refused.
    """

    def __init__(
        self,
        run_delay_s=0.0,
        answer_delay_s=0.0,
        lose_answers=0,
        refuse_connections=0,
        checks_fencing_numbers=False,
    ):
        self.run_delay_s = run_delay_s
        self.answer_delay_s = answer_delay_s
        self.lose_answers = lose_answers
        self.refuse_connections = refuse_connections
        self.checks_fencing_numbers = checks_fencing_numbers


class StandInService:
    """In-memory service with writes and idempotent lookups.

    Writes run each time they are called: the service does not deduplicate by key. Use
    as an async context manager; a call that was sent runs in the service's own task
    group, even if the daemon that sent it ends.
    """

    def __init__(self, lookups=("lookup",), faults=None, delay_s=0.0005):
        self.lookups = frozenset(lookups)
        self.faults = faults or ServiceFaults()
        self.delay_s = delay_s
        self.calls = []
        self.executions_by_key = Counter()
        self.bodies_by_key = {}
        self.answers_by_key = {}
        self._highest_fencing_number_by_key = {}
        self._task_group = None

    async def __aenter__(self):
        self._task_group = anyio.create_task_group()
        await self._task_group.__aenter__()
        return self

    async def __aexit__(self, *details):
        self._task_group.cancel_scope.cancel()
        return await self._task_group.__aexit__(*details)

    async def call(self, call):
        """Returns the answer. Raises ServiceUnreachable or OldFencingNumber."""
        if self.faults.refuse_connections > 0:
            self.faults.refuse_connections -= 1
            raise ServiceUnreachable("connection refused", sent=False)
        send, receive = anyio.create_memory_object_stream(1)
        self._task_group.start_soon(self._serve, call, send)
        with receive, anyio.move_on_after(call.timeout):
            result = await receive.receive()
            if isinstance(result, Exception):
                raise result
            return result
        raise ServiceUnreachable(f"no answer within {call.timeout} s", sent=True)

    async def _serve(self, call, send):
        with send:
            await anyio.sleep(self.delay_s)
            is_lookup = call.operation in self.lookups
            if not is_lookup:
                await anyio.sleep(self.faults.run_delay_s)
            result = self._run(call, is_lookup)
            if not is_lookup:
                await anyio.sleep(self.faults.answer_delay_s)
                if self.faults.lose_answers > 0:
                    self.faults.lose_answers -= 1
                    await anyio.sleep_forever()
            await anyio.sleep(self.delay_s)
            try:
                send.send_nowait(result)
            except anyio.BrokenResourceError:
                # The caller has stopped waiting.
                return

    def _run(self, call, is_lookup):
        """Checks the fencing number and runs the operation without awaiting.

        Returns a ServiceAnswer, or OldFencingNumber for the caller to raise.
        """
        self.calls.append(call)
        key = call.idempotency_key
        highest = self._highest_fencing_number_by_key.get(key, 0)
        if self.faults.checks_fencing_numbers and call.fencing_number is not None:
            if call.fencing_number < highest:
                return OldFencingNumber(highest)
            self._highest_fencing_number_by_key[key] = call.fencing_number
        if is_lookup:
            # Not the status of a write, so that tests can tell the answers apart.
            answer = self.answers_by_key.get(key)
            return ServiceAnswer(200, answer.body) if answer else NOT_FOUND
        self.executions_by_key[key] += 1
        self.bodies_by_key.setdefault(key, []).append(call.body)
        total = sum(self.executions_by_key.values())
        answer = ServiceAnswer(201, json.dumps({"entry": total}).encode())
        self.answers_by_key.setdefault(key, answer)
        return answer


class PausableServiceClient:
    """ServiceClient of one daemon, which waits while the daemon is paused.

    A time-out that passes during a pause takes effect after it: a resumed daemon still
    sends the call that it was about to send.
    """

    def __init__(self, service, wait_while_paused):
        self._service = service
        self._wait_while_daemon_paused = wait_while_paused
        self._is_stopped = False

    def stop(self):
        """Stops the client with its daemon, so that a paused call is never sent."""
        self._is_stopped = True

    async def call(self, call):
        await self.wait_while_paused()
        try:
            return await self._service.call(call)
        finally:
            await self.wait_while_paused()

    async def wait_while_paused(self):
        with anyio.CancelScope(shield=True):
            await self._wait_while_daemon_paused()
        if self._is_stopped:
            await anyio.sleep_forever()
