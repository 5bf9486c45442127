"""Batch endpoints of the HTTP interface for callers."""

import urllib.parse

import msgspec

from snipetrestle.batches import BatchItem
from snipetrestle.callers.completions import (
    DEFAULT_MAX_TOKENS,
    malformed_input,
    parse_json,
    resolve_adapter,
)
from snipetrestle.codes import ResultCode, ServingError, codes_by_number

BATCHES_PATH = "/v1/batches"
_RESULTS_SUFFIX = "/results"


class ItemBody(msgspec.Struct):
    """One generation of a batch. ``custom_id`` is returned with its result."""

    model: str
    prompt: str
    max_tokens: int = DEFAULT_MAX_TOKENS
    custom_id: str = ""


class BatchBody(msgspec.Struct):
    """Body of a batch submission.

    ``finish_within_s`` defaults to that of the customer's contract.
    """

    items: tuple[ItemBody, ...]
    finish_within_s: float | None = None


class BatchStatusResponse(msgspec.Struct, omit_defaults=True):
    """Status of a batch. ``code`` is set only for a batch that was lost."""

    id: str
    state: str
    total: int | None = None
    done: int | None = None
    failed: int | None = None
    late: bool = False
    code: str = ""
    message: str = ""


class BatchItemResponse(msgspec.Struct, omit_defaults=True):
    """Result of one item: its text, or the result code with which it failed."""

    index: int
    custom_id: str = ""
    text: str = ""
    finish_reason: str = ""
    code: str = ""
    detail: str = ""


class BatchEndpoints:
    """Serves ``/v1/batches`` and the paths below it. ``holder`` is a BatchHolder."""

    def __init__(self, holder):
        self._holder = holder

    async def serve(self, exchange, configuration, customer):
        """Handles one request of an authenticated customer. Raises ServingError."""
        subpath = exchange.path.removeprefix(BATCHES_PATH)
        if exchange.method == "POST" and not subpath:
            await self._submit(exchange, configuration, customer)
            return
        if exchange.method != "GET" or len(subpath) < 2 or not subpath.startswith("/"):
            raise ServingError(ResultCode.UNKNOWN_PATH, exchange.path)
        batch_id = urllib.parse.unquote(subpath.removesuffix(_RESULTS_SUFFIX)[1:])
        status = await self._holder.status(batch_id)
        if status.customer not in ("", customer.name):
            raise ServingError(ResultCode.UNKNOWN_BATCH, batch_id)
        if subpath.endswith(_RESULTS_SUFFIX):
            await self._send_results(exchange, batch_id)
        else:
            await exchange.respond_json(_status_response(batch_id, status))

    async def _submit(self, exchange, configuration, customer):
        body = parse_json(await exchange.read_body(), BatchBody)
        allowance = customer.contract.batch
        time_limit_s = body.finish_within_s or allowance.finish_within_s
        if time_limit_s <= 0:
            raise malformed_input("finish_within_s", time_limit_s, "must be above 0")
        if not body.items:
            raise malformed_input("items", "[]", "needs at least one item")
        for index, item in enumerate(body.items):
            _check_item(configuration, customer, index, item)
        items = [
            BatchItem(item.model, item.prompt, item.max_tokens, item.custom_id)
            for item in body.items
        ]
        key = exchange.header(b"idempotency-key")
        batch_id = await self._holder.submit(customer.name, items, time_limit_s, key)
        await exchange.respond_json(
            BatchStatusResponse(batch_id, "running", len(items)), 202
        )

    async def _send_results(self, exchange, batch_id):
        results = await self._holder.results(batch_id)
        await exchange.respond_json({"results": [_item_response(i) for i in results]})


def _check_item(configuration, customer, index, item):
    try:
        name = resolve_adapter(configuration, customer, item.model)
    except ServingError as error:
        error.field = f"items[{index}].{error.field}"
        raise
    if not item.prompt:
        raise malformed_input(f"items[{index}].prompt", "", "must not be empty")
    limit = configuration.models_by_name[name.model].context_tokens
    if not 1 <= item.max_tokens <= limit:
        raise malformed_input(
            f"items[{index}].max_tokens", item.max_tokens, f"must be 1 to {limit}"
        )


def _status_response(batch_id, status):
    if status.code is not None:
        return BatchStatusResponse(
            batch_id, status.state, code=str(status.code), message=status.code.meaning
        )
    return BatchStatusResponse(
        batch_id, status.state, status.total, status.done, status.failed, status.late
    )


def _item_response(result):
    code = codes_by_number.get(result.code)
    return BatchItemResponse(
        result.index,
        result.custom_id,
        result.text,
        result.finish_reason,
        "" if code is None else str(code),
        result.detail,
    )
