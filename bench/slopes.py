"""How cost grows with nodes, organisations, upstreams, calls and changes."""

import asyncio
import random
import resource
import time
import tracemalloc

from apricothinge import settings
from apricothinge.overload import routing
from bench import agents
from bench import configuration
from bench import fleet
from bench import load

_SETTLE_S = 4.0
_WINDOW_S = 8.0


def fit(points):
    """Least squares: slope, value at zero, largest residual."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    square = sum((x - mean_x)**2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / square
    base = mean_y - slope * mean_x
    residual = max(abs(y - base - slope * x) for x, y in points)
    return {
        "points": [[x, round(y, 5)] for x, y in points],
        "slope": float(f"{slope:.4g}"),
        "at_zero": float(f"{base:.4g}"),
        "residual": float(f"{residual:.3g}")
    }


def run(options):
    """Runs all series; returns their fits."""
    del options
    figures = {}
    for series in (_calls, _nodes, _organisations, _changes, _upstreams):
        for name, points in series().items():
            figures[name] = fit(points)
            print(name, figures[name], flush=True)
    return figures


def _calls():
    """Processor and memory of a node by calls a second."""
    with fleet.Fleet() as running:
        entry, _ = running.start_entry_and_upstream()
        found = {}

        async def one_rate(rate):
            client = load.HttpClient(entry.caller)
            request = load.build_request("GET", "/stock/1", "key-o")
            before = {
                n: running.processes[n].cpu_s() for n in ("entry", "beside")
            }
            tasks = await load.start_arrivals(random.Random(1), rate, _WINDOW_S,
                                              lambda: client.call(request))
            await asyncio.gather(*tasks)
            for name, value in before.items():
                cpu_s = running.processes[name].cpu_s() - value
                found.setdefault(f"{name}_cpu_percent_by_calls_s", []).append(
                    (rate, 100 * cpu_s / _WINDOW_S))
            client.close()

        for rate in (40, 100, 200, 300):
            asyncio.run(one_rate(rate))
        return found


class _Group:
    """A control group of three with some clients."""

    def __init__(self, running):
        self.running = running
        self.operator = configuration.Operator(running.control_addresses)

    def control_cpu_s(self):
        """Processor seconds of all control instances."""
        return sum(process.cpu_s()
                   for name, process in self.running.processes.items()
                   if name.startswith("control"))

    def control_rss_mb(self):
        """Memory of the largest control instance."""
        return max(process.rss_mb()
                   for name, process in self.running.processes.items()
                   if name.startswith("control"))


def _client_cost(clients):
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return (usage.ru_utime + usage.ru_stime,
            sum(c.codec.bytes_in + c.codec.bytes_out for c in clients))


def _nodes():
    """Processor of control and of clients by attached nodes."""
    found = {
        "control_cpu_percent_by_nodes": [],
        "client_cpu_percent_each_by_nodes": [],
        "client_bytes_s_each_by_nodes": [],
        "control_rss_mb_by_nodes": []
    }
    for count in (10, 40, 80, 160):
        with fleet.Fleet() as running:
            running.start_control_group(3, ("a", "b", "c"))
            group = _Group(running)

            async def measure(group=group, count=count):
                await group.operator.apply()
                clients = await agents.start_clients(
                    count, group.operator.control_addresses)
                await asyncio.sleep(_SETTLE_S)
                cpu_s = group.control_cpu_s()
                own_s, sent = _client_cost(clients)
                await asyncio.sleep(_WINDOW_S)
                after_s, after = _client_cost(clients)
                return (group.control_cpu_s() - cpu_s, after_s - own_s,
                        after - sent)

            control_s, own_s, sent = asyncio.run(measure())
            found["control_cpu_percent_by_nodes"].append(
                (count, 100 * control_s / _WINDOW_S))
            found["client_cpu_percent_each_by_nodes"].append(
                (count, 100 * own_s / _WINDOW_S / count))
            found["client_bytes_s_each_by_nodes"].append(
                (count, sent / _WINDOW_S / count))
            found["control_rss_mb_by_nodes"].append(
                (count, group.control_rss_mb()))
    return found


def _organisations():
    """Time in force, memory and snapshot by organisations."""
    found = {
        "in_force_max_s_by_organisations": [],
        "client_kb_by_organisations": [],
        "control_rss_mb_by_organisations": []
    }
    for count in (10, 100, 400, 1000):
        with fleet.Fleet() as running:
            running.start_control_group(3, ("a", "b", "c"))
            group = _Group(running)

            async def measure(group=group, count=count):
                operator = group.operator
                operator.plan_by_organisation |= {
                    f"o{i}": "p" for i in range(count)
                }
                await operator.apply()
                tracemalloc.start()
                before, _ = tracemalloc.get_traced_memory()
                clients = await agents.start_clients(8,
                                                     operator.control_addresses)
                after, _ = tracemalloc.get_traced_memory()
                tracemalloc.stop()
                operator.plan_by_organisation["late"] = "p"
                begun = time.perf_counter()
                revision = await operator.apply()
                await asyncio.sleep(2.0)
                worst = max(c.state.installed_at_by_revision[revision]
                            for c in clients) - begun
                return worst, (after - before) / len(clients) / 1024

            worst, memory = asyncio.run(measure())
            found["in_force_max_s_by_organisations"].append((count, worst))
            found["client_kb_by_organisations"].append((count, memory))
            found["control_rss_mb_by_organisations"].append(
                (count, group.control_rss_mb()))
    return found


def _changes():
    """Processor and bytes of a client, and of control, by changes a second."""
    found = {
        "client_cpu_percent_each_by_changes_s": [],
        "client_bytes_s_each_by_changes_s": [],
        "control_cpu_percent_by_changes_s": []
    }
    with fleet.Fleet() as running:
        running.start_control_group(3, ("a", "b", "c"))
        group = _Group(running)

        async def measure():
            operator = group.operator
            await operator.apply()
            clients = await agents.start_clients(24, operator.control_addresses)
            await asyncio.sleep(_SETTLE_S)
            for rate in (0, 1, 2, 4):
                cpu_s = group.control_cpu_s()
                own_s, sent = _client_cost(clients)
                begun = time.perf_counter()
                for place in range(int(rate * _WINDOW_S)):
                    operator.plan_by_organisation[f"x{place}"] = "p"
                    operator.plan_by_organisation.pop(f"x{place - 4}", None)
                    await operator.apply()
                    due = begun + (place + 1) / rate
                    await asyncio.sleep(max(0.0, due - time.perf_counter()))
                if not rate:
                    await asyncio.sleep(_WINDOW_S)
                elapsed = time.perf_counter() - begun
                after_s, after = _client_cost(clients)
                found["client_cpu_percent_each_by_changes_s"].append(
                    (rate, 100 * (after_s - own_s) / elapsed / len(clients)))
                found["client_bytes_s_each_by_changes_s"].append(
                    (rate, (after - sent) / elapsed / len(clients)))
                found["control_cpu_percent_by_changes_s"].append(
                    (rate, 100 * (group.control_cpu_s() - cpu_s) / elapsed))

        asyncio.run(measure())
    return found


def _upstreams():
    """Time of a choice and memory of the table by upstream instances."""
    found = {
        "pick_us_by_instances_of_a_service": [],
        "router_kb_by_upstreams": []
    }
    for count in (8, 33, 100, 345, 690):
        tracemalloc.start()
        router = routing.Router("a", "r", random.Random(1))
        for place in range(count):
            router.upsert(
                routing.Upstream(f"i{place}", "s", "abcd"[place % 4], "r",
                                 settings.Address("127.0.0.1", place), False, 1,
                                 0.0))
        memory, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        begun = time.perf_counter()
        for _ in range(2000):
            router.pick(10.0, "s", set())
        took = (time.perf_counter() - begun) / 2000
        found["pick_us_by_instances_of_a_service"].append((count, took * 1e6))
        found["router_kb_by_upstreams"].append((count, memory / 1024))
    return found
