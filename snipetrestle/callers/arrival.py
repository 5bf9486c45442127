"""Tells the handler of a request that its arrival was refused."""

from snipetrestle.caller_memory import FULL_RETRY_AFTER_S
from snipetrestle.codes import ResultCode, ServingError

# The key of the RequestArrival among the extensions of an ASGI scope.
ARRIVAL_EXTENSION = "snipetrestle.arrival"


class RequestArrival:
    """A request whose body arrives, and may be refused to bound what callers hold."""

    __slots__ = ("is_refused",)

    def __init__(self):
        self.is_refused = False

    @classmethod
    def from_scope(cls, scope):
        """Returns the RequestArrival of an ASGI scope.

        It is never refused if the server has set none.
        """
        return scope.get("extensions", {}).get(ARRIVAL_EXTENSION) or cls()

    def raise_if_refused(self):
        """Raises ServingError once the request is refused."""
        if self.is_refused:
            raise ServingError(
                ResultCode.QUEUE_FULL,
                "callers hold too much memory",
                retry_after=FULL_RETRY_AFTER_S,
            )
