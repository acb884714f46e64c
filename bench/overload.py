"""Overload and failures of a service graph with aggressive retries."""

import asyncio
import collections
import json
import random
import time

from bench import deployments
from bench import fleet
from bench import load

_CALLER_DEADLINE_S = 1.0
_CALLER_RETRIES = 3
_CALLER_RETRY_DELAY_S = 0.05
_SURGE_LOAD_RATIO = 3.0
_BASE_LOAD_RATIO = 0.7
_BASE_PHASE_S = 5.0
_RECOVERY_PHASE_S = 12.0
_RECOVERY_BUCKET_S = 0.5
_RECOVERED_GOODPUT_RATIO = 0.95
_IMPORTANCE_WEIGHTS = (
    ("critical", 0.15),
    ("normal", 0.6),
    ("background", 0.25),
)


class RequestRecord:
    """The outcome of one request over all its attempts."""

    __slots__ = ("started_at", "ended_at", "organisation", "importance",
                 "succeeded", "attempts", "attempt_names", "statuses")

    def __init__(self, started_at, organisation, importance):
        self.started_at = started_at
        self.ended_at = 0.0
        self.organisation = organisation
        self.importance = importance
        self.succeeded = False
        self.attempts = 0
        self.attempt_names = []
        self.statuses = []


class CallerGroup:
    """Callers that retry each request until their deadline."""

    def __init__(self, entry_addresses, deployment, rng, weights):
        self._clients = [
            load.HttpClient(address) for address in entry_addresses
        ]
        self._deployment = deployment
        self._rng = rng
        self._weights = weights
        self.records = []
        # Several caller groups share the upstreams, which count runs by request
        # name, so each group numbers its requests from a base of its own.
        self._last_number = rng.randrange(1, 1000) * 1_000_000

    async def send_random_request(self):
        """Sends a request of random organisation and importance."""
        organisation = self._rng.choices(list(self._weights),
                                         list(self._weights.values()))[0]
        importance = self._rng.choices(
            [importance for importance, _ in _IMPORTANCE_WEIGHTS],
            [weight for _, weight in _IMPORTANCE_WEIGHTS])[0]
        await self.send(organisation, importance)

    async def send(self, organisation, importance, query=""):
        """Sends a request, with retries, and returns its record."""
        self._last_number += 1
        number = self._last_number
        record = RequestRecord(time.perf_counter(), organisation, importance)
        self.records.append(record)
        for attempt in range(1 + _CALLER_RETRIES):
            attempt_name = f"{number}.{attempt}"
            record.attempt_names.append(attempt_name)
            record.attempts += 1
            status = await self._attempt(record, number, attempt_name, query)
            record.statuses.append(status)
            if status == 200:
                record.succeeded = True
                break
            remaining_s = (record.started_at + _CALLER_DEADLINE_S -
                           time.perf_counter())
            if remaining_s <= _CALLER_RETRY_DELAY_S:
                break
            await asyncio.sleep(_CALLER_RETRY_DELAY_S)
        record.ended_at = time.perf_counter()
        record.succeeded = (record.succeeded and
                            record.ended_at - record.started_at
                            <= _CALLER_DEADLINE_S)
        return record

    async def _attempt(self, record, number, attempt_name, query):
        method = "POST" if record.importance == "critical" else "GET"
        headers = [("Idempotency-Key",
                    f"k{number}")] if method == "POST" else []
        request = load.build_request(
            method, f"{self._deployment.path_prefix}/{record.importance}"
            f"{query or '?r=' + attempt_name}", f"key-{record.organisation}",
            headers)
        await asyncio.sleep(self._deployment.caller_delay_s)
        client = self._rng.choice(self._clients)
        remaining_s = (record.started_at + _CALLER_DEADLINE_S -
                       time.perf_counter())
        status, _, _ = await client.call(request, max(0.01, remaining_s))
        return status


class DeployedGraph:
    """The processes of one deployment, with real or naive nodes."""

    def __init__(self, running_fleet, deployment, use_naive):
        self.running_fleet = running_fleet
        self.deployment = deployment
        self.entry_addresses = []
        self.upstreams = []
        self._start(use_naive)

    def _start(self, use_naive):
        instances = []
        for service in self.deployment.services:
            for index in range(service.instance_count):
                failure_domain = self.deployment.failure_domains[index % len(
                    self.deployment.failure_domains)]
                instances.append(
                    (f"{service.name}-{index}", service, failure_domain))
        address_by_instance = {
            instance: fleet.find_free_address() for instance, _, _ in instances
        }
        if not use_naive:
            self.running_fleet.start_control_group(1)
        addresses_by_service = collections.defaultdict(list)
        for instance, service, _ in instances:
            addresses_by_service[service.name].append([
                address_by_instance[instance].host,
                address_by_instance[instance].port
            ])
        for instance, service, failure_domain in instances:
            caller_address, local_address = self._start_node(
                instance, failure_domain, use_naive, addresses_by_service)
            if service is self.deployment.services[0]:
                self.entry_addresses.append(caller_address)
            self.running_fleet.start_module(
                f"up-{instance}",
                "bench.upstream",
                service=service.name,
                slots=service.slots,
                work_s=service.work_s,
                cold_s=2.0,
                nested=service.nested,
                port=address_by_instance[instance].port,
                node=[local_address.host, local_address.port])
            self.upstreams.append(
                (f"up-{instance}", service, address_by_instance[instance]))
        if not use_naive:
            self.running_fleet.apply(
                self.deployment.build_document(_CALLER_DEADLINE_S))
            self.running_fleet.wait_for_upstreams(
                [instance for instance, _, _ in instances], len(instances))
        time.sleep(3.0)

    def _start_node(self, instance, failure_domain, use_naive,
                    addresses_by_service):
        if not use_naive:
            node_settings = self.running_fleet.start_node(
                instance, failure_domain)
            return node_settings.caller, node_settings.local
        caller_address, local_address = (fleet.find_free_address(),
                                         fleet.find_free_address())
        path_prefix = self.deployment.path_prefix
        self.running_fleet.start_module(
            instance,
            "bench.naive",
            caller=[caller_address.host, caller_address.port],
            local=[local_address.host, local_address.port],
            services=addresses_by_service,
            prefixes={path_prefix: self.deployment.services[0].name})
        return caller_address, local_address

    async def fetch_stats(self, query=""):
        """Returns (service, statistics) of each upstream that responds.

        The query may change the slowness of the upstreams.
        """
        upstream_stats = []
        for _, service, address in self.upstreams:
            client = load.HttpClient(address)
            _, _, content = await client.call(
                load.build_request("GET", f"/standin/stats{query}"))
            client.close()
            if content:
                upstream_stats.append((service, json.loads(content)))
        return upstream_stats


def run(options):
    """Runs a scenario with real nodes and then with naive ones."""
    deployment = deployments.DEPLOYMENT_BY_NAME[options.deployment]
    scenario = {
        "overload": _measure_overload,
        "slow-service": _measure_slow_service,
        "one-heavy-organisation": _measure_heavy_organisation,
        "crasher": _measure_crash_requests
    }[options.scenario]
    figures = {"deployment": options.deployment, "seed": options.seed}
    for use_naive in (False, True):
        if use_naive and (options.no_naive or options.scenario == "crasher"):
            continue
        with fleet.Fleet() as running_fleet:
            graph = DeployedGraph(running_fleet, deployment, use_naive)
            scenario_figures = asyncio.run(scenario(graph, options))
        if use_naive:
            figures["naive"] = scenario_figures
        else:
            figures.update(scenario_figures)
    return figures


async def _measure_capacity(callers, deployment):
    """Measures the goodput per second of closed-loop callers."""
    slots = deployment.services[-1].slots * deployment.services[
        -1].instance_count
    ends_at = time.perf_counter() + 9.0

    async def send_repeatedly():
        while time.perf_counter() < ends_at:
            await callers.send("large-1", "normal")

    counted_from = time.perf_counter() + 4.0
    await asyncio.gather(*[send_repeatedly() for _ in range(2 * slots)])
    succeeded_count = sum(
        1 for record in callers.records
        if record.succeeded and record.started_at > counted_from)
    return succeeded_count / (ends_at - counted_from)


def _make_callers(graph, options, weights=None, seed_offset=0):
    return CallerGroup(graph.entry_addresses, graph.deployment,
                       random.Random(options.seed + seed_offset), weights or
                       deployments.WEIGHT_BY_ORGANISATION)


async def _run_phases(callers, rng, phases):
    """Runs phases of (rate, seconds); returns the start time of each."""
    tasks = []
    started_at = []
    for rate, seconds in phases:
        started_at.append(time.perf_counter())
        tasks += await load.start_arrivals(rng, rate, seconds,
                                           callers.send_random_request)
    await asyncio.gather(*tasks)
    return started_at


async def _measure_overload(graph, options):
    capacity_callers = _make_callers(graph, options, seed_offset=1000)
    capacity = await _measure_capacity(capacity_callers, graph.deployment)
    callers = _make_callers(graph, options)
    surge_s = options.seconds or 10.0
    phase_starts = await _run_phases(callers, random.Random(
        options.seed), [(_BASE_LOAD_RATIO * capacity, _BASE_PHASE_S),
                        (_SURGE_LOAD_RATIO * capacity, surge_s),
                        (_BASE_LOAD_RATIO * capacity, _RECOVERY_PHASE_S)])
    figures = _compute_goodput_figures(callers.records, phase_starts[1],
                                       phase_starts[2], capacity)
    figures["recovery_s"] = _compute_recovery_s(callers.records,
                                                phase_starts[2])
    figures.update(await _compute_work_figures(graph, callers.records,
                                               phase_starts[1]))
    return figures


def _compute_goodput_figures(records, start, end, capacity):
    phase_records = [
        record for record in records if start <= record.started_at < end
    ]
    seconds = end - start
    successes_by_organisation = collections.Counter(
        record.organisation for record in phase_records if record.succeeded)
    requests_by_organisation = collections.Counter(
        record.organisation for record in phase_records)
    fair_rate_by_organisation = _allocate_max_min_fair(
        {
            organisation: count / seconds
            for organisation, count in requests_by_organisation.items()
        }, capacity)
    critical_records = [
        record for record in phase_records if record.importance == "critical"
    ]
    worst_ratio = min(successes_by_organisation[organisation] / seconds /
                      fair_rate_by_organisation[organisation]
                      for organisation in requests_by_organisation)
    return {
        "capacity_per_s":
            round(capacity, 1),
        "goodput_per_s":
            round(sum(successes_by_organisation.values()) / seconds, 1),
        "offered_per_s":
            round(len(phase_records) / seconds, 1),
        "goodput_ratio":
            round(
                sum(successes_by_organisation.values()) / seconds / capacity,
                3),
        "worst_organisation_ratio":
            round(worst_ratio, 3),
        "critical_goodput_ratio":
            round(
                sum(record.succeeded for record in critical_records) /
                max(1, len(critical_records)), 3),
        "wrongful_refusals":
            sum(429 in record.statuses for record in phase_records),
    }


def _allocate_max_min_fair(demand_by_name, capacity):
    """Divides a capacity by max-min fairness; no share exceeds its demand."""
    share_by_name = {}
    remaining_demand = dict(demand_by_name)
    while remaining_demand:
        equal_share = capacity / len(remaining_demand)
        satisfied = {
            name: demand
            for name, demand in remaining_demand.items()
            if demand <= equal_share
        }
        if not satisfied:
            share_by_name.update(
                {name: equal_share for name in remaining_demand})
            break
        for name, demand in satisfied.items():
            share_by_name[name] = demand
            capacity -= demand
            del remaining_demand[name]
    return share_by_name


def _compute_recovery_s(records, end):
    """Returns the seconds after `end` until goodput stays at 95% of demand."""
    records_after = [record for record in records if record.started_at >= end]
    recovery_s = 0.0
    buckets = collections.defaultdict(list)
    for record in records_after:
        buckets[int((record.started_at - end) / _RECOVERY_BUCKET_S)].append(
            record.succeeded)
    for index, outcomes in sorted(buckets.items()):
        if sum(outcomes) < _RECOVERED_GOODPUT_RATIO * len(outcomes):
            recovery_s = (index + 1) * _RECOVERY_BUCKET_S
    return recovery_s


async def _compute_work_figures(graph, records, start):
    """Computes wasted work, runs per attempt and duplicate executions.

    Work is wasted if it was done for a request that failed in the end.
    """
    successful_attempts = set()
    attempts = set()
    for record in records:
        if record.started_at < start:
            continue
        attempts.update(record.attempt_names)
        if record.succeeded:
            successful_attempts.update(record.attempt_names)
    useful_s = wasted_s = 0.0
    runs = collections.Counter()
    entry_runs = collections.Counter()
    for service, stats in await graph.fetch_stats():
        for attempt, seconds in stats["worked_s"].items():
            if attempt in successful_attempts:
                useful_s += seconds
            elif attempt in attempts:
                wasted_s += seconds
        for attempt, count in stats["runs"].items():
            if attempt in attempts:
                runs[attempt] += count
                if service is graph.deployment.services[0]:
                    entry_runs[attempt.partition(".")[0]] += count
    duplicates = 0
    for record in records:
        if record.started_at >= start and record.importance == "critical":
            duplicates += max(
                0, entry_runs[record.attempt_names[0].partition(".")[0]] - 1)
    return {
        "wasted_work_ratio":
            round(wasted_s / max(1e-9, useful_s + wasted_s), 3),
        "attempts_per_request_max":
            max(runs.values(), default=0),
        "duplicates":
            duplicates
    }


async def _measure_slow_service(graph, options):
    """Slows down the deepest service tenfold for one phase."""
    capacity_callers = _make_callers(graph, options, seed_offset=1000)
    capacity = await _measure_capacity(capacity_callers, graph.deployment)
    callers = _make_callers(graph, options)
    rng = random.Random(options.seed)
    rate = _BASE_LOAD_RATIO * capacity
    deepest_service = graph.deployment.services[-1]

    async def set_slowness(factor):
        for _, service, address in graph.upstreams:
            if service is deepest_service:
                client = load.HttpClient(address)
                await client.call(
                    load.build_request("GET",
                                       f"/standin/stats?slowness={factor}"))
                client.close()

    tasks = await load.start_arrivals(rng, rate, _BASE_PHASE_S,
                                      callers.send_random_request)
    await set_slowness(10)
    start = time.perf_counter()
    tasks += await load.start_arrivals(rng, rate, options.seconds or 10.0,
                                       callers.send_random_request)
    await set_slowness(1)
    end = time.perf_counter()
    tasks += await load.start_arrivals(rng, rate, _RECOVERY_PHASE_S,
                                       callers.send_random_request)
    await asyncio.gather(*tasks)
    figures = _compute_goodput_figures(callers.records, start, end,
                                       capacity / 10)
    figures["recovery_s"] = _compute_recovery_s(callers.records, end)
    figures.update(await _compute_work_figures(graph, callers.records, start))
    return figures


async def _measure_heavy_organisation(graph, options):
    """Raises the demand of one organisation fivefold."""
    capacity_callers = _make_callers(graph, options, seed_offset=1000)
    capacity = await _measure_capacity(capacity_callers, graph.deployment)
    rng = random.Random(options.seed)
    base_callers = _make_callers(graph, options, seed_offset=2000)
    rate = _BASE_LOAD_RATIO * capacity
    weights = dict(deployments.WEIGHT_BY_ORGANISATION)
    weights["large-1"] *= 5
    heavy_callers = _make_callers(graph, options, weights)
    tasks = await load.start_arrivals(rng, rate, _BASE_PHASE_S,
                                      base_callers.send_random_request)
    start = time.perf_counter()
    tasks += await load.start_arrivals(rng, rate * sum(weights.values()),
                                       options.seconds or 10.0,
                                       heavy_callers.send_random_request)
    end = time.perf_counter()
    await asyncio.gather(*tasks)
    figures = _compute_goodput_figures(heavy_callers.records, start, end,
                                       capacity)
    other_records = [
        record for record in heavy_callers.records
        if record.organisation != "large-1"
    ]
    figures["others_goodput_ratio"] = round(
        sum(record.succeeded for record in other_records) / len(other_records),
        3)
    return figures


async def _measure_crash_requests(graph, options):
    """Repeats a request that crashes each upstream that runs it."""
    callers = _make_callers(graph, options)
    rng = random.Random(options.seed)
    stopping = asyncio.Event()
    crashes = 0

    async def restart_crashed():
        nonlocal crashes
        while not stopping.is_set():
            await asyncio.sleep(0.5)
            for name, _, _ in graph.upstreams:
                process = graph.running_fleet.processes[name]
                if process.popen.poll() is not None:
                    crashes += 1
                    process.start()

    restart_task = asyncio.ensure_future(restart_crashed())
    seconds = options.seconds or 20.0
    tasks = [
        asyncio.ensure_future(
            load.start_arrivals(rng, 30, seconds, callers.send_random_request))
    ]
    crash_records = []
    ends_at = time.perf_counter() + seconds
    while time.perf_counter() < ends_at:
        await asyncio.sleep(2.0)
        crash_records.append(await callers.send("small-1", "normal",
                                                "?r=guilty&crash=1"))
    request_tasks = await tasks[0]
    await asyncio.gather(*request_tasks)
    stopping.set()
    await restart_task
    other_records = [
        record for record in callers.records if record not in crash_records
    ]
    return {
        "crashes":
            crashes,
        "guilty_sent":
            sum(record.attempts for record in crash_records),
        "guilty_refused":
            sum(503 in record.statuses for record in crash_records),
        "innocent":
            len(other_records),
        "innocent_goodput_ratio":
            round(
                sum(record.succeeded for record in other_records) /
                len(other_records), 3),
    }
