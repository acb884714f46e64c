"""Stand-ins of the platform for the scripts of the review.

Starts the project's programs as the deploy file does, each instance at a
loopback address of its own, and provides servers, clients and an operator that
speak the published protocol. Nothing but the standard library is used.
"""

import asyncio
import collections
import contextlib
import itertools
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
_LIMIT_S = 115.0
_START_TIMEOUT_S = 25.0
# `heartbeatS` of the platform.
_BEAT_INTERVAL_S = 1.5
_PORT_NAMES = ("caller", "link", "check_in", "readiness", "admin", "operator",
               "upstream")
_FAILURE_DOMAINS = "abc"
# Bounds of the platform, as in a small deployment.
GRACE_S = 6.0
DRAIN_S = 2.0
STABLE_WINDOW_S = 3.0


class NotRun(Exception):
    """The case could not run, which says nothing about the rule."""


def with_trouble():
    """Returns whether the disruption of the case takes place."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what happens to `record.txt`, with seconds since the start."""

    def __init__(self, folder):
        self._started_at = time.monotonic()
        self._file = open(folder / "record.txt", "w", encoding="utf-8")

    def now(self):
        """Returns the seconds since the start."""
        return time.monotonic() - self._started_at

    def __call__(self, text):
        print(f"{self.now():8.3f} s  {text}", file=self._file, flush=True)


class Process:
    """A process of the project."""

    def __init__(self, mesh, name, role, fields):
        self.name = name
        self.role = role
        self.fields = fields
        self._mesh = mesh
        self._path = mesh.folder / f"{name}.json"
        self._handle = None

    def start(self):
        """Starts the process by the command of its role."""
        settings_role = f"mesh_{self.role}"
        self._path.write_text(
            json.dumps({
                "role": settings_role,
                settings_role: self.fields
            }))
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["APRICOTHINGE_NODE_FILE"] = str(self._path)
        with open(self._path.with_suffix(".log"), "ab") as log:
            self._handle = subprocess.Popen(self._mesh.command(self.role),
                                            cwd=ROOT,
                                            env=environment,
                                            stdin=subprocess.DEVNULL,
                                            stdout=log,
                                            stderr=log)
        self._mesh.record(f"{self.name} starts")

    def signal(self, number):
        """Sends a signal to the process if it still runs."""
        if self._handle is not None and self._handle.poll() is None:
            self._mesh.record(f"{self.name} gets {signal.Signals(number).name}")
            self._handle.send_signal(number)

    def kill(self):
        """Kills the process and waits for its end."""
        if self._handle is not None and self._handle.poll() is None:
            self._handle.kill()
            self._handle.wait()

    async def wait(self):
        """Waits for the end of the process."""
        while self._handle.poll() is None:
            await asyncio.sleep(0.01)

    def has_ended(self):
        """Returns whether the process has ended."""
        return self._handle.poll() is not None

    async def wait_until_ready(self):
        """Waits until the process answers its probe with 200."""
        address, path = self.fields.get("readiness"), "/v1/readiness"
        if address is None:
            address, path = self.fields["operator"], "/v1/Config.Get"
        deadline = time.monotonic() + _START_TIMEOUT_S
        while True:
            status = await call(address, "GET", path)
            if status in (200, 307):
                return
            if time.monotonic() > deadline:
                raise NotRun(f"{self.name} is not ready: {status}")
            await asyncio.sleep(0.05)

    def log(self):
        """Returns what the process has logged."""
        return self._path.with_suffix(".log").read_text(errors="replace")


class Mesh:
    """Control instances and nodes of a small deployment.

    Attributes:
        controls: Processes of control.
        nodes: Processes beside the servers.
    """

    def __init__(self, folder, record, services, controls=1):
        """Creates the processes; `start` starts them.

        Args:
            folder: Folder for their files.
            record: Where to record what happens.
            services: Service of the server beside each node.
            controls: Number of control instances.
        """
        self.folder = folder
        self.record = record
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            self._roles = tomllib.load(file)["roles"]
        control_hosts = [f"127.0.1.{i + 1}" for i in range(controls)]
        node_hosts = [f"127.0.2.{i + 1}" for i in range(len(services))]
        ports = _free_ports(control_hosts + node_hosts)
        seeds = [f"{host}:{ports['operator']}" for host in control_hosts[:3]]
        self.controls = []
        for i, host in enumerate(control_hosts):
            fields = {
                "instance": f"control-{i + 1}",
                "failure_domain": _FAILURE_DOMAINS[i % 3],
                "data": str(folder / f"data-{i + 1}"),
                "seeds": seeds,
                "control_link_port": ports["link"],
                "bootstrap": True,
                "failure_domains": list(_FAILURE_DOMAINS)
            }
            for name in ("link", "operator", "admin"):
                fields[name] = f"{host}:{ports[name]}"
            self.controls.append(
                Process(self, f"control-{i + 1}", "control", fields))
        self.nodes = []
        for i, (host, service) in enumerate(zip(node_hosts, services)):
            fields = {
                "instance": f"node-{i + 1}",
                "failure_domain": _FAILURE_DOMAINS[i % 3],
                "service": service,
                "seeds": seeds,
                "control_link_port": ports["link"],
                "region_by_domain": dict.fromkeys(_FAILURE_DOMAINS, "region"),
                "grace_s": GRACE_S
            }
            for name in ("caller", "link", "check_in", "readiness", "admin",
                         "upstream"):
                fields[name] = f"{host}:{ports[name]}"
            self.nodes.append(Process(self, f"node-{i + 1}", "node", fields))

    def command(self, role):
        """Returns the command of a role, from the deploy file."""
        command = self._roles[role]["run"].split(" ")
        if command[0] == "python3":
            command[0] = sys.executable
        return command

    async def start(self):
        """Starts control and the nodes, without a desired state."""
        if not (ROOT / "target" / "app").is_dir():
            raise NotRun("the build of the deploy file has not run")
        for process in self.controls + self.nodes:
            process.start()

    async def replace_state(self, version, base, routes, services, tenants=None):
        """Sends a desired state until it is acknowledged."""
        state = {
            "version": f"r{version}",
            "routes": _table(routes),
            "services": _table(services),
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 67108864,
                "headerTimeoutS": 3,
                "idleTimeoutS": 15
            }
        }
        if tenants is not None:
            state["tenants"] = _table(tenants)
        content = json.dumps(state).encode()
        deadline = time.monotonic() + _START_TIMEOUT_S
        addresses = itertools.cycle(
            [process.fields["operator"] for process in self.controls])
        while time.monotonic() < deadline:
            status = await call(next(addresses), "POST", "/v1/Config.Replace",
                                content, [("Base-Version", f"r{base}")])
            self.record(f"operator sends r{version} on r{base}: {status}")
            if status == 200:
                return
            await asyncio.sleep(0.2)
        raise NotRun(f"r{version} was not acknowledged")

    async def wait_until_ready(self):
        """Waits until every process is ready."""
        for process in self.controls + self.nodes:
            await process.wait_until_ready()

    def kill(self):
        """Ends every process."""
        for process in self.controls + self.nodes:
            process.kill()


def _table(rows):
    columns = list(dict.fromkeys(name for row in rows for name in row))
    return {
        "columns": columns,
        "rows": [[row.get(name) for name in columns] for row in rows]
    }


def _free_ports(hosts):
    """Returns a port by name that is free at every host."""
    port = 20000 + os.getpid() * 37 % 10000
    ports = {}
    for name in _PORT_NAMES:
        while not _is_free(hosts, port):
            port += 1
        ports[name] = port
        port += 1
    return ports


def _is_free(hosts, port):
    for host in hosts:
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True


class Head:
    """The head of a message; header names are in lower case."""

    def __init__(self, start, headers):
        self.start = start
        self.headers = headers

    def get(self, name, default=None):
        """Returns the first value of a header."""
        for found, value in self.headers:
            if found == name:
                return value
        return default


async def read_head(reader):
    """Reads the head of a message."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split(
        "\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name.strip().lower(), value.strip()))
    return Head(lines[0], headers)


async def read_content(reader, head, on_part=None):
    """Reads the content of a message with a length or in chunks."""
    parts = []

    def add(part):
        parts.append(part)
        if on_part is not None:
            on_part(part)

    if (head.get("transfer-encoding") or "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if not size:
                await reader.readline()
                break
            add(await reader.readexactly(size))
            await reader.readexactly(2)
    else:
        left = int(head.get("content-length") or 0)
        while left:
            part = await reader.read(min(left, 1 << 16))
            if not part:
                raise asyncio.IncompleteReadError(b"", left)
            add(part)
            left -= len(part)
    return b"".join(parts)


def make_request(method, target, headers, content=b""):
    """Returns a request with a length."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers]
    if content or method != "GET":
        lines.append(f"Content-Length: {len(content)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + content


async def connect(address):
    """Opens a connection to "IP:port"."""
    host, _, port = address.rpartition(":")
    return await asyncio.open_connection(host, int(port))


async def call(address,
               method,
               path,
               content=b"",
               headers=(),
               limit_s=2.0,
               redirects=2):
    """Returns the status of a call, None without a response."""
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await connect(address)
            with contextlib.closing(writer):
                writer.write(
                    make_request(method, path,
                                 [("Host", address), *headers,
                                  ("Connection", "close")], content))
                head = await read_head(reader)
                await read_content(reader, head)
    except (OSError, EOFError, ValueError, TimeoutError):
        return None
    status = int(head.start.split(" ")[1])
    if status == 307 and redirects:
        target = head.get("location").removeprefix("http://")
        address, _, path = target.partition("/")
        return await call(address, method, "/" + path, content, headers,
                          limit_s, redirects - 1)
    return status


class Run:
    """A request that has reached a server.

    Attributes:
        request_id: Its Attempt-Id.
        target: Its target.
        arrived_at: Seconds since the start of the case.
        ended: How it ended, None while it runs.
    """

    def __init__(self, request_id, target, arrived_at):
        self.request_id = request_id
        self.target = target
        self.arrived_at = arrived_at
        self.ended = None


class Server:
    """A sound server beside a node, in one of its lifetimes.

    Attributes:
        upstream_id: Its id.
        born: Unix milliseconds of its start.
        runs: Requests that it has begun to run.
        beats: Number of acknowledged check-ins by state.
    """

    def __init__(self, record, node, service, upstream_id, *, slots=50):
        self.upstream_id = upstream_id
        self.service = service
        self.born = time.time_ns() // 1_000_000
        self.runs = []
        self.beats = collections.Counter()
        self.node = node
        self.record = record
        self._slots = slots
        self._state = "ready"
        self._sequence = 0
        self._running = 0
        self._listener = None
        self._beat_task = None
        self._writers = set()
        self._wake = asyncio.Event()

    async def start(self):
        """Listens, and checks in until the end."""
        host, _, port = self.node.fields["upstream"].rpartition(":")
        self._listener = await asyncio.start_server(self._serve,
                                                    host,
                                                    int(port),
                                                    limit=1 << 20)
        self.record(f"server {self.upstream_id} (born {self.born}) of"
                    f" {self.service} starts beside {self.node.name}")
        self._beat_task = asyncio.ensure_future(self._beat())

    def beat_content(self, sequence, state):
        """Returns the body of a check-in."""
        return json.dumps({
            "service": self.service,
            "address": self.node.fields["upstream"],
            "zone": self.node.fields["failure_domain"],
            "version": "v1",
            "slots": self._slots,
            "state": state,
            "coldLeftS": 0,
            "seq": sequence,
            "born": self.born
        }).encode()

    async def check_in(self):
        """Sends one check-in and returns the status of its response."""
        self._sequence += 1
        state = self._state
        status = await call(self.node.fields["check_in"], "POST",
                            f"/v1/Instances.Heartbeat/{self.upstream_id}",
                            self.beat_content(self._sequence, state),
                            [("Content-Type", "application/json")], 1.0)
        if status == 200:
            if not self.beats[state]:
                self.record(f"server {self.upstream_id} (born {self.born}):"
                            f" first ack of '{state}'")
            self.beats[state] += 1
        return status

    async def deregister(self):
        """Sends the deregistration and returns the status of its response."""
        status = await call(self.node.fields["check_in"], "POST",
                            f"/v1/Instances.Deregister/{self.upstream_id}",
                            json.dumps({
                                "born": self.born
                            }).encode(), [("Content-Type", "application/json")],
                            1.0)
        self.record(f"server {self.upstream_id} (born {self.born})"
                    f" deregisters: {status}")
        return status

    async def _beat(self):
        while True:
            await self.check_in()
            self._wake.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_BEAT_INTERVAL_S):
                    await self._wake.wait()

    def stop_beats(self):
        """Sends no more check-ins; returns one that is still on its way."""
        self._beat_task.cancel()
        self._sequence += 1
        return self.beat_content(self._sequence, "ready")

    async def drain(self):
        """Reports `draining` and returns when that is acknowledged."""
        self._state = "draining"
        self._wake.set()
        while not self.beats["draining"]:
            await asyncio.sleep(0.01)

    async def stop(self):
        """Exits; what still runs is cut."""
        if self._beat_task is not None:
            self._beat_task.cancel()
        self._listener.close()
        cut = 0
        for run in self.runs:
            if run.ended is None:
                run.ended = "cut by the exit"
                cut += 1
        self.record(f"server {self.upstream_id} (born {self.born}) exits,"
                    f" {cut} requests still ran")
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                content = await read_content(reader, head)
                if not await self._handle(head, content, writer):
                    break
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(self, head, content, writer):
        method, target, _ = head.start.split(" ")
        request_id = head.get("attempt-id", "")
        intended = head.get("intended-instance", self.upstream_id)
        if intended != self.upstream_id or self._running >= self._slots:
            status = 421 if intended != self.upstream_id else 503
            writer.write(
                f"HTTP/1.1 {status} Not run\r\nAttempt-Id: {request_id}\r\n"
                "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode())
            return True
        run = Run(request_id, target, self.record.now())
        self.runs.append(run)
        self.record(f"server {self.upstream_id} runs {method} {target}"
                    f" {request_id}, tenant {head.get('tenant-id')}")
        self._running += 1
        try:
            await self.respond(head, content, writer)
            run.ended = run.ended or "answered"
        finally:
            run.ended = run.ended or "cut"
            self._running -= 1
            self.record(f"server {self.upstream_id}: {request_id} {run.ended}")
        return True

    def response_head(self, head, length, extra=()):
        """Returns the head of a response."""
        lines = [
            "HTTP/1.1 200 OK", f"Attempt-Id: {head.get('attempt-id', '')}",
            f"Response-Seal: {self.upstream_id}.{head.get('attempt-id', '')}"
        ]
        if length is None:
            lines.append("Transfer-Encoding: chunked")
        else:
            lines.append(f"Content-Length: {length}")
        lines += extra
        return "\r\n".join(lines).encode() + b"\r\n\r\n"

    async def respond(self, head, content, writer):
        """Works for as long as the path says and answers."""
        del content
        await asyncio.sleep(float(head.start.split(" ")[1].split("/")[2]))
        data = f"{self.upstream_id} {head.get('attempt-id')}".encode()
        writer.write(self.response_head(head, len(data)) + data)
        await writer.drain()


class Answer:
    """What a client has got.

    Attributes:
        request_id: The Attempt-Id.
        sent_at: Seconds since the start of the case.
        status: Status of the response, None without one.
        seal: The Response-Seal, if any.
        content: What was read of the content.
        complete: Whether the response ended properly.
        ended_at: When it ended, or the client gave up.
        why: Why there is no complete response.
    """

    def __init__(self, request_id, sent_at):
        self.request_id = request_id
        self.sent_at = sent_at
        self.status = None
        self.seal = None
        self.content = b""
        self.complete = False
        self.ended_at = None
        self.why = ""


class Client:
    """Sends requests to the node of one machine."""

    _numbers = itertools.count(1)

    def __init__(self, record, node, host="shop.example"):
        self._record = record
        self._node = node
        self._host = host
        self.answers = []

    async def send(self,
                   method,
                   target,
                   *,
                   limit_s=10.0,
                   content=b"",
                   headers=()):
        """Sends one request on a new connection; returns its Answer."""
        request_id = f"{next(self._numbers):016x}"
        answer = Answer(request_id, self._record.now())
        self.answers.append(answer)
        self._record(f"client at {self._node.name} sends {method} {target}"
                     f" {request_id}")
        parts = []
        try:
            async with asyncio.timeout(limit_s):
                reader, writer = await connect(self._node.fields["caller"])
                with contextlib.closing(writer):
                    writer.write(
                        make_request(method, target,
                                     [("Host", self._host),
                                      ("Attempt-Id", request_id),
                                      ("Deadline-Ms", int(limit_s * 1000)),
                                      *headers], content))
                    head = await read_head(reader)
                    answer.status = int(head.start.split(" ")[1])
                    answer.seal = head.get("response-seal")
                    await read_content(reader, head, parts.append)
                    answer.complete = True
        except TimeoutError:
            answer.why = "the client gave up"
        except (OSError, EOFError, ValueError) as error:
            answer.why = f"the connection ended: {type(error).__name__}"
        answer.content = b"".join(parts)
        answer.ended_at = self._record.now()
        self._record(
            f"client at {self._node.name}: {request_id}"
            f" status {answer.status}, {len(answer.content)} bytes,"
            f" {'complete' if answer.complete else answer.why},"
            f" after {answer.ended_at - answer.sent_at:.3f} s")
        return answer


def run_case(folder, case):
    """Runs a case and exits with its code.

    Args:
        folder: Folder of the case.
        case: Coroutine function of the record and a temporary folder that
            returns the mesh to end and whether the rule held.
    """
    record = Record(pathlib.Path(folder))
    record(f"disruption: {'yes' if with_trouble() else 'no'}")
    meshes = []

    async def main(temporary):
        async with asyncio.timeout(_LIMIT_S):
            return await case(record, pathlib.Path(temporary), meshes.append)

    def interrupt(number, frame):
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, interrupt)
    code = EXIT_NOT_RUN
    with tempfile.TemporaryDirectory(ignore_cleanup_errors=True) as temporary:
        try:
            code = EXIT_HELD if asyncio.run(main(temporary)) else EXIT_BROKEN
        except (NotRun, TimeoutError, OSError) as error:
            record(f"not run: {error!r}")
        except KeyboardInterrupt:
            record("not run: interrupted")
        finally:
            for mesh in meshes:
                mesh.kill()
            if os.environ.get("KEEP_LOGS"):
                for path in pathlib.Path(temporary).glob("*.log"):
                    (pathlib.Path(os.environ["KEEP_LOGS"]) /
                     path.name).write_bytes(path.read_bytes())
    record(f"exit code {code}")
    print(f"{folder}: exit code {code}")
    sys.exit(code)
