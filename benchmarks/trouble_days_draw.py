"""Draws days from a seed: planned work of one kind beside trouble of another."""

import random

# Planned work begins this long after the start of traffic.
WORK_BEGIN_S = 2.5
TROUBLE_BEGIN_S = 3.5
# No trouble begins in the last seconds of a play, so that its effects are seen.
TROUBLE_MARGIN_S = 5.0
# No planned work begins in the last seconds of a play.
WORK_MARGIN_S = 2.0
# Shares of the days with a configuration storm, or else changes, beside other work.
STORM_SHARE = 0.45
CHANGES_SHARE = 0.35
SECOND_WORK_SHARE = 0.2
SECOND_TROUBLE_SHARE = 0.25
TWICE_SHARE = 0.4
FIRST_SERVICE_SHARE = 0.5
# The traffic of a day is planned for this time at least, even if the play ends before.
MIN_LENGTH_S = 40.0
CONFIGURATION_KINDS = ("config_storm", "big_config", "config_change")
MAX_SEED = 10_000


class Day:
    """A day to play. ``plan`` and ``faults`` are entries as a day file holds them.

    ``work`` and ``trouble`` are the kinds by which it is counted.
    """

    __slots__ = (
        "name",
        "site",
        "work",
        "trouble",
        "seed",
        "length_s",
        "plan",
        "faults",
    )

    def __init__(self, name, site, work, trouble, seed, length_s, plan, faults):
        self.name = name
        self.site = site
        self.work = work
        self.trouble = trouble
        self.seed = seed
        self.length_s = length_s
        self.plan = plan
        self.faults = faults

    def to_toml(self):
        """Returns the content of the day's file."""
        lines = [
            f"name = {_value(self.name)}",
            f"length_s = {_value(self.length_s)}",
            *_entry_lines("plan", self.plan),
            *_entry_lines("faults", self.faults),
        ]
        return "\n".join(lines) + "\n"


def draw_days(site, work_by_kind, trouble_by_kind, seed, count, until_s):
    """Returns ``count`` days for a site.

    Each kind of trouble comes once before any comes again, each time beside another
    kind of planned work. A day depends on the seed, the site, its number and the kinds.
    """
    rng = random.Random(f"{seed} {site}")
    works, troubles = sorted(work_by_kind), sorted(trouble_by_kind)
    rng.shuffle(works)
    rng.shuffle(troubles)
    days = []
    for number in range(count):
        round_number, index = divmod(number, len(troubles))
        work = works[(index + round_number) % len(works)]
        day_rng = random.Random(f"{seed} {site} {number}")
        draw = _DayDraw(day_rng, work_by_kind, trouble_by_kind, until_s)
        name = f"{site}-{seed}-{number:03}-{work}-{troubles[index]}"
        days.append(draw.day(name, site, work, troubles[index]))
    return days


class _DayDraw:
    """Draws one day."""

    def __init__(self, rng, work_by_kind, trouble_by_kind, until_s):
        self._rng = rng
        self._work_by_kind = work_by_kind
        self._trouble_by_kind = trouble_by_kind
        self._until_s = until_s

    def day(self, name, site, work, trouble):
        seed = self._rng.randrange(1, MAX_SEED)
        length_s = max(MIN_LENGTH_S, self._until_s)
        plan, faults = self._plan(work), self._faults(trouble)
        return Day(name, site, work, trouble, seed, length_s, plan, faults)

    def _plan(self, work):
        kinds = [work]
        if self._rng.random() < SECOND_WORK_SHARE:
            kinds.append(self._rng.choice(sorted(self._work_by_kind)))
        if not any(kind in CONFIGURATION_KINDS for kind in kinds):
            kinds.append(self._configurations())
        # Kinds that the site does not list are left out.
        kinds = [kind for kind in dict.fromkeys(kinds) if kind in self._work_by_kind]
        return _by_time(entry for kind in kinds for entry in self._series(kind))

    def _configurations(self):
        """Returns the kind of the configurations beside other planned work, or None."""
        drawn = self._rng.random()
        if drawn < STORM_SHARE:
            return "config_storm"
        return "config_change" if drawn < STORM_SHARE + CHANGES_SHARE else None

    def _series(self, kind):
        """Returns the entries of a series of planned work."""
        entries = []
        at_s = WORK_BEGIN_S + self._rng.uniform(0.0, 1.0)
        while not entries or at_s < self._until_s - WORK_MARGIN_S:
            variant = self._rng.choice(self._work_by_kind[kind])
            entries.append(self._entry(variant, at_s))
            at_s += self._rng.uniform(*variant.every_s)
        return entries

    def _faults(self, trouble):
        kinds = [trouble]
        if self._rng.random() < SECOND_TROUBLE_SHARE:
            kinds.append(self._rng.choice(sorted(self._trouble_by_kind)))
        return _by_time(
            entry for kind in dict.fromkeys(kinds) for entry in self._strikes(kind)
        )

    def _strikes(self, kind):
        """Returns the one or two entries of a kind of trouble."""
        count = 2 if self._rng.random() < TWICE_SHARE else 1
        end_s = max(TROUBLE_BEGIN_S, self._until_s - TROUBLE_MARGIN_S)
        return [
            self._entry(
                self._rng.choice(self._trouble_by_kind[kind]),
                self._rng.uniform(TROUBLE_BEGIN_S, end_s),
            )
            for _ in range(count)
        ]

    def _entry(self, variant, at_s):
        entry = {"at": round(at_s, 2), "kind": variant.kind}
        for name, (low, high) in variant.bounds.items():
            if isinstance(low, int):
                entry[name] = self._rng.randint(low, high)
            else:
                entry[name] = round(self._rng.uniform(low, high), 2)
        if variant.how:
            entry["how"] = variant.how
        if variant.is_on_servers and self._rng.random() < FIRST_SERVICE_SHARE:
            entry["service"] = "@s0"
        return entry


def _by_time(entries):
    return sorted(entries, key=lambda entry: entry["at"])


def _entry_lines(name, entries):
    rows = []
    for entry in entries:
        fields = ", ".join(f"{key} = {_value(value)}" for key, value in entry.items())
        rows.append(f"  {{ {fields} }},")
    return [f"{name} = [", *rows, "]"]


def _value(value):
    """Returns a plain text or number as TOML. Texts must not need escapes."""
    return f'"{value}"' if isinstance(value, str) else repr(value)
