"""PeerTransport that handles a daemon's calls to itself without the network."""


class LocalCallTransport:
    """Dispatches calls to ``own_name`` to the router and all others to ``transport``.

    The handler of a local call is cancelled together with its caller.
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
