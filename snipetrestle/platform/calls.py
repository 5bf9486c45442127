"""HTTP calls to the platform's store and to replicas."""

import base64
import typing
import urllib.parse

import msgspec

from snipetrestle.coordination.placement.order_messages import (
    OrderResult,
    ReplicaReport,
)
from snipetrestle.decoding import decode
from snipetrestle.events import Event, log_event
from snipetrestle.gateway.backends.calls import call
from snipetrestle.gateway.backends.connection_pool import ConnectionPool
from snipetrestle.gateway.backends.http_client import (
    ConnectFailed,
    ExchangeFailed,
    ReportRefused,
)
from snipetrestle.gateway.configuration import AdapterKey, Name
from snipetrestle.gateway.publication.published_items import (
    HistoryLost,
    PublishedItem,
    Revision,
    StoreItems,
)
from snipetrestle.gateway.transfers import Transfers
from snipetrestle.platform.documents import CONFIGURATION_KEY, without_api_keys
from snipetrestle.platform.headers import (
    REQUEST_ID,
    PlatformDialect,
    read_store_epoch,
)
from snipetrestle.platform.values import parse_versioned_name
from snipetrestle.publication.sources import SourceUnreachable

READ_TIMEOUT_S = 1.0
# Added to the time for which the store may hold a watch.
WATCH_MARGIN_S = 0.6
REPORT_TIMEOUT_S = 0.8
ORDER_TIMEOUT_S = 0.8
# A leader may have an answer of each replica in progress. Reports list some hundred
# adapters at most.
MAX_ANSWER_BYTES = 262_144


# Keys of the store have 200 bytes at most.
Key = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=1000)]


class _Item(msgspec.Struct):
    key: Key
    revision: Revision
    # The revision at which the key was created.
    created: typing.Any = None
    # Base64 text; absent for a deleted key.
    value: typing.Any = None
    deleted: typing.Any = False


class _Range(msgspec.Struct):
    # Each item is decoded by itself, so that an odd one does not hide the others.
    items: list[msgspec.Raw]
    has_more: bool
    # Revision of the store, which may be newer than those of the items.
    at: Revision


class _Watch(msgspec.Struct):
    events: list[msgspec.Raw]
    at: Revision


class _ReportedModel(msgspec.Struct):
    name: Name
    adapters: list[str] = []


class _Report(msgspec.Struct):
    # The number of orders that the replica has accepted.
    seq: Revision
    busy: bool
    models: list[_ReportedModel]
    # Adapters being loaded, as MODEL/NAME@VERSION.
    incoming: list[str] = []
    # Start time of the process in ms of Unix time.
    born: Revision | None = None
    # The numbers of requests that wait and that run. Odd ones do not hide the rest.
    queued: typing.Any = None
    running: typing.Any = None


class _KeptParts(msgspec.Struct):
    # An empty text, the id of a prompt part, its tokens and its model, in each entry.
    held: list[tuple[str, str, int, str]]
    born: Revision | None = None


_item_decoder = msgspec.json.Decoder(_Item)
_range_decoder = msgspec.json.Decoder(_Range)
_watch_decoder = msgspec.json.Decoder(_Watch)
_report_decoder = msgspec.json.Decoder(_Report)
_kept_parts_decoder = msgspec.json.Decoder(_KeptParts)
_encoder = msgspec.json.Encoder()


def _published_items(raw_items, prefix):
    """Returns the PublishedItems of a page; odd items are logged and left out."""
    return [_published_item(item) for item in _decoded_items(raw_items, prefix)]


def _published_item(item):
    return PublishedItem(item.key, item.revision, _value_of(item))


def _decoded_items(raw_items, prefix):
    items = []
    for raw in raw_items:
        try:
            item = decode(_item_decoder, raw)
            if not item.key.startswith(prefix):
                raise ValueError(f"the key is not one of the prefix {prefix!r}")
        except ValueError as error:
            log_event(Event.ENTRY_UNREADABLE, key=None, error=str(error))
            continue
        items.append(item)
    return items


def _value_of(item):
    """Returns the value of an item, None if it is deleted.

    A value that cannot be read is empty, as no document is. The configuration has
    digests in place of its API keys.
    """
    if item.deleted is True:
        return None
    try:
        value = base64.b64decode(item.value)
    except (TypeError, ValueError):
        return b""
    return without_api_keys(value) if item.key == CONFIGURATION_KEY else value


class StoreSource:
    """Reads and watches the platform's store. ``transfers`` are its answers."""

    def __init__(self, ip, port):
        self.transfers = Transfers()
        self._pool = ConnectionPool(ip, port)
        self._host = f"{ip}:{port}"

    async def read(self, prefix):
        """Returns the StoreItems of all items whose keys start with ``prefix``.

        Raises SourceUnreachable, also if the store replaces its history meanwhile.
        """
        items = []
        after = ""
        # The last keys of the pages.
        read_up_to = set()
        first_page = first_epoch = None
        while True:
            query = {"prefix": prefix}
            if after:
                query["after"] = after
            page, epoch = await self._get(
                "kv-range", query, READ_TIMEOUT_S, _range_decoder
            )
            if first_page is None:
                first_page, first_epoch = page, epoch
            elif epoch != first_epoch:
                raise SourceUnreachable(f"kv-range: the epoch became {epoch}")
            page_items = _published_items(page.items, prefix)
            if page.items and not page_items:
                raise SourceUnreachable("kv-range: no item of a page can be read")
            items += page_items
            if not page.has_more or not page.items:
                # Later pages may contain newer items; a watch from the first page's
                # revision returns them again.
                return StoreItems(items, first_page.at, first_epoch)
            after = page_items[-1].key
            if after in read_up_to:
                raise SourceUnreachable("kv-range: a page was repeated")
            read_up_to.add(after)

    async def watch(self, prefix, revision, wait_s):
        """Returns the StoreItems of the changes after ``revision``.

        Waits up to ``wait_s`` for the first change. Raises SourceUnreachable or
        HistoryLost.
        """
        query = {"prefix": prefix, "after": revision, "wait_ms": int(wait_s * 1000)}
        timeout_s = wait_s + WATCH_MARGIN_S
        changes, epoch = await self._get("kv-watch", query, timeout_s, _watch_decoder)
        items = _decoded_items(changes.events, prefix)
        return StoreItems(
            [_published_item(item) for item in items],
            changes.at,
            epoch,
            frozenset(
                item.revision
                for item in items
                if type(item.created) is int and item.created == item.revision
            ),
        )

    async def _get(self, name, query, timeout_s, decoder):
        """Returns the decoded response and the epoch that it names."""
        target = f"/-/{name}?{urllib.parse.urlencode(query)}"
        content = f"GET {target} HTTP/1.1\r\nHost: {self._host}\r\n\r\n".encode()
        try:
            answer = await call(
                self._pool, content, timeout_s, transfers=self.transfers
            )
        except (ConnectFailed, ExchangeFailed) as error:
            raise SourceUnreachable(f"{name}: {error}") from None
        if answer.status == 410:
            raise HistoryLost
        if answer.status != 200:
            raise SourceUnreachable(f"{name}: status {answer.status}")
        try:
            return decode(decoder, answer.body), read_store_epoch(answer.headers)
        except ValueError as error:
            raise SourceUnreachable(f"{name}: {error}") from None


class OrderClient:
    """Sends the leader's orders to replicas and reads the replicas' reports."""

    def __init__(self):
        self._dialect = PlatformDialect()

    async def send(self, replica, order):
        """Returns an OrderResult.

        Raises ConnectFailed if nothing was sent, and ExchangeFailed without an answer.
        """
        body = {
            "op_type": str(order.kind),
            "model": order.model,
            "holder": order.holder,
            "fence_token": order.fencing_token,
        }
        if order.adapter:
            body["adapter"] = order.adapter
        if order.version is not None:
            body["version"] = order.version
        if order.expected_count is not None:
            body["precondition"] = order.expected_count
        content = _encoder.encode(body)
        head = (
            "POST /-/order HTTP/1.1\r\n"
            f"Host: {replica.entry.ip}:{replica.entry.port}\r\n"
            "Content-Type: application/json\r\n"
            f"X-Expect-Instance: {replica.id}\r\n"
            f"Content-Length: {len(content)}\r\n\r\n"
        )
        answer = await self._call(replica, head.encode() + content, ORDER_TIMEOUT_S)
        return _RESULTS_BY_STATUS.get(answer.status, OrderResult.REFUSED)

    async def _call(self, replica, content, timeout_s):
        answer = await call(
            replica.pool, content, timeout_s, _is_own_response, MAX_ANSWER_BYTES
        )
        replica.note_announcements(
            self._dialect.read_response(answer.status, answer.headers)
        )
        return answer

    async def report(self, replica):
        """Returns a ReplicaReport. Raises ConnectFailed or ExchangeFailed."""
        report = await self._get(replica, "report", _report_decoder)
        if report.born and report.born == replica.entry.boot:
            replica.note_running("it has reported")
        try:
            return _report_from(report)
        except ValueError as error:
            raise ExchangeFailed(f"report: {error}") from None

    async def kept_parts(self, replica):
        """Returns the prompt parts that a replica keeps, as a set of (model, id).

        Raises ConnectFailed or ExchangeFailed.
        """
        kept = await self._get(replica, "kv-list", _kept_parts_decoder)
        if kept.born not in (None, replica.entry.boot):
            raise ExchangeFailed("kv-list: another process has taken the id")
        return {(model, part) for _, part, tokens, model in kept.held if tokens}

    async def _get(self, replica, name, decoder):
        """Returns what a replica says of itself. Raises ConnectFailed, ExchangeFailed."""
        head = (
            f"GET /-/{name} HTTP/1.1\r\n"
            f"Host: {replica.entry.ip}:{replica.entry.port}\r\n"
            f"X-Expect-Instance: {replica.id}\r\n\r\n"
        )
        answer = await self._call(replica, head.encode(), REPORT_TIMEOUT_S)
        if answer.status in (429, 503):
            raise ReportRefused(f"{name}: status {answer.status}")
        if answer.status != 200:
            raise ExchangeFailed(f"{name}: status {answer.status}")
        try:
            return decode(decoder, answer.body)
        except ValueError as error:
            raise ExchangeFailed(f"{name}: {error}") from None


def _is_own_response(head):
    """Whether a response is one to an order or report.

    Only responses to callers' requests carry a request id. One may arrive late, on the
    connection of an order.
    """
    return all(name != REQUEST_ID for name, _ in head.headers)


_RESULTS_BY_STATUS = {
    200: OrderResult.HOLDS_ALREADY,
    202: OrderResult.ACCEPTED,
    409: OrderResult.CONFLICT,
    412: OrderResult.TOKEN_TOO_LOW,
    421: OrderResult.WRONG_REPLICA,
}


def _report_from(report):
    versions = {}
    for model in report.models:
        for versioned_name in model.adapters:
            name, version = parse_versioned_name(versioned_name)
            versions[AdapterKey(model.name, name)] = version
    incoming = {}
    for path in report.incoming:
        model, _, versioned_name = path.partition("/")
        name, version = parse_versioned_name(versioned_name)
        if name:
            incoming[AdapterKey(model, name)] = version
    return ReplicaReport(
        report.seq,
        report.busy,
        frozenset(model.name for model in report.models),
        versions | incoming,
        frozenset(incoming),
        frozenset(incoming.keys() & versions.keys()),
        report.born,
        _request_count(report.queued, report.running),
    )


def _request_count(queued, running):
    """Returns the sum of two counts, or None unless both are known."""
    if any(type(count) is not int or count < 0 for count in (queued, running)):
        return None
    return queued + running
