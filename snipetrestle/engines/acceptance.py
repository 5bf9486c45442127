"""Bounds the time until the owner of a replica accepts a request."""

import contextlib

import anyio

from snipetrestle.peers.transport import PeerUnreachable

# An owner accepts at once; a successor takes up to about 1 s to find the old owner
# silent and to take the replica over. Both together stay within the 3 s target.
ACCEPT_TIMEOUT_S = 1.2


@contextlib.asynccontextmanager
async def accepted_in_time(opened, member, timeout=ACCEPT_TIMEOUT_S):
    """Opens a Forward stream whose first reply must come in time.

    Raises PeerUnreachable from the iterator otherwise.
    """
    async with opened as replies:
        yield _read(replies, member, timeout)


async def _read(replies, member, timeout):
    async with contextlib.aclosing(replies):
        first = None
        with anyio.move_on_after(timeout):
            first = await anext(replies, None)
        if first is None:
            raise PeerUnreachable(member, True, f"not accepted within {timeout} s")
        yield first
        async for reply in replies:
            yield reply
