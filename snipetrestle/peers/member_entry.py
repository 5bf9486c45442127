"""A daemon's state of one other member."""

import math

from snipetrestle.peers.members import Incarnation, Member, MemberState
from snipetrestle.peers.membership_messages import Health, MemberUpdate


class MemberEntry:
    """State of one other member, from its updates and the host list.

    ``update`` is the latest MemberUpdate about it, without the metadata.
    ``suspected_until`` is when a suspicion that was not refuted becomes a failure.
    """

    __slots__ = ("update", "metadata", "listed", "listed_leaving", "suspected_until")

    def __init__(self, name, metadata):
        self.update = MemberUpdate(name, 0, 0, 0, Health.ALIVE)
        self.metadata = metadata
        self.listed = False
        self.listed_leaving = False
        self.suspected_until = math.inf

    @property
    def state(self):
        if self.update.health is Health.FAILED:
            return MemberState.FAILED if self.listed else MemberState.GONE
        if self.update.leaving or self.listed_leaving:
            return MemberState.LEAVING
        if self.update.health is Health.SUSPECTED:
            return MemberState.SUSPECTED
        return MemberState.ALIVE

    def incarnation(self):
        update = self.update
        return Incarnation(update.number, update.bits) if update.number else None

    def member(self):
        metadata = self.metadata
        return Member(
            self.update.name,
            metadata.address,
            metadata.failure_domain,
            metadata.region,
            metadata.size,
            self.state,
            self.incarnation(),
        )
