"""Routes requests to replicas and retries or resumes them after failures.

The daemon that a caller is connected to is the entry of the caller's requests.
"""

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

# Maximum attempts of one request, including the first. With the back-off between them
# they last 3 s, the time within which another daemon takes over the replicas of a
# failed daemon.
MAX_ATTEMPTS = 9
FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.8
# A member that did not answer is not chosen as owner for this long. Meanwhile failure
# detection determines its state.
SKIP_UNREACHABLE_S = 1.0
# Refusals caused by overload. Their retries are charged to the customer's retry budget.
# Other failures are not caused by the customer's load and only MAX_ATTEMPTS limits
# their retries.
RETRY_BUDGET_CODES = frozenset((ResultCode.QUEUE_FULL, ResultCode.LOAD_FAILED))
# Finish reason of a stream that the engine cancelled.
CANCELLED_FINISH_REASON = "cancelled"


class Generation(msgspec.Struct):
    """One validated generation request. ``deadline`` is a time of anyio's clock."""

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
    """State of one request over its attempts."""

    __slots__ = (
        "received_tokens",
        "attempts",
        "excluded_replicas",
        "resume_replica",
        "may_have_run",
    )

    def __init__(self):
        self.received_tokens = []
        self.attempts = 0
        self.excluded_replicas = []
        # Replica whose engine may still have the interrupted stream.
        self.resume_replica = None
        self.may_have_run = False


class EntryRouter:
    """Sends generations to the owners of replicas.

    ``ownership`` is a ReplicaOwnership, which knows the owners of all replicas and has
    the ReplicaOwners of this daemon; ``chooser`` is a ReplicaChooser, ``shares`` a
    LimitShares or None and ``generator`` a random.Random.
    """

    def __init__(self, membership, transport, ownership, chooser, shares, generator):
        self.resumed_streams = 0
        self._membership = membership
        self._transport = transport
        self._ownership = ownership
        self._chooser = chooser
        self._shares = shares
        self._generator = generator
        self._servers_by_name = {}
        self._unreachable_until_by_member = {}

    def set_replicas(self, replicas_by_model):
        """Sets the engines that may get new work, as lists by model."""
        self._servers_by_name = {
            server.name: server
            for servers in replicas_by_model.values()
            for server in servers
        }
        self._chooser.set_replicas(replicas_by_model)

    async def generate(self, generation):
        """Yields Tokens without gaps or duplicates, then Finished.

        Raises ServingError.
        """
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
                failure = ServingError(
                    ResultCode.STREAM_BROKEN, "it ended without a finish reason"
                )
            except ServingError as error:
                failure = error
            except PeerUnreachable as error:
                failure = self._note_unreachable(error)
            self._check_retryable(generation, progress, failure)
            self._prepare_next_attempt(generation, progress, server, failure)
            await self._back_off(progress)

    def _next_server(self, generation, progress):
        server = self._servers_by_name.get(progress.resume_replica)
        if server is not None:
            return server
        for exclude in (progress.excluded_replicas, ()):
            try:
                name = self._chooser.choose(
                    generation.model,
                    generation.adapter,
                    generation.version,
                    exclude,
                    prefix=generation.prefix,
                    tokens=generation.max_tokens - len(progress.received_tokens),
                )
            except ServingError:
                if not exclude:
                    raise
                progress.excluded_replicas.clear()
            else:
                return self._servers_by_name[name]
        raise ServingError(ResultCode.NO_REPLICA, generation.model)

    async def _attempt(self, generation, server, progress):
        """Yields the replies of one attempt on one replica."""
        chooser, received_tokens = self._chooser, progress.received_tokens
        adapter, version = generation.adapter, generation.version
        tokens = generation.max_tokens - len(received_tokens)
        sent_at = anyio.current_time()
        finished = None
        chooser.on_sent(server.name, adapter, version, tokens, generation.prefix)
        try:
            stream_context = self._open_replies(
                server, self._forward_message(generation, server, progress)
            )
            async with stream_context as replies, contextlib.aclosing(replies):
                async for reply in replies:
                    reply_type = type(reply)
                    if reply_type is Tokens:
                        reply = trim_known_tokens(reply, len(received_tokens))
                        if reply is not None:
                            received_tokens.extend(reply.tokens)
                            yield reply
                    elif reply_type is Accepted:
                        chooser.on_hints(reply.hints, adapter, version)
                    elif reply_type is Finished:
                        if reply.finish_reason == CANCELLED_FINISH_REASON:
                            raise ServingError(
                                ResultCode.STREAM_BROKEN, "cancelled at the engine"
                            )
                        if reply.hints is not None:
                            chooser.on_hints(reply.hints, adapter, version)
                        finished = reply
                        yield reply
                        return
        finally:
            self._report_attempt(server, generation, tokens, sent_at, finished)

    def _report_attempt(self, server, generation, tokens, sent_at, finished):
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

    def _open_replies(self, server, forward):
        """Returns a context manager of the replies of the replica's owner.

        The owner is this daemon or a peer.
        """
        owner_name = self._ownership.owner_name(server, self._unreachable())
        if owner_name is None:
            raise ServingError(ResultCode.NO_REPLICA, f"{server.name} has no owner")
        if owner_name == self._membership.own_name:
            return self._ownership.replica_client(server.name).submit(forward)
        return stream_with_accept_timeout(
            self._transport.stream(owner_name, forward), owner_name
        )

    def _forward_message(self, generation, server, progress):
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
            next_index=len(progress.received_tokens),
            forced_tokens=tuple(progress.received_tokens),
        )

    # Failures

    def _unreachable(self):
        """Returns the members that failed to answer within SKIP_UNREACHABLE_S."""
        unreachable_until = self._unreachable_until_by_member
        if not unreachable_until:
            return ()
        now = anyio.current_time()
        for member in [
            member
            for member, skip_until in unreachable_until.items()
            if skip_until <= now
        ]:
            del unreachable_until[member]
        return tuple(unreachable_until)

    def _note_unreachable(self, error):
        self._ownership.mark_unreachable(error.member)
        skip_until = anyio.current_time() + SKIP_UNREACHABLE_S
        self._unreachable_until_by_member[error.member] = skip_until
        return ServingError(
            ResultCode.PEER_UNREACHABLE,
            str(error),
            outcome=Outcome.UNKNOWN if error.sent else Outcome.DID_NOT_RUN,
        )

    def _check_retryable(self, generation, progress, failure):
        """Raises the failure if the request must not be retried."""
        progress.attempts += 1
        if failure.outcome is not Outcome.DID_NOT_RUN:
            progress.may_have_run = True
        elif progress.may_have_run:
            # An earlier attempt may have run even if this one did not.
            failure.outcome = Outcome.UNKNOWN
        if not failure.code.retryable or progress.attempts >= MAX_ATTEMPTS:
            raise failure
        if anyio.current_time() >= generation.deadline:
            raise failure
        if failure.code in RETRY_BUDGET_CODES and self._shares is not None:
            try:
                with self._shares.admit(
                    generation.customer, generation.request_class, 0, is_retry=True
                ):
                    return
            except ServingError:
                raise failure from None

    def _prepare_next_attempt(self, generation, progress, server, failure):
        """Selects the same engine once to resume the stream, then other replicas."""
        broken = failure.outcome is not Outcome.DID_NOT_RUN
        wrong_answer = failure.code is ResultCode.ANSWER_MISMATCH
        if broken and not wrong_answer and progress.resume_replica is None:
            progress.resume_replica = server.name
        else:
            progress.resume_replica = None
            progress.excluded_replicas.append(server.name)
        if progress.received_tokens:
            self.resumed_streams += 1
            log_event(
                Event.STREAM_RESUMED,
                request_id=generation.request_id,
                next_index=len(progress.received_tokens),
                replica=server.name,
                reason=str(failure),
            )

    async def _back_off(self, progress):
        """Waits before the next attempt, except before the first retry."""
        if progress.attempts > 1:
            backoff_s = min(
                MAX_BACKOFF_S, FIRST_BACKOFF_S * 2 ** (progress.attempts - 2)
            )
            await anyio.sleep(backoff_s * self._generator.uniform(0.75, 1.25))


def trim_known_tokens(tokens, next_index):
    """Returns the Tokens from ``next_index`` on, or None if there are none.

    Raises ServingError if tokens between ``next_index`` and these are missing.
    """
    known_count = next_index - tokens.first_index
    if known_count == 0:
        return tokens
    if known_count < 0:
        raise ServingError(ResultCode.STREAM_BROKEN, "tokens are missing")
    if known_count >= len(tokens.tokens):
        return None
    return Tokens(next_index, tokens.tokens[known_count:])
