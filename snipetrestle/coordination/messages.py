"""Messages that hosts send each other in datagrams, encoded in MessagePack."""

import msgspec

from snipetrestle.gateway.configuration import AdapterKey


class _Message(msgspec.Struct, array_like=True, frozen=True, tag=True):
    pass


class HostInfo(msgspec.Struct, array_like=True, frozen=True):
    """A host of the system.

    ``boot`` is the start time of its process in ms of Unix time, and ``size`` its
    processor capacity in cores.
    """

    name: str
    boot: int
    ip: str
    port: int
    failure_domain: str
    size: float


class ReplicaLoad(msgspec.Struct, array_like=True, frozen=True):
    """Requests in progress at a replica, and its time between two events of a stream.

    ``event_interval_us`` is in microseconds; 0 means that it is unknown. ``adapters``
    are those of the sender's own requests in progress; a leader's heartbeat has none.
    """

    in_flight: int
    event_interval_us: int
    adapters: tuple[AdapterKey, ...] = ()


class Heartbeat(_Message, tag="Beat"):
    """Periodic message of a host to the others.

    ``leader`` and ``term`` identify the leader that the sender follows and its fencing
    token; ``leader_age_s`` is the time since the sender heard from it (-1: never).
    ``loads_by_replica`` holds the load that the sender causes at the replicas; in a
    leader's heartbeat, the load that all hosts cause. ``newest_by_prefix`` holds the
    newest revision of the published state that the sender has, by key prefix.
    """

    sender: HostInfo
    leader: str
    term: int
    leader_age_s: float
    leaving: bool
    loads_by_replica: dict[str, ReplicaLoad]
    newest_by_prefix: dict[str, int]


class Join(_Message):
    """Request for the hosts that the receiver knows."""

    sender: HostInfo


class KnownHosts(_Message):
    """Answer to Join with some of the known hosts; further answers hold the others."""

    hosts: tuple[HostInfo, ...]


class Locate(_Message):
    """Request to the leader for the replicas that hold an adapter.

    The leader orders a load if there is none. ``number`` identifies the answer.
    ``uses`` counts the requests for the adapter since the last message. ``avoid``
    contains the ids of replicas that did not serve it.
    """

    sender: str
    number: int
    model: str
    adapter: str
    uses: int
    avoid: tuple[str, ...] = ()


class AdapterLocation(msgspec.Struct, array_like=True, frozen=True):
    """A replica that holds an adapter, or is expected to in ``ready_in_s`` seconds."""

    replica_id: str
    ready_in_s: float


class Located(_Message):
    """Answer to Locate. Without locations, ``retry_in_s`` tells when to ask again."""

    number: int
    locations: tuple[AdapterLocation, ...]
    retry_in_s: float = 0.0


Message = Heartbeat | Join | KnownHosts | Locate | Located
_decoder = msgspec.msgpack.Decoder(Message)
_encoder = msgspec.msgpack.Encoder()


def encode(message):
    return _encoder.encode(message)


def decode(data):
    """Returns the message. Raises msgspec.DecodeError."""
    return _decoder.decode(data)
