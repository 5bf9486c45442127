"""Sends one message to several keepers and collects their replies."""

import anyio

from snipetrestle.codes import ServingError
from snipetrestle.peers.transport import PeerUnreachable

# Well above the delay between regions; a keeper that is slower counts as no answer.
CALL_TIMEOUT_S = 1.0


class Replies:
    """Replies and refusals by keeper name."""

    __slots__ = ("by_name", "errors_by_name")

    def __init__(self):
        self.by_name = {}
        self.errors_by_name = {}


class KeeperAsker:
    """Calls keepers through the transport, and this daemon's own keeper directly.

    ``tasks`` is the task group of the part that owns the asker. Calls that are still
    open when an answer is complete go on in it, so that slow keepers get each message.
    """

    def __init__(self, transport, router, own_name):
        self._transport = transport
        self._router = router
        self._own_name = own_name
        self.tasks = None

    async def call(self, name, message, timeout=CALL_TIMEOUT_S):
        """Returns the reply. Raises PeerUnreachable or ServingError."""
        if name == self._own_name:
            return await self._router.call(name, message)
        return await self._transport.call(name, message, timeout)

    async def ask(self, names, message, enough=None):
        """Returns once ``enough(replies by name)`` holds or every keeper answered."""
        replies = Replies()
        if not names:
            return replies
        finished = anyio.Event()
        open_names = set(names)

        async def ask_one(name):
            try:
                reply = await self.call(name, message)
            except (PeerUnreachable, ServingError) as error:
                if not finished.is_set():
                    replies.errors_by_name[name] = error
            else:
                if not finished.is_set():
                    replies.by_name[name] = reply
            open_names.discard(name)
            if not open_names or (enough is not None and enough(replies.by_name)):
                finished.set()

        for name in names:
            self.tasks.start_soon(ask_one, name)
        await finished.wait()
        return replies

    def tell(self, names, message):
        """Sends a message without waiting; replies are ignored."""
        for name in names:
            self.tasks.start_soon(self._tell_one, name, message)

    async def _tell_one(self, name, message):
        try:
            await self.call(name, message)
        except (PeerUnreachable, ServingError):
            return
