"""Looks at the sockets of asyncio's transports, past what the event loop has read."""

import fcntl
import select
import struct
import termios

_INT = struct.Struct("i")


def count_unread_bytes(transport):
    """Returns the number of bytes that wait in the socket of a transport."""
    return _query(transport, termios.FIONREAD)


def count_unsent_bytes(transport):
    """Returns the number of bytes that the peer of a transport has not received."""
    return transport.get_write_buffer_size() + _query(transport, termios.TIOCOUTQ)


def _query(transport, operation):
    """Returns what ioctl tells of the socket of a transport, 0 if it is closed."""
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return 0
    try:
        return _INT.unpack(fcntl.ioctl(sock.fileno(), operation, bytes(_INT.size)))[0]
    except OSError:
        return 0


def has_unread_input(transport):
    """Whether bytes, the peer's end or an error wait in the socket of a transport."""
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))
