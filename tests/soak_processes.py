"""Processes of a mesh that a soak starts, stops and pauses."""

import asyncio
import contextlib
import json
import math
import os
import pathlib
import signal
import socket
import subprocess
import sys

from apricothinge.platform import wire
from tests import mesh_fleet

_LAUNCHER = pathlib.Path(__file__).parent.parent / "deploy" / "launch.py"
_START_TIMEOUT_S = 60.0
# A process counts as disturbed for this long after a pause.
_STABLE_S = 3.0
_NODE_PORTS = ("link", "admin", "caller", "check_in", "readiness")
_CONTROL_PORTS = ("link", "admin", "operator")
# Larger meshes have three control instances.
_MAX_NODES_OF_ONE = 8


def _free_ports():
    """Yields free ports that the system does not give to clients."""
    for port in range(10000 + os.getpid() * 251 % 20000, 32768):
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("0.0.0.0", port))
            yield port


async def call(address, path, method="GET", content=b"", headers=()):
    """Returns the status of a call to "IP:port", None without a response."""
    with contextlib.suppress(OSError, EOFError, TimeoutError):
        async with asyncio.timeout(2.0):
            reader, writer = await connect(address)
            with contextlib.closing(writer):
                writer.write(
                    mesh_fleet.make_request(path,
                                            method,
                                            content,
                                            headers=headers))
                return (await mesh_fleet.read_answer(reader))[0]
    return None


async def connect(address):
    """Opens a connection to "IP:port"."""
    return await asyncio.open_connection(*address.split(":"))


class Process:
    """A process of an instance, which another one may follow.

    Attributes:
        fields: Settings of its role.
        ready: Whether it has been ready; it then handles signals.
        stopped_at: Loop time of its first SIGTERM.
        killed_at: Loop time of its kill at the end of the grace period.
        pauses: Start and end of each pause.
    """

    def __init__(self, path, fields):
        self.fields, self.ready = fields, False
        self.stopped_at = self.killed_at = math.inf
        self.pauses = []
        self._path, self._handle = path, None

    @property
    def name(self):
        """Name of the instance."""
        return self.fields["instance"]

    def successor(self):
        """Returns another process of the same instance, not started yet."""
        return Process(self._path, self.fields)

    async def start(self):
        """Starts the process and waits until it is ready."""
        self.write_settings()
        environment = os.environ | {
            wire.SETTINGS_PATH_VARIABLE: str(self._path)
        }
        with open(self._path.with_suffix(".log"), "ab") as log:
            self._handle = subprocess.Popen([sys.executable, _LAUNCHER],
                                            env=environment,
                                            stdout=log,
                                            stderr=log)
        address, path = self.fields.get("readiness"), wire.READINESS_PATH
        if address is None:
            address, path = self.fields["operator"], wire.READ_PATH
        async with asyncio.timeout(_START_TIMEOUT_S):
            while await call(address, path) not in (200, 307):
                await asyncio.sleep(0.1)
        self.ready = True

    def write_settings(self):
        """Replaces the settings file."""
        role = "mesh_node" if "caller" in self.fields else "mesh_control"
        new_path = self._path.with_suffix(".new")
        new_path.write_text(json.dumps({"role": role, role: self.fields}))
        new_path.rename(self._path)

    def signal(self, number):
        """Sends a signal, unless the process has ended."""
        self._handle.send_signal(number)

    async def pause(self, span_s):
        """Pauses the process."""
        loop = asyncio.get_running_loop()
        pause = [loop.time(), math.inf]
        self.pauses.append(pause)
        self.signal(signal.SIGSTOP)
        await asyncio.sleep(span_s)
        self.signal(signal.SIGCONT)
        pause[1] = loop.time()

    async def stop(self, grace_s):
        """Sends SIGTERM, and a kill if the process is there after its grace.

        Returns:
            What is wrong with its end, or None.
        """
        loop = asyncio.get_running_loop()
        self.stopped_at = loop.time()
        self.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(grace_s):
                await self._wait()
        except TimeoutError:
            self.killed_at = loop.time()
            await self.kill()
        code = self._handle.returncode
        if not code or any(end > self.stopped_at for _, end in self.pauses):
            return None
        last_line = self._path.with_suffix(".log").read_text().splitlines()[-1:]
        return (f"code {code} {loop.time() - self.stopped_at:.2f} s after"
                f" SIGTERM; last line {last_line}")

    async def kill(self):
        """Kills the process, if it was started, and waits for its end."""
        if self._handle is not None:
            self.signal(signal.SIGKILL)
            await self._wait()

    async def _wait(self):
        while self._handle.poll() is None:
            await asyncio.sleep(0.01)

    def is_disturbed(self, since, until):
        """Tells whether it was killed, or paused, between two times."""
        return self.killed_at <= until or any(
            start <= until and since < end + _STABLE_S
            for start, end in self.pauses)


def create(folder, nodes, grace_s):
    """Returns the processes of a mesh by name, not started yet.

    Args:
        folder: Folder for their files.
        nodes: Number of nodes, which still need the address of an upstream.
        grace_s: Their grace period in seconds.
    """
    ports = _free_ports()
    # Each control instance has the same ports, at an address of its own.
    shared = [next(ports) for _ in _CONTROL_PORTS]
    hosts = [
        f"127.0.0.{i}" for i in range(1, 4 if nodes > _MAX_NODES_OF_ONE else 2)
    ]
    fields_by_name = {}
    for i, host in enumerate(hosts):
        fields_by_name[f"c{i}"] = {
            "data": f"{folder}/data{i}",
            "bootstrap": True
        }
        for key, port in zip(_CONTROL_PORTS, shared):
            fields_by_name[f"c{i}"][key] = f"{host}:{port}"
    for i in range(nodes):
        fields_by_name[f"n{i}"] = {"service": "st"[i % 2], "grace_s": grace_s}
        for key, port in zip(_NODE_PORTS, ports):
            fields_by_name[f"n{i}"][key] = f"127.0.0.1:{port}"
    for name, fields in fields_by_name.items():
        fields |= {
            "instance": name,
            "failure_domain": "abc"[int(name[1:]) % 3],
            "control_link_port": shared[0],
            "seeds": [f"{host}:{shared[-1]}" for host in hosts]
        }
    return {
        name: Process(folder / f"{name}.json", fields)
        for name, fields in fields_by_name.items()
    }
