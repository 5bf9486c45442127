"""Handler of Forward messages: serves other daemons' requests at the own replicas."""

import contextlib

from snipetrestle.engines.forward import Forward


class ForwardHandler:
    """Serves Forward streams with the owners of this daemon."""

    def __init__(self, router, owned):
        self._owned = owned
        router.on_stream(Forward, self._serve)

    async def _serve(self, sender, message):
        owner = self._owned.owner(message.replica)
        async with (
            owner.submit(message) as replies,
            contextlib.aclosing(replies),
        ):
            async for reply in replies:
                yield reply
