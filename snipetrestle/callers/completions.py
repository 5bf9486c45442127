"""Request and response bodies of the completion endpoints.

They follow the format of the common LLM completion and chat APIs.
"""

import functools

import msgspec
import xxhash

from snipetrestle.checking import Problem, check_struct
from snipetrestle.codes import ResultCode, ServingError

DEFAULT_MAX_TOKENS = 256
# Used to estimate the tokens of a prompt from its length. The engine counts them
# exactly.
BYTES_PER_TOKEN = 4


class StreamOptions(msgspec.Struct, forbid_unknown_fields=True):
    """Options of a streamed response."""

    include_usage: bool = False


class CompletionBody(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Body of ``/v1/completions``.

    Fields that would change the response but cannot be passed on to an engine are
    refused as unknown instead of being ignored. ``prompt_cache_key`` names a common
    prefix of prompts, for the engines' prefix caches.
    """

    model: str
    prompt: str
    max_tokens: int = DEFAULT_MAX_TOKENS
    stream: bool = False
    stream_options: StreamOptions = msgspec.field(default_factory=StreamOptions)
    n: int = 1
    user: str = ""
    prompt_cache_key: str = ""


class ChatMessage(msgspec.Struct, forbid_unknown_fields=True):
    """One message of a chat."""

    role: str
    content: str


class ChatBody(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Body of ``/v1/chat/completions``."""

    model: str
    messages: tuple[ChatMessage, ...]
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream: bool = False
    stream_options: StreamOptions = msgspec.field(default_factory=StreamOptions)
    n: int = 1
    user: str = ""
    prompt_cache_key: str = ""


class CompletionRequest(msgspec.Struct):
    """A validated request of either completion endpoint."""

    chat: bool
    model: str
    prompt: str
    prompt_tokens: int
    max_tokens: int
    stream: bool
    include_usage: bool
    prefix: str


def parse_completion(body, chat):
    """Parses and validates a request body (bytes). Raises ServingError."""
    parsed = parse_json(body, ChatBody if chat else CompletionBody)
    if parsed.n != 1:
        raise malformed_input("n", parsed.n, "must be 1")
    if chat:
        if not parsed.messages:
            raise malformed_input("messages", "[]", "needs at least one message")
        prompt = render_chat(parsed.messages)
        max_tokens = parsed.max_completion_tokens or parsed.max_tokens
        if max_tokens is None:
            max_tokens = DEFAULT_MAX_TOKENS
    else:
        prompt, max_tokens = parsed.prompt, parsed.max_tokens
    if not prompt:
        raise malformed_input("prompt", "", "must not be empty")
    if max_tokens < 1:
        raise malformed_input("max_tokens", max_tokens, "must be at least 1")
    return CompletionRequest(
        chat=chat,
        model=parsed.model,
        prompt=prompt,
        prompt_tokens=estimate_tokens(prompt),
        max_tokens=max_tokens,
        stream=parsed.stream,
        include_usage=parsed.stream_options.include_usage,
        prefix=shared_prefix_of(parsed, chat),
    )


@functools.cache
def _cached_decoder(struct_type):
    return msgspec.json.Decoder(struct_type)


def parse_json(body, struct_type):
    """Decodes JSON bytes into a struct. Raises ServingError with the first problem."""
    try:
        return _cached_decoder(struct_type).decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        # The slower check finds the invalid field.
        return _check_json(body, struct_type)


def _check_json(body, struct_type):
    try:
        data = msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise malformed_input("body", "", f"must be JSON ({error})") from None
    problems = []
    parsed = check_struct(struct_type, data, "", problems)
    if problems:
        problem: Problem = problems[0]
        raise malformed_input(problem.path, problem.value, problem.rule)
    return parsed


def malformed_input(field, value, rule):
    """Returns the ServingError of an invalid input field."""
    return ServingError(
        ResultCode.MALFORMED_REQUEST,
        f"{field} {rule}",
        field=field,
        value=value,
        rule=rule,
    )


def render_chat(messages):
    """Returns the prompt of a chat: its messages, each after a line with its role."""
    lines = [f"<|{message.role}|>\n{message.content}\n" for message in messages]
    return "".join(lines) + "<|assistant|>\n"


def shared_prefix_of(parsed, chat):
    """Returns a key of the prompt's shared prefix, or "" if none is known.

    It is the caller's ``prompt_cache_key`` or else a hash of a chat's first message.
    """
    if parsed.prompt_cache_key:
        return parsed.prompt_cache_key
    if chat and len(parsed.messages) > 1:
        first = parsed.messages[0]
        return xxhash.xxh3_64_hexdigest(f"{first.role}\0{first.content}".encode())
    return ""


def estimate_tokens(prompt):
    """Returns the estimated number of tokens of a prompt."""
    return max(1, len(prompt.encode()) // BYTES_PER_TOKEN)


class AdapterName(msgspec.Struct, frozen=True):
    """A parsed ``MODEL:ADAPTER@VERSION``."""

    model: str
    adapter: str
    version: str


def resolve_adapter(configuration, customer, name):
    """Parses the field ``model`` and checks that the customer may use the adapter.

    Returns an AdapterName. Raises ServingError.
    """
    model, colon, adapter_reference = name.partition(":")
    adapter_name, at, version = adapter_reference.partition("@")
    if not (model and colon and adapter_name and at and version):
        raise malformed_input("model", name, "must be MODEL:ADAPTER@VERSION")
    if model not in configuration.models_by_name:
        raise _unknown(ResultCode.UNKNOWN_MODEL, name, f"no model {model}")
    adapter = configuration.adapters_by_name.get(adapter_name)
    if adapter is None or adapter.model != model or not customer.may_use(adapter_name):
        rule = f"no adapter {adapter_name} of model {model} for this customer"
        raise _unknown(ResultCode.UNKNOWN_ADAPTER, name, rule)
    if version not in adapter.versions:
        rule = f"versions of {adapter_name}: {', '.join(adapter.versions)}"
        raise _unknown(ResultCode.UNKNOWN_VERSION, name, rule)
    return AdapterName(model, adapter_name, version)


def _unknown(code, name, rule):
    return ServingError(code, field="model", value=name, rule=rule)


# Responses


class Usage(msgspec.Struct):
    """Token counts of a request. The count of the prompt is an estimate."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


class TextChoice(msgspec.Struct):
    """Choice of ``/v1/completions``."""

    text: str
    index: int = 0
    finish_reason: str | None = None


class Delta(msgspec.Struct, omit_defaults=True):
    """Increment of a streamed chat message."""

    content: str = ""
    role: str | None = None


class ChatDeltaChoice(msgspec.Struct):
    """Choice of a streamed chat completion."""

    delta: Delta
    index: int = 0
    finish_reason: str | None = None


class ChatChoice(msgspec.Struct):
    """Choice of a chat completion that is not streamed."""

    message: ChatMessage
    index: int = 0
    finish_reason: str | None = None


class Completion(msgspec.Struct, omit_defaults=True):
    """Response of either path, or one event of its stream."""

    id: str
    object: str
    created: int
    model: str
    choices: tuple[TextChoice | ChatDeltaChoice | ChatChoice, ...]
    usage: Usage | None = None


_encoder = msgspec.json.Encoder()


class CompletionFormatter:
    """Builds the responses to one completion request.

    ``created`` is in seconds since 1970.
    """

    __slots__ = ("_request", "_id", "_created")

    def __init__(self, request, request_id, created):
        self._request = request
        self._id = request_id
        self._created = created

    def token_event(self, text, finish_reason=None):
        """Returns the server-sent event with the text of some tokens."""
        if self._request.chat:
            choice = ChatDeltaChoice(Delta(text), finish_reason=finish_reason)
            object_type = "chat.completion.chunk"
        else:
            choice = TextChoice(text, finish_reason=finish_reason)
            object_type = "text_completion"
        return server_sent_event(self._completion(object_type, (choice,)))

    def usage_event(self, count):
        """Returns the server-sent event with the token counts."""
        object_type = (
            "chat.completion.chunk" if self._request.chat else "text_completion"
        )
        return server_sent_event(self._completion(object_type, (), self.usage(count)))

    def completion(self, text, count, finish_reason):
        """Returns the Completion of a request that is not streamed."""
        if self._request.chat:
            message = ChatMessage("assistant", text)
            choice = ChatChoice(message, finish_reason=finish_reason)
            object_type = "chat.completion"
        else:
            choice = TextChoice(text, finish_reason=finish_reason)
            object_type = "text_completion"
        return self._completion(object_type, (choice,), self.usage(count))

    def usage(self, count):
        """Returns the Usage for ``count`` generated tokens."""
        prompt_tokens = self._request.prompt_tokens
        return Usage(prompt_tokens, count, prompt_tokens + count)

    def _completion(self, object_type, choices, usage=None):
        return Completion(
            self._id, object_type, self._created, self._request.model, choices, usage
        )


def server_sent_event(event):
    """Encodes a struct as a server-sent event with JSON data."""
    return b"data: " + _encoder.encode(event) + b"\n\n"


DONE_EVENT = b"data: [DONE]\n\n"
