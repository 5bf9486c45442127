"""Messages that hosts send each other in datagrams, encoded in MessagePack.

The bounds of the fields are far above what any host sends. A damaged message that
passed them could spread a fencing token that no later leader can exceed.
"""

import types
import typing

import msgspec
import xxhash

from snipetrestle import decoding
from snipetrestle.compression import compress, decompress
from snipetrestle.dispatch.groups import MAX_GROUP_SIZE
from snipetrestle.gateway.configuration import MAX_NAME_LENGTH, AdapterKey, Name
from snipetrestle.gateway.publication.published_items import (
    PublishedItem,
    Revision,
    StorePosition,
)
from snipetrestle.gateway.quarantine.request_fingerprint import (
    MAX_PART_KEY_LENGTH,
    MAX_PROMPT_PARTS,
)
from snipetrestle.gateway.streams.stream_origin import STREAM_KEY_BYTES, StreamOrigin

MAX_TOKEN = 2**62
MAX_AGE_S = 1e9
MAX_RATE_PER_S = 1e9
MAX_COUNT = 2**31
MAX_UNITS = 1e15

# Bounds of the lists in heartbeats and in answers to Join.
MAX_CANDIDATES = 4
MAX_READERS = 32
MAX_UNREACHED = 512
MAX_PREFIXES = 4
MAX_LISTED_HOSTS = 12
# Larger changes are read by each host: a long datagram is lost with any of its parts.
MAX_CHANGES_BYTES = 8192
MAX_REQUEST_KEY_LENGTH = 32
# Bounds of the lists in DispatchDone.
MAX_DISPATCH_ENDS = 32
MAX_OPEN_NUMBERS = 64

# The id of a replica and its start time.
ProcessId = typing.Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH + 20)]
# The key of a prompt part, as prompt_part_key returns it, and the fingerprint of a
# request, as request_fingerprint does.
PartKey = typing.Annotated[str, msgspec.Meta(max_length=MAX_PART_KEY_LENGTH)]
RequestKey = typing.Annotated[str, msgspec.Meta(max_length=MAX_REQUEST_KEY_LENGTH)]
# A datagram to an address with a zero byte would close the socket.
HOST_PATTERN = r"\A[0-9A-Za-z.:_-]{0,200}\Z"
Host = typing.Annotated[str, msgspec.Meta(pattern=HOST_PATTERN)]
Token = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_TOKEN)]
# The start time of a process in ms of Unix time, which names it.
Boot = typing.Annotated[int, msgspec.Meta(ge=-MAX_TOKEN, le=MAX_TOKEN)]
Count = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
# -1 stands for "never".
AgeS = typing.Annotated[float, msgspec.Meta(ge=-1, le=MAX_AGE_S)]
AgeMs = typing.Annotated[int, msgspec.Meta(ge=-1, le=MAX_COUNT)]
RatePerS = typing.Annotated[float, msgspec.Meta(gt=0, le=MAX_RATE_PER_S)]
# Units of a quota, and how long a request waits for them.
Units = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_UNITS)]
DurationS = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_AGE_S)]
# A key as stream_key returns it.
StreamKey = typing.Annotated[
    bytes, msgspec.Meta(min_length=STREAM_KEY_BYTES, max_length=STREAM_KEY_BYTES)
]
RevisionByPrefix = typing.Annotated[
    dict[Name, Revision], msgspec.Meta(max_length=MAX_PREFIXES)
]


class _Message(msgspec.Struct, array_like=True, frozen=True, tag=True):
    pass


class HostInfo(msgspec.Struct, array_like=True, frozen=True):
    """A host of the system.

    ``boot`` is the start time of its process in ms of Unix time, and ``size`` its
    processor capacity in cores.
    """

    name: Name
    boot: Boot
    ip: Host
    port: typing.Annotated[int, msgspec.Meta(ge=0, le=65_535)]
    failure_domain: Name
    size: typing.Annotated[float, msgspec.Meta(ge=0, le=1e6)]


class ReplicaLoad(msgspec.Struct, array_like=True, frozen=True):
    """Requests in progress at a replica, and its time between two events of a stream.

    ``event_interval_us`` is in microseconds; 0 means that it is unknown. ``adapters``
    are those of the sender's own requests in progress; a leader's sums have none.
    """

    in_flight: Count
    event_interval_us: Count
    adapters: tuple[AdapterKey, ...] = ()


class ReplicaLoadPart(msgspec.Struct, array_like=True, frozen=True):
    """A part of the load at a replica; parts from 1 on contain only adapters.

    Messages contain it in this form only if ``part`` is not 0.
    """

    replica_id: Name
    part: Count
    load: ReplicaLoad


class RequestLimitReport(msgspec.Struct, array_like=True, frozen=True):
    """The requests a second that a replica took from all hosts, ``age_s`` ago.

    ``per_s`` is None if it named no limit.
    """

    replica_id: Name
    per_s: RatePerS | None
    age_s: DurationS


class LostPromptReport(msgspec.Struct, array_like=True, frozen=True):
    """A prompt that a replica closed before its first event, ``age_s`` ago.

    ``crash`` identifies the replica's process, ``parts`` are the shared ones. If it is
    ``confirmed``, the sender refuses such prompts, and other hosts had time to object.
    """

    crash: ProcessId
    parts: typing.Annotated[
        tuple[PartKey, ...], msgspec.Meta(max_length=MAX_PROMPT_PARTS)
    ]
    age_s: DurationS
    confirmed: bool = False


class CrashReport(msgspec.Struct, array_like=True, frozen=True):
    """Requests that a replica closed before its answer began, ``age_s`` ago.

    ``crash`` identifies the replica's process, ``requests`` are fingerprints.
    """

    crash: ProcessId
    age_s: DurationS
    requests: tuple[RequestKey, ...]


class StoreAccess(msgspec.Struct, array_like=True, frozen=True):
    """What the sender got from the platform's store, as ages at the sending.

    The store answered it from ``since_age_ms`` ago until ``until_age_ms`` ago. It had
    lost the store before, from ``lost_age_ms`` ago on; -1 if it had not, or long ago.
    """

    since_age_ms: AgeMs = -1
    until_age_ms: AgeMs = -1
    lost_age_ms: AgeMs = -1


class Heartbeat(_Message, tag="Beat"):
    """Periodic message of a host to the others.

    ``leader`` and ``term`` identify the leader that the sender follows and its fencing
    token; ``leader_age_s`` is the time since the sender heard from it (-1: never).
    ``newest_by_prefix`` holds the newest revision of the published state that the
    sender has, by key prefix, and ``epoch_by_prefix`` the epoch of the store that it
    belongs to. ``document_version_sum`` is the sum of the versions of the operator's
    documents.
    ``reads_store`` tells that the sender's last request to the store was answered, and
    ``store_access`` what it got from it before.

    Only a leader sends the rest: ``members_digest`` of all hosts that it knows, the
    names of the likely next leaders, and of the hosts that read the store for the
    receiver's failure domain. ``reached`` is the number of hosts that it hears, with
    itself, and ``unreached`` the ``name_digest`` of each other host that it knows.
    """

    sender: HostInfo
    leader: Name
    term: Token
    leader_age_s: AgeS
    leaving: bool
    newest_by_prefix: RevisionByPrefix
    reads_store: bool = False
    members_digest: Revision = 0
    candidates: typing.Annotated[
        tuple[Name, ...], msgspec.Meta(max_length=MAX_CANDIDATES)
    ] = ()
    readers: typing.Annotated[
        tuple[Name, ...], msgspec.Meta(max_length=MAX_READERS)
    ] = ()
    epoch_by_prefix: RevisionByPrefix = {}
    document_version_sum: Revision = 0
    reached: Count = 0
    unreached: typing.Annotated[
        tuple[Count, ...], msgspec.Meta(max_length=MAX_UNREACHED)
    ] = ()
    store_access: StoreAccess = StoreAccess()

    def newest_position(self, prefix):
        """Returns the StorePosition of the newest item that the sender has."""
        return StorePosition(
            self.epoch_by_prefix.get(prefix, 0), self.newest_by_prefix.get(prefix, 0)
        )

    @property
    def is_announcement(self):
        """Whether this is a leader's periodic heartbeat, not one that answers a join.

        Only periodic heartbeats contain what a leader announces.
        """
        return self.members_digest != 0


def name_digest(name):
    """Returns a digest of a host's name, for lists of hosts that must be short."""
    return xxhash.xxh32_intdigest(name.encode()) % MAX_COUNT


class ReplicaLoads(_Message, tag="Loads"):
    """Loads at the replicas, sent after a heartbeat; long reports take several rounds.

    They are those that the sender causes, or if ``is_total``, that all hosts cause, as
    far as the sender, a leader, knows. ``number`` and ``complete_since`` are those of
    ReportRounds; numbers start anew with each ``boot`` of the sender.
    """

    sender: Name
    boot: Boot
    is_total: bool
    number: Revision
    complete_since: Revision
    loads_by_replica: dict[Name, ReplicaLoad]
    further_parts: tuple[ReplicaLoadPart, ...] = ()

    @classmethod
    def of_parts(cls, sender, boot, is_total, number, complete_since, parts):
        """Returns the message with some ReplicaLoadParts."""
        return cls(
            sender,
            boot,
            is_total,
            number,
            complete_since,
            {item.replica_id: item.load for item in parts if not item.part},
            tuple(item for item in parts if item.part),
        )

    @property
    def parts(self):
        """The ReplicaLoadParts that the message contains."""
        first = [ReplicaLoadPart(key, 0, v) for key, v in self.loads_by_replica.items()]
        return (*first, *self.further_parts)


class RequestLimitReports(_Message):
    """Limits that replicas named to any host; many of them take several rounds."""

    reports: tuple[RequestLimitReport, ...]


class LostPrompts(_Message):
    """Prompts that may have crashed replicas, on any host.

    ``served_ages_s`` tells for their parts how long ago a prompt with it was served.
    """

    prompts: tuple[LostPromptReport, ...]
    served_ages_s: dict[PartKey, DurationS] = {}


class LostRequests(_Message):
    """Requests that may have crashed replicas, on any host.

    ``served_ages_s`` tells how long ago answers to some of them last began.
    """

    sender: Name
    crashes: tuple[CrashReport, ...]
    served_ages_s: dict[RequestKey, DurationS] = {}


class Join(_Message):
    """Request for the hosts that the receiver knows."""

    sender: HostInfo


class LostHostReport(msgspec.Struct, array_like=True, frozen=True):
    """A host that the sender removed ``age_s`` ago, as it had fallen silent."""

    info: HostInfo
    age_s: DurationS


class KnownHosts(_Message):
    """Answer to Join with some of the known hosts; further answers hold the others.

    Lost hosts may be behind a cut, so the receiver counts them in elections.
    """

    hosts: typing.Annotated[
        tuple[HostInfo, ...], msgspec.Meta(max_length=MAX_LISTED_HOSTS)
    ]
    lost: typing.Annotated[
        tuple[LostHostReport, ...], msgspec.Meta(max_length=MAX_LISTED_HOSTS)
    ] = ()


class Changes(_Message):
    """Changes of the published state, passed on by a host that reads the store.

    They are those after ``base_revision`` and up to ``revision`` in an epoch of the
    store. ``content`` contains the items, as ``pack_items`` returns them.
    """

    prefix: Name
    base_revision: Revision
    revision: Revision
    store_access: StoreAccess
    content: typing.Annotated[bytes, msgspec.Meta(max_length=MAX_CHANGES_BYTES)]
    epoch: Revision = 0

    @property
    def base(self):
        return StorePosition(self.epoch, self.base_revision)


class Locate(_Message):
    """Request to the leader for the replicas that hold an adapter.

    The leader orders a load if there is none. ``number`` identifies the answer.
    ``uses`` counts the requests for the adapter since the last message. ``avoid``
    contains the ids of replicas that did not serve it, ``limited`` those of replicas
    to which the sender may not send now. Only replicas of ``software_version`` are of
    use to the sender, or any if it is empty.
    """

    sender: Name
    number: Revision
    model: Name
    adapter: Name
    uses: Count
    avoid: tuple[Name, ...] = ()
    limited: tuple[Name, ...] = ()
    software_version: Name = ""


class AdapterLocation(msgspec.Struct, array_like=True, frozen=True):
    """A replica that holds an adapter, or is expected to in ``ready_in_s`` seconds.

    ``load`` is what all hosts cause there; None if ReplicaLoads tell it.
    """

    replica_id: Name
    ready_in_s: DurationS
    load: ReplicaLoad | None = None


class Located(_Message):
    """Answer to Locate. Without locations, ``retry_in_s`` tells when to ask again."""

    number: Revision
    locations: tuple[AdapterLocation, ...]
    retry_in_s: DurationS = 0.0


class PermitRequest(_Message):
    """Request to the leader for a permit to send to one of some limited replicas.

    ``limits_by_replica`` contains the limits that they name, ``max_wait_s`` is how long
    the request can wait, and an optional one could go to another replica. ``number``
    identifies the answer.
    """

    sender: Name
    number: Revision
    limits_by_replica: dict[Name, RatePerS]
    max_wait_s: DurationS
    is_optional: bool


class PermitReply(_Message):
    """Answer to PermitRequest: the replica, and when the request may be sent to it.

    Without a replica, ``wait_s`` is the time until one may be sent to.
    """

    number: Revision
    replica_id: Name | None
    wait_s: DurationS


class QuotaRequest(_Message):
    """Request to the owner of a tenant's quota for up to ``amount`` units.

    At least ``minimum`` units are of use, and the sender can wait ``max_wait_s`` for
    them. ``returned`` units that the owner had issued were not used. ``boot`` is that of
    the sender, whose address identifies it: two long names would not fit. A retry has
    the ``number`` of its request, and numbers increase.

    With a ``minimum`` of 0, the receiver hands over up to ``amount`` units of its level
    to the sender as the new owner. If ``amount`` is 0 too, the message only returns
    units, or asks whether the receiver answers.
    """

    boot: Boot
    number: Revision
    tenant: Name
    amount: Units
    minimum: Units
    returned: Units
    max_wait_s: DurationS


class QuotaReply(_Message):
    """Answer to QuotaRequest: the units that may be used after ``wait_s``.

    With 0 granted units, ``wait_s`` is the time until the minimum is available. If that
    is 0 as well, the sender of the reply is not the owner, and the owner is to be asked
    again.
    """

    number: Revision
    granted: Units
    wait_s: DurationS


class DispatchRequest(_Message, tag="DReq"):
    """Request to the owner of a group of replicas for a permit to send to one of them.

    ``number`` identifies the answer, and the request if it is repeated. Times are in
    ms: ``max_wait_ms`` is how long the request can wait for the permit, ``time_left_ms``
    how long until its deadline. ``avoid`` contains the ids of replicas that it is not
    to be sent to.
    """

    sender: Name
    number: Count
    backend: Name
    group: Count
    priority: Count
    max_wait_ms: Count
    time_left_ms: Count
    avoid: typing.Annotated[
        tuple[Name, ...], msgspec.Meta(max_length=MAX_GROUP_SIZE)
    ] = ()


class DispatchReply(_Message, tag="DRep"):
    """Answer to DispatchRequest: the replica to send to now.

    Without a replica, the request is queued or refused, and has a place in about
    ``wait_ms``; if it is refused with 0, the sender knows nothing of its replicas.
    ``free`` is the number of further requests that the group could run, ``use_percent``
    the part of its capacity that is in use.
    """

    number: Count
    replica_id: Name | None
    is_queued: bool
    wait_ms: Count
    free: Count
    use_percent: Count


class DispatchEnd(msgspec.Struct, array_like=True, frozen=True):
    """The end of a permit, or of the wait for one.

    ``outcome`` is that of dispatch.group_dispatcher.Outcome.
    """

    number: Count
    outcome: typing.Annotated[int, msgspec.Meta(ge=0, le=255)]
    service_ms: Count


class DispatchDone(_Message, tag="DEnd"):
    """Ends of permits, to the owner that issued them.

    ``open_numbers`` are those requests up to ``last_number`` that have not ended; None
    if they are too many.
    """

    sender: Name
    ends: typing.Annotated[
        tuple[DispatchEnd, ...], msgspec.Meta(max_length=MAX_DISPATCH_ENDS)
    ]
    last_number: Count
    open_numbers: (
        typing.Annotated[tuple[Count, ...], msgspec.Meta(max_length=MAX_OPEN_NUMBERS)]
        | None
    )


class StreamBegun(_Message, tag="SBeg"):
    """Tells a keeper of a stream which origin it has, before its first event.

    The origin is to be kept for ``life_ms``. The address identifies the sender: hosts
    send three of these messages for each stream.
    """

    key: StreamKey
    origin: StreamOrigin
    life_ms: Count


class OriginRequest(_Message, tag="OReq"):
    """Request to a keeper of a stream for its origin.

    ``boot`` of the sender and ``number`` identify the answer: that to an earlier
    process with the sender's address may name the origin of another stream.
    """

    boot: Boot
    number: Revision
    key: StreamKey


class OriginReply(_Message, tag="ORep"):
    """Answer to OriginRequest: the origin, known for another ``life_ms``.

    If that is 0, the sender of the reply knows nothing. Without an origin, it knows of
    several for the next ``life_ms``.
    """

    boot: Boot
    number: Revision
    origin: StreamOrigin | None
    life_ms: Count


class KeptPromptRequest(_Message, tag="KReq"):
    """Request to the leader for the software version that keeps a prompt part.

    ``boot`` of the sender and ``number`` identify the request, which may be repeated,
    and its answer.
    """

    boot: Boot
    number: Revision
    backend: Name
    model: Name
    part: Name


class KeptPromptReply(_Message, tag="KRep"):
    """Answer to KeptPromptRequest: the version, empty if it is not known.

    If it is not ``final``, the sender does not lead or has no configuration, so a
    leader is to be asked later. ``position`` is that of the list of replicas that tells
    the version; releases that did not read the store for it send none.
    """

    boot: Boot
    number: Revision
    version: Name
    final: bool
    position: StorePosition | None = None


Message = (
    Heartbeat
    | ReplicaLoads
    | RequestLimitReports
    | Join
    | KnownHosts
    | Changes
    | Locate
    | Located
    | PermitRequest
    | PermitReply
    | QuotaRequest
    | QuotaReply
    | LostPrompts
    | LostRequests
    | DispatchRequest
    | DispatchReply
    | DispatchDone
    | StreamBegun
    | OriginRequest
    | OriginReply
    | KeptPromptRequest
    | KeptPromptReply
)

# The largest encoded size of each message, whatever names, prompts and lists are. The
# fields bound those of fixed content, and their senders the lists of the others.
MAX_BYTES_BY_TYPE = types.MappingProxyType(
    {
        Heartbeat: 40 * 1024,
        Join: 2 * 1024,
        KnownHosts: 45 * 1024,
        Changes: 10 * 1024,
        PermitReply: 1024,
        QuotaRequest: 1024,
        QuotaReply: 1024,
        ReplicaLoads: 9 * 1024,
        RequestLimitReports: 9 * 1024,
        LostPrompts: 14 * 1024,
        LostRequests: 13 * 1024,
        Locate: 20 * 1024,
        Located: 9 * 1024,
        PermitRequest: 9 * 1024,
        DispatchRequest: 6 * 1024,
        DispatchReply: 1024,
        DispatchDone: 2 * 1024,
        StreamBegun: 3 * 1024,
        OriginRequest: 64,
        OriginReply: 3 * 1024,
        KeptPromptRequest: 3 * 1024,
        KeptPromptReply: 1024,
    }
)

_decoder = msgspec.msgpack.Decoder(Message)
_encoder = msgspec.msgpack.Encoder()


def encode(message):
    """Returns the bytes of a message, or of a part of one."""
    return _encoder.encode(message)


def decode(data):
    """Returns the message. Raises msgspec.DecodeError."""
    return decoding.decode(_decoder, data)


# Limits what a damaged message can make of a few bytes.
MAX_UNPACKED_BYTES = 4 * 1024 * 1024
_items_decoder = msgspec.msgpack.Decoder(tuple[PublishedItem, ...])


def pack_items(items):
    """Returns PublishedItems in compressed form, since configurations are long."""
    return compress(_encoder.encode(tuple(items)))


def unpack_items(content):
    """Returns the PublishedItems of ``pack_items``. Raises ValueError."""
    return decoding.decode(_items_decoder, decompress(content, MAX_UNPACKED_BYTES))
