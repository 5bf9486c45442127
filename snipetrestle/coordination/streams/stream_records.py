"""Records of the origins of streams: kept here, told by other hosts, or asked for.

The host that passes a stream's first event on tells some keepers. Any host finds the
origin by its own record or by those of the keepers, even if that host was killed.
"""

import collections

import anyio
import msgspec

from snipetrestle.coordination.messaging.messages import (
    OriginReply,
    OriginRequest,
    StreamBegun,
)
from snipetrestle.coordination.streams.stream_keepers import MAX_KEEPERS, StreamKeepers
from snipetrestle.coordination.streams.stream_questions import StreamQuestions
from snipetrestle.gateway.streams.stream_origin import StreamOrigin

# One keeper more is asked than is told, as a host that joins takes the place of one.
KEEPERS_TOLD = 3
KEEPERS_ASKED = MAX_KEEPERS
# No record is kept for longer, whatever another host tells.
MAX_LIFE_S = 120.0
MAX_OWN_RECORDS = 8192
MAX_TOLD_RECORDS = 16_384


class KnownOrigin(msgspec.Struct, frozen=True):
    """The origin of a stream, and who knew it: "own", or "host" and its name."""

    origin: StreamOrigin
    known_by: str


class _Record:
    """What is known of a stream; ``origin`` is None if several were told."""

    __slots__ = ("origin", "known_by", "expires_at")

    def __init__(self, origin, known_by, expires_at):
        self.origin = origin
        self.known_by = known_by
        self.expires_at = expires_at


class RecordTable:
    """Records by key, at most ``capacity``: the oldest go first."""

    def __init__(self, capacity):
        self._capacity = capacity
        self._records_by_key = collections.OrderedDict()

    def __len__(self):
        return len(self._records_by_key)

    def get(self, key, now):
        """Returns a record that has not expired, or None."""
        record = self._records_by_key.get(key)
        return None if record is None or record.expires_at <= now else record

    def put(self, key, record, now):
        """Adds or replaces a record, and drops expired ones."""
        records = self._records_by_key
        records.pop(key, None)
        while records and next(iter(records.values())).expires_at <= now:
            records.popitem(last=False)
        if len(records) >= self._capacity:
            records.popitem(last=False)
        records[key] = record


class StreamRecords:
    """Finds the origins of streams that began at any host.

    ``hosts`` is Hosts. The first origin of a stream stays. If another one is told
    within its life, nobody can tell which is right, so none is found. An origin that
    names its process replaces one that was inferred.
    """

    def __init__(self, hosts, endpoint):
        self._hosts = hosts
        self._endpoint = endpoint
        self._keepers = StreamKeepers(hosts)
        self._questions = StreamQuestions(hosts, endpoint)
        # Separate tables, so that no other host can displace own records.
        self.own = RecordTable(MAX_OWN_RECORDS)
        self.told = RecordTable(MAX_TOLD_RECORDS)
        # "host" and the name of each known host by its address, and the digest of the
        # members that they were derived from.
        self._sources_by_address = {}
        self._sources_digest = None
        endpoint.register(StreamBegun, self._on_begun)
        endpoint.register(OriginRequest, self._on_request)

    def note_begun(self, key, origin, life_s):
        """Notes a stream whose first event this host is about to pass on.

        Keepers are told at once, so they know before the caller does.
        """
        self._note_and_tell(key, origin, life_s)

    def note_inferred(self, key, origin, life_s):
        """Notes an origin that was inferred, here and at the keepers.

        What it was inferred from may be gone when the stream is taken up again.
        """
        self._note_and_tell(key, origin, life_s)

    def _note_and_tell(self, key, origin, life_s):
        life_s = _bounded(life_s)
        self.note_learned(key, origin, life_s)
        life_ms = int(1000 * life_s)
        if life_ms:
            addresses = [
                host.address for host in self._keepers.others(key, KEEPERS_TOLD)
            ]
            self._endpoint.send_all(StreamBegun(key, origin, life_ms), addresses)

    def note_learned(self, key, origin, life_s):
        """Notes an origin that was found in another way. No other host is told."""
        self._note(self.own, key, origin, "own", _bounded(life_s))

    async def find(self, key):
        """Returns the KnownOrigin of a stream, or None if nobody tells one.

        Waits for other hosts only if this one knows nothing, or only what was inferred.
        """
        record = self._record(key)
        if record is not None and not _is_inferred(record.origin):
            return self._known_here(key)
        hosts = self._keepers.others(key, KEEPERS_ASKED)
        answer = await self._questions.ask(key, hosts)
        if answer is None:
            # The stream may have been told while the others were asked.
            return self._known_here(key)
        host, reply = answer
        self.note_learned(key, reply.origin, reply.life_ms / 1000)
        known = self._known_here(key)
        if known is None or known.origin != reply.origin:
            return known
        return KnownOrigin(known.origin, f"host {host.info.name}")

    def _known_here(self, key):
        """Returns the KnownOrigin that this host knows without asking, or None."""
        record = self._record(key)
        if record is None or record.origin is None:
            return None
        return KnownOrigin(record.origin, record.known_by)

    def _record(self, key):
        """Returns the record of a stream, an ambiguous one rather than another.

        Of the others, one that was inferred comes last.
        """
        now = anyio.current_time()
        own, told = self.own.get(key, now), self.told.get(key, now)
        if own is None or told is None:
            return own or told
        if told.origin is None:
            return told
        if own.origin is None or own.origin.names_process:
            return own
        return told

    def _note(self, table, key, origin, known_by, life_s):
        if not life_s:
            return
        now = anyio.current_time()
        expires_at = now + life_s
        known = self._record(key)
        if known is not None:
            expires_at = max(expires_at, known.expires_at)
            origin = _agreed(known.origin, origin)
        table.put(key, _Record(origin, known_by, expires_at), now)

    def _on_begun(self, message, address):
        life_s = _bounded(message.life_ms / 1000)
        source = self._source(address)
        self._note(self.told, message.key, message.origin, source, life_s)

    def _on_request(self, message, address):
        record = self._record(message.key)
        origin, life_ms = None, 0
        if record is not None:
            origin = record.origin
            life_ms = int(1000 * (record.expires_at - anyio.current_time()))
        reply = OriginReply(message.boot, message.number, origin, life_ms)
        self._endpoint.send(reply, address)

    def _source(self, address):
        """Returns "host" and the name of the host with an address, for the log."""
        digest = self._hosts.members_digest
        if digest != self._sources_digest:
            self._sources_by_address = {
                host.address: f"host {name}"
                for name, host in self._hosts.by_name.items()
            }
            self._sources_digest = digest
        return self._sources_by_address.get(address) or f"host at {address}"


def _is_inferred(origin):
    """Whether an origin was inferred; an ambiguous one, None, was not."""
    return origin is not None and not origin.names_process


def _agreed(known, told):
    """Returns the origin that two records leave, None if they contradict each other."""
    if known is None or told is None:
        return None
    if known.names_process != told.names_process:
        return known if known.names_process else told
    return known if known == told else None


def _bounded(life_s):
    """Returns a life within its bounds; 0 stands for none, also for one like NaN."""
    return min(MAX_LIFE_S, max(0.0, life_s))
