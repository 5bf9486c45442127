"""Measures how long the requests of each route usually take."""

# Weight of the latest request in the mean of its route.
LATEST_WEIGHT = 0.1


class UsualDurations:
    """The usual time between passing a request on and its end, by route name."""

    def __init__(self):
        self._mean_s_by_route = {}

    def note(self, route, duration_s):
        """Records a request of a route that was served."""
        mean_s = self._mean_s_by_route.get(route.name, duration_s)
        self._mean_s_by_route[route.name] = mean_s + LATEST_WEIGHT * (
            duration_s - mean_s
        )

    def usual_s(self, route):
        """Returns the mean time, but at least the route's target latency."""
        mean_s = self._mean_s_by_route.get(route.name, 0.0)
        return max(mean_s, route.target_latency_s)
