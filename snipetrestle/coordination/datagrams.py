"""Sends and receives datagrams between hosts over UDP."""

import asyncio

import msgspec

from snipetrestle.coordination.messages import decode, encode
from snipetrestle.gateway.supervision import call_isolated


class DatagramEndpoint(asyncio.DatagramProtocol):
    """UDP socket that dispatches each received message to the handler of its type."""

    def __init__(self):
        self._transport = None
        self._handlers_by_type = {}

    def register(self, message_type, handler):
        """Registers ``handler(message, address)`` for messages of a type."""
        self._handlers_by_type[message_type] = handler

    async def open(self, ip, port):
        """Binds the socket. Raises OSError."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(ip, port))

    def close(self):
        if self._transport is not None:
            self._transport.close()

    def send(self, message, address):
        """Sends a message without waiting. Delivery is not guaranteed."""
        self.send_all(message, [address])

    def send_all(self, message, addresses):
        """Sends a message to each of the addresses; it is encoded once."""
        if self._transport is None or self._transport.is_closing() or not addresses:
            return
        content = encode(message)
        for address in addresses:
            self._transport.sendto(content, address)

    def connection_made(self, transport):
        self._transport = transport

    def datagram_received(self, data, addr):
        try:
            message = decode(data)
        except msgspec.DecodeError:
            # Data that another program sent to this port.
            return
        handler = self._handlers_by_type.get(type(message))
        if handler is not None:
            call_isolated(handler, message, addr)

    def error_received(self, exc):
        # Unreachable peers are detected by their missing heartbeats.
        pass
