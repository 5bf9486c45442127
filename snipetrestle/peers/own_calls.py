"""PeerTransport that runs a daemon's calls to itself without the network."""


class OwnCallTransport:
    """Calls to ``own_name`` go to the router, all others to ``transport``.

    The handler of an own call is cancelled with its caller.
    """

    def __init__(self, transport, router, own_name):
        self._transport = transport
        self._router = router
        self._own_name = own_name

    async def call(self, member, message, timeout):
        """Returns the reply. Raises PeerUnreachable or ServingError."""
        if member == self._own_name:
            return await self._router.call(member, message)
        return await self._transport.call(member, message, timeout)

    def stream(self, member, message):
        return self._transport.stream(member, message)
