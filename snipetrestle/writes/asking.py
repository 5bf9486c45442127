"""Sends one message to several keepers in parallel and collects their replies."""

import anyio

from snipetrestle.codes import ServingError
from snipetrestle.peers.transport import PeerUnreachable

# Well above the network delay between regions; a slower keeper counts as silent.
CALL_TIMEOUT_S = 1.0


class Replies:
    """Replies and errors by keeper name."""

    __slots__ = ("by_name", "errors_by_name")

    def __init__(self):
        self.by_name = {}
        self.errors_by_name = {}


class KeeperClient:
    """Calls keepers through the transport, and this daemon's own keeper directly.

    The owner of the client sets ``tasks`` to its task group. Calls that are still in
    flight when ``call_all`` returns continue there, so that slow keepers also get the
    message.
    """

    def __init__(self, transport, router, own_name):
        self._transport = transport
        self._router = router
        self._own_name = own_name
        self.tasks = None

    async def call(self, name, message, timeout=CALL_TIMEOUT_S):
        """Returns the keeper's reply. Raises PeerUnreachable or ServingError.

        ``timeout`` is in seconds.
        """
        if name == self._own_name:
            return await self._router.call(name, message)
        return await self._transport.call(name, message, timeout)

    async def call_all(self, names, message, stop_when=None):
        """Calls all named keepers and returns the Replies that have arrived.

        Returns once ``stop_when(replies by name)`` is true, or once every call has
        ended.
        """
        replies = Replies()
        if not names:
            return replies
        finished = anyio.Event()
        pending_names = set(names)

        async def call_one(name):
            try:
                reply = await self.call(name, message)
            except (PeerUnreachable, ServingError) as error:
                if not finished.is_set():
                    replies.errors_by_name[name] = error
            else:
                if not finished.is_set():
                    replies.by_name[name] = reply
            pending_names.discard(name)
            if not pending_names or (
                stop_when is not None and stop_when(replies.by_name)
            ):
                finished.set()

        for name in names:
            self.tasks.start_soon(call_one, name)
        await finished.wait()
        return replies

    def send_all(self, names, message):
        """Sends a message to each keeper without waiting. Replies are ignored."""
        for name in names:
            self.tasks.start_soon(self._send_one, name, message)

    async def _send_one(self, name, message):
        try:
            await self.call(name, message)
        except (PeerUnreachable, ServingError):
            return
