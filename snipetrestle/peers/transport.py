"""Interface of the transport between daemons, and dispatch of messages to handlers."""

import typing

import msgspec


class PeerUnreachable(Exception):
    """A peer did not answer. ``sent`` is false only if the message was never sent."""

    def __init__(self, member, sent, detail=""):
        self.member = member
        self.sent = sent
        super().__init__(f"member {member} is unreachable: {detail}")


class PeerTransport(typing.Protocol):
    """Sends messages to members by name."""

    async def call(
        self, member: str, message: msgspec.Struct, timeout: float
    ) -> msgspec.Struct:
        """Returns the reply. Raises PeerUnreachable or ServingError."""

    def stream(
        self, member: str, message: msgspec.Struct
    ) -> typing.AsyncContextManager[typing.AsyncIterator[msgspec.Struct]]:
        """Opens a stream of replies. Leaving the context cancels it at the peer."""


class MessageRouter:
    """Maps message types to handlers.

    A call handler is ``async handler(sender, message) -> reply``; a stream handler is
    an async generator function ``handler(sender, message)``.
    """

    __slots__ = ("_calls_by_type", "_streams_by_type")

    def __init__(self):
        self._calls_by_type = {}
        self._streams_by_type = {}

    def on_call(self, message_type, handler):
        """Registers the call handler of a message type, replacing an earlier one."""
        self._calls_by_type[message_type] = handler

    def on_stream(self, message_type, handler):
        """Registers the stream handler of a message type, replacing an earlier one."""
        self._streams_by_type[message_type] = handler

    def has_handler(self, message_type):
        return (
            message_type in self._calls_by_type or message_type in self._streams_by_type
        )

    async def call(self, sender, message):
        """Returns the reply of the message type's call handler."""
        return await self._calls_by_type[type(message)](sender, message)

    def stream(self, sender, message):
        """Returns the async generator of the message type's stream handler."""
        return self._streams_by_type[type(message)](sender, message)
