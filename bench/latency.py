"""Time that two nodes add to a call, against direct calls in the same run."""

import asyncio
import random
import time

from bench import fleet
from bench import load

_RATE_PER_S = 250
_WARM_UP_S = 4.0


def run(options):
    """Runs the scenario; returns its figures."""
    duration_s = options.seconds or 20.0
    with fleet.Fleet() as running:
        entry, upstream = running.start_entry_and_upstream()
        return asyncio.run(_measure(running, entry, upstream, duration_s))


async def _measure(running, entry, upstream, duration_s):
    rng = random.Random(1)
    through = load.HttpClient(entry.caller)
    direct = load.HttpClient(upstream)
    request = load.build_request("GET", "/stock/42", "key-o")
    times = {"direct": [], "through": []}
    failed = 0
    recording = False
    turn = 0

    async def one():
        nonlocal failed, turn
        turn += 1
        name = "through" if turn % 2 else "direct"
        client = through if name == "through" else direct
        begun = time.perf_counter()
        status, _, _ = await client.call(request)
        if not recording:
            return
        times[name].append(time.perf_counter() - begun)
        failed += status != 200

    await asyncio.gather(
        *await load.start_arrivals(rng, 2 * _RATE_PER_S, _WARM_UP_S, one))
    recording = True
    before = {n: running.processes[n].cpu_s() for n in ("entry", "beside")}
    await asyncio.gather(
        *await load.start_arrivals(rng, 2 * _RATE_PER_S, duration_s, one))
    calls = len(times["through"])
    cpu_s = {
        name: running.processes[name].cpu_s() - value
        for name, value in before.items()
    }
    figures = {
        f"{name}_p{int(part * 100)}_ms": load.quantile(times[name], part) * 1e3
        for name in times for part in (0.5, 0.99)
    }
    return {
        "added_p50_ms":
            round(figures["through_p50_ms"] - figures["direct_p50_ms"], 3),
        "added_p99_ms":
            round(figures["through_p99_ms"] - figures["direct_p99_ms"], 3),
        "cpu_ms_per_call_per_node":
            round(sum(cpu_s.values()) / 2 / calls * 1e3, 3),
        "cpu_ms_entry":
            round(cpu_s["entry"] / calls * 1e3, 3),
        "cpu_ms_beside":
            round(cpu_s["beside"] / calls * 1e3, 3),
        "rss_mb_node":
            round(running.processes["beside"].rss_mb(), 1),
        "calls":
            calls,
        "failed":
            failed,
        **{
            name: round(value, 3) for name, value in figures.items()
        }
    }
