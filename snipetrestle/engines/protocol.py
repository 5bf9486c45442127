"""Interface of the engine client and the types that it exchanges with engines."""

import typing

import msgspec


def format_handle(adapter, version, suffix=None):
    """Returns the handle under which an engine loads a copy of an adapter version.

    At engines that ignore fencing numbers, ``suffix`` names the owner's term, so that
    an owner can unload only its own copies.
    """
    handle = f"{adapter}@{version}"
    return handle if suffix is None else f"{handle}#{suffix}"


class LoadOrder(msgspec.Struct, frozen=True):
    """Order to load an adapter version under a handle."""

    handle: str
    adapter: str
    version: str
    fencing_number: int


class UnloadOrder(msgspec.Struct, frozen=True):
    """Order to unload the copy with a handle."""

    handle: str
    fencing_number: int


class GenerateRequest(msgspec.Struct, frozen=True):
    """Request to generate tokens with a loaded copy.

    ``next_index`` is the index of the first token to return; above zero it resumes the
    stream with the same ``request_id``. ``forced_tokens`` are tokens that another
    engine or an earlier stream has generated; the engine continues after them. A lower
    ``priority`` number is served first. ``prefix`` identifies the shared part of the
    prompt for the prefix cache.
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
    """Consecutive tokens of one stream.

    The engine echoes the request id and the handle, so that the owner can verify them.
    """

    request_id: str
    handle: str
    first_index: int
    tokens: tuple[str, ...]
    finish_reason: str | None = None


class EngineStatus(msgspec.Struct):
    """State of an engine.

    ``in_use_by_handle`` maps the handle of each resident copy to its number of running
    requests.
    """

    incarnation: str
    fencing_number: int
    adapter_slots: int
    in_use_by_handle: dict[str, int]
    running: int
    waiting: int
    role: str = "decode"


class CacheEvent(msgspec.Struct, frozen=True):
    """A change of an engine's prefix cache.

    Events arrive with a delay, and ``sequence`` may have gaps.
    """

    sequence: int
    kind: str
    handle: str
    prefix: str


class EngineError(Exception):
    """The engine could not be reached or failed.

    ``sent`` is false only if the call certainly did not reach the engine.
    """

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
    """Calls to one engine. All of them raise EngineError."""

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
