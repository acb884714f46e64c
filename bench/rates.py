"""Fleet-wide rate limits while demand shifts and nodes fail."""

import asyncio
import random
import signal
import time

from apricothinge import lists
from bench import fleet
from bench import load
from bench import rpc

_FAILURE_DOMAINS = ("a", "b", "c")
_NODE_COUNT = 6
_RATE_BY_ORGANISATION = {
    "large-1": 60.0,
    "large-2": 40.0,
    "small-1": 10.0,
    "small-2": 10.0,
    "small-3": 10.0,
    "small-4": 10.0,
    "small-5": 10.0,
    "small-6": 10.0,
}
_BURST_S = 1.0
_BASE_DEMAND_RATIO = 0.8


class ReferenceBuckets:
    """Exact token buckets, one per organisation, as a reference."""

    def __init__(self):
        self.admitted_at_by_organisation = {
            name: [] for name in _RATE_BY_ORGANISATION
        }
        self.arrived_at_by_organisation = {
            name: [] for name in _RATE_BY_ORGANISATION
        }

    def max_excess(self):
        """Returns the most requests admitted beyond rate x time + burst."""
        max_excess = 0.0
        for name, times in self.admitted_at_by_organisation.items():
            rate = _RATE_BY_ORGANISATION[name]
            capacity = rate * _BURST_S
            tokens, last_at = capacity, 0.0
            for at in sorted(times):
                tokens = min(capacity, tokens + (at - last_at) * rate) - 1
                last_at = at
                max_excess = max(max_excess, -tokens)
        return max_excess

    def count_refusals(self, start, end):
        """Counts requests in an interval that exact buckets would refuse."""
        count = 0
        for name, times in self.arrived_at_by_organisation.items():
            rate = _RATE_BY_ORGANISATION[name]
            capacity = rate * _BURST_S
            tokens, last_at = capacity, 0.0
            for at in sorted(times):
                tokens = min(capacity, tokens + (at - last_at) * rate)
                last_at = at
                if tokens >= 1.0:
                    tokens -= 1.0
                elif start <= at < end:
                    count += 1
        return count


class PhaseCounts:
    """Counts and latencies of all phases with the same label."""

    def __init__(self):
        self.requests = self.refused = self.other_failures = 0
        self.latencies_s = []
        self.intervals = []


def run(options):
    """Runs the scenario and returns its figures."""
    with fleet.Fleet() as running_fleet:
        running_fleet.start_control_group(3, _FAILURE_DOMAINS)
        settings_by_node = {}
        for index in range(_NODE_COUNT):
            failure_domain = _FAILURE_DOMAINS[index % 3]
            name = f"{failure_domain}{index // 3}"
            settings_by_node[name] = running_fleet.start_node(
                name, failure_domain)
            upstream_address = fleet.find_free_address()
            running_fleet.start_module(f"up-{name}",
                                       "bench.upstream",
                                       service="stock",
                                       port=upstream_address.port,
                                       node=[
                                           settings_by_node[name].local.host,
                                           settings_by_node[name].local.port
                                       ])
        route = lists.Route(service="stock", path_prefix="/stock")
        plans = {
            name:
                fleet.build_plan([route],
                                 rate_per_s=rate,
                                 burst=rate * _BURST_S)
            for name, rate in _RATE_BY_ORGANISATION.items()
        }
        running_fleet.apply(
            fleet.build_document(1,
                                 {name: name for name in _RATE_BY_ORGANISATION},
                                 plans))
        running_fleet.wait_for_upstreams(settings_by_node, _NODE_COUNT)
        time.sleep(6.0)
        return asyncio.run(_measure(running_fleet, settings_by_node, options))


async def _measure(running_fleet, settings_by_node, options):
    phase_s = options.seconds or 10.0
    rng = random.Random(options.seed)
    reference = ReferenceBuckets()
    clients = {
        name: load.HttpClient(node_settings.caller)
        for name, node_settings in settings_by_node.items()
    }
    counts_by_phase = {}
    token_requests_before = _count_token_requests(running_fleet,
                                                  settings_by_node)

    async def run_phase(label,
                        weight_by_node,
                        demand_ratio_by_organisation=None):
        counts = counts_by_phase.setdefault(label, PhaseCounts())
        nodes = list(weight_by_node)
        weights = list(weight_by_node.values())

        async def send_request(organisation):
            node = rng.choices(nodes, weights)[0]
            started_at = time.perf_counter()
            reference.arrived_at_by_organisation[organisation].append(
                started_at)
            status, _, _ = await clients[node].call(
                load.build_request("GET", "/stock/1", f"key-{organisation}"),
                3.0)
            ended_at = time.perf_counter()
            counts.requests += 1
            if status == 429:
                counts.refused += 1
            elif status == 200:
                counts.latencies_s.append(ended_at - started_at)
                # The time of admission is unknown; the midpoint of the call is
                # biased towards neither end.
                reference.admitted_at_by_organisation[organisation].append(
                    (started_at + ended_at) / 2)
            else:
                counts.other_failures += 1

        tasks = []
        arrivals = []
        phase_started_at = time.perf_counter()
        for organisation, rate in _RATE_BY_ORGANISATION.items():
            demand_ratio = (demand_ratio_by_organisation or
                            {}).get(organisation, _BASE_DEMAND_RATIO)
            arrivals.append(
                load.start_arrivals(
                    random.Random(rng.random()),
                    rate * demand_ratio,
                    phase_s,
                    lambda name=organisation: send_request(name)))
        for started in await asyncio.gather(*arrivals):
            tasks += started
        await asyncio.gather(*tasks)
        counts.intervals.append((phase_started_at, time.perf_counter()))

    await run_phase("warm_up", {"a0": 8, "b0": 1, "c0": 1})
    await run_phase("calm_skewed", {"a0": 8, "b0": 1, "c0": 1})
    await run_phase("moving", {"b0": 1})
    await run_phase("moving", {"c1": 1})
    await run_phase("one_heavy", dict.fromkeys(settings_by_node, 1),
                    {"large-1": 5.0})
    connected_nodes = {
        name: 1 for name in settings_by_node if name not in ("a0", "a1")
    }
    owner = _find_owner(running_fleet, settings_by_node)
    await asyncio.to_thread(running_fleet.processes[owner].kill)
    remaining_nodes = {name: 1 for name in settings_by_node if name != owner}
    await run_phase("owner_killed", remaining_nodes)
    running_fleet.processes[owner].start()
    await asyncio.sleep(3.0)
    for name in ("control-0", "a0", "a1"):
        running_fleet.processes[name].signal(signal.SIGSTOP)
    await run_phase("domain_cut", connected_nodes)
    for name in ("control-0", "a0", "a1"):
        running_fleet.processes[name].signal(signal.SIGCONT)
    await run_phase("healed", dict.fromkeys(settings_by_node, 1))
    calls = sum(counts.requests for counts in counts_by_phase.values())
    token_requests = _count_token_requests(
        running_fleet, settings_by_node) - token_requests_before
    figures = {
        f"wrongful_{label}": round(counts.refused / max(1, counts.requests), 4)
        for label, counts in counts_by_phase.items()
        if label != "one_heavy"
    }
    within_rate = [
        counts for label, counts in counts_by_phase.items()
        if label not in ("one_heavy", "warm_up")
    ]
    calm_latencies_s = counts_by_phase["calm_skewed"].latencies_s
    return {
        "over_admission":
            round(max(0.0, reference.max_excess()), 2),
        "wrongful_refusal_ratio":
            round(
                sum(counts.refused for counts in within_rate) /
                sum(counts.requests for counts in within_rate), 4),
        **figures,
        "heavy_admitted_per_s":
            round(
                len([
                    t for t in reference.admitted_at_by_organisation["large-1"]
                ]) / (len(counts_by_phase) + 1) / phase_s, 1),
        "other_failures": {
            label: counts.other_failures
            for label, counts in counts_by_phase.items()
        },
        "latency_p99_ms":
            round(load.quantile(calm_latencies_s, 0.99) * 1e3, 2),
        "grant_messages_per_call":
            round(token_requests / calls, 3),
        "calls":
            calls,
    }


def _count_token_requests(running_fleet, settings_by_node):
    """Sums the token requests of all nodes; a dead node counts as zero."""
    total = 0
    for name in settings_by_node:
        dump = rpc.fetch_dump(running_fleet.settings_by_name[name].admin)
        if dump is not None:
            total += dump["rates"]["messages"]
    return total


def _find_owner(running_fleet, settings_by_node):
    """Returns the name of a node that owns the rate of organisation large-1."""
    for name in settings_by_node:
        dump = rpc.fetch_dump(running_fleet.settings_by_name[name].admin)
        if dump is not None and "large-1" in dump["rates"]["owned"]:
            return name
    raise RuntimeError("no node owns the rate of large-1")
