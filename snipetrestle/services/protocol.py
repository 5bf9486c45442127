"""Interface of the client of plain services, and its types."""

import typing

import msgspec


class ServiceCall(msgspec.Struct, frozen=True):
    """A call of an operation of a service. ``timeout`` is in seconds.

    A service that checks fencing numbers remembers the highest number for each
    idempotency key, from writes and lookups, and refuses a call with a lower one.
    """

    service: str
    operation: str
    body: bytes
    content_type: str = "application/json"
    idempotency_key: str | None = None
    fencing_number: int | None = None
    timeout: float = 10.0


class ServiceAnswer(msgspec.Struct, frozen=True):
    """Answer of a service. ``status`` is the HTTP status code."""

    status: int
    body: bytes
    content_type: str = "application/json"


class ServiceUnreachable(Exception):
    """The service did not answer.

    ``sent`` is false only if the call certainly did not reach the service.
    """

    def __init__(self, detail, sent):
        self.sent = sent
        super().__init__(detail)


class ServiceConnectionsExhausted(ServiceUnreachable):
    """This process may open no further connection; the service is not the reason."""

    def __init__(self, detail):
        super().__init__(detail, sent=False)


class OldFencingNumber(Exception):
    """The service refused an old fencing number; the call had no effect."""

    def __init__(self, highest):
        self.highest = highest
        super().__init__(f"the service has seen fencing number {highest}")


class ServiceClient(typing.Protocol):
    """Calls to plain services."""

    async def call(self, call: ServiceCall) -> ServiceAnswer:
        """Raises ServiceUnreachable or OldFencingNumber."""
