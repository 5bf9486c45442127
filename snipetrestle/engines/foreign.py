"""Copies at an engine that other terms loaded, and when they may be unloaded.

On an engine that ignores fencing numbers, requests are started on a handle only in the
term that its suffix names. A foreign copy is therefore free once that term has ended,
none of its requests is left, and the engine has shown the copy idle.
"""

import anyio

from snipetrestle.engines.terms import handle_owner, incarnation_number


class _ForeignCopy:
    __slots__ = ("owner", "ended", "idle_since")

    def __init__(self, owner):
        self.owner = owner
        # Whether the handle's term has certainly ended, and its requests with it.
        self.ended = False
        self.idle_since = None


class ForeignCopies:
    """The foreign copies of one engine that ignores fencing numbers."""

    def __init__(self, idle_confirm_s):
        self._idle_confirm_s = idle_confirm_s
        self._copies_by_handle = {}

    def __len__(self):
        return len(self._copies_by_handle)

    def handles(self):
        return tuple(self._copies_by_handle)

    def note_status(self, status, own_suffix):
        """Takes a status of the engine. Copies without the own suffix are foreign."""
        resident = status.in_use_by_handle
        for handle in self._copies_by_handle.keys() - resident.keys():
            del self._copies_by_handle[handle]
        now = anyio.current_time()
        for handle, in_use in resident.items():
            owner = handle_owner(handle)
            if owner is not None and owner.suffix == own_suffix:
                continue
            copy = self._copies_by_handle.setdefault(handle, _ForeignCopy(owner))
            if in_use:
                copy.idle_since = None
            elif copy.idle_since is None:
                copy.idle_since = now

    def names_to_ask(self):
        """Returns the daemons whose terms are not known to have ended."""
        return {
            copy.owner.name
            for copy in self._copies_by_handle.values()
            if copy.owner is not None and not copy.ended
        }

    def note_state(self, name, state):
        """Takes the OwnerState with which a daemon answered."""
        for handle, copy in self._copies_by_handle.items():
            owner = copy.owner
            if owner is None or owner.name != name:
                continue
            if owner.incarnation != str(state.incarnation):
                self._note_incarnation(copy, state.incarnation)
            elif owner.suffix != state.suffix and handle not in state.pinned:
                self._end(copy)

    def note_stopped(self, name):
        """Takes an operator's word that a daemon's host is stopped.

        With None, also copies without a suffix are freed.
        """
        for copy in self._copies_by_handle.values():
            if (copy.owner.name if copy.owner else None) == name:
                self._end(copy)

    def _note_incarnation(self, copy, incarnation):
        number = incarnation_number(copy.owner.incarnation)
        if number is not None and number < incarnation.number:
            self._end(copy)

    def _end(self, copy):
        # The engine's reports lag, so idleness counts from here on.
        if not copy.ended:
            copy.ended = True
            copy.idle_since = None

    def free_handles(self):
        """Returns the handles that may be unloaded now."""
        latest = anyio.current_time() - self._idle_confirm_s
        return tuple(
            handle
            for handle, copy in self._copies_by_handle.items()
            if copy.ended and copy.idle_since is not None and copy.idle_since <= latest
        )

    def forget(self, handle):
        self._copies_by_handle.pop(handle, None)
