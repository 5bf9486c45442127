"""Finds the replicas that hold an adapter, in a cache or by asking the leader.

Cached locations are used for LOCATION_TTL_S without asking. After that they are still
used while the leader is asked in the background. If the leader does not answer, they
remain in use until MAX_LOCATION_AGE_S: a replica that no longer holds the adapter
refuses without running the request.
"""

import anyio

from snipetrestle.coordination.messaging.datagram_requests import DatagramRequests
from snipetrestle.coordination.messaging.messages import Locate, Located
from snipetrestle.coordination.messaging.report_rounds import fitting
from snipetrestle.coordination.placement.adapter_demand import DEMAND_HALF_LIFE_S
from snipetrestle.coordination.placement.adapter_places import LOCATION_TTL_S
from snipetrestle.coordination.placement.decaying_count import DecayingCount
from snipetrestle.gateway.configuration import MAX_NAME_LENGTH
from snipetrestle.supervision import run_isolated

# A lookup is sent up to this often; a datagram may be lost, or the leader change.
MAX_LOOKUP_SENDS = 3
NO_LEADER_DELAY_S = 0.05
# Locations older than this are used only once the leader has confirmed them.
MAX_LOCATION_AGE_S = 15.0
MAX_CACHED_ADAPTERS = 4000
# The replica ids of each of the two lists in a lookup. Further ones are only left out
# of the answer by the host that asks.
MAX_IDS_BYTES = 8192


class CachedLocations:
    """Locations of one adapter: when each replica is ready, by replica id."""

    __slots__ = (
        "ready_at_by_id",
        "confirmed_at",
        "uses",
        "demand",
        "reported_term",
        "refreshed",
        "version_lookups",
    )

    def __init__(self):
        self.ready_at_by_id = {}
        # All uses, with the decay that the leader applies, and the term of the leader
        # to which they were last reported.
        self.demand = DecayingCount(DEMAND_HALF_LIFE_S)
        self.reported_term = 0
        self.confirmed_at = None
        # Uses that were not reported yet.
        self.uses = 0
        # Event that is set at the end of the refresh in progress; None without one.
        self.refreshed = None
        # VersionLookups in progress, by software version.
        self.version_lookups = {}


class VersionLookup:
    """A question for the replicas of one software version that hold an adapter.

    ``ready_at_by_id`` is empty without an answer while a leader is known.
    """

    __slots__ = ("answered", "ready_at_by_id")

    def __init__(self):
        self.answered = anyio.Event()
        self.ready_at_by_id = {}


class Locator:
    """Looks up the locations of adapters for this host.

    ``locate_here(key, uses, avoid, limited, software_version)`` asks this host's own
    placement controller, for when it leads.
    ``published_replicas(key)`` returns the replicas whose published entries list the
    adapter. ``note_load(replica_id, load)`` is called with the ReplicaLoad of each
    location that carries one.
    """

    def __init__(
        self,
        leadership,
        endpoint,
        own_name,
        locate_here,
        published_replicas,
        note_load,
    ):
        self._leadership = leadership
        self._own_name = own_name
        self._locate_here = locate_here
        self._published_replicas = published_replicas
        self._note_load = note_load
        self._cached_by_key = {}
        self._requests = DatagramRequests(endpoint, Located, self._note_loads)
        self._task_group = None

    async def run(self):
        async with anyio.create_task_group() as group:
            self._task_group = group
            await anyio.sleep_forever()

    @property
    def has_leader(self):
        return self._leadership.has_recent_leader

    def cached_locations(self, key):
        """Counts a use and returns the cached locations: ready times by replica id.

        Starts a refresh in the background if they are older than LOCATION_TTL_S.
        """
        cached = self._cached_by_key.get(key)
        if cached is None:
            if len(self._cached_by_key) >= MAX_CACHED_ADAPTERS:
                self._cached_by_key.pop(next(iter(self._cached_by_key)))
            cached = self._cached_by_key[key] = CachedLocations()
        cached.uses += 1
        cached.demand.add(1, anyio.current_time())
        if not cached.ready_at_by_id:
            # After a restart of all hosts, published entries are available before a
            # leader is.
            return (
                {}
                if self._leadership.has_recent_leader
                else self._published_locations(key)
            )
        age_s = anyio.current_time() - cached.confirmed_at
        if age_s > LOCATION_TTL_S and cached.refreshed is None:
            self._start_refresh(key, cached)
        return cached.ready_at_by_id if age_s < MAX_LOCATION_AGE_S else {}

    def _published_locations(self, key):
        now = anyio.current_time()
        return dict.fromkeys(self._published_replicas(key), now)

    async def look_up(self, key, avoid=(), limited=(), software_version=""):
        """Asks the leader and returns ready times by replica id; empty if none.

        Counts no use, so a request may ask again and remains one use.

        Replicas whose ids are in ``avoid`` or ``limited`` are not returned; those in
        ``avoid`` did not serve the adapter. With a ``software_version``, the leader
        only returns replicas of it; without a leader, the replicas whose entries list
        the adapter are returned, of any version. Has no timeout of its own: the caller limits the
        wait.
        """
        cached = self._cached_by_key.setdefault(key, CachedLocations())
        places = await (
            self._look_up_version(key, cached, avoid, limited, software_version)
            if software_version
            else self._look_up_any(key, cached, avoid, limited)
        )
        return {
            replica_id: ready_at
            for replica_id, ready_at in places.items()
            if replica_id not in avoid and replica_id not in limited
        }

    async def _look_up_any(self, key, cached, avoid, limited):
        if cached.refreshed is None:
            self._start_refresh(key, cached, tuple(avoid), tuple(limited))
        await cached.refreshed.wait()
        return cached.ready_at_by_id

    async def _look_up_version(self, key, cached, avoid, limited, software_version):
        lookup = cached.version_lookups.get(software_version)
        if lookup is None:
            lookup = cached.version_lookups[software_version] = VersionLookup()
            self._task_group.start_soon(
                run_isolated,
                self._ask_for_version,
                key,
                cached,
                tuple(avoid),
                tuple(limited),
                software_version,
            )
        await lookup.answered.wait()
        return lookup.ready_at_by_id

    async def _ask_for_version(self, key, cached, avoid, limited, software_version):
        lookup = cached.version_lookups[software_version]
        try:
            locations = await self._report_and_ask(
                key, cached, avoid, limited, software_version
            )
            if locations is None and not self._leadership.has_recent_leader:
                lookup.ready_at_by_id = self._published_locations(key)
                return
            lookup.ready_at_by_id = _ready_times(locations or ())
            # Alone, these would be a part of what requests for any version need.
            if cached.ready_at_by_id:
                cached.ready_at_by_id.update(lookup.ready_at_by_id)
        finally:
            del cached.version_lookups[software_version]
            lookup.answered.set()

    def forget(self, key, replica_id):
        """Removes a replica that does not hold an adapter from its cached locations."""
        cached = self._cached_by_key.get(key)
        if cached is not None:
            cached.ready_at_by_id.pop(replica_id, None)

    def _start_refresh(self, key, cached, avoid=(), limited=()):
        cached.refreshed = anyio.Event()
        self._task_group.start_soon(
            run_isolated, self._refresh, key, cached, avoid, limited
        )

    async def _refresh(self, key, cached, avoid, limited):
        done = cached.refreshed
        try:
            locations = await self._report_and_ask(key, cached, avoid, limited)
            if locations is None:
                return
            known = cached.ready_at_by_id
            cached.ready_at_by_id = {
                replica_id: known[replica_id]
                for replica_id in limited
                if replica_id in known
            }
            cached.ready_at_by_id.update(_ready_times(locations))
            cached.confirmed_at = anyio.current_time()
        finally:
            cached.refreshed = None
            done.set()

    async def _report_and_ask(self, key, cached, avoid, limited, software_version=""):
        """Asks the leader, and tells it the uses of the adapter.

        Returns the locations, or None without an answer. A question that begins
        meanwhile tells only of later uses.
        """
        told_uses, known_term = cached.uses, cached.reported_term
        uses = self._unreported_uses(cached)
        cached.uses = 0
        cached.reported_term = self._leadership.term
        locations = None
        try:
            locations = await self._ask_leader(
                key, uses, avoid, limited, software_version
            )
        finally:
            if locations is None:
                cached.uses += told_uses
                cached.reported_term = known_term
        return locations

    def _unreported_uses(self, cached):
        """Returns the uses that the leader does not know.

        A new leader knows none, and would evict adapters that are in demand.
        """
        if cached.reported_term == self._leadership.term:
            return cached.uses
        return max(1, round(cached.demand.value(anyio.current_time())))

    async def _ask_leader(self, key, uses, avoid, limited, software_version):
        """Returns the locations, or None without an answer."""
        if self._leadership.leads:
            return await self._locate_here(key, uses, avoid, limited, software_version)
        address = self._leadership.leader_address()
        # No adapter has a longer name, and the leader could not read the message.
        is_nameable = max(len(key.model), len(key.adapter)) <= MAX_NAME_LENGTH
        if address is None or not is_nameable:
            await anyio.sleep(NO_LEADER_DELAY_S)
            return None

        # The last replicas that did not serve it are at the end.
        avoid = fitting(avoid[::-1], MAX_IDS_BYTES)
        limited = fitting(limited, MAX_IDS_BYTES)

        def build_request(number, is_first):
            # The first message may have arrived, so its uses are not sent again.
            return Locate(
                self._own_name,
                number,
                key.model,
                key.adapter,
                uses if is_first else 0,
                avoid,
                limited,
                software_version,
            )

        answer = await self._requests.ask(build_request, address, MAX_LOOKUP_SENDS)
        return None if answer is None else answer.locations

    def _note_loads(self, message):
        for location in message.locations:
            if location.load is not None:
                self._note_load(location.replica_id, location.load)


def _ready_times(locations):
    """Returns the ready times of AdapterLocations by replica id."""
    now = anyio.current_time()
    return {item.replica_id: now + item.ready_in_s for item in locations}
