"""Writes the tables of docs/CAPACITY.md between their markers."""

import pathlib

from benchmarks import capacity_totals

# Design section 1.6, 95th percentiles.
TARGET_FIRST_TOKEN_MS = 890
TARGET_BETWEEN_TOKENS_MS = 61

PAGE = pathlib.Path(__file__).resolve().parent.parent / "docs" / "CAPACITY.md"


def write(slopes, totals, base_kb, reference_ms):
    text = PAGE.read_text()
    counted = [slope for slope in slopes if slope.counted]
    costs = [slope for slope in slopes if not slope.counted]
    text = replace_block(text, "counts", counts_table(counted))
    text = replace_block(text, "costs", costs_table(costs, reference_ms))
    text = replace_block(text, "totals", totals_table(totals))
    text = replace_block(text, "memory", memory_table(totals, base_kb))
    PAGE.write_text(text)


def block_of(text, name):
    """Returns the block between the markers of a name."""
    begin, end = _markers(name)
    return text[text.index(begin) + len(begin) : text.index(end)]


def replace_block(text, name, block):
    begin, end = _markers(name)
    head = text[: text.index(begin) + len(begin)]
    return head + block + text[text.index(end) :]


def _markers(name):
    return f"<!-- {name}: begin -->\n", f"<!-- {name}: end -->"


def counts_table(slopes):
    """Returns the table of counts, which is the same in each run."""
    rows = ["| role | what | grows with | points | slope |", "| --- " * 5 + "|"]
    for slope in slopes:
        points = ", ".join(f"{x:g}: {y:.4g}" for x, y in slope.points)
        rows.append(
            f"| {slope.role} | {slope.measure} ({slope.unit}) | {slope.against} | "
            f"{points} | {slope.slope:.4g} ± {slope.error:.2g} |"
        )
    return "\n".join(rows) + "\n"


def costs_table(slopes, reference_ms):
    rows = [
        f"The reference loop took {reference_ms:.1f} ms in this run.",
        "",
        "| role | what | grows with | largest | at 0 | slope | of the loop |",
        "| --- " * 7 + "|",
    ]
    for slope in slopes:
        ratio = "-"
        if slope.unit.startswith("ms"):
            ratio = f"{slope.slope / reference_ms:.3g}"
        rows.append(
            f"| {slope.role} | {slope.measure} ({slope.unit}) | {slope.against} | "
            f"{slope.largest_x:g} | {slope.intercept:.3g} | "
            f"{slope.slope:.3g} ± {slope.error:.1g} | {ratio} |"
        )
    return "\n".join(rows) + "\n"


def totals_table(totals):
    rows = [
        "| role | mechanism | state | messages/s | B/s | % of a core | MB | beyond "
        "measured | remarks |",
        "| --- " * 9 + "|",
    ]
    for line in totals:
        mark = "**" if line.over() else ""
        link = f"[{line.mechanism}](../snipetrestle/{line.code})"
        rows.append(
            f"| {line.role} | {mark}{link}{mark} | {line.state} | "
            f"{line.messages_per_s:.3g} | {line.bytes_per_s:,.0f} | "
            f"{line.ms_per_s / 10:.3f} | {line.kilobytes / 1000:.2f} | "
            f"{line.factor:.1f}x | {line.note} |"
        )
    rows.append(_sum_row(totals))
    rows.append(_budget_row())
    return "\n".join(rows) + "\n"


def _sum_row(totals):
    messages = sum(line.messages_per_s for line in totals)
    sizes = sum(line.bytes_per_s for line in totals)
    times = sum(line.ms_per_s for line in totals)
    memory = sum(line.kilobytes for line in totals)
    cells = [
        f"{messages:.3g}",
        _marked(f"{sizes:,.0f}", sizes > capacity_totals.BUDGET_BYTES_PER_S),
        _marked(f"{times / 10:.3f}", times > capacity_totals.BUDGET_MS_PER_S),
        _marked(f"{memory / 1000:.2f}", memory > capacity_totals.BUDGET_KB),
    ]
    return f"| all | sum | | {' | '.join(cells)} | | all roles in one daemon |"


def _marked(text, over):
    return f"**{text}**" if over else text


def _budget_row():
    return "| | control budget | | | 18,000 | 4.100 | 64.00 | | |"


def memory_table(totals, base_kb):
    control = sum(line.kilobytes for line in totals)
    rows = ["| memory | MB |", "| --- | --- |"]
    for name, size in base_kb.items():
        rows.append(f"| {name} | {size / 1000:.1f} |")
    rows.append(f"| state and connections of all lines above | {control / 1000:.1f} |")
    return "\n".join(rows) + "\n"


def write_hops(slopes, hop_ms):
    PAGE.write_text(replace_block(PAGE.read_text(), "hops", hops_table(slopes, hop_ms)))


def hops_table(slopes, hop_ms):
    """Returns how the times to and between tokens are divided."""
    find = {(slope.role, slope.measure): slope for slope in slopes}
    choice = find["entry", "choice of a replica"].at(capacity_totals.REPLICAS)
    dispatch = find["owner", "dispatch of a request"].at(capacity_totals.QUEUE_LIMIT)
    first = choice + dispatch + hop_ms[1]
    between = hop_ms[1] / 2
    rows = [
        "| part | to the first token (ms) | between tokens (ms) |",
        "| --- " * 3 + "|",
        f"| entry: choice of the replica | {choice:.2f} | |",
        f"| owner: dispatch from a full queue | {dispatch:.2f} | |",
        f"| hop to the owner and back, 95th percentile | {hop_ms[1]:.1f} "
        f"(median {hop_ms[0]:.1f}) | {between:.1f}, one way |",
        f"| left for queue, load, engine, network and callers' HTTP | "
        f"{TARGET_FIRST_TOKEN_MS - first:.0f} of {TARGET_FIRST_TOKEN_MS} | "
        f"{TARGET_BETWEEN_TOKENS_MS - between:.0f} of {TARGET_BETWEEN_TOKENS_MS} |",
    ]
    return "\n".join(rows) + "\n"
