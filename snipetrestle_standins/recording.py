"""Records the messages between daemons, for golden files of whole sessions."""

import contextlib

import anyio
import msgspec

from snipetrestle.codes import ServingError
from snipetrestle.peers.configuration_changes import unpack
from snipetrestle.peers.configuration_spread import ConfigurationContent
from snipetrestle.peers.transport import PeerUnreachable


class SessionLog:
    """Recorded lines of a session, each with the time of the event loop in seconds."""

    def __init__(self):
        self.lines = []

    def record(self, sender, receiver, message):
        """Records a message as its type's name and its content in JSON."""
        text = msgspec.json.encode(_readable(message)).decode()
        kind = type(message).__name__
        self.write(f"{sender} -> {receiver} {kind} {text}")

    def write(self, text):
        self.lines.append(f"{anyio.current_time():9.4f} {text}")

    def text(self):
        return "\n".join([*self.lines, ""])


def _readable(message):
    """Returns a message, with the documents in it unpacked."""
    if not isinstance(message, ConfigurationContent):
        return message
    return [
        None if item is None else unpack(item.compressed, item.body)
        for item in (message.accepted, message.refused)
    ]


class RecordingTransport:
    """PeerTransport that records each message and reply in a SessionLog."""

    def __init__(self, transport, session):
        self._transport = transport
        self._session = session
        self._name = transport.member

    async def call(self, member, message, timeout):
        self._session.record(self._name, member, message)
        try:
            reply = await self._transport.call(member, message, timeout)
        except (PeerUnreachable, ServingError) as error:
            self._session.write(f"{member} -> {self._name} {error}")
            raise
        self._session.record(member, self._name, reply)
        return reply

    @contextlib.asynccontextmanager
    async def stream(self, member, message):
        self._session.record(self._name, member, message)
        async with self._transport.stream(member, message) as replies:
            yield self._record_replies(member, replies)

    async def _record_replies(self, member, replies):
        async for reply in replies:
            self._session.record(member, self._name, reply)
            yield reply
