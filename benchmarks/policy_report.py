"""Figures of policy runs, and the least stall that the store's rate allows."""

import heapq

from benchmarks.policy_run import ENTRIES, STALL_S, peak_tokens_per_s
from benchmarks.policy_workloads import STORM_CUSTOMER, contract_of


def percentile(values, fraction):
    """Returns the value below which ``fraction`` of the values lie (nearest rank)."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def figures_of(trial):
    """Returns the reported figures of a trial."""
    workload = trial.workload
    reported = [
        record
        for record in trial.records
        if record.arrival.at_s >= workload.reported_from_s
    ]
    waiting = [record for record in reported if not record.arrival.is_batch]
    # The other customers, for whom a storm of one should change nothing.
    others = [
        record.first_token_s
        for record in waiting
        if record.arrival.customer != STORM_CUSTOMER
        and record.first_token_s is not None
    ]
    if workload.storm_at_s is not None:
        waiting = [
            record for record in waiting if record.arrival.customer != STORM_CUSTOMER
        ]
    batch = [record for record in reported if record.arrival.is_batch]
    done = [record for record in waiting if record.first_token_s is not None]
    stalls = [record.stall_s for record in done]
    first_tokens = [record.first_token_s for record in done]
    ends = [record.finished_s for record in batch]
    in_time = sum(1 for end in ends if end is not None and end <= workload.batch_end_s)
    return {
        "requests": len(waiting),
        "stalled_share": share(sum(1 for stall in stalls if stall > STALL_S), stalls),
        "stall_s_total": round(sum(stalls), 2),
        "stall_s_p95": round(percentile(stalls, 0.95), 3),
        "stall_s_p99": round(percentile(stalls, 0.99), 3),
        "batch_efficiency": round(efficiency(trial), 4),
        "first_token_s_p50": round(percentile(first_tokens, 0.5), 4),
        "first_token_s_p95": round(percentile(first_tokens, 0.95), 4),
        "others_first_token_s_p95": round(percentile(others, 0.95), 4),
        "batch_in_time": share(in_time, ends) if ends else None,
        "accepted_lost": sum(
            1
            for record in trial.records
            if record.accepted and record.finished_s is None
        ),
        "never_accepted": sum(
            1
            for record in trial.records
            if not record.accepted and not record.arrival.is_storm
        ),
        "limits_overrun": limits_overrun(trial),
        "store_loads": trial.store.loads,
        "in_use_evictions": sum(
            len(engine.in_use_evictions) for engine in trial.engines_by_name.values()
        ),
        "bound_stall_s": round(clairvoyant_stall_s(workload, prefetch=False), 2),
        "bound_prefetch_stall_s": round(
            clairvoyant_stall_s(workload, prefetch=True), 2
        ),
    }


def share(part, items):
    return round(part / len(items), 4) if items else 0.0


def efficiency(trial):
    """Tokens as a fraction of full batches of one adapter while an engine had work."""
    possible = tokens = 0.0
    for name, engine in trial.engines_by_name.items():
        meter = trial.meters_by_name[name]
        peak = peak_tokens_per_s(engine.max_batch)
        possible += meter.busy_s * meter.speed * peak
        tokens += engine.tokens_generated
    return tokens / possible if possible else 0.0


def limits_overrun(trial):
    """Requests of waiting customers admitted beyond rate times time plus burst."""
    excess = 0
    levels_by_customer = {}
    for at_s, customer in trial.admitted_at:
        if customer == "batch-owner":
            continue
        contract = contract_of(trial.site, customer)
        # The stated bound lets each entry hold one whole request beyond the burst.
        capacity = contract.requests_per_second * contract.burst_s + ENTRIES
        level, since = levels_by_customer.get(customer, (capacity, at_s))
        level = min(capacity, level + (at_s - since) * contract.requests_per_second)
        if level < 1.0 - 1e-6:
            excess += 1
        else:
            level -= 1.0
        levels_by_customer[customer] = (level, at_s)
    return excess


def clairvoyant_stall_s(workload, *, prefetch):
    """Stall seconds of a policy that knows the future, under the store's rate.

    The fleet's slots form one cache with furthest-in-future eviction, and all requests
    at an adapter share a load. Loads are ordered when they are needed, or, with
    ``prefetch``, as early as the rate allows. Copies in use may be evicted, so no real
    policy with the same order of loads stalls less.
    """
    site = workload.site
    slots = sum(server.adapter_slots for server in site.servers)
    arrivals = [
        item for item in workload.arrivals if not item.is_batch and not item.is_storm
    ]
    next_uses = next_use_table(arrivals)
    resident = {}
    ready_by_adapter = {}
    furthest = []
    period = 1.0 / site.store.loads_per_second
    free_at = 0.0
    stall = 0.0
    for arrival, next_use in zip(arrivals, next_uses, strict=True):
        adapter = arrival.adapter
        if adapter not in resident:
            if len(resident) >= slots:
                evict_furthest(resident, furthest)
            start = free_at if prefetch else max(free_at, arrival.at_s)
            ready_by_adapter[adapter] = start + site.store.load_s
            free_at = start + period
        resident[adapter] = next_use
        heapq.heappush(furthest, (-next_use, adapter))
        if arrival.at_s >= workload.reported_from_s:
            stall += max(0.0, ready_by_adapter[adapter] - arrival.at_s)
    return stall


def evict_furthest(resident, furthest):
    while True:
        negative, adapter = heapq.heappop(furthest)
        if resident.get(adapter) == -negative:
            del resident[adapter]
            return


def next_use_table(arrivals):
    later = {}
    uses = []
    for index in range(len(arrivals) - 1, -1, -1):
        adapter = arrivals[index].adapter
        uses.append(later.get(adapter, len(arrivals) + index))
        later[adapter] = index
    return uses[::-1]
