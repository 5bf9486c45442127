"""Divides the grace period of a planned stop into its phases."""

# After the drain starts, the load balancer sends new connections for up to this long,
# until it has noticed that this host is not ready.
LOAD_BALANCER_DELAY_S = 2.5
# The same for short grace periods, as a share of them, so that requests can end.
MAX_ACCEPTING_SHARE = 1 / 3
# Time left of the grace period when the last connections are closed, and its greatest
# share of a short grace period.
GRACE_MARGIN_S = 0.6
MAX_GRACE_MARGIN_SHARE = 0.1
# Time kept of the grace period after the callers' port is closed, for connections that
# were accepted just before, and its greatest share of a short grace period.
LAST_CONNECTIONS_S = 0.3
MAX_LAST_CONNECTIONS_SHARE = 0.05


class DrainTimes:
    """The phases of a planned stop, in seconds after the stop signal.

    From ``bound_new_s`` on, new requests are passed on only if their deadline is before
    ``give_up_s``, and idle connections are ended. The requests that are left at
    ``give_up_s`` are ended, each with its final answer; this is in the last sixth of
    the grace period. The last connections are closed at ``end_s``.
    """

    __slots__ = ("bound_new_s", "give_up_s", "end_s")

    @classmethod
    def from_grace(cls, grace_s):
        """Returns the times for a grace period in seconds."""
        margin_s = min(GRACE_MARGIN_S, MAX_GRACE_MARGIN_SHARE * grace_s)
        last_connections_s = min(
            LAST_CONNECTIONS_S, MAX_LAST_CONNECTIONS_SHARE * grace_s
        )
        end_s = grace_s - margin_s
        return cls(
            min(LOAD_BALANCER_DELAY_S, MAX_ACCEPTING_SHARE * grace_s),
            end_s - last_connections_s,
            end_s,
        )

    def __init__(self, bound_new_s, give_up_s, end_s):
        self.bound_new_s = bound_new_s
        self.give_up_s = give_up_s
        self.end_s = end_s
