"""Finds the replicas that hold an adapter: remembered places, or a question to the leader.

A place is used for PLACE_LEASE_S without asking again; after that it is still used at
once, and the leader is asked meanwhile. If the leader is silent, old places go on being
used: a replica that no longer holds the adapter refuses without running the request.
"""

import anyio

from snipetrestle.coordination.adapter_places import PLACE_LEASE_S, DecayingCount
from snipetrestle.coordination.messages import Locate, Located

ANSWER_TIMEOUT_S = 0.12
# How often a question is sent; a datagram may be lost, or the leader change.
SENDINGS = 3
NO_LEADER_PAUSE_S = 0.05
# Places that were not confirmed for this long are not used before the leader answered.
STALE_S = 15.0
MOST_REMEMBERED = 4000


class KnownPlaces:
    """Places of one adapter: when each is ready, by replica id."""

    __slots__ = (
        "ready_at_by_id",
        "confirmed_at",
        "uses",
        "demand",
        "told_term",
        "asking",
    )

    def __init__(self):
        self.ready_at_by_id = {}
        # Uses as they decay at the leader, and the leader's term that was told of them.
        self.demand = DecayingCount()
        self.told_term = 0
        self.confirmed_at = None
        self.uses = 0
        self.asking = None


class Question:
    """A question to the leader; ``places`` is None until it is answered."""

    __slots__ = ("answered", "places")

    def __init__(self):
        self.answered = anyio.Event()
        self.places = None


class Locator:
    """Places of adapters as this host knows them.

    ``ask_here(key, uses, avoid)`` asks the director of this host, for when it leads.
    ``listing(key)`` returns the replicas whose published entries list the adapter.
    """

    def __init__(self, leadership, endpoint, own_name, ask_here, listing):
        self._leadership = leadership
        self._endpoint = endpoint
        self._own_name = own_name
        self._ask_here = ask_here
        self._listing = listing
        self._by_key = {}
        self._number = 0
        self._waiting_by_number = {}
        self._group = None
        endpoint.register(Located, self._on_located)

    async def run(self):
        async with anyio.create_task_group() as group:
            self._group = group
            await anyio.sleep_forever()

    @property
    def has_leader(self):
        return self._leadership.is_known

    def remembered(self, key):
        """Counts a use and returns the known places; asks the leader if they are old."""
        places = self._by_key.get(key)
        if places is None:
            if len(self._by_key) >= MOST_REMEMBERED:
                self._by_key.pop(next(iter(self._by_key)))
            places = self._by_key[key] = KnownPlaces()
        places.uses += 1
        places.demand.add(1, anyio.current_time())
        if not places.ready_at_by_id:
            # After a restart of all hosts, entries tell before a leader does.
            return {} if self._leadership.is_known else self._listed(key)
        age_s = anyio.current_time() - places.confirmed_at
        if age_s > PLACE_LEASE_S and places.asking is None:
            self._start_asking(key, places, ())
        return places.ready_at_by_id if age_s < STALE_S else {}

    def _listed(self, key):
        now = anyio.current_time()
        return dict.fromkeys(self._listing(key), now)

    async def ask(self, key, avoid=()):
        """Asks the leader and returns the places by replica id; empty if none.

        Waits for as long as the caller lets it.
        """
        places = self._by_key.setdefault(key, KnownPlaces())
        if places.asking is None:
            self._start_asking(key, places, tuple(avoid))
        await places.asking.wait()
        return {
            replica_id: ready_at
            for replica_id, ready_at in places.ready_at_by_id.items()
            if replica_id not in avoid
        }

    def forget(self, key, replica_id):
        """Notes that a replica does not hold an adapter."""
        places = self._by_key.get(key)
        if places is not None:
            places.ready_at_by_id.pop(replica_id, None)

    def _start_asking(self, key, places, avoid):
        places.asking = anyio.Event()
        self._group.start_soon(self._refresh, key, places, avoid)

    async def _refresh(self, key, places, avoid):
        done = places.asking
        try:
            uses = self._uses_to_tell(places)
            answer = await self._ask_leader(key, uses, avoid)
            if answer is None:
                return
            places.uses = 0
            places.told_term = self._leadership.term
            now = anyio.current_time()
            places.ready_at_by_id = {
                place.replica_id: now + place.ready_in_s for place in answer
            }
            places.confirmed_at = now
        finally:
            places.asking = None
            done.set()

    def _uses_to_tell(self, places):
        """Returns the uses that the leader does not know.

        A new leader knows none, and would evict what is in demand.
        """
        if places.told_term == self._leadership.term:
            return max(1, places.uses)
        return max(1, round(places.demand.value(anyio.current_time())))

    async def _ask_leader(self, key, uses, avoid):
        """Returns the places, or None without an answer."""
        if self._leadership.leads:
            return await self._ask_here(key, uses, avoid)
        address = self._leadership.leader_address()
        if address is None:
            await anyio.sleep(NO_LEADER_PAUSE_S)
            return None
        self._number += 1
        number = self._number
        waiting = self._waiting_by_number[number] = Question()
        try:
            for _ in range(SENDINGS):
                message = Locate(
                    self._own_name, number, key.model, key.adapter, uses, avoid
                )
                self._endpoint.send(message, address)
                with anyio.move_on_after(ANSWER_TIMEOUT_S):
                    await waiting.answered.wait()
                    break
                # The first one may have arrived, so its uses are not told again.
                uses = 0
            return waiting.places
        finally:
            del self._waiting_by_number[number]

    def _on_located(self, message, address):
        waiting = self._waiting_by_number.get(message.number)
        if waiting is not None:
            waiting.places = message.places
            waiting.answered.set()
