"""What a round of listings tells of each prompt part that it was asked for."""

import enum


class Finding(enum.StrEnum):
    """Whether one version only can keep a part, else the reason that it is not known.

    The values name fields of the line about a round.
    """

    KNOWN = "known"
    NOWHERE = "kept_nowhere"
    SEVERAL = "several_versions"
    SILENT = "silent_may_keep"
    UNKNOWN_VERSION = "unknown_version"


def find(versions, silent_versions):
    """Returns the Finding of a part.

    ``versions`` are those of the replicas that keep it, ``silent_versions`` those of
    the replicas that have not answered. An unknown version is an empty text.
    """
    if len(versions) > 1:
        return Finding.SEVERAL
    if silent_versions - versions:
        return Finding.SILENT
    if not versions:
        return Finding.NOWHERE
    return Finding.UNKNOWN_VERSION if "" in versions else Finding.KNOWN
