"""Rates over the whole fleet while demand moves and things fail."""

import asyncio
import random
import signal
import time

from apricothinge import lists
from bench import fleet
from bench import load
from bench import rpc

_DOMAINS = ("a", "b", "c")
_NODES = 6
_ORGANISATIONS = {
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
_INSIDE = 0.8


class Exact:
    """One exact bucket for each organisation, fed with what was admitted."""

    def __init__(self):
        self.admitted = {name: [] for name in _ORGANISATIONS}
        self.arrived = {name: [] for name in _ORGANISATIONS}

    def excess(self):
        """Largest number of requests over rate x time + burst."""
        worst = 0.0
        for name, times in self.admitted.items():
            rate = _ORGANISATIONS[name]
            burst = rate * _BURST_S
            level, before = burst, 0.0
            for now in sorted(times):
                level = min(burst, level + (now - before) * rate) - 1
                before = now
                worst = max(worst, -level)
        return worst

    def rightful(self, start, end):
        """Requests that the exact bucket would have refused in a phase."""
        count = 0
        for name, times in self.arrived.items():
            rate = _ORGANISATIONS[name]
            burst = rate * _BURST_S
            level, before = burst, 0.0
            for now in sorted(times):
                level = min(burst, level + (now - before) * rate)
                before = now
                if level >= 1.0:
                    level -= 1.0
                elif start <= now < end:
                    count += 1
        return count


class Phase:
    """What happened in one phase."""

    def __init__(self):
        self.asked = self.refused = self.other = 0
        self.times = []
        self.spans = []


def run(options):
    """Runs the scenario; returns its figures."""
    with fleet.Fleet() as running:
        running.start_control_group(3, _DOMAINS)
        nodes = {}
        for place in range(_NODES):
            domain = _DOMAINS[place % 3]
            name = f"{domain}{place // 3}"
            nodes[name] = running.start_node(name, domain)
            upstream = fleet.find_free_address()
            running.start_module(
                f"up-{name}",
                "bench.upstream",
                service="stock",
                port=upstream.port,
                node=[nodes[name].local.host, nodes[name].local.port])
        route = lists.Route(service="stock", path_prefix="/stock")
        plans = {
            name:
                fleet.build_plan([route],
                                 rate_per_s=rate,
                                 burst=rate * _BURST_S)
            for name, rate in _ORGANISATIONS.items()
        }
        running.apply(
            fleet.build_document(1, {name: name for name in _ORGANISATIONS},
                                 plans))
        running.wait_for_upstreams(nodes, _NODES)
        time.sleep(6.0)
        return asyncio.run(_measure(running, nodes, options))


async def _measure(running, nodes, options):
    seconds = options.seconds or 10.0
    rng = random.Random(options.seed)
    exact = Exact()
    clients = {
        name: load.HttpClient(part.caller) for name, part in nodes.items()
    }
    phases = {}
    before = _messages(running, nodes)

    async def phase(label, weights, factors=None):
        found = phases.setdefault(label, Phase())
        names = list(weights)
        parts = list(weights.values())

        async def one(organisation):
            node = rng.choices(names, parts)[0]
            begun = time.perf_counter()
            exact.arrived[organisation].append(begun)
            status, _, _ = await clients[node].call(
                load.build_request("GET", "/stock/1", f"key-{organisation}"),
                3.0)
            ended = time.perf_counter()
            found.asked += 1
            if status == 429:
                found.refused += 1
            elif status == 200:
                found.times.append(ended - begun)
                # Somewhere between both ends; the middle favours neither.
                exact.admitted[organisation].append((begun + ended) / 2)
            else:
                found.other += 1

        tasks = []
        flows = []
        phase_begun = time.perf_counter()
        for organisation, rate in _ORGANISATIONS.items():
            factor = (factors or {}).get(organisation, _INSIDE)
            flows.append(
                load.start_arrivals(random.Random(rng.random()),
                                    rate * factor,
                                    seconds,
                                    lambda name=organisation: one(name)))
        for started in await asyncio.gather(*flows):
            tasks += started
        await asyncio.gather(*tasks)
        found.spans.append((phase_begun, time.perf_counter()))

    await phase("warm_up", {"a0": 8, "b0": 1, "c0": 1})
    await phase("calm_skewed", {"a0": 8, "b0": 1, "c0": 1})
    await phase("moving", {"b0": 1})
    await phase("moving", {"c1": 1})
    await phase("one_heavy", dict.fromkeys(nodes, 1), {"large-1": 5.0})
    others = {name: 1 for name in nodes if name not in ("a0", "a1")}
    owner = _owner(running, nodes)
    await asyncio.to_thread(running.processes[owner].kill)
    alive = {name: 1 for name in nodes if name != owner}
    await phase("owner_killed", alive)
    running.processes[owner].start()
    await asyncio.sleep(3.0)
    for name in ("control-0", "a0", "a1"):
        running.processes[name].signal(signal.SIGSTOP)
    await phase("domain_cut", others)
    for name in ("control-0", "a0", "a1"):
        running.processes[name].signal(signal.SIGCONT)
    await phase("healed", dict.fromkeys(nodes, 1))
    calls = sum(p.asked for p in phases.values())
    sent = _messages(running, nodes) - before
    figures = {
        f"wrongful_{label}": round(p.refused / max(1, p.asked), 4)
        for label, p in phases.items()
        if label != "one_heavy"
    }
    inside = [
        p for label, p in phases.items()
        if label not in ("one_heavy", "warm_up")
    ]
    calm = phases["calm_skewed"].times
    return {
        "over_admission":
            round(max(0.0, exact.excess()), 2),
        "wrongful_refusal_ratio":
            round(
                sum(p.refused for p in inside) / sum(p.asked for p in inside),
                4),
        **figures,
        "heavy_admitted_per_s":
            round(
                len([t for t in exact.admitted["large-1"]]) /
                (len(phases) + 1) / seconds, 1),
        "other_failures": {
            label: p.other for label, p in phases.items()
        },
        "latency_p99_ms":
            round(load.quantile(calm, 0.99) * 1e3, 2),
        "grant_messages_per_call":
            round(sent / calls, 3),
        "calls":
            calls,
    }


def _messages(running, nodes):
    """Requests for tokens so far; a process that is gone counts nothing."""
    total = 0
    for name in nodes:
        found = rpc.fetch_dump(running.settings_by_name[name].admin)
        if found is not None:
            total += found["rates"]["messages"]
    return total


def _owner(running, nodes):
    """Returns a node that hands out tokens of a large organisation."""
    for name in nodes:
        found = rpc.fetch_dump(running.settings_by_name[name].admin)
        if found is not None and "large-1" in found["rates"]["owned"]:
            return name
    raise RuntimeError("nobody owns the rate of large-1")
