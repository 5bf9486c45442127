"""Writes the generated tables of docs/CAPACITY.md between their markers."""

import pathlib

from benchmarks import capacity_totals

# Latency targets of section 1.6 of the design, as 95th percentiles.
TARGET_FIRST_TOKEN_MS = 890
TARGET_BETWEEN_TOKENS_MS = 61

PAGE = pathlib.Path(__file__).resolve().parent.parent / "docs" / "CAPACITY.md"


def write_tables(slopes, totals, base_memory_kb, reference_ms):
    """Replaces the tables of counts, costs, totals and memory in the page.

    ``totals`` are the MechanismCosts, ``base_memory_kb`` the resident memory by what is
    loaded, and ``reference_ms`` the processor time of the reference loop.
    """
    text = PAGE.read_text()
    count_slopes = [slope for slope in slopes if slope.counted]
    cost_slopes = [slope for slope in slopes if not slope.counted]
    text = replace_block(text, "counts", counts_table(count_slopes))
    text = replace_block(text, "costs", costs_table(cost_slopes, reference_ms))
    text = replace_block(text, "totals", totals_table(totals))
    text = replace_block(text, "memory", memory_table(totals, base_memory_kb))
    PAGE.write_text(text)


def block_of(text, name):
    """Returns the block between the markers of a name."""
    begin, end = _markers(name)
    return text[text.index(begin) + len(begin) : text.index(end)]


def replace_block(text, name, block):
    """Returns the text with a new block between the markers of a name."""
    begin, end = _markers(name)
    head = text[: text.index(begin) + len(begin)]
    return head + block + text[text.index(end) :]


def _markers(name):
    return f"<!-- {name}: begin -->\n", f"<!-- {name}: end -->"


def counts_table(slopes):
    """Returns the table of the count slopes, which is the same in each run."""
    rows = ["| role | what | grows with | points | slope |", "| --- " * 5 + "|"]
    for slope in slopes:
        points = ", ".join(f"{x:g}: {y:.4g}" for x, y in slope.points)
        rows.append(
            f"| {slope.role} | {slope.measure} ({slope.unit}) | {slope.against} | "
            f"{points} | {slope.slope:.4g} ± {slope.error:.2g} |"
        )
    return "\n".join(rows) + "\n"


def costs_table(slopes, reference_ms):
    """Returns the table of times and memory; times also as multiples of the loop."""
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
    """Returns the table of mechanisms; those over half of a budget are in bold."""
    rows = [
        "| role | mechanism | state | messages/s | B/s | % of a core | MB | beyond "
        "measured | remarks |",
        "| --- " * 9 + "|",
    ]
    for cost in totals:
        bold = "**" if cost.exceeds_half_budget() else ""
        link = f"[{cost.mechanism}](../snipetrestle/{cost.code})"
        rows.append(
            f"| {cost.role} | {bold}{link}{bold} | {cost.state} | "
            f"{cost.messages_per_s:.3g} | {cost.bytes_per_s:,.0f} | "
            f"{cost.ms_per_s / 10:.3f} | {cost.kilobytes / 1000:.2f} | "
            f"{cost.factor:.1f}x | {cost.note} |"
        )
    rows.append(_sum_row(totals))
    rows.append(_budget_row())
    return "\n".join(rows) + "\n"


def _sum_row(totals):
    total_messages_per_s = sum(cost.messages_per_s for cost in totals)
    total_bytes_per_s = sum(cost.bytes_per_s for cost in totals)
    total_ms_per_s = sum(cost.ms_per_s for cost in totals)
    total_kilobytes = sum(cost.kilobytes for cost in totals)
    cells = [
        f"{total_messages_per_s:.3g}",
        _bold_if(
            f"{total_bytes_per_s:,.0f}",
            total_bytes_per_s > capacity_totals.BUDGET_BYTES_PER_S,
        ),
        _bold_if(
            f"{total_ms_per_s / 10:.3f}",
            total_ms_per_s > capacity_totals.BUDGET_MS_PER_S,
        ),
        _bold_if(
            f"{total_kilobytes / 1000:.2f}", total_kilobytes > capacity_totals.BUDGET_KB
        ),
    ]
    return f"| all | sum | | {' | '.join(cells)} | | all roles in one daemon |"


def _bold_if(text, over_budget):
    return f"**{text}**" if over_budget else text


def _budget_row():
    return "| | control budget | | | 18,000 | 4.100 | 64.00 | | |"


def memory_table(totals, base_memory_kb):
    """Returns the table of the resident memory and of all mechanisms' state."""
    state_kb = sum(cost.kilobytes for cost in totals)
    rows = ["| memory | MB |", "| --- | --- |"]
    for name, size_kb in base_memory_kb.items():
        rows.append(f"| {name} | {size_kb / 1000:.1f} |")
    rows.append(f"| state and connections of all lines above | {state_kb / 1000:.1f} |")
    return "\n".join(rows) + "\n"


def write_hops_table(slopes, hop_ms):
    """Replaces the table of the latency targets in the page."""
    PAGE.write_text(replace_block(PAGE.read_text(), "hops", hops_table(slopes, hop_ms)))


def hops_table(slopes, hop_ms):
    """Returns the table that divides the latency targets between the daemons' steps.

    ``hop_ms`` are the median and the 95th percentile of a round trip to the owner.
    """
    slopes_by_key = {(slope.role, slope.measure): slope for slope in slopes}
    choice_ms = slopes_by_key["entry", "choice of a replica"].at(
        capacity_totals.REPLICAS
    )
    dispatch_ms = slopes_by_key["owner", "dispatch of a request"].at(
        capacity_totals.QUEUE_LIMIT
    )
    first_token_ms = choice_ms + dispatch_ms + hop_ms[1]
    token_gap_ms = hop_ms[1] / 2
    rows = [
        "| part | to the first token (ms) | between tokens (ms) |",
        "| --- " * 3 + "|",
        f"| entry: choice of the replica | {choice_ms:.2f} | |",
        f"| owner: dispatch from a full queue | {dispatch_ms:.2f} | |",
        f"| hop to the owner and back, 95th percentile | {hop_ms[1]:.1f} "
        f"(median {hop_ms[0]:.1f}) | {token_gap_ms:.1f}, one way |",
        f"| left for queue, load, engine, network and callers' HTTP | "
        f"{TARGET_FIRST_TOKEN_MS - first_token_ms:.0f} of {TARGET_FIRST_TOKEN_MS} | "
        f"{TARGET_BETWEEN_TOKENS_MS - token_gap_ms:.0f} of {TARGET_BETWEEN_TOKENS_MS} |",
    ]
    return "\n".join(rows) + "\n"
