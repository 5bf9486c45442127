"""What a daemon holds of one replica for its ownership, and the times of claims."""

import anyio
import msgspec

from snipetrestle.codes import ResultCode, ServingError


class OwnershipTimes(msgspec.Struct, frozen=True):
    """Times of claims and takeovers, in seconds.

    A takeover takes about two asks of the old owner and two calls to the engine, which
    leaves most of the 3 s target to the entry's own time-out.
    """

    settle_period_s: float = 0.25
    ask_timeout_s: float = 0.3
    status_period_s: float = 0.5
    engine_timeout_s: float = 1.0
    retry_s: float = 1.0
    hand_over_timeout_s: float = 3.0
    # Idleness counts only once it lasted longer than the engine's report lag.
    idle_confirm_s: float = 1.0
    unreachable_hold_s: float = 3.0
    release_poll_s: float = 0.25
    linger_s: float = 1.0


class OwnedElsewhere(ServingError):
    """Another daemon owns the replica, or will at the next request for it."""

    def __init__(self, replica_name, owner_name):
        self.owner_name = owner_name
        super().__init__(
            ResultCode.NOT_OWNER, f"{replica_name} is owned by {owner_name}"
        )


class Claim:
    """A claim that requests wait for."""

    __slots__ = ("ended", "error")

    def __init__(self):
        self.ended = anyio.Event()
        self.error = None


class OwnedReplica:
    """What this daemon holds of one replica of the configuration."""

    def __init__(self, server, open_engine):
        self.server = server
        self._open_engine = open_engine
        self._engine = None
        self.owner = None
        self.number = 0
        self.suffix = ""
        self.engine_incarnation = ""
        # Owners of ended terms whose streams still run.
        self.ended_owners = []
        self.foreign = None
        # Handles of earlier terms that may be in use, at an engine that checks numbers.
        self.held_since_by_handle = {}
        # Copies in the last status that the owner's slots do not show.
        self.unlisted = frozenset()
        # The daemon that took the last hand-over, which the own view may not show yet.
        self.handed_to = None
        # The view at which this daemon was fenced. It claims again at another one.
        self.gave_up_view = None
        self.lock = anyio.Lock()
        # The claim in progress that requests wait for, or None.
        self.claim = None
        self.settling = False
        self.next_try = 0.0

    @property
    def engine(self):
        # Opened at the first use: most replicas are never this daemon's.
        if self._engine is None:
            self._engine = self._open_engine(self.server)
        return self._engine

    async def close_engine(self):
        """Closes the client once the streams of ended terms are through."""
        if hasattr(self._engine, "aclose"):
            await self._engine.aclose()

    @property
    def checks_numbers(self):
        return self.server.checks_fencing_numbers

    def pinned_handles(self):
        """Returns the handles that requests of this daemon use, of all its terms."""
        pinned = set(self.own_pinned_handles())
        for owner in self.ended_owners:
            pinned.update(owner.pins_by_handle())
        return tuple(sorted(pinned))

    def own_pinned_handles(self):
        """Returns those of the term in progress, without the holds for other owners."""
        if self.owner is None:
            return ()
        return tuple(
            handle
            for handle, pins in self.owner.pins_by_handle().items()
            if pins > (handle in self.held_since_by_handle)
        )
