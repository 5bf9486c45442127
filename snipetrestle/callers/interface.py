"""ASGI application for callers: authentication, validation and request handling."""

import contextlib
import time

import anyio
import msgspec

from snipetrestle.api_keys import bearer_digest
from snipetrestle.callers.batches import BATCHES_PATH
from snipetrestle.callers.completions import (
    DONE_EVENT,
    CompletionFormatter,
    malformed_input,
    parse_completion,
    resolve_adapter,
)
from snipetrestle.callers.entry import Generation
from snipetrestle.callers.exchange import CallerDisconnected, Exchange
from snipetrestle.callers.refusals import error_body
from snipetrestle.callers.services import (
    SERVICES_PATH_PREFIX,
    target_of,
    write_refusal,
)
from snipetrestle.codes import ResultCode, ServingError
from snipetrestle.engines.forward import Finished, RequestClass
from snipetrestle.events import Event, log_event
from snipetrestle.metrics import StreamTimer

# Deadline of a request without the header X-Request-Deadline.
DEFAULT_DEADLINE_S = 120.0
MAX_DEADLINE_S = 86_400.0

# Refusals that apply only to this attempt of a write with an idempotency key. Another
# attempt with the same key may be running at another daemon.
SINGLE_ATTEMPT_REFUSALS = frozenset(
    (
        ResultCode.NOT_READY,
        ResultCode.DRAINING,
        ResultCode.REQUEST_TIMEOUT,
        ResultCode.QUEUE_FULL,
    )
)

EVENT_STREAM_HEADERS = [
    (b"content-type", b"text/event-stream"),
    (b"cache-control", b"no-store"),
]


class ListedModel(msgspec.Struct):
    """One entry of ``/v1/models``."""

    id: str
    object: str = "model"
    owned_by: str = "snipetrestle"


class ModelList(msgspec.Struct):
    """Response of ``/v1/models``."""

    data: list[ListedModel]
    object: str = "list"


class CallerInterface:
    """ASGI application for callers.

    ``router`` is an EntryRouter, ``services`` a ServiceCalls, ``shares`` a LimitShares,
    ``intake`` an IntakeSettings and ``generator`` a random.Random; ``is_ready()`` tells
    whether the daemon is ready; ``wall_clock()`` returns seconds since 1970, for the
    field ``created`` of responses.
    """

    def __init__(
        self,
        router,
        services,
        shares,
        metrics,
        intake,
        generator,
        is_ready,
        wall_clock=time.time,
    ):
        self._router = router
        self._services = services
        self._shares = shares
        self._metrics = metrics
        self._intake = intake
        self._generator = generator
        self._is_ready = is_ready
        self._wall_clock = wall_clock
        self._configuration = None
        self._batches = None
        self._draining = False
        self._in_progress = 0
        self._idle = anyio.Event()
        self._routes = {
            ("POST", "/v1/completions"): self._complete_text,
            ("POST", "/v1/chat/completions"): self._complete_chat,
            ("GET", "/v1/models"): self._list_models,
            ("GET", "/healthz"): self._report_health,
            ("GET", "/readyz"): self._report_readiness,
        }

    def attach_batches(self, batches):
        """Sets the handler of the batch endpoints, which are not served without it."""
        self._batches = batches

    def apply(self, configuration):
        """Applies a published configuration."""
        self._configuration = configuration

    async def drain(self):
        """Refuses new requests and waits for those in progress."""
        self._draining = True
        while self._in_progress:
            self._idle = anyio.Event()
            await self._idle.wait()

    async def __call__(self, scope, receive, send):
        exchange = Exchange(scope, receive, send, self._intake)
        self._in_progress += 1
        try:
            await self._serve(exchange)
        finally:
            self._in_progress -= 1
            if not self._in_progress:
                self._idle.set()

    async def _serve(self, exchange):
        try:
            await self._route(exchange)
        except CallerDisconnected:
            return
        except ServingError as error:
            await self._send_error(exchange, error)
        except Exception as error:
            log_event(Event.INTERNAL_ERROR, path=exchange.path, detail=repr(error))
            await self._send_error(exchange, ServingError(ResultCode.INTERNAL))

    async def _send_error(self, exchange, error):
        log_event(Event.REQUEST_REFUSED, code=str(error.code), detail=error.detail)
        if not exchange.response_started:
            await exchange.respond_error(error)
            return
        # The status line has been sent, so the error is the last event of the stream.
        await exchange.end_response(
            b"event: error\ndata: " + error_body(error) + b"\n\n"
        )

    async def _route(self, exchange):
        route = self._routes.get((exchange.method, exchange.path))
        if route is None and exchange.path.startswith(SERVICES_PATH_PREFIX):
            route = self._call_service if exchange.method == "POST" else None
        if self._batches is not None and exchange.path.startswith(BATCHES_PATH):
            route = self._serve_batches
        if route is None:
            raise ServingError(
                ResultCode.UNKNOWN_PATH,
                field="path",
                value=f"{exchange.method} {exchange.path}",
                rule="must be a documented method and path",
            )
        await route(exchange)

    def _authenticate(self, exchange):
        """Returns the customer of a request. Raises ServingError."""
        if self._configuration is None:
            raise ServingError(ResultCode.NOT_READY)
        if self._draining:
            raise ServingError(ResultCode.DRAINING)
        digest = bearer_digest(exchange.headers.get(b"authorization", b""))
        customer = self._configuration.customers_by_key.get(digest)
        if customer is None:
            raise ServingError(
                ResultCode.BAD_KEY,
                field="Authorization",
                rule="must be Bearer with a customer's key",
            )
        return customer

    async def _complete_text(self, exchange):
        await self._complete(exchange, chat=False)

    async def _complete_chat(self, exchange):
        await self._complete(exchange, chat=True)

    async def _complete(self, exchange, chat):
        customer = self._authenticate(exchange)
        request_class = request_class_of(exchange)
        code = None
        timer = StreamTimer(self._metrics.series(customer.name, request_class))
        try:
            request = parse_completion(await exchange.read_body(), chat)
            generation = self._build_generation(
                exchange, customer, request_class, request
            )
            tokens = request.prompt_tokens + request.max_tokens
            with self._shares.admit(customer.name, request_class, tokens):
                await self._run(exchange, request, generation, timer)
        except ServingError as error:
            code = error.code
            raise
        finally:
            self._metrics.count_request(
                customer.name, request_class, code, timer.tokens
            )

    async def _run(self, exchange, request, generation, timer):
        """Runs a generation until its end, its deadline or a disconnect of its caller.

        Raises ServingError.
        """
        formatter = CompletionFormatter(
            request, generation.request_id, int(self._wall_clock())
        )
        send_response = self._stream if request.stream else self._collect
        # An error raised inside the task group would become an exception group.
        failure = None
        async with anyio.create_task_group() as group:
            group.start_soon(_cancel_on_disconnect, exchange, group.cancel_scope)
            with anyio.CancelScope(deadline=generation.deadline) as scope:
                try:
                    await send_response(exchange, request, generation, formatter, timer)
                except ServingError as error:
                    failure = error
            group.cancel_scope.cancel()
        if scope.cancelled_caught:
            failure = ServingError(ResultCode.DEADLINE_PASSED)
        if failure is not None:
            raise failure

    def _build_generation(self, exchange, customer, request_class, request):
        name = resolve_adapter(self._configuration, customer, request.model)
        limit = self._configuration.models_by_name[name.model].context_tokens
        if request.prompt_tokens + request.max_tokens > limit:
            raise malformed_input(
                "max_tokens",
                request.max_tokens,
                f"must be at most {limit} together with the prompt's "
                f"{request.prompt_tokens} tokens",
            )
        return Generation(
            request_id=f"{self._generator.getrandbits(96):024x}",
            customer=customer.name,
            request_class=request_class,
            model=name.model,
            adapter=name.adapter,
            version=name.version,
            prompt=request.prompt,
            prompt_tokens=request.prompt_tokens,
            max_tokens=request.max_tokens,
            deadline=anyio.current_time() + time_left_of(exchange),
            prefix=request.prefix,
            weight=customer.contract.weight,
        )

    async def _stream(self, exchange, request, generation, formatter, timer):
        final_events = b""
        async with contextlib.aclosing(self._router.generate(generation)) as replies:
            async for reply in replies:
                if not exchange.response_started:
                    await exchange.start_response(200, EVENT_STREAM_HEADERS)
                if type(reply) is Finished:
                    timer.observe_finished(reply)
                    final_events = formatter.token_event("", reply.finish_reason)
                else:
                    timer.observe_tokens(len(reply.tokens))
                    await exchange.write(formatter.token_event("".join(reply.tokens)))
        if request.include_usage:
            final_events += formatter.usage_event(timer.tokens)
        # A single write, since each costs a system call.
        await exchange.end_response(final_events + DONE_EVENT)

    async def _collect(self, exchange, request, generation, formatter, timer):
        tokens = []
        finish_reason = None
        async with contextlib.aclosing(self._router.generate(generation)) as replies:
            async for reply in replies:
                if type(reply) is Finished:
                    timer.observe_finished(reply)
                    finish_reason = reply.finish_reason
                else:
                    timer.observe_tokens(len(reply.tokens))
                    tokens.extend(reply.tokens)
        completion = formatter.completion("".join(tokens), len(tokens), finish_reason)
        await exchange.respond_json(completion)

    async def _call_service(self, exchange):
        key = exchange.header(b"idempotency-key")
        try:
            customer = self._authenticate(exchange)
            target = target_of(exchange.path)
            body = await exchange.read_body()
        except ServingError as error:
            if key and error.code in SINGLE_ATTEMPT_REFUSALS:
                raise write_refusal(error) from None
            raise
        code = None
        try:
            result = await self._services.run(
                customer,
                target,
                key,
                body,
                exchange.header(b"content-type") or "application/json",
                time_left_of(exchange, None),
            )
        except ServingError as error:
            code = error.code
            raise
        finally:
            self._metrics.count_request(customer.name, RequestClass.WAITING, code)
        headers = [(b"content-type", result.content_type.encode("latin-1"))]
        await exchange.respond(result.status, result.body, headers)

    async def _serve_batches(self, exchange):
        customer = self._authenticate(exchange)
        with self._shares.admit(customer.name, RequestClass.BATCH, 0):
            await self._batches.serve(exchange, self._configuration, customer)

    async def _list_models(self, exchange):
        customer = self._authenticate(exchange)
        names = [
            ListedModel(f"{adapter.model}:{adapter.name}@{version}")
            for adapter in self._configuration.adapters
            if customer.may_use(adapter.name)
            for version in adapter.versions
        ]
        await exchange.respond_json(ModelList(names))

    async def _report_health(self, exchange):
        await exchange.respond_json({"status": "ok"})

    async def _report_readiness(self, exchange):
        if self._draining:
            raise ServingError(ResultCode.DRAINING)
        if not self._is_ready():
            raise ServingError(ResultCode.NOT_READY)
        await exchange.respond_json({"status": "ready"})


async def _cancel_on_disconnect(exchange, scope):
    await exchange.wait_disconnected()
    scope.cancel()


def request_class_of(exchange):
    """Returns the RequestClass of the header ``X-Request-Class``, or the default.

    Raises ServingError.
    """
    text = exchange.header(b"x-request-class") or RequestClass.WAITING
    try:
        return RequestClass(text)
    except ValueError:
        raise malformed_input(
            "X-Request-Class", text, "must be waiting or batch"
        ) from None


def time_left_of(exchange, default=DEFAULT_DEADLINE_S):
    """Returns the seconds in the header ``X-Request-Deadline``, or the default.

    Raises ServingError.
    """
    text = exchange.header(b"x-request-deadline")
    if text is None:
        return default
    try:
        seconds = float(text)
    except ValueError:
        seconds = 0.0
    if not 0.0 < seconds <= MAX_DEADLINE_S:
        raise malformed_input(
            "X-Request-Deadline", text, f"must be seconds in (0, {MAX_DEADLINE_S:g}]"
        )
    return seconds
