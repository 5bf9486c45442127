"""In-memory datagram network between hosts, whose links can be cut."""

import collections
import random

import anyio

from snipetrestle.coordination.messaging.datagrams import MAX_DATAGRAM_BYTES
from snipetrestle.coordination.messaging.messages import (
    MAX_BYTES_BY_TYPE,
    decode,
    encode,
)

DELIVERY_DELAY_S = 0.001


class DatagramNetwork:
    """Delivers datagrams between the endpoints of one process.

    ``cuts`` has a frozenset of two names for each pair of hosts whose datagrams are
    lost, and those that UDP cannot carry are dropped. A message that is longer than its
    type allows is an error. ``datagrams_by_sender`` counts what each host has sent,
    ``datagrams_by_type`` and ``bytes_by_type`` what all have, and ``datagrams_by_host``
    and ``bytes_by_host`` what each has sent and received, without headers.
    ``loss_rate`` is the part of the datagrams that are lost at random, drawn from
    ``rng``. ``task_group`` is the task group that delivers; its owner sets it.
    """

    def __init__(self):
        self.endpoints_by_address = {}
        self.cuts = set()
        self.datagrams_by_sender = collections.Counter()
        self.bytes_by_type = collections.Counter()
        self.datagrams_by_type = collections.Counter()
        self.datagrams_by_host = collections.Counter()
        self.bytes_by_host = collections.Counter()
        self.loss_rate = 0.0
        self.rng = random.Random(0)
        self.task_group = None

    def connected(self, first, second):
        return frozenset((first, second)) not in self.cuts

    def isolate(self, name, others):
        """Cuts a host off from all others."""
        self.cuts |= {frozenset((name, other)) for other in others if other != name}


class LocalEndpoint:
    """DatagramEndpoint on a DatagramNetwork. While not ``up``, datagrams are lost.

    A host that is ``frozen`` until an event gets its datagrams after it.
    """

    def __init__(self, network, name, address):
        self.name = name
        self.address = address
        self.up = True
        self.frozen = None
        self._network = network
        self._handlers_by_type = {}
        network.endpoints_by_address[address] = self

    def register(self, message_type, handler):
        self._handlers_by_type[message_type] = handler

    def send(self, message, address):
        self.send_all(message, [address])

    def send_all(self, message, addresses):
        content = encode(message)
        if len(content) > MAX_DATAGRAM_BYTES:
            return
        if len(content) > MAX_BYTES_BY_TYPE[type(message)]:
            raise ValueError(f"{type(message).__name__} has {len(content)} bytes")
        for address in addresses:
            self._network.datagrams_by_sender[self.name] += 1
            self._network.datagrams_by_type[type(message)] += 1
            self._network.bytes_by_type[type(message)] += len(content)
            self._count(self.name, content)
            self._network.task_group.start_soon(self._deliver, content, address)

    def _count(self, name, content):
        self._network.datagrams_by_host[name] += 1
        self._network.bytes_by_host[name] += len(content)

    async def _deliver(self, content, address):
        network = self._network
        if network.loss_rate and network.rng.random() < network.loss_rate:
            return
        await anyio.sleep(DELIVERY_DELAY_S)
        target = self._network.endpoints_by_address.get(address)
        if target is not None and target.frozen is not None:
            await target.frozen.wait()
        if target is None or not target.up or not self.up:
            return
        if self._network.connected(self.name, target.name):
            target._count(target.name, content)
            message = decode(content)
            handler = target._handlers_by_type.get(type(message))
            if handler is not None:
                handler(message, self.address)
