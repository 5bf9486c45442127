"""Members and the interface through which other subsystems see them."""

import enum
import typing

import msgspec


class MemberState(enum.StrEnum):
    """State of a member. A suspected member is still routable."""

    ALIVE = "alive"
    SUSPECTED = "suspected"
    LEAVING = "leaving"
    FAILED = "failed"
    GONE = "gone"


class Incarnation(msgspec.Struct, frozen=True, order=True):
    """Identity of one run of a daemon. ``bits`` is random.

    ``number`` increases with each run of the same name. It starts from the wall clock
    in nanoseconds and is raised above any number known for the name, so a clock that
    runs backwards cannot repeat one.
    """

    number: int
    bits: int

    def __str__(self):
        return f"{self.number:x}-{self.bits:x}"


class Member(msgspec.Struct, frozen=True):
    """One daemon as seen by another. ``address`` is its ``IP:PORT`` for peers."""

    name: str
    address: str
    failure_domain: str
    region: str
    size: float = 1.0
    state: MemberState = MemberState.ALIVE
    incarnation: Incarnation | None = None


class MembershipView(typing.Protocol):
    """Read access to the membership for the subsystems that coordinate daemons."""

    own_name: str
    own_incarnation: Incarnation
    # Increases with each change of the set of routable members.
    view_number: int

    def routable(self, region: str | None = None) -> dict[str, float]:
        """Returns sizes by name of the members that may get new work.

        The own name is included unless this daemon is leaving.
        """

    def get(self, name: str) -> Member | None: ...

    def listed_count(self) -> int:
        """Returns the number of live hosts on the platform's host list, at least 1."""

    def report_unreachable(self, name: str) -> None:
        """Requests a probe of a member that did not answer."""

    async def wait_changed(self, view_number: int) -> None:
        """Returns once ``view_number`` differs from the current one."""


class StaticMembership:
    """MembershipView with members set by the caller, for embedding and tests."""

    def __init__(self, own_name, own_incarnation, members):
        self.own_name = own_name
        self.own_incarnation = own_incarnation
        self.view_number = 0
        self.members_by_name = {member.name: member for member in members}
        self.unreachable_reports = []

    def routable(self, region=None):
        return {
            member.name: member.size
            for member in self.members_by_name.values()
            if member.state in (MemberState.ALIVE, MemberState.SUSPECTED)
            and (region is None or member.region == region)
        }

    def get(self, name):
        return self.members_by_name.get(name)

    def listed_count(self):
        return max(1, len(self.members_by_name))

    def report_unreachable(self, name):
        self.unreachable_reports.append(name)

    def set_members(self, members):
        self.members_by_name = {member.name: member for member in members}
        self.view_number += 1
