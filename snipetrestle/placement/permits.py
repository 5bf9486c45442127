"""Interface of load permits, which allow one load from a weight store each."""

import contextlib
import enum

import anyio


class LoadClass(enum.IntEnum):
    """Class of a load by the requests that need it; lower values are served first."""

    WAITING = 0
    BATCH = 1
    SPECULATIVE = 2


class LoadDemand:
    """Requests that wait for a load. The replica's owner updates it during the wait.

    ``unblocked`` is their number, ``since`` the arrival time of the oldest one and
    ``customer`` the customer of that one.
    """

    __slots__ = ("load_class", "unblocked", "since", "customer", "_listener")

    def __init__(self, load_class, unblocked=1, since=None, customer=""):
        self.load_class = load_class
        self.unblocked = unblocked
        self.since = anyio.current_time() if since is None else since
        self.customer = customer
        self._listener = None

    def set_listener(self, listener):
        """Sets the function that is called after each change."""
        self._listener = listener

    def update(self, load_class, unblocked):
        """Changes the class and the number of requests while the permit is pending."""
        if (load_class, unblocked) == (self.load_class, self.unblocked):
            return
        self.load_class = load_class
        self.unblocked = unblocked
        if self._listener is not None:
            self._listener()


class Permit:
    """A granted permit. The holder sets ``unused`` if it did not start a load."""

    __slots__ = ("unused",)

    def __init__(self):
        self.unused = False


class UnlimitedPermits:
    """Grants every permit at once, for weight stores without a limit."""

    @contextlib.asynccontextmanager
    async def permit(self, store, load_class, unblocked=1, demand=None):
        """Waits for a permit and holds it while the context is open.

        ``unblocked`` is the number of requests that the load serves; ``demand`` is the
        LoadDemand, which may change while the permit is pending.
        """
        yield Permit()
