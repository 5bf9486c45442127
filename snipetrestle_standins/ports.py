"""Ports for stand-ins and the processes before them."""

import contextlib
import random
import socket

FIXED_PORTS = (12_000, 30_000)
# Runs side by side must not choose the same ports, so this generator has no fixed seed.
_ports = random.SystemRandom()


def free_port():
    """Returns a port that is free for TCP and UDP.

    It is below the ports that the system gives to outgoing connections, one of which
    could take it before it is bound.
    """
    while True:
        port = _ports.randrange(*FIXED_PORTS)
        with (
            socket.socket() as tcp,
            socket.socket(type=socket.SOCK_DGRAM) as udp,
            contextlib.suppress(OSError),
        ):
            tcp.bind(("127.0.0.1", port))
            udp.bind(("127.0.0.1", port))
            return port
