"""Stand-ins for scripted review cases: platform, operator, targets, clients.

Needs the standard library only. The programs under review run as separate
processes, with the command of the deploy file.
"""

import asyncio
import hashlib
import json
import os
import pathlib
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback

ROOT = pathlib.Path(__file__).resolve().parent.parent
START_TIMEOUT_S = 30.0


def free_ports(count, host):
    """Returns ports that nothing listens on at a loopback address."""
    probes = [socket.socket() for _ in range(count)]
    try:
        for probe in probes:
            probe.bind((host, 0))
        return [probe.getsockname()[1] for probe in probes]
    finally:
        for probe in probes:
            probe.close()


class Record:
    """The record of a run: a line for each event, with seconds since start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._started_at = time.monotonic()

    def __call__(self, text):
        line = f"{time.monotonic() - self._started_at:8.3f} {text}"
        self._file.write(line + "\n")
        self._file.flush()

    def close(self):
        self._file.close()


class Program:
    """A process of the system under review."""

    def __init__(self, mesh, name, role, fields):
        self._mesh, self.name, self._role = mesh, name, role
        self.fields = fields
        self._path = mesh.folder / f"{name}.json"
        self._process = None

    def write_settings(self):
        """Writes the settings file, replacing it atomically."""
        new = self._path.with_suffix(".new")
        new.write_text(json.dumps({"role": self._role,
                                   self._role: self.fields}))
        new.rename(self._path)

    def start(self):
        """Starts the process."""
        self.write_settings()
        command = self._mesh.commands[self._role].split()
        command[0] = sys.executable
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": str(self._mesh.folder),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "APRICOTHINGE_NODE_FILE": str(self._path),
        }
        with open(self._path.with_suffix(".log"), "ab") as log:
            self._process = subprocess.Popen(command, cwd=ROOT,
                                             env=environment, stdout=log,
                                             stderr=log)
        self._mesh.record(f"platform: starts {self.name}")

    def signal(self, number):
        """Sends a signal to the process."""
        self._mesh.record(f"platform: {signal.Signals(number).name} to"
                          f" {self.name}")
        self._process.send_signal(number)

    @property
    def running(self):
        """Whether the process has not ended."""
        return self._process is not None and self._process.poll() is None

    def kill(self):
        """Ends the process and waits for it."""
        if self._process is not None:
            if self._process.poll() is None:
                self._process.kill()
            self._process.wait()

    def log_text(self):
        """Returns what the process has logged."""
        return self._path.with_suffix(".log").read_text(errors="replace")


class Mesh:
    """Control instances and nodes on loopback addresses."""

    def __init__(self, record, controls=3):
        self.record = record
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._temporary.name)
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.commands = {
            "mesh_node": deploy["roles"]["node"]["run"],
            "mesh_control": deploy["roles"]["control"]["run"]
        }
        hosts = [f"127.0.0.{11 + i}" for i in range(controls)]
        self.link_port, operator_port, admin_port = free_ports(3, "127.0.0.11")
        self.operators = [f"{host}:{operator_port}" for host in hosts]
        self.zones = ["za", "zb", "zc", "zd"]
        self.controls = [
            Program(
                self, f"control-{i}", "mesh_control", {
                    "instance": f"control-{i}",
                    "failure_domain": self.zones[i % 4],
                    "link": f"{host}:{self.link_port}",
                    "operator": f"{host}:{operator_port}",
                    "admin": f"{host}:{admin_port}",
                    "data": str(self.folder / f"data-{i}"),
                    "seeds": self.operators[:3],
                    "control_link_port": self.link_port,
                    "bootstrap": True,
                    "failure_domains": self.zones,
                    "max_lost": 1,
                    "grace_s": 6
                }) for i, host in enumerate(hosts)
        ]
        self.nodes = []
        self.version = 0

    def add_node(self, service, upstream, grace_s=6):
        """Adds a node beside a target; returns it, not started yet."""
        i = len(self.nodes)
        host = f"127.0.1.{11 + i}"
        caller, link, check_in, readiness, admin = (
            f"{host}:{port}" for port in free_ports(5, host))
        node = Program(
            self, f"node-{i}", "mesh_node", {
                "instance": f"node-{i}",
                "failure_domain": self.zones[i % 3],
                "service": service,
                "upstream": upstream,
                "caller": caller,
                "link": link,
                "check_in": check_in,
                "readiness": readiness,
                "admin": admin,
                "seeds": self.operators[:3],
                "control_link_port": self.link_port,
                "region_by_domain": {zone: "r" for zone in self.zones},
                "grace_s": grace_s
            })
        self.nodes.append(node)
        return node

    async def start(self):
        """Starts all processes."""
        for program in self.controls + self.nodes:
            program.start()

    async def apply(self, state):
        """Puts a desired state in force; resends it until it is accepted."""
        base, self.version = self.version, self.version + 1
        state = {"version": f"r{self.version}"} | state
        content = json.dumps(state).encode()
        headers = {
            "Base-Version": f"r{base}",
            "Content-Type": "application/json"
        }
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            for address in self.operators:
                status, _ = await call_operator_api(
                    address, "POST", "/v1/Config.Replace", content, headers)
                if status == 200:
                    self.record(f"operator: r{self.version} is acknowledged")
                    return
            await asyncio.sleep(0.2)
        raise Unable(f"r{self.version} was not acknowledged")

    async def wait_ready(self, nodes=None):
        """Waits until the nodes are ready."""
        deadline = time.monotonic() + START_TIMEOUT_S
        for node in nodes or self.nodes:
            while not await is_ready(node):
                if time.monotonic() > deadline:
                    raise Unable(f"{node.name} did not become ready")
                await asyncio.sleep(0.1)

    def stop(self):
        """Ends all processes."""
        for program in self.controls + self.nodes:
            program.kill()
        self._temporary.cleanup()


def reset(writer):
    """Closes a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                        struct.pack("ii", 1, 0))
    writer.transport.abort()


class Unable(Exception):
    """The case can't run here."""


async def is_ready(node):
    """Asks a node whether it is ready, as the platform does."""
    try:
        async with asyncio.timeout(1.0):
            status, _, _ = await call(node.fields["readiness"], "GET",
                                      "/v1/readiness")
        return status == 200
    except (OSError, EOFError, TimeoutError):
        return False


async def open_connection(address):
    """Opens a connection to "IP:port"."""
    host, port = address.rsplit(":", 1)
    return await asyncio.open_connection(host, int(port))


async def read_head(reader):
    """Reads a head; returns its first line and its headers."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_content(reader, headers, until_end=False):
    """Reads the content of a message; EOFError if it ends early."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            part = await reader.readexactly(size + 2)
            if not size:
                return b"".join(parts)
            parts.append(part[:-2])
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    if until_end:
        return await reader.read()
    return b""


async def read_response(reader, method="GET"):
    """Returns status, headers and content of a response."""
    line, headers = await read_head(reader)
    while line.split()[1].startswith("1"):
        line, headers = await read_head(reader)
    content = b"" if method == "HEAD" else await read_content(
        reader, headers, until_end=True)
    return int(line.split()[1]), headers, content


def request_bytes(address, method, path, content=b"", headers=None):
    """Returns a request with a length."""
    lines = [f"{method} {path} HTTP/1.1"]
    fields = {"Host": address} | (headers or {})
    if content or method != "GET":
        fields["Content-Length"] = str(len(content))
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join(lines + ["", ""]).encode("latin-1") + content


async def call(address, method, path, content=b"", headers=None):
    """Makes one call on a new connection; returns status, headers, content."""
    reader, writer = await open_connection(address)
    try:
        writer.write(request_bytes(address, method, path, content, headers))
        return await read_response(reader, method)
    finally:
        writer.close()


async def call_operator_api(address, method, path, content=b"", headers=None):
    """Makes a call as an operator, who follows a 307 twice.

    Returns:
        Status and content; None and no content without a response.
    """
    try:
        async with asyncio.timeout(2.0):
            for _ in range(3):
                status, fields, answer = await call(address, method, path,
                                                    content, headers)
                if status != 307:
                    return status, answer
                address = fields["location"].split("/")[2]
    except (OSError, EOFError, TimeoutError):
        pass
    return None, b""


def columns(rows):
    """Encodes dictionaries as a table."""
    names = list(rows[0])
    return {"columns": names, "rows": [[row.get(name) for name in names]
                                       for row in rows]}


def route(name, prefix, service, **fields):
    """Returns a route of host `h.example`."""
    return {
        "name": name,
        "hostname": "h.example",
        "pathPrefix": prefix,
        "routeType": "idempotent",
        "timeoutS": 5.0,
        "sloLatencyS": 1.5,
        "priority": 1,
        "weightedSplit": None,
        "maxAttempts": 2,
        "allowAnonymous": False,
        "service": service
    } | fields


def desired_state(routes, services, tenants):
    """Returns a desired state without its version."""
    return {
        "routes": columns(routes),
        "services": columns([{
            "name": name,
            "healthPath": "/health",
            "maxConns": 748,
            "protocol": "h1",
            "tls": False
        } for name in services]),
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 67108864,
            "headerTimeoutS": 3,
            "idleTimeoutS": 15
        },
        "tenants": columns(tenants)
    }


def tenant(name="t1", key="key1", priority=1, rate=0, burst=0):
    """Returns a tenant with one key."""
    return {
        "name": name,
        "apiKeys": [key],
        "priority": priority,
        "ratePerS": rate,
        "burst": burst
    }


def seal(request_id, content):
    """Returns what stands for the MAC of an answer."""
    return hashlib.sha256(request_id.encode() + content).hexdigest()[:24]


def new_id():
    """Returns a new identifier of a client attempt."""
    return f"{random.getrandbits(64):016x}"


class Run:
    """One run of a request on a target."""

    def __init__(self, target, line, headers, content):
        self.target, self.at = target, time.monotonic()
        self.method, self.path = line.split()[:2]
        self.headers, self.content = headers, content
        self.id = headers.get("attempt-id", "")


class Target:
    """A target of a service, at one address.

    Attributes:
        answer: Coroutine function of (run, writer) that runs a request and
            returns whether the connection is kept.
        runs: The requests that it has run.
    """

    def __init__(self, record, service, address, node, target_id=None,
                 slots=32, work_s=0.05):
        self.record, self.service, self.address = record, service, address
        self.node, self.slots, self.work_s = node, slots, work_s
        self.id = target_id or f"i-{random.getrandbits(32):08x}"
        self.born = time.time_ns() // 1_000_000
        self.state, self.sequence = "ready", 0
        self.runs, self.running = [], 0
        self.answer = self.answer_plainly
        self._server = None
        self._beats = None
        self.beat_statuses = []
        self.connections = set()

    async def start(self, beats=True):
        """Starts to listen, and to send check-ins."""
        host, port = self.address.rsplit(":", 1)
        self._server = await asyncio.start_server(self._serve, host, int(port),
                                                  limit=1 << 20)
        self.address = "%s:%d" % self._server.sockets[0].getsockname()[:2]
        if beats:
            self.start_beats()

    def start_beats(self):
        """Starts to send check-ins."""
        self._beats = asyncio.ensure_future(self._send_beats())

    async def beat(self):
        """Sends one check-in and returns its status, None without one."""
        self.sequence += 1
        body = json.dumps({
            "service": self.service,
            "address": self.address,
            "zone": self.node.fields["failure_domain"],
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldLeftS": 0,
            "seq": self.sequence,
            "born": self.born
        }).encode()
        try:
            async with asyncio.timeout(1.0):
                status, _, _ = await call(
                    self.node.fields["check_in"], "POST",
                    f"/v1/Instances.Heartbeat/{self.id}", body,
                    {"Content-Type": "application/json"})
        except (OSError, EOFError, TimeoutError):
            status = None
        self.beat_statuses.append(status)
        return status

    async def _send_beats(self):
        while True:
            status = await self.beat()
            if self.sequence == 1 or status != self.beat_statuses[-2]:
                self.record(f"target {self.id} ({self.service}): check-in"
                            f" {self.sequence} is answered {status}")
            await asyncio.sleep(0.3 if status != 200 else 1.5)

    def stop_beats(self):
        """Stops to send check-ins."""
        if self._beats is not None:
            self._beats.cancel()

    def stop_listening(self):
        """Closes the listening socket; connections stay as they are."""
        if self._server is not None:
            self._server.close()

    def end(self):
        """Ends the target, and resets its connections."""
        self.stop_beats()
        self.stop_listening()
        for writer in list(self.connections):
            reset(writer)

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                if not await self.handle(line, headers, reader, writer):
                    break
                await writer.drain()
        except (EOFError, OSError, ValueError, asyncio.CancelledError):
            # The connection or the case has ended.
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def handle(self, line, headers, reader, writer):
        """Handles a request; returns whether the connection is kept."""
        content = await read_content(reader, headers)
        if line.split()[1] == "/health":
            writer.write(b"HTTP/1.1 200 OK\r\nInstance-Id: " +
                         self.id.encode() + b"\r\nContent-Length: 0\r\n\r\n")
            return True
        run = Run(self, line, headers, content)
        intended = headers.get("intended-instance", self.id)
        if intended != self.id:
            self.record(f"target {self.id} ({self.service}): 421 to {run.id},"
                        f" which names {intended}")
            self.refuse(run, writer, 421)
            return True
        if self.running >= self.slots:
            self.refuse(run, writer, 503)
            return True
        self.running += 1
        self.runs.append(run)
        try:
            return await self.answer(run, writer)
        finally:
            self.running -= 1

    @staticmethod
    def refuse(run, writer, status):
        """Answers that the request was not run."""
        writer.write(f"HTTP/1.1 {status} Refused\r\nAttempt-Id: {run.id}\r\n"
                     "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode())

    async def answer_plainly(self, run, writer):
        """Works for a while and answers 200."""
        await asyncio.sleep(self.work_s)
        writer.write(self.success(run))
        return True

    def content_for(self, run):
        """Returns the content of the answer to a request."""
        return f"{self.service} {self.id} {run.id}".encode()

    def success(self, run, content=None):
        """Returns a whole answer of 200."""
        content = self.content_for(run) if content is None else content
        return (f"HTTP/1.1 200 OK\r\nAttempt-Id: {run.id}\r\n"
                f"Response-Seal: {seal(run.id, content)}\r\n"
                f"Content-Length: {len(content)}\r\n\r\n").encode() + content


class Attempt:
    """A client attempt and what the client saw."""

    def __init__(self, method, path, content, deadline_ms, key):
        self.id = new_id()
        self.method, self.path, self.content = method, path, content
        self.deadline_ms, self.key = deadline_ms, key
        self.status = None
        self.headers = {}
        self.answer = b""
        self.error = ""
        self.sent_at = time.monotonic()

    def request(self):
        """Returns the request as bytes."""
        headers = {"Attempt-Id": self.id, "Deadline-Ms": self.deadline_ms}
        if self.key:
            headers["Credential"] = self.key
        return request_bytes("h.example", self.method, self.path, self.content,
                             headers)


async def send(node, path, method="GET", content=b"", deadline_ms=5000,
               key="key1", record=None):
    """Sends a request on a new connection; returns the Attempt."""
    attempt = Attempt(method, path, content, deadline_ms, key)
    try:
        async with asyncio.timeout(deadline_ms / 1000 + 0.5):
            reader, writer = await open_connection(node.fields["caller"])
            try:
                writer.write(attempt.request())
                attempt.status, attempt.headers, attempt.answer = (
                    await read_response(reader, method))
            finally:
                writer.close()
    except (OSError, EOFError, TimeoutError, ValueError, IndexError) as error:
        attempt.error = repr(error)
    if record is not None:
        record(f"client: {method} {path} {attempt.id} at {node.name} ->"
               f" {attempt.status or attempt.error}")
    return attempt


def main(case, controls=3):
    """Runs a case, which returns a list of broken promises; exits 0, 1 or 2."""
    record = Record(pathlib.Path(sys.argv[1]) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"case: trouble {'on' if trouble else 'off'}")
    code = 2

    async def run():
        mesh = Mesh(record, controls)
        try:
            async with asyncio.timeout(115.0):
                return await case(mesh, record, trouble)
        finally:
            mesh.stop()

    try:
        broken = asyncio.run(run())
        for line in broken[:20]:
            record(f"broken: {line}")
        record(f"result: {len(broken)} broken")
        code = 1 if broken else 0
    except Exception as error:  # pylint: disable=broad-exception-caught
        # Exit code 1 is left to broken promises.
        record(f"result: unable to run: {error!r}")
        traceback.print_exc()
    record.close()
    sys.exit(code)
