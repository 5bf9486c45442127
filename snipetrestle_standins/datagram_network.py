"""In-memory datagrams between hosts, with cuts."""

import anyio

from snipetrestle.coordination.messages import decode, encode

DELAY_S = 0.001


class DatagramNetwork:
    """Carries datagrams between endpoints; ``cuts`` has pairs of names."""

    def __init__(self):
        self.endpoints_by_address = {}
        self.cuts = set()
        self.group = None

    def connected(self, first, second):
        return frozenset((first, second)) not in self.cuts

    def isolate(self, name, others):
        self.cuts |= {frozenset((name, other)) for other in others if other != name}


class LocalEndpoint:
    """Stands in for DatagramEndpoint."""

    def __init__(self, network, name, address):
        self.name = name
        self.address = address
        self.up = True
        self._network = network
        self._handlers_by_type = {}
        network.endpoints_by_address[address] = self

    def register(self, message_type, handler):
        self._handlers_by_type[message_type] = handler

    def send(self, message, address):
        self._network.group.start_soon(self._deliver, encode(message), address)

    async def _deliver(self, content, address):
        await anyio.sleep(DELAY_S)
        target = self._network.endpoints_by_address.get(address)
        if target is None or not target.up or not self.up:
            return
        if self._network.connected(self.name, target.name):
            message = decode(content)
            handler = target._handlers_by_type.get(type(message))
            if handler is not None:
                handler(message, self.address)
