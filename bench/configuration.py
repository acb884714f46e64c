"""Changes of configuration: in force everywhere, never lost or reverted."""

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

_CLIENTS = 24
_CHANGES = 60
_INTERVAL_S = 0.25
_WITHDRAWALS = 5
_MANY = 1000
_IDLE_S = 10.0
_RSS_SCRIPT = """
import pathlib, resource
def rss():
    return int(pathlib.Path('/proc/self/statm').read_text().split()[1]) * 4096
import apricothinge.node.serving, apricothinge.node.entry
before = rss()
import apricothinge.node.agent, grpc.aio
print((rss() - before) / 2**20)
"""


class Operator:
    """Makes one change after the other, each from the one before."""

    def __init__(self, control_addresses):
        self.control_addresses = control_addresses
        self.version = 0
        self.organisations = {"o": "p"}
        self.route = lists.Route(service="stock", path_prefix="/stock")

    def next(self):
        """Returns the next lists."""
        self.version += 1
        made = fleet.build_document(self.version, self.organisations,
                                    {"p": fleet.build_plan([self.route])})
        plans = lists.Plans(version=1, plans=made.plans.plans)
        return lists.Document(organisations=made.organisations, plans=plans)

    async def apply(self, timeout_s=20.0):
        """Applies the next lists; returns the revision."""
        reply = await rpc.ask_any_control(self.control_addresses,
                                          fleet.FLEET_SECRET,
                                          rpc_messages.Apply(self.next(),
                                                             0.0), timeout_s)
        return reply.outcome.revision


def run(options):
    """Runs the scenario; returns its figures."""
    with fleet.Fleet() as running:
        running.start_control_group(3, ("a", "b", "c"))
        node = running.start_node("node")
        upstream = fleet.find_free_address()
        running.start_module("upstream",
                             "bench.upstream",
                             service="stock",
                             port=upstream.port,
                             node=[node.local.host, node.local.port])
        return asyncio.run(_measure(running, node, options))


async def _measure(running, node, options):
    operator = Operator(running.control_addresses)
    await operator.apply()
    clients = await agents.start_clients(_CLIENTS, running.control_addresses)
    await asyncio.to_thread(running.wait_for_upstreams, ["node"], 1)
    figures = await _idle(clients)
    figures |= await _changes(operator, clients, options)
    figures |= await _withdrawals(operator, node)
    figures |= await _leader_change(running, operator)
    figures |= await _many(running, operator)
    await asyncio.sleep(2.0)
    figures["reverted"] = sum(c.state.reverted for c in clients)
    figures["behind"] = sum(c.revision < operator.version for c in clients)
    figures["control_rss_mb_per_node"] = round(
        float(
            subprocess.run([sys.executable, "-c", _RSS_SCRIPT],
                           check=True,
                           capture_output=True).stdout), 1)
    return figures


async def _idle(clients):
    """What control costs a node while nothing changes."""
    await asyncio.sleep(3.0)
    usage = resource.getrusage(resource.RUSAGE_SELF)
    before = usage.ru_utime + usage.ru_stime
    sent = sum(c.codec.bytes_in + c.codec.bytes_out for c in clients)
    await asyncio.sleep(_IDLE_S)
    usage = resource.getrusage(resource.RUSAGE_SELF)
    cpu_s = usage.ru_utime + usage.ru_stime - before
    sent = sum(c.codec.bytes_in + c.codec.bytes_out for c in clients) - sent
    return {
        "control_cpu_percent_per_node":
            round(100 * cpu_s / _IDLE_S / len(clients), 3),
        "control_bytes_s_per_node":
            round(sent / _IDLE_S / len(clients), 1),
    }


async def _changes(operator, clients, options):
    """Time from the operator's request until each node has it."""
    times = []
    count = int((options.seconds or 15) / _INTERVAL_S) or _CHANGES
    begun_by_revision = {}
    for place in range(count):
        operator.organisations[f"x{place}"] = "p"
        begun = time.perf_counter()
        begun_by_revision[await operator.apply()] = begun
        await asyncio.sleep(_INTERVAL_S)
    await asyncio.sleep(3.0)
    missing = 0
    for revision, begun in begun_by_revision.items():
        for client in clients:
            later = [
                at for found, at in client.state.installed_at.items()
                if found >= revision
            ]
            if later:
                times.append(min(later) - begun)
            else:
                missing += 1
    return {
        "changes": count,
        "in_force_p50_s": round(load.quantile(times, 0.5), 3),
        "in_force_p99_s": round(load.quantile(times, 0.99), 3),
        "in_force_max_s": round(max(times), 3),
        "not_in_force": missing,
    }


async def _withdrawals(operator, node):
    """Time until a withdrawn key is refused on an open connection."""
    longest = 0.0
    for place in range(_WITHDRAWALS):
        name = f"w{place}"
        operator.organisations[name] = "p"
        await operator.apply()
        client = load.HttpClient(node.caller)
        request = load.build_request("GET", "/stock/1", f"key-{name}")
        status = 0
        until = time.perf_counter() + 15
        while status != 200 and time.perf_counter() < until:
            status, _, _ = await client.call(request)
            await asyncio.sleep(0.02)
        del operator.organisations[name]
        begun = time.perf_counter()
        await operator.apply()
        while status != 401 and time.perf_counter() < begun + 15:
            status, _, _ = await client.call(request)
            await asyncio.sleep(0.005)
        longest = max(longest, time.perf_counter() - begun)
        client.close()
    return {"withdrawal_max_s": round(longest, 3)}


async def _status(running):
    return await rpc.ask_any_control(running.control_addresses,
                                     fleet.FLEET_SECRET,
                                     rpc_messages.AskStatus(), 20.0)


async def _leader_change(running, operator):
    """Time without a leader after it was killed."""
    status = await _status(running)
    leader = next(m.instance for m in status.members if m.leader)
    await asyncio.to_thread(running.processes[leader].kill)
    begun = time.perf_counter()
    operator.organisations["after-kill"] = "p"
    await operator.apply()
    took = time.perf_counter() - begun
    running.processes[leader].start()
    return {"leader_change_s": round(took, 3)}


async def _many(running, operator):
    """Many changes, then the power fails everywhere."""
    for place in range(_MANY - operator.version):
        operator.organisations = dict(operator.organisations)
        operator.organisations[f"y{place % 50}"] = ("p" if place % 2 else "p")
        operator.organisations[f"z{place}"] = "p"
        operator.organisations.pop(f"z{place - 10}", None)
        await operator.apply()
    expected = set(operator.organisations)
    for name in [n for n in running.processes if n.startswith("control")]:
        await asyncio.to_thread(running.processes[name].kill)
    begun = time.perf_counter()
    for name in [n for n in running.processes if n.startswith("control")]:
        running.processes[name].start()
    while True:
        status = await _status(running)
        if any(m.leader for m in status.members) and status.revision:
            break
        await asyncio.sleep(0.1)
    took = time.perf_counter() - begun
    found = await rpc.ask_any_control(running.control_addresses,
                                      fleet.FLEET_SECRET,
                                      rpc_messages.GetLists(), 20.0)
    lost = expected ^ set(found.document.organisations.organisations)
    return {
        "changes_in_all": operator.version,
        "restart_after_1000_changes_s": round(took, 3),
        "lost": len(lost) + (operator.version - found.revision),
    }
