"""Ownership terms: fencing numbers and the handles of one term.

A fencing number is a counter followed by the random bits of the owner's incarnation.
Two daemons that read the same highest number at the same time thus use different ones,
and the engine refuses the lower of them.
"""

import msgspec

# Low bits of a fencing number; as many as an incarnation has random bits.
_OWNER_BITS = 32
_OWNER_MASK = (1 << _OWNER_BITS) - 1


def next_fencing_number(highest, incarnation):
    """Returns the number of a new term above the highest one the engine has seen."""
    counter = (highest >> _OWNER_BITS) + 1
    return (counter << _OWNER_BITS) | (incarnation.bits & _OWNER_MASK)


class HandleOwner(msgspec.Struct, frozen=True):
    """Whose term a handle belongs to, as its suffix tells."""

    suffix: str
    incarnation: str
    name: str


def handle_suffix(name, incarnation, term):
    """Returns the suffix of handles loaded in one term of a daemon's incarnation.

    ``term`` counts the daemon's terms, so that a daemon that takes a replica back does
    not use the handles that it gave away.
    """
    return f"{incarnation}.{term}.{name}"


def handle_owner(handle):
    """Returns the HandleOwner of a handle, or None if it has no suffix."""
    _, mark, suffix = handle.partition("#")
    parts = suffix.split(".", 2)
    if not mark or len(parts) != 3:
        return None
    return HandleOwner(suffix, parts[0], parts[2])


def incarnation_number(text):
    """Returns the number of an incarnation's text form, or None."""
    try:
        return int(text.partition("-")[0], 16)
    except ValueError:
        return None
