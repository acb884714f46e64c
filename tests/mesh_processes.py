"""Starts nodes and control instances of a mesh as separate processes."""

import contextlib
import os
import pathlib
import socket
import subprocess
import sys
import tempfile
import time
import unittest

import msgspec

from apricothinge import settings
from apricothinge.platform import wire

_LAUNCHER = pathlib.Path(__file__).parent.parent / "deploy" / "launch.py"
TIMEOUT_S = 20.0


def free_ports(count):
    """Returns ports that are free, unless another process takes them."""
    with contextlib.ExitStack() as stack:
        probes = [stack.enter_context(socket.socket()) for _ in range(count)]
        for probe in probes:
            probe.bind(("127.0.0.1", 0))
        return [probe.getsockname()[1] for probe in probes]


def connect(address, timeout_s=TIMEOUT_S):
    """Connects to "IP:port" as soon as something listens there."""
    parsed_address = settings.parse_address(address)
    deadline = time.monotonic() + timeout_s
    while True:
        try:
            return socket.create_connection(
                (parsed_address.host, parsed_address.port), TIMEOUT_S)
        except OSError:
            if time.monotonic() > deadline:
                raise


def exchange(address, request, timeout_s=TIMEOUT_S):
    """Sends one raw request; returns all that is received until the end."""
    with connect(address, timeout_s) as connection:
        connection.sendall(request)
        return receive_all(connection)


def receive_all(connection):
    """Returns what is received until the connection ends, also by a reset."""
    parts = []
    with contextlib.suppress(ConnectionResetError):
        while part := connection.recv(1 << 16):
            parts.append(part)
    return b"".join(parts)


class MeshProcessCase(unittest.TestCase):
    """Base of tests that start processes of a mesh."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def write_settings(self, role_settings):
        """Writes the settings file of an instance and returns its path."""
        path = self.folder / f"{role_settings.instance}.json"
        changed_path = path.with_suffix(".new")
        role = ("mesh_node" if isinstance(role_settings, settings.MeshNode) else
                "mesh_control")
        changed_path.write_bytes(
            msgspec.json.encode({
                "role": role,
                role: role_settings
            }))
        changed_path.rename(path)
        return path

    def start(self, role_settings):
        """Starts a process with the given settings."""
        environment = dict(os.environ)
        environment[wire.SETTINGS_PATH_VARIABLE] = str(
            self.write_settings(role_settings))
        process = subprocess.Popen([sys.executable, _LAUNCHER],
                                   env=environment,
                                   stdout=subprocess.DEVNULL,
                                   stderr=subprocess.DEVNULL)
        self.addCleanup(self._kill, process)
        return process

    @staticmethod
    def _kill(process):
        process.kill()
        process.wait()

    @staticmethod
    def node_settings(**fields):
        """Builds settings of a node whose control does not listen."""
        caller, link, check_in, readiness, admin, unused = (
            f"127.0.0.1:{port}" for port in free_ports(6))
        defaults = {
            "instance": "n0",
            "failure_domain": "a",
            "service": "s",
            "upstream": unused,
            "caller": caller,
            "link": link,
            "check_in": check_in,
            "readiness": readiness,
            "admin": admin,
            "seeds": [unused],
            "control_link_port": settings.parse_address(unused).port,
            "grace_s": 6.0
        }
        return settings.MeshNode(**(defaults | fields))

    @staticmethod
    def control_settings(folder, count):
        """Builds settings of a group of control instances."""
        link_port, operator_port, admin_port = free_ports(3)
        hosts = [f"127.0.0.{index + 1}" for index in range(count)]
        return [
            settings.MeshControl(
                instance=f"c{index}",
                failure_domain="abc"[index],
                link=f"{host}:{link_port}",
                operator=f"{host}:{operator_port}",
                admin=f"{host}:{admin_port}",
                data=str(folder / f"c{index}"),
                seeds=[f"{seed}:{operator_port}" for seed in hosts],
                control_link_port=link_port,
                bootstrap=True) for index, host in enumerate(hosts)
        ]
