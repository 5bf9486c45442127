"""Closes connections so that what their peers have not received yet is not lost.

If bytes come on a connection that is closed, the kernel answers with a reset and drops
what it has not sent.
"""

import asyncio
import contextlib

from snipetrestle.sockets import count_unsent_bytes

# How long a connection waits for its peer's end once all has been sent.
LINGER_S = 0.5
# The kernel counts the end of a connection as a byte until the peer has received it.
_END_BYTES = 1
# A peer that receives nothing for this long is disconnected.
MAX_UNSENT_PAUSE_S = 10.0


def write_end(transport):
    """Tells the peer at once that nothing more comes, if the transport can.

    A transport that is closed tells it in a later turn of the event loop.
    """
    if transport.can_write_eof():
        # The peer may have reset the connection before.
        with contextlib.suppress(OSError):
            transport.write_eof()


def has_unsent_bytes(transport):
    """Whether the peer of a transport has not received all that was sent to it.

    The end that ``write_end`` sends does not count.
    """
    return count_unsent_bytes(transport) > _END_BYTES


async def linger(transport, wait=asyncio.sleep):
    """Waits for the end of the peer of a transport after ``write_end``.

    Returns once the peer has ended the connection as well, or has received everything
    and LINGER_S have passed. What comes meanwhile must be read and discarded.
    ``wait(seconds)`` may return earlier.
    """
    loop = asyncio.get_running_loop()
    unsent_bytes = None
    progress_at = loop.time()
    while not transport.is_closing():
        await wait(LINGER_S)
        remaining_bytes = count_unsent_bytes(transport)
        if remaining_bytes <= _END_BYTES:
            return
        if remaining_bytes != unsent_bytes:
            unsent_bytes = remaining_bytes
            progress_at = loop.time()
        elif loop.time() - progress_at >= MAX_UNSENT_PAUSE_S:
            return


class LingeringTransport:
    """A transport whose ``close`` lingers. All else is that of ``transport``.

    It counts as closing at once. If nothing is unsent, or if the transport cannot be
    ended on one side, as with TLS, it is closed at once.
    """

    def __init__(self, transport):
        self._transport = transport
        self._task = None

    def __getattr__(self, name):
        return getattr(self._transport, name)

    def is_closing(self):
        return self._task is not None or self._transport.is_closing()

    def close(self):
        """Ends the connection, and closes it once its peer has ended it as well."""
        if self.is_closing():
            return
        lingers = self._transport.can_write_eof() and has_unsent_bytes(self._transport)
        write_end(self._transport)
        if not lingers:
            self._transport.close()
            return
        self._transport.resume_reading()
        self._task = asyncio.get_running_loop().create_task(self._close_later())

    async def _close_later(self):
        await linger(self._transport)
        self._transport.close()
