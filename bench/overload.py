"""A surge on a graph of services, with callers that retry hard."""

import asyncio
import collections
import json
import random
import time

from bench import deployments
from bench import fleet
from bench import load

_PATIENCE_S = 1.0
_CALLER_RETRIES = 3
_CALLER_PAUSE_S = 0.05
_SURGE = 3.0
_CALM = 0.7
_CALM_S = 5.0
_AFTER_S = 12.0
_BUCKET_S = 0.5
_RECOVERED = 0.95
_CLASSES = (("critical", 0.15), ("normal", 0.6), ("background", 0.25))


class Record:
    """One request of a caller, over all its attempts."""

    __slots__ = ("begun", "ended", "organisation", "kind", "good", "attempts",
                 "names", "statuses")

    def __init__(self, begun, organisation, kind):
        self.begun = begun
        self.ended = 0.0
        self.organisation = organisation
        self.kind = kind
        self.good = False
        self.attempts = 0
        self.names = []
        self.statuses = []


class Callers:
    """Sends requests, each again and again until its patience ends."""

    def __init__(self, entries, deployment, rng, weights):
        self._clients = [load.HttpClient(address) for address in entries]
        self._deployment = deployment
        self._rng = rng
        self._weights = weights
        self.records = []
        # Several groups of callers share the upstreams and their counts.
        self._count = rng.randrange(1, 1000) * 1_000_000

    async def one(self):
        """Sends one request until it is answered or given up."""
        organisation = self._rng.choices(list(self._weights),
                                         list(self._weights.values()))[0]
        kind = self._rng.choices([name for name, _ in _CLASSES],
                                 [part for _, part in _CLASSES])[0]
        await self.send(organisation, kind)

    async def send(self, organisation, kind, more=""):
        """Sends a request of one organisation and importance."""
        self._count += 1
        number = self._count
        record = Record(time.perf_counter(), organisation, kind)
        self.records.append(record)
        for attempt in range(1 + _CALLER_RETRIES):
            name = f"{number}.{attempt}"
            record.names.append(name)
            record.attempts += 1
            status = await self._attempt(record, number, name, more)
            record.statuses.append(status)
            if status == 200:
                record.good = True
                break
            left_s = record.begun + _PATIENCE_S - time.perf_counter()
            if left_s <= _CALLER_PAUSE_S:
                break
            await asyncio.sleep(_CALLER_PAUSE_S)
        record.ended = time.perf_counter()
        record.good = (record.good and
                       record.ended - record.begun <= _PATIENCE_S)
        return record

    async def _attempt(self, record, number, name, more):
        method = "POST" if record.kind == "critical" else "GET"
        headers = [("Idempotency-Key",
                    f"k{number}")] if method == "POST" else []
        request = load.build_request(
            method,
            f"{self._deployment.path_prefix}/{record.kind}{more or '?r=' + name}",
            f"key-{record.organisation}", headers)
        await asyncio.sleep(self._deployment.caller_delay_s)
        client = self._rng.choice(self._clients)
        left_s = record.begun + _PATIENCE_S - time.perf_counter()
        status, _, _ = await client.call(request, max(0.01, left_s))
        return status


class Graph:
    """The processes of one deployment, with our nodes or naive ones."""

    def __init__(self, running, deployment, naive):
        self.running = running
        self.deployment = deployment
        self.entries = []
        self.upstreams = []
        self._plan(naive)

    def _plan(self, naive):
        targets = []
        for service in self.deployment.services:
            for place in range(service.instance_count):
                domain = self.deployment.failure_domains[place % len(
                    self.deployment.failure_domains)]
                targets.append((f"{service.name}-{place}", service, domain))
        addresses = {name: fleet.find_free_address() for name, _, _ in targets}
        if not naive:
            self.running.start_control_group(1)
        services = collections.defaultdict(list)
        for name, service, _ in targets:
            services[service.name].append(
                [addresses[name].host, addresses[name].port])
        for name, service, domain in targets:
            caller, local = self._node(name, domain, naive, services)
            if service is self.deployment.services[0]:
                self.entries.append(caller)
            self.running.start_module(f"up-{name}",
                                      "bench.upstream",
                                      service=service.name,
                                      slots=service.slots,
                                      work_s=service.work_s,
                                      cold_s=2.0,
                                      nested=service.nested,
                                      port=addresses[name].port,
                                      node=[local.host, local.port])
            self.upstreams.append((f"up-{name}", service, addresses[name]))
        if not naive:
            self.running.apply(self.deployment.build_document(_PATIENCE_S))
            self.running.wait_for_upstreams([name for name, _, _ in targets],
                                            len(targets))
        time.sleep(3.0)

    def _node(self, name, domain, naive, services):
        if not naive:
            part = self.running.start_node(name, domain)
            return part.caller, part.local
        caller, local = fleet.find_free_address(), fleet.find_free_address()
        prefix = self.deployment.path_prefix
        self.running.start_module(
            name,
            "bench.naive",
            caller=[caller.host, caller.port],
            local=[local.host, local.port],
            services=services,
            prefixes={prefix: self.deployment.services[0].name})
        return caller, local

    async def stats(self, query=""):
        """Collects what the upstreams have run; may set their slowness."""
        found = []
        for _, service, address in self.upstreams:
            client = load.HttpClient(address)
            _, _, content = await client.call(
                load.build_request("GET", f"/standin/stats{query}"))
            client.close()
            if content:
                found.append((service, json.loads(content)))
        return found


def run(options):
    """Runs a scenario for our nodes and for the naive ones."""
    deployment = deployments.DEPLOYMENT_BY_NAME[options.deployment]
    scenario = {
        "overload": _surge,
        "slow-service": _slow,
        "one-heavy-organisation": _heavy,
        "crasher": _crasher
    }[options.scenario]
    figures = {"deployment": options.deployment, "seed": options.seed}
    for naive in (False, True):
        if naive and (options.no_naive or options.scenario == "crasher"):
            continue
        with fleet.Fleet() as running:
            graph = Graph(running, deployment, naive)
            found = asyncio.run(scenario(graph, options))
        if naive:
            figures["naive"] = found
        else:
            figures.update(found)
    return figures


async def _capacity(callers, deployment):
    """Goodput a second when a few callers ask without pause."""
    slots = deployment.services[-1].slots * deployment.services[
        -1].instance_count
    until = time.perf_counter() + 9.0

    async def loop():
        while time.perf_counter() < until:
            await callers.send("large-1", "normal")

    begun = time.perf_counter() + 4.0
    await asyncio.gather(*[loop() for _ in range(2 * slots)])
    good = sum(1 for r in callers.records if r.good and r.begun > begun)
    return good / (until - begun)


def _callers(graph, options, weights=None, seed=0):
    return Callers(graph.entries, graph.deployment,
                   random.Random(options.seed + seed), weights or
                   deployments.WEIGHT_BY_ORGANISATION)


async def _phases(callers, rng, rates):
    """Runs phases of (rate, seconds); returns when each began."""
    tasks = []
    begun = []
    for rate, seconds in rates:
        begun.append(time.perf_counter())
        tasks += await load.start_arrivals(rng, rate, seconds, callers.one)
    await asyncio.gather(*tasks)
    return begun


async def _surge(graph, options):
    measuring = _callers(graph, options, seed=1000)
    capacity = await _capacity(measuring, graph.deployment)
    callers = _callers(graph, options)
    seconds = options.seconds or 10.0
    begun = await _phases(callers, random.Random(options.seed),
                          [(_CALM * capacity, _CALM_S),
                           (_SURGE * capacity, seconds),
                           (_CALM * capacity, _AFTER_S)])
    figures = _judge(callers.records, begun[1], begun[2], capacity)
    figures["recovery_s"] = _recovery_s(callers.records, begun[2])
    figures.update(await _work(graph, callers.records, begun[1]))
    return figures


def _judge(records, start, end, capacity):
    surge = [r for r in records if start <= r.begun < end]
    seconds = end - start
    good = collections.Counter(r.organisation for r in surge if r.good)
    asked = collections.Counter(r.organisation for r in surge)
    fair = _fair_shares({n: c / seconds for n, c in asked.items()}, capacity)
    critical = [r for r in surge if r.kind == "critical"]
    worst = min(good[n] / seconds / fair[n] for n in asked)
    return {
        "capacity_per_s":
            round(capacity, 1),
        "goodput_per_s":
            round(sum(good.values()) / seconds, 1),
        "offered_per_s":
            round(len(surge) / seconds, 1),
        "goodput_ratio":
            round(sum(good.values()) / seconds / capacity, 3),
        "worst_organisation_ratio":
            round(worst, 3),
        "critical_goodput_ratio":
            round(sum(r.good for r in critical) / max(1, len(critical)), 3),
        "wrongful_refusals":
            sum(429 in r.statuses for r in surge),
    }


def _fair_shares(demand, capacity):
    """Divides a capacity so that nobody gets more than it asks for."""
    shares = {}
    left = dict(demand)
    while left:
        even = capacity / len(left)
        small = {n: d for n, d in left.items() if d <= even}
        if not small:
            shares.update({n: even for n in left})
            break
        for name, value in small.items():
            shares[name] = value
            capacity -= value
            del left[name]
    return shares


def _recovery_s(records, end):
    """Seconds after the surge until goodput stays at 95% of demand."""
    after = [r for r in records if r.begun >= end]
    last = 0.0
    buckets = collections.defaultdict(list)
    for record in after:
        buckets[int((record.begun - end) / _BUCKET_S)].append(record.good)
    for place, goods in sorted(buckets.items()):
        if sum(goods) < _RECOVERED * len(goods):
            last = (place + 1) * _BUCKET_S
    return last


async def _work(graph, records, start):
    """What the upstreams did, and for whom in vain."""
    good_names = set()
    names = set()
    for record in records:
        if record.begun < start:
            continue
        names.update(record.names)
        if record.good:
            good_names.update(record.names)
    useful = wasted = 0.0
    runs = collections.Counter()
    first_runs = collections.Counter()
    for service, found in await graph.stats():
        for name, seconds in found["worked_s"].items():
            if name in good_names:
                useful += seconds
            elif name in names:
                wasted += seconds
        for name, count in found["runs"].items():
            if name in names:
                runs[name] += count
                if service is graph.deployment.services[0]:
                    first_runs[name.partition(".")[0]] += count
    duplicates = 0
    for record in records:
        if record.begun >= start and record.kind == "critical":
            duplicates += max(0,
                              first_runs[record.names[0].partition(".")[0]] - 1)
    return {
        "wasted_work_ratio": round(wasted / max(1e-9, useful + wasted), 3),
        "attempts_per_request_max": max(runs.values(), default=0),
        "duplicates": duplicates
    }


async def _slow(graph, options):
    """The deepest service takes ten times as long for a while."""
    measuring = _callers(graph, options, seed=1000)
    capacity = await _capacity(measuring, graph.deployment)
    callers = _callers(graph, options)
    rng = random.Random(options.seed)
    rate = _CALM * capacity
    deepest = graph.deployment.services[-1]

    async def slowness(factor):
        for _, service, address in graph.upstreams:
            if service is deepest:
                client = load.HttpClient(address)
                await client.call(
                    load.build_request("GET",
                                       f"/standin/stats?slowness={factor}"))
                client.close()

    tasks = await load.start_arrivals(rng, rate, _CALM_S, callers.one)
    await slowness(10)
    start = time.perf_counter()
    tasks += await load.start_arrivals(rng, rate, options.seconds or 10.0,
                                       callers.one)
    await slowness(1)
    end = time.perf_counter()
    tasks += await load.start_arrivals(rng, rate, _AFTER_S, callers.one)
    await asyncio.gather(*tasks)
    figures = _judge(callers.records, start, end, capacity / 10)
    figures["recovery_s"] = _recovery_s(callers.records, end)
    figures.update(await _work(graph, callers.records, start))
    return figures


async def _heavy(graph, options):
    """One organisation sends five times what it sent before."""
    measuring = _callers(graph, options, seed=1000)
    capacity = await _capacity(measuring, graph.deployment)
    rng = random.Random(options.seed)
    calm = _callers(graph, options, seed=2000)
    rate = _CALM * capacity
    weights = dict(deployments.WEIGHT_BY_ORGANISATION)
    weights["large-1"] *= 5
    heavy = _callers(graph, options, weights)
    tasks = await load.start_arrivals(rng, rate, _CALM_S, calm.one)
    start = time.perf_counter()
    tasks += await load.start_arrivals(rng, rate * sum(weights.values()),
                                       options.seconds or 10.0, heavy.one)
    end = time.perf_counter()
    await asyncio.gather(*tasks)
    figures = _judge(heavy.records, start, end, capacity)
    others = [r for r in heavy.records if r.organisation != "large-1"]
    figures["others_goodput_ratio"] = round(
        sum(r.good for r in others) / len(others), 3)
    return figures


async def _crasher(graph, options):
    """A request that kills each upstream that runs it, sent again."""
    callers = _callers(graph, options)
    rng = random.Random(options.seed)
    stop = asyncio.Event()
    crashes = 0

    async def restart():
        nonlocal crashes
        while not stop.is_set():
            await asyncio.sleep(0.5)
            for name, _, _ in graph.upstreams:
                process = graph.running.processes[name]
                if process.popen.poll() is not None:
                    crashes += 1
                    process.start()

    restarter = asyncio.ensure_future(restart())
    seconds = options.seconds or 20.0
    tasks = [
        asyncio.ensure_future(load.start_arrivals(rng, 30, seconds,
                                                  callers.one))
    ]
    guilty = []
    until = time.perf_counter() + seconds
    while time.perf_counter() < until:
        await asyncio.sleep(2.0)
        guilty.append(await callers.send("small-1", "normal",
                                         "?r=guilty&crash=1"))
    started = await tasks[0]
    await asyncio.gather(*started)
    stop.set()
    await restarter
    innocent = [r for r in callers.records if r not in guilty]
    return {
        "crashes":
            crashes,
        "guilty_sent":
            sum(r.attempts for r in guilty),
        "guilty_refused":
            sum(503 in r.statuses for r in guilty),
        "innocent":
            len(innocent),
        "innocent_goodput_ratio":
            round(sum(r.good for r in innocent) / len(innocent), 3),
    }
