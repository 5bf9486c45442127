"""Looks at the sockets of asyncio's transports, past what the event loop has read."""

import fcntl
import select
import struct
import termios

_INT = struct.Struct("i")


def count_unread_bytes(transport):
    """Returns the number of bytes that wait in the socket of a transport."""
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return 0
    try:
        waiting = fcntl.ioctl(sock.fileno(), termios.FIONREAD, bytes(_INT.size))
    except OSError:
        return 0
    return _INT.unpack(waiting)[0]


def has_unread_input(transport):
    """Whether bytes, the peer's end or an error wait in the socket of a transport."""
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))
