"""Foreign copies: adapter copies that were loaded at an engine in another term.

An ownership term is the time in which one daemon owns a replica without interruption.
At an engine that ignores fencing numbers, a request uses a handle only in the term that
the handle's suffix names. A foreign copy can therefore be unloaded once that term has
ended, none of its requests is left, and the engine has reported the copy as idle.
"""

import anyio

from snipetrestle.engines.terms import incarnation_number, parse_handle_term


class _ForeignCopy:
    """A foreign copy; ``term`` is its HandleTerm, None for a handle without suffix."""

    __slots__ = ("term", "term_ended", "idle_since")

    def __init__(self, term):
        self.term = term
        # Whether the term has certainly ended, and all of its requests with it.
        self.term_ended = False
        self.idle_since = None


class ForeignCopies:
    """Tracks the foreign copies at one engine that ignores fencing numbers.

    A copy must be reported idle for ``min_idle_s`` seconds before it can be unloaded.
    """

    def __init__(self, min_idle_s):
        self._min_idle_s = min_idle_s
        self._copies_by_handle = {}

    def __len__(self):
        return len(self._copies_by_handle)

    def handles(self):
        return tuple(self._copies_by_handle)

    def update_from_status(self, status, own_suffix):
        """Updates the copies from an EngineStatus.

        Copies whose handle does not end in ``own_suffix`` are foreign.
        """
        resident = status.in_use_by_handle
        for handle in self._copies_by_handle.keys() - resident.keys():
            del self._copies_by_handle[handle]
        now = anyio.current_time()
        for handle, in_use in resident.items():
            term = parse_handle_term(handle)
            if term is not None and term.suffix == own_suffix:
                continue
            copy = self._copies_by_handle.setdefault(handle, _ForeignCopy(term))
            if in_use:
                copy.idle_since = None
            elif copy.idle_since is None:
                copy.idle_since = now

    def unconfirmed_owner_names(self):
        """Returns the names of the daemons whose terms are not known to have ended."""
        return {
            copy.term.daemon_name
            for copy in self._copies_by_handle.values()
            if copy.term is not None and not copy.term_ended
        }

    def apply_owner_state(self, name, state):
        """Applies the OwnerState that the daemon ``name`` answered with."""
        for handle, copy in self._copies_by_handle.items():
            term = copy.term
            if term is None or term.daemon_name != name:
                continue
            if term.incarnation != str(state.incarnation):
                self._end_term_if_older(copy, state.incarnation)
            elif term.suffix != state.suffix and handle not in state.pinned:
                self._mark_term_ended(copy)

    def mark_host_stopped(self, name):
        """Ends the terms of a daemon whose host an operator confirmed as stopped.

        With None, ends the terms of the copies without a suffix.
        """
        for copy in self._copies_by_handle.values():
            if (copy.term.daemon_name if copy.term else None) == name:
                self._mark_term_ended(copy)

    def _end_term_if_older(self, copy, incarnation):
        number = incarnation_number(copy.term.incarnation)
        if number is not None and number < incarnation.number:
            self._mark_term_ended(copy)

    def _mark_term_ended(self, copy):
        # Engine reports lag, so only idle time from here on counts.
        if not copy.term_ended:
            copy.term_ended = True
            copy.idle_since = None

    def unloadable_handles(self):
        """Returns the handles of the copies that may be unloaded now."""
        idle_before = anyio.current_time() - self._min_idle_s
        return tuple(
            handle
            for handle, copy in self._copies_by_handle.items()
            if copy.term_ended
            and copy.idle_since is not None
            and copy.idle_since <= idle_before
        )

    def forget(self, handle):
        self._copies_by_handle.pop(handle, None)
