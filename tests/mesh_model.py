"""A seeded model of a graph of services under load, on simulated time.

It runs the product's own decisions: the queue beside each upstream, its
pressure, what it learns of calls, and the gate at each entry.
"""

import asyncio
import collections
import random

from apricothinge.mesh import costs
from apricothinge.mesh import admission_queue
from apricothinge.overload import gate
from apricothinge.overload import pressure
from apricothinge.overload import repeats
from tests import virtual_time

_TICK_S = 0.02
_TELL_S = 0.2


class Kind:
    """A kind of request.

    Attributes:
        name: Of it and its route.
        service: Which service runs it.
        work_s: Mean time that it takes there without its calls.
        calls: Pairs of kind and count; made one after another.
        rank: Importance, the smallest first; below 0 for calls.
        objective_s: Latency objective.
        timeout_s: Time limit.
        worth: What a request in time is worth to its caller.
    """

    def __init__(self, name, service, work_s, calls=(), **more):
        self.name = name
        self.service = service
        self.work_s = work_s
        self.calls = calls
        self.rank = more.get("rank", -1)
        self.objective_s = more.get("objective_s", 1.0)
        self.timeout_s = more.get("timeout_s", 2.0)
        self.worth = more.get("worth", 0)


class NoRoom(Exception):
    """A request was refused and has not run."""


class Lost(Exception):
    """An answer was lost after the request had run."""


class Failed(Exception):
    """A request failed after it was begun."""


class Instance:
    """An upstream with the node beside it."""

    def __init__(self, world, service, slots, speed):
        self.world = world
        self.service = service
        self.speed = speed
        self.queue = admission_queue.AdmissionQueue()
        self.queue.slots = slots
        self.pressure = pressure.Pressure(0.0)
        self.costs = costs.LocalCosts(world.costs, 0.0)
        self.costs.service = service
        self.told_part = 1.0
        self.told_fullness = 0.0
        self.sent_since = 0

    def fullness(self):
        """As the others know it."""
        return self.told_fullness + self.sent_since / self.queue.slots

    def tell(self):
        """Tells the others of its load."""
        self.told_part = self.pressure.part
        self.told_fullness = ((self.queue.running + self.queue.queued) /
                              self.queue.slots)
        self.sent_since = 0

    def tick(self, now):
        """What a node does a few times a second."""
        queue = self.queue
        for ticket in queue.pop_expired(now):
            self.pressure.refused(queue.hold_s)
            ticket.waiter.set_result(False)
        self.start_waiting()
        self.pressure.tick(now, queue.queued, queue.limit,
                           self.world.parts()[self.service])
        self.costs.tick(now)

    def start_waiting(self):
        """Starts what has room."""
        for ticket in self.queue.admit_waiting():
            if ticket.waiter.done():
                self.queue.running -= 1
            else:
                ticket.waiter.set_result(True)

    async def run(self, kind, until, repeated):
        """Runs a request with its calls, which are repeats if it is one."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        hold_s = self.costs.hold_s(kind.name, self.queue.hold_s)
        self.pressure.offered(hold_s)
        ticket = admission_queue.Ticket(
            kind.rank, now + admission_queue.AdmissionQueue.max_wait_s(
                kind.rank < 0, until - now, kind.objective_s), now)
        try:
            verdict = self.queue.offer(now, ticket)
        except admission_queue.Refused:
            self.pressure.refused(hold_s)
            raise NoRoom from None
        if verdict == admission_queue.Verdict.WAIT:
            ticket.waiter = loop.create_future()
            if not await ticket.waiter:
                raise NoRoom
        started_at = loop.time()
        self.world.runs[kind.service] += 1
        self.costs.started(kind.name)
        try:
            await self._work(kind, until, repeated)
            if self.world.random.random() < self.world.lost_part:
                raise Lost
        finally:
            held_s = loop.time() - started_at
            self.queue.release(held_s)
            self.costs.ended(loop.time(), kind.name, held_s)
            self.start_waiting()

    async def _work(self, kind, until, repeated):
        loop = asyncio.get_running_loop()
        work_s = kind.work_s * self.world.random.uniform(0.5, 1.5) / self.speed
        if loop.time() + work_s > until:
            await asyncio.sleep(max(0.0, until - loop.time()))
            raise Failed
        await asyncio.sleep(work_s)
        for called, count in kind.calls:
            for _ in range(count):
                self.costs.called(called.service, called.name)
                try:
                    await self.world.call(
                        called, min(until,
                                    loop.time() + called.timeout_s), repeated)
                except (NoRoom, Lost):
                    raise Failed from None


class World:
    """Instances, entries and callers.

    Attributes:
        gated: Whether entries refuse by what is told from below.
        asked: Requests, by kind.
        served: Those answered within their objective, by kind.
        refused: Those that ended unrun, by kind.
        failed: Those that ended otherwise, by kind.
        worth_asked: Worth of all requests.
        worth_earned: Worth of those served.
        costs: What requests cost, as the nodes have told.
        lost_part: Part of the answers that are lost on their way.
        budgets: Makes the budget for repeats of a service at an entry.
        repeats: Repeats by service, with the calls of repeated runs.
        runs: Runs, by service.
    """

    def __init__(self, seed, gated, entries=8):
        self.random = random.Random(seed)
        self.gated = gated
        self.lost_part = 0.0
        self.budgets = repeats.RepeatBudget
        self.budget_by_service = {}
        self.repeats = collections.Counter()
        self.runs = collections.Counter()
        self.by_service = collections.defaultdict(list)
        self.costs = costs.CostTable()
        self.gates = [
            gate.EntryGate(0.0, random.Random(self.random.random()))
            for _ in range(entries)
        ]
        self.asked = collections.Counter()
        self.served = collections.Counter()
        self.refused = collections.Counter()
        self.failed = collections.Counter()
        self.worth_asked = 0.0
        self.worth_earned = 0.0

    def add(self, service, slots, speeds):
        """Adds the instances of a service."""
        for speed in speeds:
            self.by_service[service].append(
                Instance(self, service, slots, speed))

    def parts(self):
        """Part of its demand that each service can take."""
        return {
            service: min(1.0,
                         sum(row.told_part for row in rows) /
                         len(rows)) for service, rows in self.by_service.items()
        }

    async def call(self, kind, until, repeated=False):
        """Places a request; tries three instances."""
        rows = list(self.by_service[kind.service])
        budget = self.budget_by_service.get(kind.service)
        if budget is None:
            budget = self.budget_by_service[kind.service] = self.budgets()
        found = self.costs.get(kind.service, kind.name)
        height = len(found) - 1 if found else repeats.UNKNOWN_HEIGHT
        budget.first_attempt(height)
        again = kind.rank in (0, 1)
        for _ in range(min(3, len(rows))):
            picked = self.random.sample(rows, min(2, len(rows)))
            row = min(picked, key=lambda each: each.fullness() / each.speed)
            rows.remove(row)
            row.sent_since += 1
            self.repeats[kind.service] += repeated
            try:
                await row.run(kind, until, repeated)
                return
            except NoRoom:
                if not rows:
                    break
            except (Lost, Failed):
                if again or not budget.repeat(height, True):
                    raise
                again = repeated = True
        raise NoRoom

    async def ask(self, kind, counted):
        """A caller's request, with its one retry."""
        loop = asyncio.get_running_loop()
        asked_at = loop.time()
        until = asked_at + kind.timeout_s
        if counted:
            self.asked[kind.name] += 1
            self.worth_asked += kind.worth
        for attempt in range(2):
            entry = self.random.choice(self.gates)
            part = entry.part(loop.time(), kind.rank,
                              self.costs.get(kind.service, kind.name),
                              self.parts())
            try:
                if self.gated and not entry.admits(part):
                    raise NoRoom
                await self.call(kind, until)
                break
            except NoRoom:
                if attempt or not counted:
                    self.refused[kind.name] += counted
                    return
                await asyncio.sleep(self.random.uniform(0.3, 1.0))
            except (Failed, Lost):
                self.failed[kind.name] += counted
                return
        if counted and loop.time() - asked_at <= kind.objective_s:
            self.served[kind.name] += 1
            self.worth_earned += kind.worth

    async def _arrive(self, kind, rate, until_s):
        loop = asyncio.get_running_loop()
        tasks = []
        while loop.time() < until_s:
            now = loop.time()
            await asyncio.sleep(self.random.expovariate(rate(now)))
            tasks.append(asyncio.ensure_future(self.ask(kind, now > 0.0)))
        await asyncio.gather(*tasks)

    async def _every(self, period_s, action):
        while True:
            await asyncio.sleep(period_s)
            for rows in self.by_service.values():
                for row in rows:
                    action(row)

    async def _play(self, rate_by_kind, seconds):
        loop = asyncio.get_running_loop()
        tasks = [
            asyncio.ensure_future(
                self._every(_TICK_S, lambda row: row.tick(loop.time()))),
            asyncio.ensure_future(self._every(_TELL_S, lambda row: row.tell())),
        ]
        await asyncio.gather(*(self._arrive(kind, rate, seconds)
                               for kind, rate in rate_by_kind.items()))
        for task in tasks:
            task.cancel()

    def play(self, rate_by_kind, seconds):
        """Plays some seconds; rates are functions of the time."""
        loop = virtual_time.VirtualLoop()
        try:
            loop.run_until_complete(self._play(rate_by_kind, seconds))
        finally:
            loop.close()

    @property
    def worth(self):
        """Part of the worth asked for that was earned."""
        return self.worth_earned / self.worth_asked


def repair_graph(seed, gated):
    """Four services; the last one is called by all but serves few itself."""
    world = World(seed, gated)
    world.add("parts", 54, (0.6, 1.0, 1.4, 1.0))
    world.add("bookings", 54, (0.5, 1.0, 1.0, 1.5))
    world.add("photos", 54, (0.5, 1.0, 1.0, 1.5))
    world.add("routes", 18, (0.6, 1.0, 1.4, 1.0))
    feed = Kind("feed", "routes", 0.055, timeout_s=0.7)
    record = Kind("record", "photos", 0.015, [(feed, 4)])
    check = Kind("check", "bookings", 0.015, [(record, 1)], timeout_s=2.5)
    lookup = Kind("lookup",
                  "parts",
                  0.22, [(check, 1)],
                  rank=2,
                  worth=1,
                  objective_s=1.5,
                  timeout_s=5.0)
    booking = Kind("booking",
                   "bookings",
                   0.29, [(record, 2)],
                   rank=0,
                   worth=3,
                   objective_s=2.0,
                   timeout_s=5.0)
    upload = Kind("upload",
                  "photos",
                  0.26,
                  rank=1,
                  worth=2,
                  objective_s=0.8,
                  timeout_s=3.0)
    status = Kind("status",
                  "routes",
                  0.88,
                  rank=2,
                  worth=1,
                  objective_s=2.5,
                  timeout_s=10.0)
    return world, {lookup: 73.0, booking: 28.0, upload: 8.0, status: 12.0}


def steady(rates, factor):
    """Rates that are constant over time."""
    return {
        kind: (lambda now, rate=rate: rate * factor)
        for kind, rate in rates.items()
    }


def burst(rates, factor, from_s, to_s):
    """Rates that are higher for some time."""
    return {
        kind: (lambda now, rate=rate: rate * (factor
                                              if from_s <= now < to_s else 1.0)
              ) for kind, rate in rates.items()
    }
