"""Deterministic simulation of a service graph under load, in simulated time.

It uses the production code for the admission queue and load feedback of each
upstream, the costs measured from calls, and the load shedder of each entry.
"""

import asyncio
import collections
import random

from apricothinge.mesh import admission_queue
from apricothinge.mesh import costs
from apricothinge.overload import entry_shedder
from apricothinge.overload import load_feedback
from apricothinge.overload import retry_budget
from tests import virtual_time

_TICK_S = 0.02
_REPORT_S = 0.2


class RequestKind:
    """A kind of request and the calls it makes.

    Attributes:
        name: Name of the kind and of its route.
        service: Service that runs it.
        work_s: Mean run time in seconds, without its calls.
        calls: Pairs of kind and count; the calls are made sequentially.
        rank: Importance, lowest first; negative for nested calls.
        objective_s: Latency objective in seconds.
        timeout_s: Timeout in seconds.
        value: Value of a request answered within its objective.
    """

    def __init__(self, name, service, work_s, calls=(), **more):
        self.name = name
        self.service = service
        self.work_s = work_s
        self.calls = calls
        self.rank = more.get("rank", -1)
        self.objective_s = more.get("objective_s", 1.0)
        self.timeout_s = more.get("timeout_s", 2.0)
        self.value = more.get("value", 0)


class Rejected(Exception):
    """A request was refused and has not run."""


class AnswerLost(Exception):
    """An answer was lost after the request had run."""


class RequestFailed(Exception):
    """A request failed after it had started."""


class Instance:
    """An upstream with its node."""

    def __init__(self, model, service, slots, speed):
        self.model = model
        self.service = service
        self.speed = speed
        self.queue = admission_queue.AdmissionQueue()
        self.queue.slots = slots
        self.load_feedback = load_feedback.LoadFeedback(0.0)
        self.costs = costs.LocalCosts(model.costs, 0.0)
        self.costs.service = service
        self.reported_fraction = 1.0
        self.reported_load = 0.0
        self.sent_since_report = 0

    def estimated_load(self):
        """Returns the load as other nodes estimate it."""
        return self.reported_load + self.sent_since_report / self.queue.slots

    def report_load(self):
        """Publishes the load to other nodes."""
        self.reported_fraction = self.load_feedback.capacity_ratio
        self.reported_load = ((self.queue.running + self.queue.queued) /
                              self.queue.slots)
        self.sent_since_report = 0

    def tick(self, now):
        """Performs the periodic work of a node."""
        queue = self.queue
        for ticket in queue.pop_expired(now):
            self.load_feedback.record_refusal(queue.hold_s)
            ticket.waiter.set_result(False)
        self.admit_waiting()
        self.load_feedback.tick(now, queue.queued, queue.limit,
                                self.model.admitted_fractions()[self.service])
        self.costs.tick(now)

    def admit_waiting(self):
        """Admits waiting requests to free slots."""
        for ticket in self.queue.admit_waiting(
                asyncio.get_running_loop().time()):
            if ticket.waiter.done():
                self.queue.running -= 1
            else:
                ticket.waiter.set_result(True)

    async def run(self, kind, until, repeated):
        """Runs a request and its calls, which are repeats if it is a repeat."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        hold_s = self.costs.hold_s(kind.name, self.queue.hold_s)
        self.load_feedback.record_arrival(hold_s)
        ticket = admission_queue.Ticket(
            kind.rank, now + admission_queue.AdmissionQueue.max_wait_s(
                kind.rank < 0, until - now, kind.objective_s), now)
        try:
            verdict = self.queue.offer(now, ticket)
        except admission_queue.Refused:
            self.load_feedback.record_refusal(hold_s)
            raise Rejected from None
        if verdict == admission_queue.Verdict.WAIT:
            ticket.waiter = loop.create_future()
            if not await ticket.waiter:
                raise Rejected
        started_at = loop.time()
        self.model.runs[kind.service] += 1
        self.costs.record_start(kind.name)
        try:
            await self._work(kind, until, repeated)
            if self.model.random.random() < self.model.answer_loss_rate:
                raise AnswerLost
        finally:
            held_s = loop.time() - started_at
            self.queue.release(held_s)
            self.costs.record_end(loop.time(), kind.name, held_s)
            self.admit_waiting()

    async def _work(self, kind, until, repeated):
        loop = asyncio.get_running_loop()
        work_s = kind.work_s * self.model.random.uniform(0.5, 1.5) / self.speed
        if loop.time() + work_s > until:
            await asyncio.sleep(max(0.0, until - loop.time()))
            raise RequestFailed
        await asyncio.sleep(work_s)
        for called, count in kind.calls:
            for _ in range(count):
                self.costs.record_call(called.service, called.name)
                try:
                    await self.model.call(
                        called, min(until,
                                    loop.time() + called.timeout_s), repeated)
                except (Rejected, AnswerLost):
                    raise RequestFailed from None


class ServiceGraphModel:
    """Simulates instances, entries and callers.

    Attributes:
        shedding_enabled: Whether entries shed load by downstream capacity.
        requested: Number of requests, by kind.
        served: Requests answered within their objective, by kind.
        refused: Requests that ended without being run, by kind.
        failed: Requests that ended otherwise, by kind.
        offered_value: Total value of all requests.
        earned_value: Total value of the served requests.
        costs: Costs of requests published by the nodes.
        answer_loss_rate: Fraction of the answers that are lost.
        make_budget: Factory of the retry budget of a service.
        repeats: Repeats by service, including calls of repeated requests.
        runs: Requests run, by service.
    """

    def __init__(self, seed, shedding_enabled, entries=8):
        self.random = random.Random(seed)
        self.shedding_enabled = shedding_enabled
        self.answer_loss_rate = 0.0
        self.make_budget = retry_budget.ServiceRetryBudget
        self.budget_by_service = {}
        self.repeats = collections.Counter()
        self.runs = collections.Counter()
        self.instances_by_service = collections.defaultdict(list)
        self.costs = costs.CostTable()
        self.shedders = [
            entry_shedder.EntryShedder(0.0, random.Random(self.random.random()))
            for _ in range(entries)
        ]
        self.requested = collections.Counter()
        self.served = collections.Counter()
        self.refused = collections.Counter()
        self.failed = collections.Counter()
        self.offered_value = 0.0
        self.earned_value = 0.0

    def add(self, service, slots, speeds):
        """Adds the instances of a service."""
        for speed in speeds:
            self.instances_by_service[service].append(
                Instance(self, service, slots, speed))

    def admitted_fractions(self):
        """Returns the fraction of its demand that each service can take."""
        return {
            service:
                min(
                    1.0,
                    sum(instance.reported_fraction
                        for instance in instances) / len(instances))
            for service, instances in self.instances_by_service.items()
        }

    async def call(self, kind, until, repeated=False):
        """Sends a request, trying up to three instances."""
        instances = list(self.instances_by_service[kind.service])
        budget = self.budget_by_service.get(kind.service)
        if budget is None:
            budget = self.budget_by_service[kind.service] = self.make_budget()
        known_costs = self.costs.get(kind.service, kind.name)
        height = len(
            known_costs) - 1 if known_costs else retry_budget.DEFAULT_HEIGHT
        budget.record_first_attempt(height)
        no_more_repeats = kind.rank in (0, 1)
        for _ in range(min(3, len(instances))):
            candidates = self.random.sample(instances, min(2, len(instances)))
            instance = min(candidates,
                           key=lambda each: each.estimated_load() / each.speed)
            instances.remove(instance)
            instance.sent_since_report += 1
            self.repeats[kind.service] += repeated
            try:
                await instance.run(kind, until, repeated)
                return
            except Rejected:
                if not instances:
                    break
            except (AnswerLost, RequestFailed):
                if no_more_repeats or not budget.try_retry(height, True):
                    raise
                no_more_repeats = repeated = True
        raise Rejected

    async def send_from_caller(self, kind, counted):
        """Sends a request as a caller that retries a refusal once."""
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        until = sent_at + kind.timeout_s
        if counted:
            self.requested[kind.name] += 1
            self.offered_value += kind.value
        for attempt in range(2):
            shedder = self.random.choice(self.shedders)
            fraction = shedder.admission_probability(
                loop.time(), kind.rank, self.costs.get(kind.service, kind.name),
                self.admitted_fractions())
            try:
                if self.shedding_enabled and not shedder.admit(fraction):
                    raise Rejected
                await self.call(kind, until)
                break
            except Rejected:
                if attempt or not counted:
                    self.refused[kind.name] += counted
                    return
                await asyncio.sleep(self.random.uniform(0.3, 1.0))
            except (RequestFailed, AnswerLost):
                self.failed[kind.name] += counted
                return
        if counted and loop.time() - sent_at <= kind.objective_s:
            self.served[kind.name] += 1
            self.earned_value += kind.value

    async def _generate_requests(self, kind, rate, until_s):
        loop = asyncio.get_running_loop()
        tasks = []
        while loop.time() < until_s:
            now = loop.time()
            await asyncio.sleep(self.random.expovariate(rate(now)))
            tasks.append(
                asyncio.ensure_future(self.send_from_caller(kind, now > 0.0)))
        await asyncio.gather(*tasks)

    async def _run_periodically(self, period_s, action):
        while True:
            await asyncio.sleep(period_s)
            for instances in self.instances_by_service.values():
                for instance in instances:
                    action(instance)

    async def _simulate(self, rate_by_kind, seconds):
        loop = asyncio.get_running_loop()
        tasks = [
            asyncio.ensure_future(
                self._run_periodically(
                    _TICK_S, lambda instance: instance.tick(loop.time()))),
            asyncio.ensure_future(
                self._run_periodically(
                    _REPORT_S, lambda instance: instance.report_load())),
        ]
        await asyncio.gather(*(self._generate_requests(kind, rate, seconds)
                               for kind, rate in rate_by_kind.items()))
        for task in tasks:
            task.cancel()

    def simulate(self, rate_by_kind, seconds):
        """Simulates some seconds; rates are functions of the time."""
        loop = virtual_time.VirtualTimeLoop()
        try:
            loop.run_until_complete(self._simulate(rate_by_kind, seconds))
        finally:
            loop.close()

    @property
    def value_ratio(self):
        """Ratio of the earned to the offered value."""
        return self.earned_value / self.offered_value


def repair_graph(seed, shedding_enabled):
    """Builds four services; all call the last, which has few own requests."""
    model = ServiceGraphModel(seed, shedding_enabled)
    model.add("parts", 54, (0.6, 1.0, 1.4, 1.0))
    model.add("bookings", 54, (0.5, 1.0, 1.0, 1.5))
    model.add("photos", 54, (0.5, 1.0, 1.0, 1.5))
    model.add("routes", 18, (0.6, 1.0, 1.4, 1.0))
    feed = RequestKind("feed", "routes", 0.055, timeout_s=0.7)
    record = RequestKind("record", "photos", 0.015, [(feed, 4)])
    check = RequestKind("check",
                        "bookings",
                        0.015, [(record, 1)],
                        timeout_s=2.5)
    lookup = RequestKind("lookup",
                         "parts",
                         0.22, [(check, 1)],
                         rank=2,
                         value=1,
                         objective_s=1.5,
                         timeout_s=5.0)
    booking = RequestKind("booking",
                          "bookings",
                          0.29, [(record, 2)],
                          rank=0,
                          value=3,
                          objective_s=2.0,
                          timeout_s=5.0)
    upload = RequestKind("upload",
                         "photos",
                         0.26,
                         rank=1,
                         value=2,
                         objective_s=0.8,
                         timeout_s=3.0)
    status = RequestKind("status",
                         "routes",
                         0.88,
                         rank=2,
                         value=1,
                         objective_s=2.5,
                         timeout_s=10.0)
    return model, {lookup: 73.0, booking: 28.0, upload: 8.0, status: 12.0}


def steady(rates, factor):
    """Returns rates that are constant over time."""
    return {
        kind: (lambda now, rate=rate: rate * factor)
        for kind, rate in rates.items()
    }


def burst(rates, factor, from_s, to_s):
    """Returns rates that are higher for some time."""
    return {
        kind: (lambda now, rate=rate: rate * (factor
                                              if from_s <= now < to_s else 1.0)
              ) for kind, rate in rates.items()
    }
