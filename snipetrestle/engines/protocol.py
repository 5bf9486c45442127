"""Interface and types towards model engines."""

import typing

import msgspec


def handle_of(adapter, version, incarnation=None):
    """Returns the name under which a copy of an adapter is loaded at an engine.

    Engines that ignore fencing numbers get the owner's incarnation in the name, so that
    an owner can only unload its own copies.
    """
    handle = f"{adapter}@{version}"
    return handle if incarnation is None else f"{handle}#{incarnation}"


class LoadOrder(msgspec.Struct, frozen=True):
    """Loads an adapter version under a handle."""

    handle: str
    adapter: str
    version: str
    fencing_number: int


class UnloadOrder(msgspec.Struct, frozen=True):
    """Unloads a handle."""

    handle: str
    fencing_number: int


class GenerateRequest(msgspec.Struct, frozen=True):
    """One generation.

    ``next_index`` is the index of the first token wanted: above zero it resumes a stream
    of the same ``request_id``. ``forced_tokens`` are tokens already received elsewhere;
    the engine continues after them. A lower ``priority`` number is served first.
    ``prefix`` identifies the shared part of the prompt for the prefix cache.
    """

    request_id: str
    handle: str
    prompt: str
    prompt_tokens: int
    max_tokens: int
    priority: int
    fencing_number: int
    next_index: int = 0
    forced_tokens: tuple[str, ...] = ()
    prefix: str = ""


class TokenBatch(msgspec.Struct):
    """Consecutive tokens of one stream. The engine echoes request id and handle."""

    request_id: str
    handle: str
    first_index: int
    tokens: tuple[str, ...]
    finish_reason: str | None = None


class EngineStatus(msgspec.Struct):
    """State of an engine. ``in_use_by_handle`` counts requests for each resident copy."""

    incarnation: str
    fencing_number: int
    adapter_slots: int
    in_use_by_handle: dict[str, int]
    running: int
    waiting: int
    role: str = "decode"


class CacheEvent(msgspec.Struct, frozen=True):
    """A change of the prefix cache. Events come late, and ``sequence`` may have gaps."""

    sequence: int
    kind: str
    handle: str
    prefix: str


class EngineError(Exception):
    """The engine could not be reached or failed; ``sent`` tells whether a call left."""

    def __init__(self, detail, sent=True):
        self.sent = sent
        super().__init__(detail)


class LoadFailed(EngineError):
    """The engine could not load an adapter."""


class NotResident(EngineError):
    """The handle is not loaded; the request did not run."""


class OldFencingNumber(EngineError):
    """The engine refused an old fencing number; the call had no effect."""

    def __init__(self, highest):
        self.highest = highest
        super().__init__(f"the engine has seen fencing number {highest}")


class EngineClient(typing.Protocol):
    """Calls to one engine."""

    async def status(self) -> EngineStatus: ...

    async def load(self, order: LoadOrder) -> None: ...

    async def unload(self, order: UnloadOrder) -> None: ...

    async def fence(self, number: int) -> EngineStatus: ...

    def generate(
        self, request: GenerateRequest
    ) -> typing.AsyncContextManager[typing.AsyncIterator[TokenBatch]]: ...

    async def change_role(self, role: str, fencing_number: int) -> None: ...

    async def cancel(self, request_id: str) -> None: ...

    async def export_kv(self, request_id: str) -> bytes: ...

    async def import_kv(self, request_id: str, data: bytes) -> None: ...

    def cache_events(self) -> typing.AsyncIterator[CacheEvent]: ...
