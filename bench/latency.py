"""Latency that two nodes add, against direct calls in the same run."""

import asyncio
import random
import time

from bench import fleet
from bench import load

_RATE_PER_S_PER_PATH = 250
_WARM_UP_S = 4.0


def run(options):
    """Runs the scenario and returns its figures."""
    duration_s = options.seconds or 20.0
    with fleet.Fleet() as running_fleet:
        entry_settings, upstream_address = (
            running_fleet.start_entry_and_upstream())
        return asyncio.run(
            _measure(running_fleet, entry_settings, upstream_address,
                     duration_s))


async def _measure(running_fleet, entry_settings, upstream_address, duration_s):
    rng = random.Random(1)
    through_client = load.HttpClient(entry_settings.caller)
    direct_client = load.HttpClient(upstream_address)
    request = load.build_request("GET", "/stock/42", "key-o")
    latencies_s = {"direct": [], "through": []}
    failed = 0
    recording = False
    sent_count = 0

    async def send_call():
        nonlocal failed, sent_count
        sent_count += 1
        name = "through" if sent_count % 2 else "direct"
        client = through_client if name == "through" else direct_client
        started_at = time.perf_counter()
        status, _, _ = await client.call(request)
        if not recording:
            return
        latencies_s[name].append(time.perf_counter() - started_at)
        failed += status != 200

    await asyncio.gather(
        *await load.start_arrivals(rng, 2 *
                                   _RATE_PER_S_PER_PATH, _WARM_UP_S, send_call))
    recording = True
    cpu_s_before = {
        name: running_fleet.processes[name].cpu_s()
        for name in ("entry", "beside")
    }
    await asyncio.gather(
        *await load.start_arrivals(rng, 2 *
                                   _RATE_PER_S_PER_PATH, duration_s, send_call))
    calls = len(latencies_s["through"])
    cpu_s = {
        name: running_fleet.processes[name].cpu_s() - start_cpu_s
        for name, start_cpu_s in cpu_s_before.items()
    }
    figures = {
        f"{name}_p{int(fraction * 100)}_ms":
            load.quantile(latencies_s[name], fraction) * 1e3
        for name in latencies_s for fraction in (0.5, 0.99)
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
            round(running_fleet.processes["beside"].rss_mb(), 1),
        "calls":
            calls,
        "failed":
            failed,
        **{
            name: round(value, 3) for name, value in figures.items()
        }
    }
