"""Loopback ports for stand-ins and the gateways in front of them."""

import contextlib
import random
import socket

PORT_RANGE = (12_000, 30_000)
# Without a fixed seed, so that concurrent runs do not choose the same ports.
_random = random.SystemRandom()


def free_port():
    """Returns a loopback port that is free for TCP and UDP.

    The port is below the system's ephemeral range, so that no outgoing connection takes
    it before the caller binds it.
    """
    while True:
        port = _random.randrange(*PORT_RANGE)
        with (
            socket.socket() as tcp,
            socket.socket(type=socket.SOCK_DGRAM) as udp,
            contextlib.suppress(OSError),
        ):
            tcp.bind(("127.0.0.1", port))
            udp.bind(("127.0.0.1", port))
            return port
