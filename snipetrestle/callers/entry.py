"""Entry role: picks a replica for a request and carries its stream."""

import contextlib

import anyio
import msgspec

from snipetrestle.codes import ResultCode, ServingError
from snipetrestle.engines.forward import (
    Accepted,
    Finished,
    Forward,
    RequestClass,
    Tokens,
)
from snipetrestle.events import Event, log_event
from snipetrestle.peers.transport import PeerUnreachable

# Attempts of one request, the first included. The retry budget bounds them further.
MAX_ATTEMPTS = 6


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


class EntryRouter:
    """Sends generations to the owners of replicas.

    ``owned`` tells the owners and holds those of this daemon.
    """

    def __init__(self, membership, transport, owned):
        self._membership = membership
        self._transport = transport
        self._owned = owned
        self._configuration = None
        self._outstanding_by_replica = {}

    def apply(self, configuration):
        """Takes over a published configuration."""
        self._configuration = configuration

    async def generate(self, generation):
        """Yields Tokens without gap or repeat, then Finished. Raises ServingError."""
        received = []
        failure = None
        tried = []
        for attempt in range(1, MAX_ATTEMPTS + 1):
            server = self._choose(generation, tried)
            if server is None:
                break
            forward = self._forward(generation, server, attempt, received)
            try:
                async with contextlib.aclosing(
                    self._attempt(server, forward)
                ) as replies:
                    async for reply in replies:
                        if isinstance(reply, Tokens):
                            reply = _without_repeat(reply, len(received))
                            if reply is None:
                                continue
                            received.extend(reply.tokens)
                        yield reply
                        if isinstance(reply, Finished):
                            return
                failure = ServingError(ResultCode.STREAM_BROKEN)
            except ServingError as error:
                if not error.code.retryable:
                    raise
                failure = error
            except PeerUnreachable as error:
                self._membership.report_unreachable(error.member)
                failure = ServingError(ResultCode.STREAM_BROKEN, str(error))
            tried.append(server.name)
            if received:
                log_event(
                    Event.STREAM_RESUMED,
                    request_id=generation.request_id,
                    next_index=len(received),
                    reason=str(failure),
                )
        raise failure or ServingError(ResultCode.NO_REPLICA, generation.model)

    def _choose(self, generation, tried):
        servers = self._configuration.replicas_by_model.get(generation.model, ())
        usable = [item for item in servers if self._owned.owner_name(item)]
        fresh = [item for item in usable if item.name not in tried] or usable
        return min(
            fresh,
            key=lambda item: (
                (self._outstanding_by_replica.get(item.name, 0) + 1) / item.speed,
                item.name,
            ),
            default=None,
        )

    def _forward(self, generation, server, attempt, received):
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
            attempt=attempt,
            next_index=len(received),
            forced_tokens=tuple(received),
        )

    async def _attempt(self, server, forward):
        """Yields the replies of one attempt at one replica."""
        owner_name = self._owned.owner_name(server)
        outstanding = self._outstanding_by_replica
        outstanding[server.name] = outstanding.get(server.name, 0) + 1
        try:
            if owner_name == self._membership.own_name:
                opened = self._owned.owner(server.name).submit(forward)
            else:
                opened = self._transport.stream(owner_name, forward)
            async with opened as replies, contextlib.aclosing(replies):
                async for reply in replies:
                    if not isinstance(reply, Accepted):
                        yield reply
        finally:
            outstanding[server.name] -= 1


def _without_repeat(tokens, next_index):
    """Returns the part of ``tokens`` from ``next_index`` on, or None if it has none."""
    if tokens.first_index > next_index:
        raise ServingError(ResultCode.STREAM_BROKEN, "tokens are missing")
    skip = next_index - tokens.first_index
    if skip == 0:
        return tokens
    if skip >= len(tokens.tokens):
        return None
    return Tokens(next_index, tokens.tokens[skip:])
