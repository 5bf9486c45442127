"""Loopback ports for stand-ins and the gateways in front of them."""

import collections
import contextlib
import random
import socket

PORT_RANGE = (12_000, 30_000)
# Processes of tests have addresses of their own. Those of other runs may use the port on
# any of them.
ADDRESSES = tuple(f"127.0.0.{number}" for number in range(1, 16))
# A returned port stays bound here, without listening, so that no other run chooses it
# before the caller of free_port has bound it. No process of a test has this address.
RESERVATION_ADDRESS = "127.0.0.16"
# As each reservation takes a descriptor, only those of the last ports are kept.
MAX_RESERVATIONS = 64
# Without a fixed seed, so that concurrent runs do not choose the same ports.
_random = random.SystemRandom()
# Ports that were returned are bound only later, so the last ones are not returned again.
_returned_ports = collections.deque(maxlen=4000)
_reservations = collections.deque()


def free_port():
    """Returns a port that is free for TCP and UDP on all ADDRESSES, and reserves it.

    The port is below the system's ephemeral range, so that no outgoing connection takes
    it before the caller binds it. No port is returned twice in a row of many calls.
    """
    while True:
        port = _random.randrange(*PORT_RANGE)
        if port in _returned_ports:
            continue
        if _reserve(port):
            _returned_ports.append(port)
            return port


def _reserve(port):
    """Reserves a port. Returns False if a process uses it, or has reserved it."""
    reservation = socket.socket()
    try:
        reservation.bind((RESERVATION_ADDRESS, port))
    except OSError:
        reservation.close()
        return False
    if not all(_is_free(address, port) for address in ADDRESSES):
        reservation.close()
        return False
    _reservations.append(reservation)
    if len(_reservations) > MAX_RESERVATIONS:
        _reservations.popleft().close()
    return True


def _is_free(address, port):
    with (
        socket.socket() as tcp,
        socket.socket(type=socket.SOCK_DGRAM) as udp,
        contextlib.suppress(OSError),
    ):
        tcp.bind((address, port))
        udp.bind((address, port))
        return True
    return False
