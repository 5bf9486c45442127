"""Lists replicas by their published entries, also around outages of the store.

Entries may expire while the store is down, and a store that was restored from a copy
lists replicas as they were when the copy was made. What a replica itself reported last
decides then: its start time and the number of its report order its own entries.
"""

import asyncio
import math
import typing

import anyio

from snipetrestle.events import Event, log_event

# Replicas whose entries expired while the store was down publish them again within two
# seconds of its return, so deletions take effect only after this time.
STORE_RETURN_GRACE_S = 2.2
# Added to the time after which the entry of a silent replica expires.
ENTRY_EXPIRY_MARGIN_S = 0.5
# How long a replica that has left is remembered. The copies from which a store is
# restored are younger.
DEPARTURE_RETENTION_S = 600.0


class Report(typing.NamedTuple):
    """Orders the entries that a replica has written: its start and its report count."""

    boot: int
    number: int

    @classmethod
    def of(cls, entry):
        return cls(entry.boot, entry.report_number)


class Departure(typing.NamedTuple):
    """The last report of a replica whose entry was deleted, and when that was noted."""

    report: Report
    noted_at: float


class ReplicaEntries:
    """Applies published entries to the ReplicaDirectory.

    ``entry_expiry_s`` is the time after which the store removes the entry of a silent
    replica, and ``availability`` the StoreAvailability.
    """

    def __init__(self, replicas, entry_expiry_s, availability):
        self._replicas = replicas
        self._entry_expiry_s = entry_expiry_s
        self._departures_by_id = {}
        # Ids of the replicas whose entries are gone, but may be written again.
        self._put_off_ids = set()
        self._epoch_started_at = -math.inf
        self._availability = availability
        availability.on_change(self._review_put_off)

    def note_epoch_started(self):
        """Records that the store has replaced its history.

        Replicas that are missing may be about to write again, as after an outage.
        """
        self._epoch_started_at = anyio.current_time()

    def apply(self, entry):
        """Lists a replica, or updates its entry."""
        self._departures_by_id.pop(entry.id, None)
        self._put_off_ids.discard(entry.id)
        self._replicas.list_replica(entry)

    def apply_from_copy(self, entry, is_current):
        """Lists a replica unless a newer report of it is known.

        A replica that has ended does not renew an outdated entry, so the entry counts
        if ``is_current()`` is still true once it would have expired.
        """
        if not self._is_outdated(entry):
            self.apply(entry)
            return
        log_event(
            Event.OUTDATED_ENTRY_IGNORED,
            replica=entry.id,
            boot=entry.boot,
            report_number=entry.report_number,
            state=str(entry.state),
        )

        def apply_if_current():
            if is_current():
                self.apply(entry)

        asyncio.get_running_loop().call_later(
            self._entry_expiry_s + ENTRY_EXPIRY_MARGIN_S, apply_if_current
        )

    def _is_outdated(self, entry):
        """Whether a later report of the replica, or its departure, is known."""
        report = Report.of(entry)
        departure = self._departures_by_id.get(entry.id)
        if departure is not None and report <= departure.report:
            return True
        known = self._replicas.by_id.get(entry.id)
        return known is not None and report < Report.of(known.entry)

    def unlist(self, unlisted, revision, origin):
        """Removes a replica, but not before the grace time after the store's return.

        An entry that is unusable did not expire, so its replica is removed at any time.
        ``revision`` and ``origin`` tell where the removal comes from, for the log.
        """
        replica_id = unlisted.replica_id
        replica = self._replicas.by_id.get(replica_id)
        if replica is None:
            return
        now = anyio.current_time()
        self._forget_departures(now)
        departure = Departure(Report.of(replica.entry), now)
        # The dictionary is kept in the order of departures.
        self._departures_by_id.pop(replica_id, None)
        self._departures_by_id[replica_id] = departure
        delay_s = 0.0 if unlisted.reason else self._removal_delay_s()
        log_event(
            Event.REPLICA_REMOVED,
            replica=replica_id,
            boot=replica.entry.boot,
            revision=revision,
            way=str(origin.way),
            from_host=origin.host,
            put_off_s=round(delay_s, 3),
            outage_noted_by=self._outage_noted_by() if delay_s else "",
        )
        if not delay_s:
            self._put_off_ids.discard(replica_id)
            self._replicas.unlist(replica_id)
            return
        self._put_off_ids.add(replica_id)
        asyncio.get_running_loop().call_later(delay_s, self._review_put_off)

    def _removal_delay_s(self):
        """Returns for how long replicas whose entries are gone may write again."""
        returned_at = self._epoch_started_at
        outage = self._availability.latest_outage
        if outage is not None:
            returned_at = max(returned_at, outage.ended_at)
        return max(0.0, returned_at + STORE_RETURN_GRACE_S - anyio.current_time())

    def _outage_noted_by(self):
        """Returns who noted the latest outage, for the log."""
        outage = self._availability.latest_outage
        if outage is None or outage.ended_at < self._epoch_started_at:
            return "the epoch of the store"
        return outage.noted_by

    def _review_put_off(self):
        """Removes the replicas that are still missing, once there is no more delay.

        The delay also ends when it turns out that there was no outage.
        """
        if not self._put_off_ids:
            return
        delay_s = self._removal_delay_s()
        if delay_s:
            asyncio.get_running_loop().call_later(delay_s, self._review_put_off)
            return
        missing_ids, self._put_off_ids = self._put_off_ids, set()
        for replica_id in missing_ids:
            self._replicas.unlist(replica_id)

    def _forget_departures(self, now):
        """Forgets the oldest departures; they are in the order of their time."""
        while self._departures_by_id:
            replica_id, departure = next(iter(self._departures_by_id.items()))
            if now - departure.noted_at < DEPARTURE_RETENTION_S:
                return
            del self._departures_by_id[replica_id]
