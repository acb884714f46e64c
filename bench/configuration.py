"""Delay of configuration changes, and changes lost or reverted."""

import asyncio
import resource
import subprocess
import sys
import time

from apricothinge import lists
from apricothinge.control import rpc_messages
from bench import agents
from bench import fleet
from bench import load
from bench import rpc

_CLIENT_COUNT = 24
_DEFAULT_CHANGE_COUNT = 60
_CHANGE_INTERVAL_S = 0.25
_WITHDRAWAL_COUNT = 5
_TOTAL_CHANGE_COUNT = 1000
_IDLE_WINDOW_S = 10.0
_AGENT_RSS_SCRIPT = """
import pathlib, resource
def rss():
    return int(pathlib.Path('/proc/self/statm').read_text().split()[1]) * 4096
import apricothinge.node.serving, apricothinge.node.entry
before = rss()
import apricothinge.node.control_client, grpc.aio
print((rss() - before) / 2**20)
"""


class Operator:
    """Applies a series of changes, each based on the one before."""

    def __init__(self, control_addresses):
        self.control_addresses = control_addresses
        self.version = 0
        self.plan_by_organisation = {"o": "p"}
        self.route = lists.Route(service="stock", path_prefix="/stock")

    def build_next_document(self):
        """Builds the lists with the next version number."""
        self.version += 1
        document = fleet.build_document(self.version, self.plan_by_organisation,
                                        {"p": fleet.build_plan([self.route])})
        plans = lists.Plans(version=1, plans=document.plans.plans)
        return lists.Document(organisations=document.organisations, plans=plans)

    async def apply(self, timeout_s=20.0):
        """Applies the next lists and returns their revision."""
        reply = await rpc.ask_any_control(
            self.control_addresses, fleet.FLEET_SECRET,
            rpc_messages.Apply(self.build_next_document(), 0.0), timeout_s)
        return reply.outcome.revision


def run(options):
    """Runs the scenario and returns its figures."""
    with fleet.Fleet() as running_fleet:
        running_fleet.start_control_group(3, ("a", "b", "c"))
        node_settings = running_fleet.start_node("node")
        upstream_address = fleet.find_free_address()
        running_fleet.start_module(
            "upstream",
            "bench.upstream",
            service="stock",
            port=upstream_address.port,
            node=[node_settings.local.host, node_settings.local.port])
        return asyncio.run(_measure(running_fleet, node_settings, options))


async def _measure(running_fleet, node_settings, options):
    operator = Operator(running_fleet.control_addresses)
    await operator.apply()
    clients = await agents.start_clients(_CLIENT_COUNT,
                                         running_fleet.control_addresses)
    await asyncio.to_thread(running_fleet.wait_for_upstreams, ["node"], 1)
    figures = await _measure_idle_cost(clients)
    figures |= await _measure_changes(operator, clients, options)
    figures |= await _measure_withdrawals(operator, node_settings)
    figures |= await _measure_leader_change(running_fleet, operator)
    figures |= await _measure_restart(running_fleet, operator)
    await asyncio.sleep(2.0)
    figures["reverted"] = sum(c.state.revert_count for c in clients)
    figures["behind"] = sum(c.revision < operator.version for c in clients)
    figures["control_rss_mb_per_node"] = round(
        float(
            subprocess.run([sys.executable, "-c", _AGENT_RSS_SCRIPT],
                           check=True,
                           capture_output=True).stdout), 1)
    return figures


async def _measure_idle_cost(clients):
    """Measures CPU time and traffic of a client while nothing changes."""
    await asyncio.sleep(3.0)
    usage = resource.getrusage(resource.RUSAGE_SELF)
    cpu_s_before = usage.ru_utime + usage.ru_stime
    transferred_bytes = sum(
        c.codec.bytes_in + c.codec.bytes_out for c in clients)
    await asyncio.sleep(_IDLE_WINDOW_S)
    usage = resource.getrusage(resource.RUSAGE_SELF)
    cpu_s = usage.ru_utime + usage.ru_stime - cpu_s_before
    transferred_bytes = sum(c.codec.bytes_in + c.codec.bytes_out
                            for c in clients) - transferred_bytes
    return {
        "control_cpu_percent_per_node":
            round(100 * cpu_s / _IDLE_WINDOW_S / len(clients), 3),
        "control_bytes_s_per_node":
            round(transferred_bytes / _IDLE_WINDOW_S / len(clients), 1),
    }


async def _measure_changes(operator, clients, options):
    """Measures the time from a change request until each client has it."""
    delays_s = []
    count = int(
        (options.seconds or 15) / _CHANGE_INTERVAL_S) or _DEFAULT_CHANGE_COUNT
    started_at_by_revision = {}
    for index in range(count):
        operator.plan_by_organisation[f"x{index}"] = "p"
        started_at = time.perf_counter()
        started_at_by_revision[await operator.apply()] = started_at
        await asyncio.sleep(_CHANGE_INTERVAL_S)
    await asyncio.sleep(3.0)
    missing = 0
    for revision, started_at in started_at_by_revision.items():
        for client in clients:
            install_times = [
                installed_at for installed_revision, installed_at in
                client.state.installed_at_by_revision.items()
                if installed_revision >= revision
            ]
            if install_times:
                delays_s.append(min(install_times) - started_at)
            else:
                missing += 1
    return {
        "changes": count,
        "in_force_p50_s": round(load.quantile(delays_s, 0.5), 3),
        "in_force_p99_s": round(load.quantile(delays_s, 0.99), 3),
        "in_force_max_s": round(max(delays_s), 3),
        "not_in_force": missing,
    }


async def _measure_withdrawals(operator, node_settings):
    """Measures how long a withdrawn key is accepted on an open connection."""
    max_delay_s = 0.0
    for index in range(_WITHDRAWAL_COUNT):
        organisation = f"w{index}"
        operator.plan_by_organisation[organisation] = "p"
        await operator.apply()
        client = load.HttpClient(node_settings.caller)
        request = load.build_request("GET", "/stock/1", f"key-{organisation}")
        status = 0
        deadline = time.perf_counter() + 15
        while status != 200 and time.perf_counter() < deadline:
            status, _, _ = await client.call(request)
            await asyncio.sleep(0.02)
        del operator.plan_by_organisation[organisation]
        started_at = time.perf_counter()
        await operator.apply()
        while status != 401 and time.perf_counter() < started_at + 15:
            status, _, _ = await client.call(request)
            await asyncio.sleep(0.005)
        max_delay_s = max(max_delay_s, time.perf_counter() - started_at)
        client.close()
    return {"withdrawal_max_s": round(max_delay_s, 3)}


async def _fetch_status(running_fleet):
    return await rpc.ask_any_control(running_fleet.control_addresses,
                                     fleet.FLEET_SECRET,
                                     rpc_messages.AskStatus(), 20.0)


async def _measure_leader_change(running_fleet, operator):
    """Measures the time from the leader's kill to the next applied change."""
    status = await _fetch_status(running_fleet)
    leader = next(member.instance for member in status.members if member.leader)
    await asyncio.to_thread(running_fleet.processes[leader].kill)
    started_at = time.perf_counter()
    operator.plan_by_organisation["after-kill"] = "p"
    await operator.apply()
    elapsed_s = time.perf_counter() - started_at
    running_fleet.processes[leader].start()
    return {"leader_change_s": round(elapsed_s, 3)}


async def _measure_restart(running_fleet, operator):
    """Kills and restarts all control instances after many changes.

    Reports the time until a leader serves the lists again, and what was lost.
    """
    for index in range(_TOTAL_CHANGE_COUNT - operator.version):
        operator.plan_by_organisation = dict(operator.plan_by_organisation)
        operator.plan_by_organisation[f"y{index % 50}"] = ("p" if index %
                                                           2 else "p")
        operator.plan_by_organisation[f"z{index}"] = "p"
        operator.plan_by_organisation.pop(f"z{index - 10}", None)
        await operator.apply()
    expected = set(operator.plan_by_organisation)
    for instance in [
            instance for instance in running_fleet.processes
            if instance.startswith("control")
    ]:
        await asyncio.to_thread(running_fleet.processes[instance].kill)
    started_at = time.perf_counter()
    for instance in [
            instance for instance in running_fleet.processes
            if instance.startswith("control")
    ]:
        running_fleet.processes[instance].start()
    while True:
        status = await _fetch_status(running_fleet)
        if any(member.leader for member in status.members) and status.revision:
            break
        await asyncio.sleep(0.1)
    elapsed_s = time.perf_counter() - started_at
    reply = await rpc.ask_any_control(running_fleet.control_addresses,
                                      fleet.FLEET_SECRET,
                                      rpc_messages.GetLists(), 20.0)
    differing = expected ^ set(reply.document.organisations.organisations)
    return {
        "changes_in_all": operator.version,
        "restart_after_1000_changes_s": round(elapsed_s, 3),
        "lost": len(differing) + (operator.version - reply.revision),
    }
