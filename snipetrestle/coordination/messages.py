"""Datagrams between hosts, in MessagePack."""

import msgspec

from snipetrestle.gateway.configuration import AdapterKey


class _Message(msgspec.Struct, array_like=True, frozen=True, tag=True):
    pass


class HostInfo(msgspec.Struct, array_like=True, frozen=True):
    """A host of the system. ``boot`` is the start of its process, in ms of Unix time.

    ``size`` is its processor capacity in cores.
    """

    name: str
    boot: int
    ip: str
    port: int
    failure_domain: str
    size: float


class ReplicaLoad(msgspec.Struct, array_like=True, frozen=True):
    """Requests in progress at a replica, and its time between two events of a stream.

    ``pace_us`` is in microseconds; 0 means that it is unknown. ``adapters`` are those
    of the sender's own requests in progress; a leader's beat has none.
    """

    in_flight: int
    pace_us: int
    adapters: tuple[AdapterKey, ...] = ()


class Beat(_Message):
    """Heartbeat of a host.

    ``leader`` and ``term`` name the leader that the sender follows, and
    ``leader_age_s`` how long ago it heard from it (-1: never). ``loads_by_replica`` says
    what it sees of the replicas; in a leader's beat, what all hosts see.
    """

    sender: HostInfo
    leader: str
    term: int
    leader_age_s: float
    leaving: bool
    loads_by_replica: dict[str, ReplicaLoad]
    newest_by_prefix: dict[str, int]


class Join(_Message):
    """Asks a host for the hosts that it knows."""

    sender: HostInfo


class KnownHosts(_Message):
    """Answer to Join: a part of the known hosts."""

    hosts: tuple[HostInfo, ...]


class Locate(_Message):
    """Asks the leader where an adapter is, or is to be loaded.

    ``uses`` counts the requests for it since the last message. ``avoid`` names replicas
    that did not serve it.
    """

    sender: str
    number: int
    model: str
    adapter: str
    uses: int
    avoid: tuple[str, ...] = ()


class Place(msgspec.Struct, array_like=True, frozen=True):
    """A replica that holds an adapter, or holds it after ``ready_in_s``."""

    replica_id: str
    ready_in_s: float


class Located(_Message):
    """Answer to Locate. Without places, ``retry_in_s`` tells when to ask again."""

    number: int
    places: tuple[Place, ...]
    retry_in_s: float = 0.0


Message = Beat | Join | KnownHosts | Locate | Located
_decoder = msgspec.msgpack.Decoder(Message)
_encoder = msgspec.msgpack.Encoder()


def encode(message):
    return _encoder.encode(message)


def decode(data):
    """Returns the message. Raises msgspec.DecodeError."""
    return _decoder.decode(data)
