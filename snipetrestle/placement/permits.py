"""Interface of load permits: the right to load one adapter from a weight store."""

import contextlib
import enum

import anyio


class LoadClass(enum.IntEnum):
    """Class of a load; a lower number is served first."""

    WAITING = 0
    BATCH = 1
    SPECULATIVE = 2


class LoadDemand:
    """What a load unblocks. The owner of the load changes it while it waits."""

    __slots__ = ("load_class", "unblocked", "since", "customer", "_listener")

    def __init__(self, load_class, unblocked=1, since=None, customer=""):
        self.load_class = load_class
        self.unblocked = unblocked
        self.since = anyio.current_time() if since is None else since
        self.customer = customer
        self._listener = None

    def listen(self, listener):
        self._listener = listener

    def update(self, load_class, unblocked):
        """Raises the order of the load while its permit is pending."""
        if (load_class, unblocked) == (self.load_class, self.unblocked):
            return
        self.load_class = load_class
        self.unblocked = unblocked
        if self._listener is not None:
            self._listener()


class Permit:
    """A granted permit; ``unused`` is set where no load was ordered."""

    __slots__ = ("unused",)

    def __init__(self):
        self.unused = False


class UnlimitedPermits:
    """Grants every permit at once; for a fleet whose store has no limit."""

    @contextlib.asynccontextmanager
    async def permit(self, store, load_class, unblocked=1, demand=None):
        """Holds the right to load while the context is open.

        ``unblocked`` is the number of requests that the load serves; ``demand`` is the
        LoadDemand that may change while the permit is pending.
        """
        yield Permit()
