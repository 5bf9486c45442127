"""Figures of policy runs, and a lower bound of stalls under the store's load rate."""

import heapq

from benchmarks.policy_run import ENTRIES, STALL_THRESHOLD_S, peak_tokens_per_s
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
    # First-token times of the other customers; a storm of one should not change them.
    others_first_token_s = [
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
    answered = [record for record in waiting if record.first_token_s is not None]
    stalls_s = [record.stall_s for record in answered]
    first_tokens_s = [record.first_token_s for record in answered]
    finish_times = [record.finished_s for record in batch]
    in_time = sum(
        1 for end in finish_times if end is not None and end <= workload.batch_end_s
    )
    return {
        "requests": len(waiting),
        "stalled_share": share_of(
            sum(1 for stall in stalls_s if stall > STALL_THRESHOLD_S), stalls_s
        ),
        "stall_s_total": round(sum(stalls_s), 2),
        "stall_s_p95": round(percentile(stalls_s, 0.95), 3),
        "stall_s_p99": round(percentile(stalls_s, 0.99), 3),
        "batch_efficiency": round(batch_efficiency(trial), 4),
        "first_token_s_p50": round(percentile(first_tokens_s, 0.5), 4),
        "first_token_s_p95": round(percentile(first_tokens_s, 0.95), 4),
        "others_first_token_s_p95": round(percentile(others_first_token_s, 0.95), 4),
        "batch_in_time": share_of(in_time, finish_times) if finish_times else None,
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


def share_of(count, items):
    """Returns ``count`` divided by the number of items, or 0 without items."""
    return round(count / len(items), 4) if items else 0.0


def batch_efficiency(trial):
    """Returns the generated tokens as a fraction of the possible ones.

    The possible ones are those of full batches of one adapter while an engine had work.
    """
    possible_tokens = tokens = 0.0
    for name, engine in trial.engines_by_name.items():
        meter = trial.meters_by_name[name]
        peak_rate = peak_tokens_per_s(engine.max_batch)
        possible_tokens += meter.busy_s * meter.speed * peak_rate
        tokens += engine.tokens_generated
    return tokens / possible_tokens if possible_tokens else 0.0


def limits_overrun(trial):
    """Counts waiting requests that were admitted beyond rate times time plus burst."""
    excess = 0
    allowances_by_customer = {}
    for at_s, customer in trial.admitted_at:
        if customer == "batch-owner":
            continue
        contract = contract_of(trial.site, customer)
        # The documented bound allows each entry one whole request beyond the burst.
        capacity = contract.requests_per_second * contract.burst_s + ENTRIES
        allowance, updated_at = allowances_by_customer.get(customer, (capacity, at_s))
        allowance = min(
            capacity, allowance + (at_s - updated_at) * contract.requests_per_second
        )
        if allowance < 1.0 - 1e-6:
            excess += 1
        else:
            allowance -= 1.0
        allowances_by_customer[customer] = (allowance, at_s)
    return excess


def clairvoyant_stall_s(workload, *, prefetch):
    """Returns the stall seconds of a policy that knows all future arrivals.

    All slots of the fleet form one cache, which evicts the adapter whose next use is
    furthest in the future, and all requests for an adapter share one load. Loads start
    when they are needed or, with ``prefetch``, as early as the store's rate allows.
    Copies in use may be evicted, so no real policy with the same order of loads stalls
    less.
    """
    site = workload.site
    slots = sum(server.adapter_slots for server in site.servers)
    arrivals = [
        item for item in workload.arrivals if not item.is_batch and not item.is_storm
    ]
    next_uses = next_use_table(arrivals)
    next_uses_by_adapter = {}
    ready_at_by_adapter = {}
    eviction_heap = []
    load_interval_s = 1.0 / site.store.loads_per_second
    store_free_at = 0.0
    stall_s = 0.0
    for arrival, next_use in zip(arrivals, next_uses, strict=True):
        adapter = arrival.adapter
        if adapter not in next_uses_by_adapter:
            if len(next_uses_by_adapter) >= slots:
                evict_furthest(next_uses_by_adapter, eviction_heap)
            load_at = store_free_at if prefetch else max(store_free_at, arrival.at_s)
            ready_at_by_adapter[adapter] = load_at + site.store.load_s
            store_free_at = load_at + load_interval_s
        next_uses_by_adapter[adapter] = next_use
        heapq.heappush(eviction_heap, (-next_use, adapter))
        if arrival.at_s >= workload.reported_from_s:
            stall_s += max(0.0, ready_at_by_adapter[adapter] - arrival.at_s)
    return stall_s


def evict_furthest(next_uses_by_adapter, eviction_heap):
    """Evicts the adapter with the latest next use, and drops outdated heap entries."""
    while True:
        negated_next_use, adapter = heapq.heappop(eviction_heap)
        if next_uses_by_adapter.get(adapter) == -negated_next_use:
            del next_uses_by_adapter[adapter]
            return


def next_use_table(arrivals):
    """Returns for each arrival the index of the next one for the same adapter.

    Where there is none it is an index beyond the end, different for each arrival.
    """
    next_index_by_adapter = {}
    next_uses = []
    for index in range(len(arrivals) - 1, -1, -1):
        adapter = arrivals[index].adapter
        next_uses.append(next_index_by_adapter.get(adapter, len(arrivals) + index))
        next_index_by_adapter[adapter] = index
    return next_uses[::-1]
