"""State that a daemon keeps for the ownership of one replica, and the timings."""

import anyio
import msgspec

from snipetrestle.codes import ResultCode, ServingError


class OwnershipTimes(msgspec.Struct, frozen=True):
    """Timings of claims, takeovers and hand-overs, in seconds.

    A takeover takes about two queries to the old owner and two calls to the engine.
    This leaves most of the 3 s takeover target to the timeout of the daemon that
    received the request.
    """

    reconcile_interval_s: float = 0.25
    ask_timeout_s: float = 0.3
    status_poll_interval_s: float = 0.5
    engine_timeout_s: float = 1.0
    retry_delay_s: float = 1.0
    hand_over_timeout_s: float = 3.0
    # A copy counts as idle only after a time longer than the lag of engine reports.
    min_idle_s: float = 1.0
    unreachable_probe_interval_s: float = 3.0
    release_poll_interval_s: float = 0.25
    drain_idle_s: float = 1.0


class OwnedElsewhere(ServingError):
    """Another daemon owns the replica, or will own it at the next request for it."""

    def __init__(self, replica_name, owner_name):
        self.owner_name = owner_name
        super().__init__(
            ResultCode.NOT_OWNER, f"{replica_name} is owned by {owner_name}"
        )


class PendingClaim:
    """A claim in progress, whose end requests wait for."""

    __slots__ = ("ended", "error")

    def __init__(self):
        self.ended = anyio.Event()
        self.error = None


class OwnedReplica:
    """State that this daemon keeps for one replica of the configuration.

    ``owner`` is the ReplicaOwner of the term in progress, or None if this daemon does
    not own the replica. ``own_fencing_number`` and ``suffix`` are the fencing number
    and the handle suffix of that term.
    """

    def __init__(self, server, open_engine):
        self.server = server
        self._open_engine = open_engine
        self._engine = None
        self.owner = None
        self.own_fencing_number = 0
        self.suffix = ""
        self.engine_incarnation = ""
        # ReplicaOwners of ended terms whose streams are still running.
        self.ended_owners = []
        self.foreign_copies = None
        # Copies pinned since this time (by handle) because requests of an earlier owner
        # may use them. Only at an engine that checks fencing numbers.
        self.inherited_pins_since_by_handle = {}
        # Handles in the last engine status that are missing in the owner's slot table.
        self.untracked_handles = frozenset()
        # The daemon that confirmed the last hand-over. It may not be among the
        # candidates of this daemon's membership view yet.
        self.handed_over_to = None
        # Number of the membership view in which the engine fenced this daemon. It
        # claims the replica again only in another view.
        self.fenced_in_view = None
        self.lock = anyio.Lock()
        # The claim in progress that requests wait for, or None.
        self.claim = None
        self.reconciling = False
        self.next_attempt_at = 0.0

    @property
    def engine(self):
        # Opened on first use, since a daemon never owns most of the replicas.
        if self._engine is None:
            self._engine = self._open_engine(self.server)
        return self._engine

    async def close_engine(self):
        """Closes the engine client; all streams of ended terms must have finished."""
        if hasattr(self._engine, "aclose"):
            await self._engine.aclose()

    @property
    def supports_fencing(self):
        return self.server.checks_fencing_numbers

    def pinned_handles(self):
        """Returns the handles that requests of this daemon use, in all of its terms."""
        pinned = set(self.own_pinned_handles())
        for owner in self.ended_owners:
            pinned.update(owner.pins_by_handle())
        return tuple(sorted(pinned))

    def own_pinned_handles(self):
        """Returns the handles that requests of the term in progress use.

        Pins inherited from earlier owners are not counted.
        """
        if self.owner is None:
            return ()
        return tuple(
            handle
            for handle, pins in self.owner.pins_by_handle().items()
            if pins > (handle in self.inherited_pins_since_by_handle)
        )

    # Copies that an earlier owner has left at the engine

    def adopt_resident_copies(self, status):
        """Adopts all copies at the engine; those in use get an inherited pin."""
        self.inherited_pins_since_by_handle = {}
        for handle, in_use in status.in_use_by_handle.items():
            self._adopt_copy(handle, in_use)

    def adopt_untracked_copies(self, status):
        """Adopts copies that were being loaded during the takeover.

        A status may be older than an unload, so a copy is adopted only if two statuses
        in a row contain it. If even the second one is outdated, the engine refuses
        requests for the copy as not resident.
        """
        foreign_handles = (
            () if self.foreign_copies is None else self.foreign_copies.handles()
        )
        untracked_handles = frozenset(
            handle
            for handle in status.in_use_by_handle
            if handle not in foreign_handles
            and self.owner.slots.find(handle) is None
            and (self.supports_fencing or handle.endswith(f"#{self.suffix}"))
        )
        for handle in untracked_handles & self.untracked_handles:
            self._adopt_copy(handle, status.in_use_by_handle[handle])
        self.untracked_handles = untracked_handles

    def _adopt_copy(self, handle, in_use):
        self.owner.adopt_copy(handle, pins=1 if in_use else 0)
        if in_use:
            self.inherited_pins_since_by_handle[handle] = anyio.current_time()

    def release_idle_inherited_pins(self, status, min_idle_s):
        """Releases inherited pins of copies that the engine reports as idle."""
        now = anyio.current_time()
        for handle, since in tuple(self.inherited_pins_since_by_handle.items()):
            is_idle = status.in_use_by_handle.get(handle, 0) == 0
            if is_idle and now - since >= min_idle_s:
                del self.inherited_pins_since_by_handle[handle]
                self.owner.release_pins(handle)
