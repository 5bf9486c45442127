"""The kinds of planned work and of trouble that the drawn days hold, with bounds.

The names and figures are those of ``fleetbench kinds SITE``. A kind has one or more
variants, which are drawn with equal weight.
"""


class Variant:
    """One way to play a kind of planned work or of trouble.

    ``bounds`` maps the name of a figure to its (lowest, highest) value; whole numbers are
    drawn as such. ``every_s`` are the bounds of the time between two entries of a series
    of planned work. ``is_on_servers`` tells that the entry may name a service.
    """

    __slots__ = ("kind", "how", "bounds", "every_s", "is_on_servers")

    def __init__(self, kind, how="", *, every_s=None, on_servers=False, **bounds):
        self.kind = kind
        self.how = how
        self.bounds = bounds
        self.every_s = every_s
        self.is_on_servers = on_servers


def _on_servers(kind, hows, **bounds):
    return [Variant(kind, how, on_servers=True, **bounds) for how in hows]


def _on_machines(kind, hows, **bounds):
    return [Variant(kind, how, **bounds) for how in hows]


PLANNED_WORK = [
    Variant("config_storm", every_s=(6.0, 9.0), gap_s=(0.3, 1.0), for_s=(4.0, 8.0)),
    Variant("big_config", every_s=(2.0, 4.0), count=(100, 600)),
    Variant("config_change", "route", every_s=(0.6, 2.0)),
    Variant("config_change", "weights", every_s=(0.6, 2.0)),
    Variant("config_change", "timeout", every_s=(0.6, 2.0)),
    Variant("hup", every_s=(2.0, 5.0), share=(0.3, 1.0), gap_s=(0.2, 1.5)),
    Variant(
        "roll_term", every_s=(5.0, 9.0), share=(0.3, 1.0), x=(1, 3), gap_s=(0.4, 2.0)
    ),
    Variant(
        "roll_term",
        "busy",
        every_s=(5.0, 9.0),
        share=(0.3, 1.0),
        x=(1, 3),
        gap_s=(0.4, 2.0),
    ),
    Variant(
        "roll_term",
        "remove",
        every_s=(5.0, 9.0),
        share=(0.1, 0.3),
        x=(1, 2),
        gap_s=(0.5, 2.0),
    ),
    Variant(
        "release", every_s=(5.0, 9.0), share=(0.3, 1.0), x=(1, 3), gap_s=(0.3, 1.5)
    ),
    Variant("scale_in", every_s=(3.0, 6.0), share=(0.05, 0.2)),
    Variant("scale_in", "spot", every_s=(4.0, 7.0), share=(0.05, 0.2), x=(1.0, 3.0)),
    Variant("scale_in", "reclaim", every_s=(6.0, 9.0), x=(1.5, 3.5), for_s=(3.0, 6.0)),
    Variant("scale_out", every_s=(4.0, 7.0), share=(0.1, 0.4), gap_s=(0.2, 1.0)),
    Variant("add_nodes", every_s=(4.0, 7.0), count=(1, 4)),
]

TROUBLE = [
    # Traffic.
    Variant("burst", x=(1.3, 2.5), for_s=(2.0, 6.0)),
    Variant("shift", share=(0.3, 1.0), for_s=(2.0, 6.0)),
    Variant("retry_abuse", share=(0.1, 0.5), x=(1, 4), for_s=(2.0, 5.0)),
    *_on_machines(
        "give_up", ("", "once"), share=(0.1, 0.6), x=(150, 1200), for_s=(2.0, 5.0)
    ),
    Variant("model_shift", count=(3, 14), for_s=(1.0, 4.0)),
    # Model servers.
    *_on_servers(
        "srv_crash", ("", "dark", "gone", "joined"), share=(0.1, 0.4), for_s=(0.8, 4.0)
    ),
    *_on_servers(
        "srv_crash", ("dark gone", "dark across"), share=(0.1, 0.3), for_s=(0.8, 4.0)
    ),
    *_on_servers("srv_slow", ("",), share=(0.1, 0.6), x=(2.0, 10.0), for_s=(2.0, 6.0)),
    *_on_servers(
        "srv_grey",
        ("errors", "shed", "busy", "hang", "reset", "mute"),
        share=(0.1, 0.4),
        x=(0.2, 0.9),
        for_s=(2.0, 5.0),
    ),
    *_on_servers(
        "srv_grey", ("slow",), share=(0.1, 0.4), x=(4.0, 12.0), for_s=(2.0, 5.0)
    ),
    *_on_servers(
        "srv_lying_health",
        ("errors", "hang", "reset", "bad"),
        share=(0.1, 0.3),
        for_s=(2.0, 5.0),
    ),
    *_on_servers(
        "srv_flap", ("",), share=(0.1, 0.3), gap_s=(0.5, 2.0), for_s=(3.0, 6.0)
    ),
    *_on_servers(
        "srv_cut",
        ("", "one_way", "reset", "reborn"),
        share=(0.1, 0.4),
        for_s=(0.8, 4.0),
    ),
    *_on_servers(
        "srv_cut", ("fronts", "some"), share=(0.1, 0.4), x=(0.2, 0.6), for_s=(0.8, 4.0)
    ),
    *_on_servers("replace_with_reuse", ("", "drain", "dark"), share=(0.1, 0.3)),
    *_on_servers(
        "answer_lost", ("",), share=(0.2, 0.8), x=(0.02, 0.2), for_s=(2.0, 6.0)
    ),
    *_on_servers(
        "garble",
        ("", "extra", "unframed", "early"),
        share=(0.2, 0.8),
        x=(0.02, 0.2),
        for_s=(2.0, 6.0),
    ),
    *_on_servers("idle_race", ("",), share=(0.2, 0.8), x=(100, 600), for_s=(2.0, 6.0)),
    # Machines of the system.
    *_on_machines(
        "node_kill",
        ("", "leader", "giver", "reader", "follower", "meet", "leader race"),
        share=(0.05, 0.2),
    ),
    *_on_machines("node_kill", ("power",), share=(0.05, 0.2), for_s=(0.8, 3.0)),
    *_on_machines(
        "node_freeze",
        ("", "leader", "reader", "meet"),
        share=(0.05, 0.3),
        for_s=(0.8, 4.0),
    ),
    Variant("node_slow", share=(0.05, 0.3), x=(2.0, 8.0), for_s=(2.0, 6.0)),
    Variant("herd_kill", share=(0.3, 1.0)),
    Variant("herd_kill", "power", share=(0.3, 1.0), for_s=(0.5, 2.0)),
    *_on_machines(
        "clock_step",
        ("", "back", "ahead"),
        share=(0.2, 0.6),
        x=(500, 4000),
        for_s=(2.0, 5.0),
    ),
    *_on_machines("reset_conns", ("",), share=(0.1, 1.0), x=(0.3, 0.9)),
    *_on_machines("after_ack_kill", ("", "kill", "timed", "taken"), count=(1, 2)),
    # The network.
    *_on_machines(
        "core_cut", ("", "one_way", "near", "all"), count=(1, 1), for_s=(1.0, 4.0)
    ),
    *_on_machines(
        "node_cut",
        ("", "all", "reset", "leader", "meet", "all race"),
        share=(0.05, 0.2),
        for_s=(0.8, 4.0),
    ),
    Variant("lossy", x=(0.01, 0.1), for_s=(2.0, 6.0)),
    # The platform's store.
    *_on_machines("platform_down", ("silent", "busy", "reset"), for_s=(1.0, 5.0)),
    Variant("platform_down", "silent lapse", for_s=(2.0, 5.0)),
    *_on_machines(
        "platform_down", ("nodes", "nodes busy"), share=(0.2, 0.6), for_s=(1.0, 5.0)
    ),
    Variant("platform_slow", x=(10, 100), for_s=(2.0, 6.0)),
    Variant("platform_lost", x=(0.1, 0.5), for_s=(2.0, 6.0)),
    Variant("platform_lost", "late", x=(0.1, 0.5), for_s=(2.0, 6.0)),
    Variant("platform_compact", x=(1, 3), for_s=(1.0, 3.0)),
]


def variants_by_kind(variants, listed_kinds):
    """Returns the variants of each kind that a site lists, by kind."""
    by_kind = {}
    for variant in variants:
        if variant.kind in listed_kinds:
            by_kind.setdefault(variant.kind, []).append(variant)
    return by_kind


def parse_listed_kinds(text):
    """Returns the names of the kinds on a page of ``fleetbench kinds SITE``.

    They are the words before a colon after the first empty line.
    """
    names = set()
    _, _, rest = text.partition("\n\n")
    for line in rest.splitlines():
        name, colon, _ = line.partition(":")
        if colon and name.isidentifier():
            names.add(name)
    return names
