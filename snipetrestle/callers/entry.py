"""Entry role: picks a replica for a request and carries its stream to the end."""

import contextlib

import anyio
import msgspec

from snipetrestle.codes import Outcome, ResultCode, ServingError
from snipetrestle.engines.acceptance import stream_with_accept_timeout
from snipetrestle.engines.forward import (
    Accepted,
    Finished,
    Forward,
    RequestClass,
    Tokens,
)
from snipetrestle.events import Event, log_event
from snipetrestle.peers.transport import PeerUnreachable

# Attempts of one request, the first included. With the pauses they last 3 s, the time
# within which another daemon serves a failed daemon's replicas.
MAX_ATTEMPTS = 9
FIRST_PAUSE_S = 0.05
MAX_PAUSE_S = 0.8
# A member that did not answer is passed over for this long; probes decide meanwhile.
UNREACHABLE_S = 1.0
# Refusals that overload causes; repeating them takes from the customer's retry budget.
# The other failures are of the fleet's making and bounded by MAX_ATTEMPTS alone.
BUDGETED_CODES = frozenset((ResultCode.QUEUE_FULL, ResultCode.LOAD_FAILED))
# Finish reason of a stream that was cancelled at the engine.
CANCELLED = "cancelled"


class Generation(msgspec.Struct):
    """One checked request of a caller. ``deadline`` is on anyio's clock."""

    request_id: str
    customer: str
    request_class: RequestClass
    model: str
    adapter: str
    version: str
    prompt: str
    prompt_tokens: int
    max_tokens: int
    deadline: float
    prefix: str = ""
    weight: float = 1.0


class _Progress:
    """What the attempts of one request have achieved so far."""

    __slots__ = ("received", "attempts", "tried", "resume_at", "may_have_run")

    def __init__(self):
        self.received = []
        self.attempts = 0
        self.tried = []
        # Replica whose engine may still hold the stream that broke.
        self.resume_at = None
        self.may_have_run = False


class EntryRouter:
    """Sends generations to the owners of replicas.

    ``owned`` tells the owners and holds those of this daemon; ``chooser`` is a
    ReplicaChooser and ``shares`` a LimitShares or None; ``generator`` is seeded.
    """

    def __init__(self, membership, transport, owned, chooser, shares, generator):
        self.resumed_streams = 0
        self._membership = membership
        self._transport = transport
        self._owned = owned
        self._chooser = chooser
        self._shares = shares
        self._random = generator
        self._servers_by_name = {}
        self._unreachable_until_by_member = {}

    def set_replicas(self, replicas_by_model):
        """Takes the engines that may get new work, by model."""
        self._servers_by_name = {
            server.name: server
            for servers in replicas_by_model.values()
            for server in servers
        }
        self._chooser.set_replicas(replicas_by_model)

    async def generate(self, generation):
        """Yields Tokens without gap or repeat, then Finished. Raises ServingError."""
        progress = _Progress()
        while True:
            server = self._next_server(generation, progress)
            attempt = self._attempt(generation, server, progress)
            try:
                async with contextlib.aclosing(attempt) as replies:
                    async for reply in replies:
                        yield reply
                        if type(reply) is Finished:
                            return
                failure = ServingError(ResultCode.STREAM_BROKEN, "it ended early")
            except ServingError as error:
                failure = error
            except PeerUnreachable as error:
                failure = self._note_unreachable(error)
            self._check_repeatable(generation, progress, failure)
            self._plan_next(generation, progress, server, failure)
            await self._pause(progress)

    def _next_server(self, generation, progress):
        server = self._servers_by_name.get(progress.resume_at)
        if server is not None:
            return server
        for exclude in (progress.tried, ()):
            try:
                name = self._chooser.choose(
                    generation.model,
                    generation.adapter,
                    generation.version,
                    exclude,
                    prefix=generation.prefix,
                    tokens=generation.max_tokens - len(progress.received),
                )
            except ServingError:
                if not exclude:
                    raise
                progress.tried.clear()
            else:
                return self._servers_by_name[name]
        raise ServingError(ResultCode.NO_REPLICA, generation.model)

    async def _attempt(self, generation, server, progress):
        """Yields the replies of one attempt at one replica."""
        chooser, received = self._chooser, progress.received
        adapter, version = generation.adapter, generation.version
        tokens = generation.max_tokens - len(received)
        sent_at = anyio.current_time()
        finished = None
        chooser.on_sent(server.name, adapter, version, tokens, generation.prefix)
        try:
            opened = self._open(server, self._forward(generation, server, progress))
            async with opened as replies, contextlib.aclosing(replies):
                async for reply in replies:
                    kind = type(reply)
                    if kind is Tokens:
                        reply = without_repeat(reply, len(received))
                        if reply is not None:
                            received.extend(reply.tokens)
                            yield reply
                    elif kind is Accepted:
                        chooser.on_hints(reply.hints, adapter, version)
                    elif kind is Finished:
                        if reply.finish_reason == CANCELLED:
                            raise ServingError(
                                ResultCode.STREAM_BROKEN, "cancelled at the engine"
                            )
                        if reply.hints is not None:
                            chooser.on_hints(reply.hints, adapter, version)
                        finished = reply
                        yield reply
                        return
        finally:
            self._end_attempt(server, generation, tokens, sent_at, finished)

    def _end_attempt(self, server, generation, tokens, sent_at, finished):
        service_s, stall_s = None, 0.0
        if finished is not None:
            stall_s = finished.load_stall_s
            service_s = max(
                0.0, anyio.current_time() - sent_at - finished.queue_wait_s - stall_s
            )
        self._chooser.on_finished(
            server.name,
            generation.adapter,
            generation.version,
            tokens,
            service_s=service_s,
            load_stall_s=stall_s,
            failed=finished is None,
        )

    def _open(self, server, forward):
        """Returns the stream of replies of the replica's owner, here or elsewhere."""
        owner_name = self._owned.owner_name(server, self._unreachable())
        if owner_name is None:
            raise ServingError(ResultCode.NO_REPLICA, f"{server.name} has no owner")
        if owner_name == self._membership.own_name:
            return self._owned.replica_client(server.name).submit(forward)
        return stream_with_accept_timeout(
            self._transport.stream(owner_name, forward), owner_name
        )

    def _forward(self, generation, server, progress):
        return Forward(
            request_id=generation.request_id,
            replica=server.name,
            customer=generation.customer,
            request_class=generation.request_class,
            model=generation.model,
            adapter=generation.adapter,
            version=generation.version,
            prompt=generation.prompt,
            prompt_tokens=generation.prompt_tokens,
            max_tokens=generation.max_tokens,
            time_left_s=max(0.0, generation.deadline - anyio.current_time()),
            prefix=generation.prefix,
            weight=generation.weight,
            attempt=progress.attempts + 1,
            next_index=len(progress.received),
            forced_tokens=tuple(progress.received),
        )

    # Failures

    def _unreachable(self):
        """Returns the members that did not answer a moment ago."""
        table = self._unreachable_until_by_member
        if not table:
            return ()
        now = anyio.current_time()
        for member in [member for member, until in table.items() if until <= now]:
            del table[member]
        return tuple(table)

    def _note_unreachable(self, error):
        self._owned.mark_unreachable(error.member)
        until = anyio.current_time() + UNREACHABLE_S
        self._unreachable_until_by_member[error.member] = until
        return ServingError(
            ResultCode.PEER_UNREACHABLE,
            str(error),
            outcome=Outcome.UNKNOWN if error.sent else Outcome.DID_NOT_RUN,
        )

    def _check_repeatable(self, generation, progress, failure):
        """Raises the failure if the request must not be sent again."""
        progress.attempts += 1
        if failure.outcome is not Outcome.DID_NOT_RUN:
            progress.may_have_run = True
        elif progress.may_have_run:
            # An earlier attempt may have run, whatever this one says.
            failure.outcome = Outcome.UNKNOWN
        if not failure.code.retryable or progress.attempts >= MAX_ATTEMPTS:
            raise failure
        if anyio.current_time() >= generation.deadline:
            raise failure
        if failure.code in BUDGETED_CODES and self._shares is not None:
            try:
                with self._shares.admit(
                    generation.customer, generation.request_class, 0, is_retry=True
                ):
                    return
            except ServingError:
                raise failure from None

    def _plan_next(self, generation, progress, server, failure):
        """Resumes at the same engine once, then turns to the other replicas."""
        broken = failure.outcome is not Outcome.DID_NOT_RUN
        wrong_answer = failure.code is ResultCode.ANSWER_MISMATCH
        if broken and not wrong_answer and progress.resume_at is None:
            progress.resume_at = server.name
        else:
            progress.resume_at = None
            progress.tried.append(server.name)
        if progress.received:
            self.resumed_streams += 1
            log_event(
                Event.STREAM_RESUMED,
                request_id=generation.request_id,
                next_index=len(progress.received),
                replica=server.name,
                reason=str(failure),
            )

    async def _pause(self, progress):
        """Waits before the next attempt; the first repeat goes out at once."""
        if progress.attempts > 1:
            pause = min(MAX_PAUSE_S, FIRST_PAUSE_S * 2 ** (progress.attempts - 2))
            await anyio.sleep(pause * self._random.uniform(0.75, 1.25))


def without_repeat(tokens, next_index):
    """Returns the part of ``tokens`` from ``next_index`` on, or None if it has none.

    Raises ServingError if tokens before them are missing.
    """
    skip = next_index - tokens.first_index
    if skip == 0:
        return tokens
    if skip < 0:
        raise ServingError(ResultCode.STREAM_BROKEN, "tokens are missing")
    if skip >= len(tokens.tokens):
        return None
    return Tokens(next_index, tokens.tokens[skip:])
