"""The pause that a replica asks this host for when it turns a request away."""

import anyio

from snipetrestle.events import Event, log_event

# A damaged value must not ban a replica for hours. A replica that needs longer asks
# again, and a restart ends the pause.
MAX_PAUSE_S = 300.0
# Each host stays away up to this part of the pause longer, drawn at random, since a
# replica asks many hosts at nearly the same time.
SPREAD_FRACTION = 0.2
MAX_SPREAD_S = 1.0
# A replica may ask for many short pauses; they are logged at most this often.
LOG_INTERVAL_S = 4.0


class ReplicaPause:
    """The time until which this host sends nothing to one process of a replica."""

    __slots__ = ("_replica_id", "_rng", "_until", "_spread", "_logged_at")

    def __init__(self, replica_id, rng):
        self._replica_id = replica_id
        self._rng = rng
        self._until = 0.0
        # Part of the largest spread, the same for all refusals of one pause.
        self._spread = 0.0
        self._logged_at = -LOG_INTERVAL_S

    @property
    def is_active(self):
        return self.left_s() > 0

    def left_s(self):
        """Returns the time until the end of the pause; 0 if there is none."""
        # Asked for all replicas with each request, and most never pause.
        if self._until == 0.0:
            return 0.0
        return max(0.0, self._until - anyio.current_time())

    def note(self, pause_s):
        """Begins a pause, or extends it. An earlier refusal may name a later end."""
        now = anyio.current_time()
        pause_s = min(pause_s, MAX_PAUSE_S)
        if not self.is_active:
            self._spread = self._rng.random()
            self._log(now, pause_s)
        spread_s = self._spread * min(SPREAD_FRACTION * pause_s, MAX_SPREAD_S)
        self._until = max(self._until, now + pause_s + spread_s)

    def _log(self, now, pause_s):
        if now - self._logged_at >= LOG_INTERVAL_S:
            self._logged_at = now
            log_event(Event.REPLICA_PAUSED, replica=self._replica_id, for_s=pause_s)
