"""Lists replicas by their published entries, also around outages of the store.

Entries may expire while the store is down, and a store that was restored from a copy
lists replicas as they were when the copy was made. What a replica itself reported last
decides then: its start time and the number of its report order its own entries.
"""

import asyncio
import typing

import anyio

from snipetrestle.events import Event, log_event

# Replicas whose entries expired while the store was down publish them again within two
# seconds of its return, so deletions take effect only after this time.
STORE_RETURN_GRACE_S = 2.2
# No entry expires in an outage that is shorter than this share of the time after which
# one does: its replica had written it before.
MIN_OUTAGE_SHARE = 0.5
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
    replica.
    """

    def __init__(self, replicas, entry_expiry_s):
        self._replicas = replicas
        self._entry_expiry_s = entry_expiry_s
        self._departures_by_id = {}
        self._store_returned_at = -STORE_RETURN_GRACE_S
        # The host that noticed the return, or the name of this process's own calls.
        self._return_noted_by = ""

    def note_store_returned(self, at, noted_by):
        """Records that the store can be reached again, or has replaced its history.

        ``noted_by`` names the host that noticed it, for the log.
        """
        if at > self._store_returned_at:
            self._store_returned_at = at
            self._return_noted_by = noted_by

    def may_expire_within(self, outage_s):
        """Whether the entry of a sound replica may expire in an outage of the store."""
        return outage_s >= MIN_OUTAGE_SHARE * self._entry_expiry_s

    def store_returned_age_s(self):
        """Returns the time since the store was last unreachable; -1 if never."""
        if self._store_returned_at < 0:
            return -1.0
        return anyio.current_time() - self._store_returned_at

    def apply(self, entry):
        """Lists a replica, or updates its entry."""
        self._departures_by_id.pop(entry.id, None)
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
        delay_s = max(0.0, self._store_returned_at + STORE_RETURN_GRACE_S - now)
        if unlisted.reason:
            delay_s = 0.0
        log_event(
            Event.REPLICA_REMOVED,
            replica=replica_id,
            boot=replica.entry.boot,
            revision=revision,
            way=str(origin.way),
            from_host=origin.host,
            put_off_s=round(delay_s, 3),
            outage_noted_by=self._return_noted_by if delay_s else "",
        )
        if not delay_s:
            self._replicas.unlist(replica_id)
            return
        asyncio.get_running_loop().call_later(
            delay_s, self._unlist_if_departed, replica_id, departure
        )

    def _unlist_if_departed(self, replica_id, departure):
        if self._departures_by_id.get(replica_id) is departure:
            self._replicas.unlist(replica_id)

    def _forget_departures(self, now):
        """Forgets the oldest departures; they are in the order of their time."""
        while self._departures_by_id:
            replica_id, departure = next(iter(self._departures_by_id.items()))
            if now - departure.noted_at < DEPARTURE_RETENTION_S:
                return
            del self._departures_by_id[replica_id]
