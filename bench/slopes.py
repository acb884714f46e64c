"""Growth of cost with nodes, organisations, upstreams, calls and changes."""

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

_SETTLING_S = 4.0
_WINDOW_S = 8.0


def fit_line(points):
    """Fits a line by least squares; returns slope, intercept and residual."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    x_square_sum = sum((x - mean_x)**2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / x_square_sum
    intercept = mean_y - slope * mean_x
    residual = max(abs(y - intercept - slope * x) for x, y in points)
    return {
        "points": [[x, round(y, 5)] for x, y in points],
        "slope": float(f"{slope:.4g}"),
        "at_zero": float(f"{intercept:.4g}"),
        "residual": float(f"{residual:.3g}")
    }


def run(options):
    """Runs all measurements, prints and returns their fits."""
    del options
    figures = {}
    for measure in (_measure_by_call_rate, _measure_by_nodes,
                    _measure_by_organisations, _measure_by_change_rate,
                    _measure_by_upstreams):
        for name, points in measure().items():
            figures[name] = fit_line(points)
            print(name, figures[name], flush=True)
    return figures


def _measure_by_call_rate():
    """Measures the CPU time of both nodes by calls per second."""
    with fleet.Fleet() as running_fleet:
        entry_settings, _ = running_fleet.start_entry_and_upstream()
        points_by_figure = {}

        async def measure_rate(rate):
            client = load.HttpClient(entry_settings.caller)
            request = load.build_request("GET", "/stock/1", "key-o")
            cpu_s_before = {
                name: running_fleet.processes[name].cpu_s()
                for name in ("entry", "beside")
            }
            tasks = await load.start_arrivals(random.Random(1), rate, _WINDOW_S,
                                              lambda: client.call(request))
            await asyncio.gather(*tasks)
            for name, start_cpu_s in cpu_s_before.items():
                cpu_s = running_fleet.processes[name].cpu_s() - start_cpu_s
                points_by_figure.setdefault(f"{name}_cpu_percent_by_calls_s",
                                            []).append(
                                                (rate, 100 * cpu_s / _WINDOW_S))
            client.close()

        for rate in (40, 100, 200, 300):
            asyncio.run(measure_rate(rate))
        return points_by_figure


class _ControlGroup:
    """A running control group and the operator that changes its lists."""

    def __init__(self, running_fleet):
        self.running_fleet = running_fleet
        self.operator = configuration.Operator(running_fleet.control_addresses)

    def control_cpu_s(self):
        """Returns the CPU seconds of all control instances."""
        return sum(process.cpu_s()
                   for name, process in self.running_fleet.processes.items()
                   if name.startswith("control"))

    def control_rss_mb(self):
        """Returns the resident MiB of the largest control instance."""
        return max(process.rss_mb()
                   for name, process in self.running_fleet.processes.items()
                   if name.startswith("control"))


def _read_client_usage(clients):
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return (usage.ru_utime + usage.ru_stime,
            sum(c.codec.bytes_in + c.codec.bytes_out for c in clients))


def _measure_by_nodes():
    """Measures cost of control and of each client by attached nodes."""
    points_by_figure = {
        "control_cpu_percent_by_nodes": [],
        "client_cpu_percent_each_by_nodes": [],
        "client_bytes_s_each_by_nodes": [],
        "control_rss_mb_by_nodes": []
    }
    for count in (10, 40, 80, 160):
        with fleet.Fleet() as running_fleet:
            running_fleet.start_control_group(3, ("a", "b", "c"))
            control_group = _ControlGroup(running_fleet)

            async def measure(control_group=control_group, count=count):
                await control_group.operator.apply()
                clients = await agents.start_clients(
                    count, control_group.operator.control_addresses)
                await asyncio.sleep(_SETTLING_S)
                control_cpu_s_before = control_group.control_cpu_s()
                client_cpu_s_before, bytes_before = _read_client_usage(clients)
                await asyncio.sleep(_WINDOW_S)
                client_cpu_s_after, bytes_after = _read_client_usage(clients)
                return (control_group.control_cpu_s() - control_cpu_s_before,
                        client_cpu_s_after - client_cpu_s_before,
                        bytes_after - bytes_before)

            control_cpu_s, client_cpu_s, transferred_bytes = asyncio.run(
                measure())
            points_by_figure["control_cpu_percent_by_nodes"].append(
                (count, 100 * control_cpu_s / _WINDOW_S))
            points_by_figure["client_cpu_percent_each_by_nodes"].append(
                (count, 100 * client_cpu_s / _WINDOW_S / count))
            points_by_figure["client_bytes_s_each_by_nodes"].append(
                (count, transferred_bytes / _WINDOW_S / count))
            points_by_figure["control_rss_mb_by_nodes"].append(
                (count, control_group.control_rss_mb()))
    return points_by_figure


def _measure_by_organisations():
    """Measures the delay of a change and memory by organisations."""
    points_by_figure = {
        "in_force_max_s_by_organisations": [],
        "client_kb_by_organisations": [],
        "control_rss_mb_by_organisations": []
    }
    for count in (10, 100, 400, 1000):
        with fleet.Fleet() as running_fleet:
            running_fleet.start_control_group(3, ("a", "b", "c"))
            control_group = _ControlGroup(running_fleet)

            async def measure(control_group=control_group, count=count):
                operator = control_group.operator
                operator.plan_by_organisation |= {
                    f"o{i}": "p" for i in range(count)
                }
                await operator.apply()
                tracemalloc.start()
                bytes_before, _ = tracemalloc.get_traced_memory()
                clients = await agents.start_clients(8,
                                                     operator.control_addresses)
                bytes_after, _ = tracemalloc.get_traced_memory()
                tracemalloc.stop()
                operator.plan_by_organisation["late"] = "p"
                started_at = time.perf_counter()
                revision = await operator.apply()
                await asyncio.sleep(2.0)
                max_delay_s = max(c.state.installed_at_by_revision[revision]
                                  for c in clients) - started_at
                return max_delay_s, (bytes_after -
                                     bytes_before) / len(clients) / 1024

            max_delay_s, client_kb = asyncio.run(measure())
            points_by_figure["in_force_max_s_by_organisations"].append(
                (count, max_delay_s))
            points_by_figure["client_kb_by_organisations"].append(
                (count, client_kb))
            points_by_figure["control_rss_mb_by_organisations"].append(
                (count, control_group.control_rss_mb()))
    return points_by_figure


def _measure_by_change_rate():
    """Measures cost of each client and of control by changes per second."""
    points_by_figure = {
        "client_cpu_percent_each_by_changes_s": [],
        "client_bytes_s_each_by_changes_s": [],
        "control_cpu_percent_by_changes_s": []
    }
    with fleet.Fleet() as running_fleet:
        running_fleet.start_control_group(3, ("a", "b", "c"))
        control_group = _ControlGroup(running_fleet)

        async def measure():
            operator = control_group.operator
            await operator.apply()
            clients = await agents.start_clients(24, operator.control_addresses)
            await asyncio.sleep(_SETTLING_S)
            for rate in (0, 1, 2, 4):
                control_cpu_s_before = control_group.control_cpu_s()
                client_cpu_s_before, bytes_before = _read_client_usage(clients)
                started_at = time.perf_counter()
                for index in range(int(rate * _WINDOW_S)):
                    operator.plan_by_organisation[f"x{index}"] = "p"
                    operator.plan_by_organisation.pop(f"x{index - 4}", None)
                    await operator.apply()
                    due_at = started_at + (index + 1) / rate
                    await asyncio.sleep(max(0.0, due_at - time.perf_counter()))
                if not rate:
                    await asyncio.sleep(_WINDOW_S)
                elapsed_s = time.perf_counter() - started_at
                client_cpu_s_after, bytes_after = _read_client_usage(clients)
                points_by_figure["client_cpu_percent_each_by_changes_s"].append(
                    (rate, 100 * (client_cpu_s_after - client_cpu_s_before) /
                     elapsed_s / len(clients)))
                points_by_figure["client_bytes_s_each_by_changes_s"].append(
                    (rate,
                     (bytes_after - bytes_before) / elapsed_s / len(clients)))
                points_by_figure["control_cpu_percent_by_changes_s"].append(
                    (rate, 100 *
                     (control_group.control_cpu_s() - control_cpu_s_before) /
                     elapsed_s))

        asyncio.run(measure())
    return points_by_figure


def _measure_by_upstreams():
    """Measures the time of a routing decision and memory by upstreams."""
    points_by_figure = {
        "pick_us_by_instances_of_a_service": [],
        "router_kb_by_upstreams": []
    }
    for count in (8, 33, 100, 345, 690):
        tracemalloc.start()
        router = routing.Router("a", "r", random.Random(1))
        for index in range(count):
            router.upsert(
                routing.Upstream(f"i{index}", "s", "abcd"[index % 4], "r",
                                 settings.Address("127.0.0.1", index), False, 1,
                                 0.0))
        router_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        started_at = time.perf_counter()
        for _ in range(2000):
            router.pick(10.0, "s", set())
        pick_s = (time.perf_counter() - started_at) / 2000
        points_by_figure["pick_us_by_instances_of_a_service"].append(
            (count, pick_s * 1e6))
        points_by_figure["router_kb_by_upstreams"].append(
            (count, router_bytes / 1024))
    return points_by_figure
