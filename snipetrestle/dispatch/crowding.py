"""Tells which backends are crowded, so that permits are asked for.

While none is, requests are sent as they come, and hosts exchange no messages for them.
"""

import math

import anyio

from snipetrestle.events import Event, log_event

# How long a replica's refusal, or an owner's answer, makes a backend crowded.
CROWDED_S = 10.0
# An owner's answer makes a backend crowded if at least this part of its capacity is in
# use.
CROWDED_USE = 0.5
# The begin of a crowded time is logged at most this often for each backend.
LOG_INTERVAL_S = 30.0


class _GroupState:
    """What the owner of a group last reported."""

    __slots__ = ("free", "use", "heard_at")

    def __init__(self, free, use):
        self.free = free
        self.use = use
        self.heard_at = anyio.current_time()


class CrowdedBackend:
    """What this host knows of the load of one backend."""

    __slots__ = ("turned_away_at", "groups", "is_crowded", "logged_at", "is_logged")

    def __init__(self):
        self.turned_away_at = -math.inf
        self.groups = {}
        self.is_crowded = False
        self.logged_at = -math.inf
        self.is_logged = False

    def must_ask(self):
        """Whether the backend is crowded now."""
        now = anyio.current_time()
        if now - self.turned_away_at <= CROWDED_S:
            return True
        return any(
            item.use >= CROWDED_USE and now - item.heard_at <= CROWDED_S
            for item in self.groups.values()
        )


class Crowding:
    """The backends that have been crowded, by name."""

    def __init__(self):
        self._by_backend = {}

    def note_turned_away(self, backend):
        """Records that a replica has turned a request of this host away."""
        state = self._by_backend.setdefault(backend, CrowdedBackend())
        state.turned_away_at = anyio.current_time()
        self._update(backend, state)

    def note_group(self, backend, group, free, use):
        """Records what the owner of a group has reported."""
        state = self._by_backend.setdefault(backend, CrowdedBackend())
        state.groups[group] = _GroupState(free, use)
        self._update(backend, state)

    def is_crowded(self, backend):
        """Whether permits are to be asked for."""
        state = self._by_backend.get(backend)
        return state is not None and self._update(backend, state)

    def free(self, backend, group):
        """Returns the free places that a group reported recently; None if it did not."""
        state = self._by_backend.get(backend)
        known = None if state is None else state.groups.get(group)
        if known is None or anyio.current_time() - known.heard_at > CROWDED_S:
            return None
        return known.free

    def update_all(self):
        """Notes the ends of crowded times. Returns whether any backend is crowded."""
        for backend, state in list(self._by_backend.items()):
            if not self._update(backend, state):
                is_recent = anyio.current_time() - state.logged_at <= LOG_INTERVAL_S
                if not is_recent:
                    del self._by_backend[backend]
        return bool(self._by_backend)

    def _update(self, backend, state):
        is_crowded = state.must_ask()
        if is_crowded != state.is_crowded:
            state.is_crowded = is_crowded
            self._log(backend, state)
        return is_crowded

    @staticmethod
    def _log(backend, state):
        """Logs a begin unless one was logged recently, and the end of a logged one."""
        now = anyio.current_time()
        if not state.is_crowded:
            if state.is_logged:
                log_event(
                    Event.BACKEND_CROWDED_ENDED,
                    backend=backend,
                    after_s=round(now - state.logged_at, 1),
                )
            state.is_logged = False
        elif now - state.logged_at >= LOG_INTERVAL_S:
            state.logged_at = now
            state.is_logged = True
            log_event(Event.BACKEND_CROWDED, backend=backend)
