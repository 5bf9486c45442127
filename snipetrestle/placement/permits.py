"""Interface of load permits: the right to load one adapter from a weight store."""

import contextlib
import enum


class LoadClass(enum.IntEnum):
    """Class of a load; a lower number is served first."""

    WAITING = 0
    BATCH = 1
    SPECULATIVE = 2


class UnlimitedPermits:
    """Grants every permit at once; for a fleet whose store has no limit."""

    @contextlib.asynccontextmanager
    async def permit(self, store, load_class, unblocked=1):
        """Holds the right to load while the context is open.

        ``unblocked`` is the number of requests that the load serves.
        """
        yield
