"""Time limit for the owner of a replica to accept a forwarded request."""

import contextlib

import anyio

from snipetrestle.peers.transport import PeerUnreachable

# A running owner accepts at once. A successor needs up to about 1 s to find that the
# old owner does not answer and to take over. Both attempts together stay within the
# 3 s takeover target.
ACCEPT_TIMEOUT_S = 1.2


@contextlib.asynccontextmanager
async def stream_with_accept_timeout(stream, member, timeout=ACCEPT_TIMEOUT_S):
    """Opens a Forward stream to ``member`` and yields an iterator of its replies.

    The iterator raises PeerUnreachable if the first reply takes longer than
    ``timeout`` seconds.
    """
    async with stream as replies:
        yield _read_replies(replies, member, timeout)


async def _read_replies(replies, member, timeout):
    async with contextlib.aclosing(replies):
        first = None
        with anyio.move_on_after(timeout):
            first = await anext(replies, None)
        if first is None:
            raise PeerUnreachable(member, True, f"not accepted within {timeout} s")
        yield first
        async for reply in replies:
            yield reply
