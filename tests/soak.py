"""Runs processes of a mesh under seeded faults and checks each request.

Reports breaches of the platform's rules LOST, REFUSED, TWICE and MIXED, and of
EXIT: a process that is told to stop ends in time and with code 0.
"""

import argparse
import asyncio
import collections
import contextlib
import functools
import itertools
import json
import math
import pathlib
import random
import signal
import sys
import tempfile

from apricothinge.platform import wire
from tests import mesh_builders
from tests import mesh_fleet
from tests import mesh_processes

_NAMES = wire.HEADER_NAMES
# A request may cross the end of its connection.
_CROSSING_S = 0.2
_REFUSALS = (408, 421, 429, 503)
_CLIENTS = ("kept", "pipelined", "slow", "new", "kept")
_FAULTS = ("stop", "stop", "stop", "reload", "pause", "slow", "change",
           "stop_control")
_MAX_PRINTED = 6

# `span_s` is the length of a fault or the time between two processes, `later_s`
# the time from a SIGTERM to another one, or None.
Fault = collections.namedtuple("Fault", "at kind target span_s later_s")


def draw_faults(seed, seconds, nodes, grace_s):
    """Draws the faults of a run; they depend on the arguments alone."""
    rng = random.Random(seed)
    faults = []
    at = 1.0
    while at < seconds:
        kind = rng.choice(_FAULTS)
        count = rng.choice((1, 1, 2, nodes // 2 + 1)) if kind == "stop" else 1
        spread_s = rng.choice((0.0, 1.0, grace_s))
        for target in rng.sample(range(nodes), count):
            faults.append(
                Fault(at + rng.random() * spread_s, kind, target,
                      rng.uniform(0.1, 2.0),
                      rng.choice((None, rng.uniform(0.0, grace_s)))))
        at += rng.choice((0.1, 1.0, grace_s))
    return sorted(faults, key=lambda fault: fault.at)


def _desired_state(version):
    rows = [[
        prefix[1:-1], "h", prefix, kind, 15 + version % 5, objective_s, 1, None,
        2, service == "t", service
    ] for prefix, kind, objective_s, service in (("/i/", "idempotent", 3, "s"),
                                                 ("/w/", "non_idempotent", 9,
                                                  "s"), ("/ti/", "idempotent",
                                                         3, "t"),
                                                 ("/tw/", "non_idempotent", 9,
                                                  "t"))]
    tenants = {
        "columns": ["name", "apiKeys", "priority", "ratePerS", "burst"],
        "rows": [["o", ["k1"], 1, 0, 0], ["p", ["k2"], 2, 20, 10]]
    }
    return mesh_builders.state_text(f"r{version}", rows, tenants=tenants)


class Request:
    """A request of a client; `sent_at` is the loop time of its last byte."""

    def __init__(self, request_id, rng, prefix, delay_s, nested=False):
        self.request_id = request_id
        self.idempotent = "w" not in prefix
        self.content = b"%s " % request_id * rng.choice((1, 1, 100, 5000))
        self.limit_s = rng.choice((3.0, 8.0, 20.0))
        self.sent_at, self.status = math.inf, None
        self.data = mesh_fleet.make_request(
            f"{prefix}{delay_s:.3f}/{len(self.content)}/{int(nested)}",
            "GET" if self.idempotent else "POST",
            b"" if self.idempotent else self.content,
            request_id, [(_NAMES.key, rng.choice((b"k1", b"k2")))],
            int(self.limit_s * 1000),
            header_names=_NAMES)


class Soak:
    """A run: processes, their upstreams and clients, faults and checks.

    Attributes:
        breaches: Rule, request or instance, and description of each breach.
        counts: Number of requests by outcome.
        max_lag_s: Longest delay of the event loop of the soak.
    """

    def __init__(self, seed, nodes, grace_s, folder):
        self.breaches, self.counts = [], collections.Counter()
        self.max_lag_s = 0.0
        self._seed, self._grace_s = seed, grace_s
        self._loop = asyncio.get_running_loop()
        self._rng = random.Random(f"{seed} upstreams")
        self._runs_by_id = collections.defaultdict(list)
        self._refused_ids = set()
        self._slow_until_by_name = collections.Counter()
        self._numbers, self._done = itertools.count(), False
        self._version, self._change_lock = 0, asyncio.Lock()
        ports = mesh_processes.free_ports()
        # Each control instance has the same ports, at an address of its own.
        control_ports = [next(ports) for _ in mesh_processes.CONTROL_PORTS]
        hosts = [f"127.0.0.{i}" for i in range(1, 4 if nodes > 8 else 2)]
        common = {
            "control_link_port": control_ports[0],
            "seeds": [f"{host}:{control_ports[-1]}" for host in hosts]
        }
        rows = [(f"c{index}", {
            "data": str(folder / f"data{index}"),
            "bootstrap": True
        }, {
            name: f"{host}:{port}"
            for name, port in zip(mesh_processes.CONTROL_PORTS, control_ports)
        })
                for index, host in enumerate(hosts)]
        rows += [(f"n{index}", {
            "service": "st"[index % 2],
            "grace_s": grace_s
        }, {
            name: f"127.0.0.1:{next(ports)}"
            for name in mesh_processes.NODE_PORTS
        })
                 for index in range(nodes)]
        self._by_name = {
            name:
                mesh_processes.Process(
                    folder / f"{name}.json", common | own | addresses | {
                        "instance": name,
                        "failure_domain": "abc"[int(name[1:]) % 3]
                    }) for name, own, addresses in rows
        }

    def _find(self, letter):
        return [p for name, p in self._by_name.items() if name[0] == letter]

    async def run(self, seconds, faults):
        """Runs processes and clients, and injects the faults."""
        tasks = []
        try:
            for node in self._find("n"):
                upstream = mesh_fleet.HandlerUpstream()
                upstream.handler = functools.partial(self._serve, node.name)
                node.fields["upstream"] = f"127.0.0.1:{await upstream.start()}"
                tasks.append(asyncio.ensure_future(self._check_in(node)))
            tasks.append(asyncio.ensure_future(self._watch_lag()))
            await asyncio.gather(self._change(),
                                 *(p.start() for p in self._by_name.values()))
            clients = asyncio.gather(*(self._run_client(node.name, kind, number)
                                       for node in self._find("n")
                                       for number, kind in enumerate(_CLIENTS)))
            await asyncio.gather(asyncio.sleep(seconds),
                                 *(self._inject(fault) for fault in faults))
            await asyncio.gather(*map(self._stop_process, self._find("n")))
            self._done = True
            await clients
            await asyncio.gather(*map(self._stop_process, self._find("c")))
        finally:
            for task in tasks:
                task.cancel()
            for process in self._by_name.values():
                await process.kill()

    async def _watch_lag(self):
        while True:
            due_at = self._loop.time() + 0.05
            await asyncio.sleep(0.05)
            self.max_lag_s = max(self.max_lag_s, self._loop.time() - due_at)

    async def _check_in(self, node):
        index = int(node.name[1:])
        path = f"{wire.CHECK_IN_PATH_PREFIX}u{index}"
        message = {
            "service": node.fields["service"],
            "slots": (100, 8, 3)[index // 2 % 3],
            "state": "ready",
            "born": 1
        }
        for sequence in itertools.count(1):
            await mesh_processes.call(
                node.fields["check_in"], path, "POST",
                json.dumps(message | {
                    "seq": sequence
                }).encode())
            await asyncio.sleep(0.5)

    # Faults.

    async def _inject(self, fault):
        await asyncio.sleep(fault.at)
        await getattr(self, f"_{fault.kind}")(fault)

    async def _stop(self, fault):
        await self._restart(f"n{fault.target}", fault)

    async def _stop_control(self, fault):
        await self._restart(f"c{fault.target % len(self._find('c'))}", fault)

    async def _restart(self, name, fault):
        process = self._by_name[name]
        if not process.ready:
            return
        if process.stopped_at < math.inf:
            process.signal(signal.SIGTERM)
            return
        if fault.later_s is not None:
            self._loop.call_later(fault.later_s, process.signal, signal.SIGTERM)
        await self._stop_process(process)
        await asyncio.sleep(fault.span_s)
        self._by_name[name] = process.successor()
        await self._by_name[name].start()

    async def _stop_process(self, process):
        problem = await process.stop(self._grace_s)
        if problem is not None:
            self._add_breach("EXIT", process.name, process, problem)

    async def _reload(self, fault):
        process = self._by_name[f"n{fault.target}"]
        process.fields["seeds"].append("127.0.0.1:1")
        process.write_settings()
        if process.ready:
            process.signal(signal.SIGHUP)

    async def _pause(self, fault):
        process = self._by_name[f"n{fault.target}"]
        if process.ready:
            await process.pause(fault.span_s)

    async def _slow(self, fault):
        self._slow_until_by_name[f"n{fault.target}"] = (self._loop.time() +
                                                        3 * fault.span_s)

    async def _change(self, fault=None):
        """Applies desired states in series, each until it is acknowledged."""
        async with self._change_lock:
            for _ in range(3 if fault else 1):
                await self._apply_next_state()

    async def _apply_next_state(self):
        headers = [(wire.BASE_VERSION_HEADER, b"r%d" % self._version)]
        self._version += 1
        content = _desired_state(self._version)
        for control in itertools.cycle(self._find("c")):
            status = await mesh_processes.call(control.fields["operator"],
                                               wire.REPLACE_PATH, "POST",
                                               content, headers)
            if status in (200, 400, 412):
                self.counts[f"change {status}"] += 1
                return
            await asyncio.sleep(0.1)

    # Upstreams and clients.

    async def _serve(self, name, head, content, writer):
        """Runs a request on the upstream of a node."""
        request_id = mesh_fleet.header_value(head, _NAMES.request_id)
        _, kind, delay, size, nested = head.split()[1].decode().split("/")
        runs = self._runs_by_id[request_id]
        if "w" in kind and runs:
            self._add_breach("TWICE", request_id, None, f"after {runs}")
        if "w" in kind and len(content) != int(size):
            self._add_breach("MIXED", request_id, None, "changed content")
        if request_id in self._refused_ids:
            self._add_breach("REFUSED", request_id, None, "runs after all")
        run = [self._loop.time(), math.inf]
        runs.append(run)
        try:
            delay_s = float(delay)
            if self._slow_until_by_name[name] > run[0]:
                delay_s += self._rng.uniform(0.2, 1.2) * self._grace_s
            await asyncio.sleep(delay_s)
            failed = nested == "1" and not await self._call(name, request_id)
            word = b"%s " % request_id
            writer.write(
                mesh_fleet.make_answer(head,
                                       word * (int(size) // len(word)),
                                       b"500 Failed" if failed else b"200 OK",
                                       header_names=_NAMES))
            await writer.drain()
            return True
        finally:
            run[1] = self._loop.time()

    async def _call(self, name, parent_id):
        """Makes a nested call at a node; returns whether it succeeded."""
        request = Request(b"%s.%d" % (parent_id, next(self._numbers)),
                          self._rng, self._rng.choice(("/ti/", "/tw/")),
                          self._rng.uniform(0.0, 0.5))
        with contextlib.suppress(OSError):
            stream = await mesh_processes.connect(
                self._by_name[name].fields["caller"])
            with contextlib.closing(stream[1]):
                await self._exchange(stream, self._by_name[name], [request])
        return request.status == 200

    async def _run_client(self, name, kind, number):
        """Sends requests to a node until the run is done."""
        rng = random.Random(f"{self._seed} {name} {number}")
        while not self._done:
            try:
                stream = await mesh_processes.connect(
                    self._by_name[name].fields["caller"])
            except OSError:
                await asyncio.sleep(0.05)
                continue
            process = self._by_name[name]
            with contextlib.closing(stream[1]):
                while not stream[0].at_eof():
                    requests = [
                        self._draw_request(rng, kind)
                        for _ in range(2 if kind == "pipelined" else 1)
                    ]
                    pause_s = rng.uniform(0.0, 0.3) if kind == "slow" else 0.0
                    if not await self._exchange(stream, process, requests,
                                                pause_s) or kind == "new":
                        break
                    await asyncio.sleep(rng.uniform(0.0, 0.1))
            # Keeps a client that is refused from doing nothing but reconnect.
            await asyncio.sleep(rng.uniform(0.0, 0.1))

    def _draw_request(self, rng, kind):
        prefix = rng.choice(("/i/", "/w/", "/ti/", "/tw/"))
        prefix = {"pipelined": "/i/", "slow": "/w/"}.get(kind, prefix)
        longest_s = rng.choice((0.05, 0.05, 0.05, 1.0, 1.3 * self._grace_s))
        return Request(b"%d.%d" % (self._seed, next(self._numbers)), rng,
                       prefix, rng.uniform(0.0, longest_s),
                       rng.random() < 0.3)

    async def _exchange(self, stream, process, requests, pause_s=0.0):
        """Sends requests, checks what comes; returns whether to go on."""
        reader, writer = stream
        sending = asyncio.ensure_future(self._send(writer, requests, pause_s))
        waiting = collections.deque(requests)
        keep = True
        try:
            while waiting:
                async with asyncio.timeout(waiting[0].limit_s + 1.0):
                    answer = await mesh_fleet.read_answer(reader)
                self._check_answer(waiting.popleft(), process, *answer)
                keep = keep and b"connection: close" not in answer[1].lower()
            return keep and sending.done()
        except (EOFError, ConnectionError):
            for request in waiting:
                self._check_cut(request, process)
        except TimeoutError:
            self.counts["timed out"] += 1
        except (ValueError, asyncio.LimitOverrunError) as error:
            self._add_breach("MIXED", waiting[0].request_id, process,
                             repr(error))
        finally:
            sending.cancel()
        return False

    async def _send(self, writer, requests, pause_s):
        data = b"".join(request.data for request in requests)
        size = len(data) // 8 + 1 if pause_s else len(data)
        for start in range(0, len(data), size):
            if start:
                await asyncio.sleep(pause_s)
            writer.write(data[start:start + size])
        for request in requests:
            request.sent_at = self._loop.time()

    # Checks.

    def _add_breach(self, rule, name, process, text):
        stopped_at = math.inf if process is None else process.stopped_at
        if stopped_at < math.inf:
            text += (f"; {process.name} got SIGTERM"
                     f" {self._loop.time() - stopped_at:.3f} s before")
        self.breaches.append((rule, name, text))

    def _check_answer(self, request, process, status, head, content):
        self.counts[status] += 1
        request.status, request_id = status, request.request_id
        answered_id = mesh_fleet.header_value(head, _NAMES.request_id)
        if (answered_id not in (None, request_id) or status == 200 and
            (answered_id is None or content != request.content)):
            self._add_breach(
                "MIXED", request_id, process,
                f"{status} to {answered_id}, {len(content)} bytes")
        if status not in _REFUSALS:
            return
        runs = self._runs_by_id.get(request_id)
        if not runs:
            self._refused_ids.add(request_id)
        elif request.idempotent:
            self.counts["refused after a run"] += 1
        else:
            self._add_breach("REFUSED", request_id, process, f"has run: {runs}")

    def _check_cut(self, request, process):
        now, sent_at = self._loop.time(), request.sent_at
        runs = self._runs_by_id.get(request.request_id, [])
        last_sixth_at = process.stopped_at + self._grace_s * 5 / 6
        in_time = sent_at <= process.stopped_at + self._grace_s / 2
        if sent_at == math.inf:
            outcome = "cut before it was sent"
        elif process.is_disturbed(sent_at, now):
            outcome = "cut by a kill or pause"
        elif not runs and now - sent_at <= _CROSSING_S:
            outcome = "cut, crossed the close"
        elif now >= last_sixth_at and in_time and any(
                end > last_sixth_at for _, end in runs):
            outcome = "cut at work in the last sixth"
        else:
            outcome = "lost"
            ages = [[round(now - time, 3) for time in run] for run in runs]
            target = request.data.split()[1].decode()
            self._add_breach(
                "LOST", request.request_id, process,
                f"{target} cut {now - sent_at:.3f} s after it was sent; runs {ages} ago"
            )
        self.counts[outcome] += 1


def _log_lines(folder, name):
    """Returns the last log lines of each process that name a request."""
    for path in sorted(folder.glob("*.log")):
        lines = [
            line for line in path.read_bytes().split(b"\n") if name in line
        ]
        for line in lines[-3:]:
            yield f"    {path.stem}: {line.decode()}"


def run_seed(seed, seconds, nodes, grace_s):
    """Runs a soak, prints what it found and returns the number of breaches."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)

        async def run():
            soak = Soak(seed, nodes, grace_s, folder)
            await soak.run(seconds, draw_faults(seed, seconds, nodes, grace_s))
            return soak

        soak = asyncio.run(run())
        outcomes = ", ".join(f"{outcome}: {soak.counts[outcome]}"
                             for outcome in sorted(soak.counts, key=str))
        print(f"seed {seed}, {nodes} nodes, grace {grace_s:g} s, lag"
              f" {soak.max_lag_s:.3f} s; {outcomes};"
              f" {len(soak.breaches)} breaches")
        for rule, breached, text in soak.breaches[:_MAX_PRINTED]:
            needle = (b'"%s"' % breached
                      if isinstance(breached, bytes) else b"node:stopped")
            print(f"  {rule} seed {seed} {breached}: {text}")
            print("\n".join(_log_lines(folder, needle)))
    return len(soak.breaches)


def main():
    """Runs the soaks of the given seeds; returns 1 if there are breaches."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--nodes", type=int, default=4)
    parser.add_argument("--grace", type=float, default=6.0)
    options = parser.parse_args()
    breaches = [
        run_seed(seed, options.seconds, options.nodes, options.grace)
        for seed in range(options.seed, options.seed + options.seeds)
    ]
    return int(any(breaches))


if __name__ == "__main__":
    sys.exit(main())
