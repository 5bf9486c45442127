"""Bodies of the completion paths, in the shape LLM clients know."""

import functools

import msgspec
import xxhash

from snipetrestle.checking import Problem, check_struct
from snipetrestle.codes import ResultCode, ServingError

DEFAULT_MAX_TOKENS = 256
# Tokens of a prompt are estimated from its length; the engine counts the exact number.
BYTES_PER_TOKEN = 4


class StreamOptions(msgspec.Struct, forbid_unknown_fields=True):
    """Options of a stream."""

    include_usage: bool = False


class CompletionBody(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Body of ``/v1/completions``.

    Fields that would change the answer and that no engine order carries are refused as
    unknown instead of being ignored. ``prompt_cache_key`` names the shared beginning of
    prompts for the engines' prefix caches.
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
    """A checked completion request, of either path."""

    chat: bool
    model: str
    prompt: str
    prompt_tokens: int
    max_tokens: int
    stream: bool
    include_usage: bool
    prefix: str


def parse_completion(body, chat):
    """Returns the CompletionRequest of a body. Raises ServingError."""
    item = parse_json(body, ChatBody if chat else CompletionBody)
    if item.n != 1:
        raise malformed("n", item.n, "must be 1")
    if chat:
        if not item.messages:
            raise malformed("messages", "[]", "needs at least one message")
        prompt = render_chat(item.messages)
        max_tokens = item.max_completion_tokens or item.max_tokens
        if max_tokens is None:
            max_tokens = DEFAULT_MAX_TOKENS
    else:
        prompt, max_tokens = item.prompt, item.max_tokens
    if not prompt:
        raise malformed("prompt", "", "must not be empty")
    if max_tokens < 1:
        raise malformed("max_tokens", max_tokens, "must be at least 1")
    return CompletionRequest(
        chat=chat,
        model=item.model,
        prompt=prompt,
        prompt_tokens=estimate_tokens(prompt),
        max_tokens=max_tokens,
        stream=item.stream,
        include_usage=item.stream_options.include_usage,
        prefix=prefix_of(item, chat),
    )


@functools.cache
def _decoder_of(struct_type):
    return msgspec.json.Decoder(struct_type)


def parse_json(body, struct_type):
    """Returns an instance of a struct. Raises ServingError with the first problem."""
    try:
        return _decoder_of(struct_type).decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        # The slower check names the field at fault.
        return _check_json(body, struct_type)


def _check_json(body, struct_type):
    try:
        data = msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise malformed("body", "", f"must be JSON ({error})") from None
    problems = []
    item = check_struct(struct_type, data, "", problems)
    if problems:
        problem: Problem = problems[0]
        raise malformed(problem.path, problem.value, problem.rule)
    return item


def malformed(field, value, rule):
    """Returns the error of bad input."""
    return ServingError(
        ResultCode.MALFORMED_REQUEST,
        f"{field} {rule}",
        field=field,
        value=value,
        rule=rule,
    )


def render_chat(messages):
    """Returns the prompt of a chat, as its messages with their roles."""
    lines = [f"<|{message.role}|>\n{message.content}\n" for message in messages]
    return "".join(lines) + "<|assistant|>\n"


def prefix_of(item, chat):
    """Returns the name of the shared prefix; the first message is that of a chat."""
    if item.prompt_cache_key:
        return item.prompt_cache_key
    if chat and len(item.messages) > 1:
        first = item.messages[0]
        return xxhash.xxh3_64_hexdigest(f"{first.role}\0{first.content}".encode())
    return ""


def estimate_tokens(prompt):
    """Returns the estimated number of tokens of a prompt."""
    return max(1, len(prompt.encode()) // BYTES_PER_TOKEN)


class AdapterName(msgspec.Struct, frozen=True):
    """The parts of ``MODEL:ADAPTER@VERSION``."""

    model: str
    adapter: str
    version: str


def resolve_adapter(configuration, customer, text):
    """Returns the AdapterName of ``model``. Raises ServingError."""
    model, colon, rest = text.partition(":")
    adapter_name, at, version = rest.partition("@")
    if not (model and colon and adapter_name and at and version):
        raise malformed("model", text, "must be MODEL:ADAPTER@VERSION")
    if model not in configuration.models_by_name:
        raise _unknown(ResultCode.UNKNOWN_MODEL, text, f"no model {model}")
    adapter = configuration.adapters_by_name.get(adapter_name)
    if adapter is None or adapter.model != model or not customer.may_use(adapter_name):
        rule = f"no adapter {adapter_name} of model {model} for this customer"
        raise _unknown(ResultCode.UNKNOWN_ADAPTER, text, rule)
    if version not in adapter.versions:
        rule = f"versions of {adapter_name}: {', '.join(adapter.versions)}"
        raise _unknown(ResultCode.UNKNOWN_VERSION, text, rule)
    return AdapterName(model, adapter_name, version)


def _unknown(code, text, rule):
    return ServingError(code, field="model", value=text, rule=rule)


# Answers


class Usage(msgspec.Struct):
    """Tokens of a request; those of the prompt are estimated."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


class TextChoice(msgspec.Struct):
    """Choice of ``/v1/completions``."""

    text: str
    index: int = 0
    finish_reason: str | None = None


class Delta(msgspec.Struct, omit_defaults=True):
    """Part of a chat answer."""

    content: str = ""
    role: str | None = None


class ChatDeltaChoice(msgspec.Struct):
    """Choice of a streamed chat."""

    delta: Delta
    index: int = 0
    finish_reason: str | None = None


class ChatChoice(msgspec.Struct):
    """Choice of a whole chat answer."""

    message: ChatMessage
    index: int = 0
    finish_reason: str | None = None


class Completion(msgspec.Struct, omit_defaults=True):
    """Answer of either path, whole or one event of a stream."""

    id: str
    object: str
    created: int
    model: str
    choices: tuple[TextChoice | ChatDeltaChoice | ChatChoice, ...]
    usage: Usage | None = None


_encoder = msgspec.json.Encoder()


class AnswerFormat:
    """Formats the answer of one request. ``created`` is in seconds since 1970."""

    __slots__ = ("_request", "_id", "_created")

    def __init__(self, request, request_id, created):
        self._request = request
        self._id = request_id
        self._created = created

    def event(self, text, finish_reason=None):
        """Returns the server-sent event of some tokens."""
        if self._request.chat:
            choice = ChatDeltaChoice(Delta(text), finish_reason=finish_reason)
            kind = "chat.completion.chunk"
        else:
            choice = TextChoice(text, finish_reason=finish_reason)
            kind = "text_completion"
        return sse(self._completion(kind, (choice,)))

    def usage_event(self, count):
        """Returns the event that tells the number of tokens."""
        kind = "chat.completion.chunk" if self._request.chat else "text_completion"
        return sse(self._completion(kind, (), self.usage(count)))

    def whole(self, text, count, finish_reason):
        """Returns the answer that is not streamed."""
        if self._request.chat:
            message = ChatMessage("assistant", text)
            choice = ChatChoice(message, finish_reason=finish_reason)
            kind = "chat.completion"
        else:
            choice = TextChoice(text, finish_reason=finish_reason)
            kind = "text_completion"
        return self._completion(kind, (choice,), self.usage(count))

    def usage(self, count):
        prompt_tokens = self._request.prompt_tokens
        return Usage(prompt_tokens, count, prompt_tokens + count)

    def _completion(self, kind, choices, usage=None):
        return Completion(
            self._id, kind, self._created, self._request.model, choices, usage
        )


def sse(item):
    """Returns a server-sent event with a JSON body."""
    return b"data: " + _encoder.encode(item) + b"\n\n"


LAST_EVENT = b"data: [DONE]\n\n"
