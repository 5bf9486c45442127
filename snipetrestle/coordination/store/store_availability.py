"""Tells when the platform's store was away, from what all hosts got from it.

A host without answers may be the only one, as after a cut of its link. So the store was
away only while some host had lost it and no host had answers. Hosts tell each other in
heartbeats, and with the changes that they pass on, since when the store has answered
them, and how long they had lost it before.
"""

import math
import typing

import anyio

from snipetrestle.coordination.messaging.messages import StoreAccess
from snipetrestle.coordination.store.time_spans import TimeSpans
from snipetrestle.events import Event, log_event

# No entry expires in an outage that is shorter than this share of the time after which
# one does: its replica had written it before.
MIN_OUTAGE_SHARE = 0.5
# Losses of the store that ended longer ago have no consequences any more.
LOSS_RETENTION_S = 10.0
# How long the times are remembered in which hosts had answers.
ANSWERS_RETENTION_S = 60.0
# Added to the pauses between the calls of a host, for delays of its event loop.
PAUSE_MARGIN_S = 1.0
# The bounds of an outage are logged again if they move by more than this. Those that
# other hosts report vary with the delay of their messages.
MIN_CHANGE_S = 0.1


class Loss(typing.NamedTuple):
    """A time in which the store did not answer one host."""

    began_at: float
    ended_at: float


class Outage(typing.NamedTuple):
    """A time in which the store answered no host, and the host that had noted it."""

    began_at: float
    ended_at: float
    noted_by: str

    def differs_from(self, other):
        """Whether the bounds of two outages differ by more than delays explain."""
        return (
            abs(self.began_at - other.began_at) > MIN_CHANGE_S
            or abs(self.ended_at - other.ended_at) > MIN_CHANGE_S
        )


class StoreAvailability:
    """The times in which the store answered this host and the others.

    ``entry_expiry_s`` is the time after which the store removes the entry of a silent
    replica. Between two calls of this host that follow each other pass at most
    ``max_pause_s``. Times are those of the event loop.
    """

    @classmethod
    def from_feeds(cls, feeds, own_name, entry_expiry_s, pause_watch):
        """Builds it for calls that pause as the Feeds say."""
        max_pause_s = max(feed.pause_s for feed in feeds) + PAUSE_MARGIN_S
        return cls(own_name, entry_expiry_s, max_pause_s, pause_watch)

    def __init__(self, own_name, entry_expiry_s, max_pause_s, pause_watch):
        self._own_name = own_name
        self._min_outage_s = MIN_OUTAGE_SHARE * entry_expiry_s
        self._max_pause_s = max_pause_s
        self._pause_watch = pause_watch
        # The latest answers that follow each other: the first and the last one.
        self._answered_since = None
        self._answered_until = None
        # Since when the store has not answered, and what was lost before the answers.
        self._lost_at = None
        self._own_loss = None
        self._resumed_at = -math.inf
        self._answered_spans = TimeSpans()
        self._losses_by_host = {}
        self._outage = None
        self._listeners = []
        pause_watch.on_pause(self._note_pause)

    @property
    def latest_outage(self):
        """The latest Outage in which entries may have expired; None without one."""
        return self._outage

    def on_change(self, listener):
        """Registers ``listener()``, which is called when the latest outage changes."""
        self._listeners.append(listener)

    # The calls of this host.

    def note_answer(self, asked_at):
        """Records an answer of the store to a call that began at ``asked_at``."""
        self._pause_watch.check()
        if asked_at < self._resumed_at:
            # The answer may have waited here while the process was paused.
            return
        now = anyio.current_time()
        if self._lost_at is not None or not self._follows_last_answer(asked_at):
            self._answered_since = now
            self._own_loss = None
        if self._lost_at is not None:
            self._own_loss = Loss(self._lost_at, now)
            self._losses_by_host[self._own_name] = self._own_loss
            self._lost_at = None
        self._answered_until = now
        self._answered_spans.add(self._answered_since, now)
        self._review(now)

    def note_failure(self, asked_at):
        """Records that the store did not answer a call that began at ``asked_at``."""
        self._pause_watch.check()
        if self._lost_at is not None or asked_at < self._resumed_at:
            return
        if self._answered_until is None:
            # An outage may have begun before this host did.
            self._lost_at = asked_at - self._min_outage_s
        elif self._follows_last_answer(asked_at):
            self._lost_at = self._answered_until
        else:
            self._lost_at = asked_at

    def _follows_last_answer(self, asked_at):
        """Whether a call began so soon that the time since the last answer counts."""
        last = self._answered_until
        if last is None or last < self._resumed_at:
            return False
        return asked_at - last <= self._max_pause_s

    def _note_pause(self, paused_s):
        self._resumed_at = anyio.current_time()

    def own_access(self):
        """Returns the StoreAccess that tells others about this host's calls.

        It contains nothing that is older than ANSWERS_RETENTION_S.
        """
        now = anyio.current_time()
        oldest = now - ANSWERS_RETENTION_S
        if self._answered_until is None or self._answered_until < oldest:
            return StoreAccess()
        since = max(oldest, self._answered_since)
        loss = self._own_loss
        has_loss = loss is not None and loss.ended_at > oldest
        return StoreAccess(
            _age_ms(now, since),
            _age_ms(now, self._answered_until),
            _age_ms(now, max(oldest, loss.began_at)) if has_loss else -1,
        )

    # The calls of other hosts.

    def note_access(self, host, access):
        """Records the StoreAccess of another host, by its name."""
        if access.until_age_ms < 0 or access.since_age_ms < access.until_age_ms:
            return
        now = anyio.current_time()
        since = now - access.since_age_ms / 1000
        self._answered_spans.add(since, now - access.until_age_ms / 1000)
        if access.lost_age_ms >= access.since_age_ms:
            lost_at = now - access.lost_age_ms / 1000
            self._losses_by_host[host] = Loss(lost_at, since)
        self._review(now)

    # Outages.

    def _review(self, now):
        """Finds the latest outage, and tells the listeners if it has changed."""
        self._forget_old(now)
        outage = self._find_outage(now - LOSS_RETENTION_S)
        known, self._outage = self._outage, outage
        if outage is None and known is None:
            return
        if outage is None:
            if now - known.ended_at < LOSS_RETENTION_S:
                _log_outage(Event.STORE_OUTAGE_DENIED, known, now)
                self._notify()
        elif known is None or outage.differs_from(known):
            _log_outage(Event.STORE_OUTAGE_NOTED, outage, now)
            self._notify()

    def _notify(self):
        for listener in self._listeners:
            listener()

    def _find_outage(self, since):
        """Returns the Outage that ended last; None if no entry expired ``since``."""
        outages = [
            Outage(began_at, ended_at, host)
            for host, loss in self._losses_by_host.items()
            for began_at, ended_at in self._answered_spans.gaps(*loss)
            if ended_at - began_at >= self._min_outage_s and ended_at > since
        ]
        return max(outages, key=lambda outage: outage.ended_at, default=None)

    def _forget_old(self, now):
        if not self._losses_by_host:
            self._answered_spans.drop_before(now - ANSWERS_RETENTION_S)
            return
        self._losses_by_host = {
            host: loss
            for host, loss in self._losses_by_host.items()
            if now - loss.ended_at < LOSS_RETENTION_S
        }


def _log_outage(event, outage, now):
    log_event(
        event,
        away_s=round(outage.ended_at - outage.began_at, 3),
        ended_s_ago=round(now - outage.ended_at, 3),
        noted_by=outage.noted_by,
    )


def _age_ms(now, time):
    """Returns the age of a time of the event loop in whole milliseconds."""
    return round((now - time) * 1000)
