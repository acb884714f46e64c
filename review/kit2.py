"""Starts a small installation on loopback addresses, with stand-ins around it.

The programs run as separate processes, with the commands of the deploy file.
Targets, clients and the operator are stand-ins that speak what PROTOCOL.md
says; they live in the process of the script.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
DRAIN_S = 2.0
GRACE_S = 6.0
STABLE_WINDOW_S = 3.0
HEARTBEAT_S = 1.5
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def _free_network():
    """Returns the first two octets of a loopback network of this run."""
    return f"127.{random.randint(16, 250)}"


def _free_port(hosts, taken):
    """Returns a port that is free at all the hosts."""
    while True:
        port = random.randint(12000, 30000)
        if port in taken:
            continue
        try:
            for host in hosts:
                with socket.socket() as probe:
                    probe.bind((host, port))
        except OSError:
            continue
        taken.add(port)
        return port


class Record:
    """Writes what happens to `record.txt`, with seconds since the start."""

    def __init__(self, folder):
        self._file = open(folder / "record.txt", "w", encoding="utf-8")
        self._started_at = time.monotonic()

    def now(self):
        """Returns seconds since the start."""
        return time.monotonic() - self._started_at

    def write(self, text):
        """Writes a line."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


class Process:
    """A process of the system."""

    def __init__(self, name, command, settings_path, log_path):
        self.name = name
        self._command = command
        self.settings_path = settings_path
        self._log_path = log_path
        self.handle = None

    def start(self):
        """Starts the process."""
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["APRICOTHINGE_NODE_FILE"] = str(self.settings_path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with open(self._log_path, "ab") as log:
            self.handle = subprocess.Popen(self._command,
                                           cwd=ROOT,
                                           env=environment,
                                           stdin=subprocess.DEVNULL,
                                           stdout=log,
                                           stderr=log)

    def signal(self, number):
        """Sends a signal unless the process has ended."""
        if self.handle is not None and self.handle.poll() is None:
            self.handle.send_signal(number)

    def end(self):
        """Kills the process and waits for its end."""
        if self.handle is not None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            self.handle.wait()


async def read_message(reader):
    """Reads a message with a length or in chunks.

    Returns:
        First line, headers by lower-case name, and content.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            parts.append(await reader.readexactly(size))
            await reader.readline()
            if not size:
                return lines[0], headers, b"".join(parts)
    length = int(headers.get("content-length", "0"))
    return lines[0], headers, await reader.readexactly(length)


async def call(address, method, path, headers=(), content=b"", timeout_s=5.0):
    """Sends a request on a connection of its own.

    Returns:
        Status, headers and content, or None without a whole answer.
    """
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {path} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers]
            if not any(name.lower() == "host" for name, _ in headers):
                lines.append(f"Host: {address}")
            if content or method != "GET":
                lines.append(f"Content-Length: {len(content)}")
            lines.append("Connection: close")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + content)
            first, answer_headers, answer = await read_message(reader)
            return int(first.split()[1]), answer_headers, answer
    except (OSError, EOFError, TimeoutError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.transport.abort()


class Target:
    """A target, which checks in at the node on its machine.

    Attributes:
        arrivals: Time, identifier and headers of each request that it ran.
        on_run: Coroutine function of (target, first line, headers, content)
            that runs a request and returns status and content, or None to
            close the connection.
    """

    def __init__(self, record, service, zone, address, node_control, slots):
        self.record = record
        self.service = service
        self.zone = zone
        self.address = address
        self.slots = slots
        self.on_run = None
        self.ident = ""
        self.rejected = 0
        self._node_control = node_control
        self._server = None
        self._writers = set()
        self._tasks = set()
        self._beats = None
        self.running = 0

    async def start(self):
        """Starts a new lifetime."""
        self.ident = "i-" + secrets.token_hex(4)
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._accept, host,
                                                  int(port),
                                                  limit=1 << 20)
        self._beats = asyncio.ensure_future(self._check_in())
        self.record.write(f"target {self.ident} of {self.service} starts at"
                          f" {self.address}")

    async def _check_in(self):
        born = time.time_ns() // 1_000_000
        seq = 0
        while True:
            seq += 1
            body = json.dumps({
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": "ready",
                "coldLeftS": 0,
                "seq": seq,
                "born": born
            }).encode()
            await call(self._node_control, "POST",
                       f"/v1/Instances.Heartbeat/{self.ident}",
                       [("Content-Type", "application/json")], body, 1.0)
            await asyncio.sleep(HEARTBEAT_S)

    def crash(self):
        """Ends the lifetime; all of its connections are reset."""
        self.record.write(f"target {self.ident} of {self.service} crashes")
        self._beats.cancel()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()
        self.running = 0

    async def _accept(self, reader, writer):
        self._writers.add(writer)
        self._tasks.add(asyncio.current_task())
        try:
            while await self._exchange(reader, writer):
                pass
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            self._tasks.discard(asyncio.current_task())
            writer.transport.abort()

    async def _exchange(self, reader, writer):
        first, headers, content = await read_message(reader)
        ident = headers.get("attempt-id", "")
        if headers.get("intended-instance", self.ident) != self.ident:
            self._answer(writer, ident, 421, b"", ["Not-Executed: 1"])
            return True
        if first.startswith("GET /health "):
            self._answer(writer, ident, 200, b"",
                         ["Instance-Id: " + self.ident])
            return True
        if not ident:
            self._answer(writer, ident, 400, b"", ["Not-Executed: 1"])
            return True
        if self.running >= self.slots:
            self.rejected += 1
            self._answer(writer, ident, 503, b"", ["Not-Executed: 1"])
            return True
        self.running += 1
        try:
            result = await self.on_run(self, first, headers, content)
        finally:
            self.running = max(0, self.running - 1)
        if result is None:
            return False
        self._answer(writer, ident, result[0], result[1],
                     ["Response-Seal: seal-" + ident])
        await writer.drain()
        return True

    @staticmethod
    def _answer(writer, ident, status, content, extra):
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(content)}"]
        if ident:
            lines.append(f"Attempt-Id: {ident}")
        writer.write(("\r\n".join(lines + extra) + "\r\n\r\n").encode() +
                     content)

    def stop(self):
        """Ends the target at the end of the script."""
        if self._server is not None:
            self._beats.cancel()
            self._server.close()
            for task in list(self._tasks):
                task.cancel()


class Machine:
    """Addresses of a machine beside a target.

    Attributes:
        process: The node's process.
        target: The target.
    """

    def __init__(self, name, zone, service, ip):
        self.name = name
        self.zone = zone
        self.service = service
        self.ip = ip
        self.outbound = self.control = self.readiness = ""
        self.process = None
        self.target = None


class Mesh:
    """An installation: control processes, nodes and their targets.

    Attributes:
        record: Where to write what happens.
        controls: Control processes.
        machines: Machines beside targets.
    """

    def __init__(self, folder, services, zones=("za", "zb", "zc"), slots=40):
        self.record = Record(folder)
        self._temporary = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.zones = zones
        self.controls = []
        self.operators = []
        self.machines = []
        self.version = 0
        self._make(services, slots)

    def _make(self, services, slots):
        deploy = tomllib.loads(
            (ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
        commands = {
            name: [sys.executable if word == "python3" else word
                   for word in role["run"].split()]
            for name, role in deploy["roles"].items()
        }
        net = _free_network()
        control_ips = [f"{net}.1.{i + 1}" for i in range(3)]
        spare_ips = [f"{net}.1.{i}" for i in (4, 5, 6)]
        node_ips = [
            f"{net}.{2 + k}.{i + 1}"
            for k in range(len(services))
            for i in range(len(self.zones))
        ]
        hosts = control_ips + spare_ips + node_ips
        taken = set()
        ports = {
            name: _free_port(hosts, taken)
            for name in ("link", "control", "admin", "outbound", "readiness",
                         "app")
        }
        self._control_command = commands["control"]
        self._ports = ports
        self._net = net
        self.seeds = [f"{ip}:{ports['control']}" for ip in control_ips]
        for i in range(len(control_ips)):
            self.operators.append(self._make_control(i + 1, True))
        ip_iterator = iter(node_ips)
        for service in services:
            for zone in self.zones:
                ip = next(ip_iterator)
                machine = Machine(f"side-{service}-{zone}", zone, service, ip)
                machine.outbound = f"{ip}:{ports['outbound']}"
                machine.control = f"{ip}:{ports['control']}"
                machine.readiness = f"{ip}:{ports['readiness']}"
                app = f"{ip}:{ports['app']}"
                processes = []
                self._add_process(
                    processes, machine.name, commands["node"], "mesh_node", {
                        "instance": machine.name,
                        "failure_domain": zone,
                        "service": service,
                        "upstream": app,
                        "caller": machine.outbound,
                        "link": f"{ip}:{ports['link']}",
                        "check_in": machine.control,
                        "readiness": machine.readiness,
                        "admin": f"{ip}:{ports['admin']}",
                        "seeds": self.seeds,
                        "control_link_port": ports["link"],
                        "region_by_domain": {z: "r" for z in self.zones},
                        "grace_s": GRACE_S
                    })
                machine.process = processes[0]
                machine.target = Target(self.record, service, zone, app,
                                        machine.control, slots)
                self.machines.append(machine)

    def _add_process(self, processes, name, command, role, fields):
        path = self._temporary / f"{name}.json"
        path.write_text(json.dumps({"role": role, role: fields}),
                        encoding="utf-8")
        processes.append(
            Process(name, command, path, self._temporary / f"{name}.log"))

    def _make_control(self, number, bootstrap):
        """Adds a control process; returns its address for operators."""
        name = f"core-{number}"
        ip = f"{self._net}.1.{number}"
        ports = self._ports
        self._add_process(
            self.controls, name, self._control_command, "mesh_control", {
                "instance": name,
                "failure_domain": self.zones[(number - 1) % len(self.zones)],
                "link": f"{ip}:{ports['link']}",
                "operator": f"{ip}:{ports['control']}",
                "admin": f"{ip}:{ports['admin']}",
                "data": str(self._temporary / f"data-{name}"),
                "seeds": self.seeds,
                "control_link_port": ports["link"],
                "bootstrap": bootstrap,
                "failure_domains": list(self.zones)
            })
        return f"{ip}:{ports['control']}"

    def add_control(self, number):
        """Adds a machine of the core with an empty disk, not started yet.

        Returns:
            Its process and its address for operators.
        """
        operator = self._make_control(number, False)
        return self.controls[-1], operator

    @staticmethod
    def forget_bootstrap(process):
        """Writes settings that no longer say that the whole system starts.

        Returns:
            The data folder of the control process.
        """
        path = process.settings_path
        fields = json.loads(path.read_text(encoding="utf-8"))
        fields["mesh_control"]["bootstrap"] = False
        path.write_text(json.dumps(fields), encoding="utf-8")
        return pathlib.Path(fields["mesh_control"]["data"])

    def log_path(self, name):
        """Returns the path of what a process logs."""
        return self._temporary / f"{name}.log"

    async def start(self):
        """Starts all processes and targets."""
        for process in self.controls:
            process.start()
        for machine in self.machines:
            machine.process.start()
        for machine in self.machines:
            await machine.target.start()

    async def replace(self, state, timeout_s=20.0):
        """Sends a desired state until it is acknowledged."""
        base, self.version = self.version, self.version + 1
        state = {"version": f"r{self.version}"} | state
        body = json.dumps(state).encode()
        deadline = time.monotonic() + timeout_s
        address = self.operators[0]
        turn = 0
        while time.monotonic() < deadline:
            answer = await call(address, "POST", "/v1/Config.Replace",
                                [("Base-Version", f"r{base}"),
                                 ("Content-Type", "application/json")], body,
                                1.0)
            if answer is not None and answer[0] == 200:
                self.record.write(f"desired state r{self.version} acknowledged")
                return
            if answer is not None and answer[0] in (400, 409, 412, 413, 422):
                raise RuntimeError(f"desired state refused: {answer}")
            if answer is not None and answer[0] == 307:
                address = answer[1]["location"].split("/")[2]
                continue
            turn += 1
            address = self.operators[turn % len(self.operators)]
            await asyncio.sleep(0.2)
        raise RuntimeError("no desired state was acknowledged")

    async def wait_ready(self, timeout_s=20.0):
        """Waits until all nodes are ready."""
        deadline = time.monotonic() + timeout_s
        for machine in self.machines:
            while True:
                answer = await call(machine.readiness, "GET", "/v1/readiness",
                                    (), b"", 1.0)
                if answer is not None and answer[0] == 200:
                    break
                if time.monotonic() > deadline:
                    raise RuntimeError(f"{machine.name} is not ready")
                await asyncio.sleep(0.1)

    def stop(self):
        """Ends all processes and removes their files."""
        for machine in self.machines:
            machine.target.stop()
            machine.process.end()
        for process in self.controls:
            process.end()
        if os.environ.get("KEEP"):
            print(self._temporary)
        else:
            shutil.rmtree(self._temporary, ignore_errors=True)


def table(*rows):
    """Encodes rows, given as dictionaries, as columns and rows."""
    columns = list(dict.fromkeys(name for row in rows for name in row))
    return {
        "columns": columns,
        "rows": [[row.get(name) for name in columns] for row in rows]
    }


def route(name, host, prefix, service, **fields):
    """Returns a row of the routes."""
    return {
        "name": name,
        "hostname": host,
        "pathPrefix": prefix,
        "routeType": "idempotent",
        "timeoutS": 3.0,
        "sloLatencyS": 1.5,
        "priority": 1,
        "maxAttempts": 2,
        "allowAnonymous": False,
        "service": service
    } | fields


def desired_state(routes, services, tenants):
    """Returns a desired state without its version."""
    return {
        "routes": table(*routes),
        "services": table(*({
            "name": service,
            "healthPath": "/health",
            "maxConns": 688,
            "protocol": "h1",
            "tls": False
        } for service in services)),
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 67108864,
            "headerTimeoutS": 3,
            "idleTimeoutS": 15
        },
        "tenants": table(*tenants)
    }


def main(folder, run, make_mesh):
    """Runs a script and exits with 1 if the rule was broken, 0 if it held.

    Args:
        folder: Folder of the script.
        run: Coroutine function of the mesh that returns whether the rule was
            broken.
        make_mesh: Function of the folder that returns the mesh.
    """

    async def guarded():
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM,
            asyncio.current_task().cancel)
        mesh = make_mesh(folder)
        try:
            async with asyncio.timeout(115):
                await mesh.start()
                return await run(mesh)
        finally:
            mesh.stop()

    with contextlib.suppress(KeyboardInterrupt):
        try:
            broken = asyncio.run(guarded())
        except (Exception, asyncio.CancelledError) as error:
            # The case could not run.
            print(f"could not run: {error!r}")
            sys.exit(2)
        print("rule broken" if broken else "rule held")
        sys.exit(1 if broken else 0)
    sys.exit(2)
