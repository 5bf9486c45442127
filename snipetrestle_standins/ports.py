"""Loopback ports for stand-ins and the gateways in front of them."""

import collections
import contextlib
import random
import socket

PORT_RANGE = (12_000, 30_000)
# Without a fixed seed, so that concurrent runs do not choose the same ports.
_random = random.SystemRandom()
# Ports that were returned are bound only later, so the last ones are not returned again.
_returned_ports = collections.deque(maxlen=4000)


def free_port():
    """Returns a loopback port that is free for TCP and UDP.

    The port is below the system's ephemeral range, so that no outgoing connection takes
    it before the caller binds it. No port is returned twice in a row of many calls.
    """
    while True:
        port = _random.randrange(*PORT_RANGE)
        if port in _returned_ports:
            continue
        with (
            socket.socket() as tcp,
            socket.socket(type=socket.SOCK_DGRAM) as udp,
            contextlib.suppress(OSError),
        ):
            tcp.bind(("127.0.0.1", port))
            udp.bind(("127.0.0.1", port))
            _returned_ports.append(port)
            return port
