"""Starts control instances, nodes and stand-in upstreams as processes."""

import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time

import msgspec

from apricothinge import keys
from apricothinge import lists
from apricothinge import settings
from bench import rpc

FLEET_SECRET = "a secret for measurements"
_LOOPBACK = "127.0.0.1"
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_START_TIMEOUT_S = 30.0
_candidate_ports = iter(range(21000, 32000))


def find_free_address():
    """Returns a loopback address that no process listens on."""
    for port in _candidate_ports:
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            with contextlib.suppress(OSError):
                probe.bind((_LOOPBACK, port))
                return settings.Address(_LOOPBACK, port)
    raise RuntimeError("no free port between 21000 and 31999")


class Process:
    """A process that can be killed and restarted."""

    def __init__(self, arguments, log_path):
        self.arguments = arguments
        self.log_path = log_path
        self.popen = None
        self.start()

    def start(self):
        """Starts the process, or restarts it after a kill."""
        with open(self.log_path, "ab") as output:
            self.popen = subprocess.Popen(  # pylint: disable=consider-using-with
                self.arguments,
                stdout=output,
                stderr=output)

    def cpu_s(self):
        """Returns the CPU time in seconds since the start."""
        fields = pathlib.Path(f"/proc/{self.popen.pid}/stat").read_text(
            encoding="ascii").rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S

    def rss_mb(self):
        """Returns the resident memory in MiB."""
        pages = pathlib.Path(f"/proc/{self.popen.pid}/statm").read_text(
            encoding="ascii").split()[1]
        return int(pages) * _PAGE_BYTES / 2**20

    def kill(self):
        """Kills the process with SIGKILL, as a power failure would."""
        self.popen.kill()
        self.popen.wait()

    def signal(self, signal_number):
        """Sends a signal to the process."""
        self.popen.send_signal(signal_number)

    def stop(self):
        """Resumes and terminates the process; kills it after one second."""
        if self.popen.poll() is not None:
            return
        self.popen.send_signal(signal.SIGCONT)
        self.popen.terminate()
        try:
            self.popen.wait(1.0)
        except subprocess.TimeoutExpired:
            self.kill()


class Fleet:
    """All processes of one measurement; kills them when the context ends."""

    def __init__(self):
        self._temporary_directory = tempfile.TemporaryDirectory(
            prefix="apricothinge-")
        self.directory = pathlib.Path(self._temporary_directory.name)
        self.processes = {}
        self.settings_by_name = {}
        self.control_addresses = []

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.popen.kill()
        for process in self.processes.values():
            process.popen.wait()
        self._temporary_directory.cleanup()

    def _start_process(self, name, arguments):
        self.processes[name] = Process(arguments,
                                       self.directory / f"{name}.log")
        return self.processes[name]

    def _start_daemon(self, name, role_settings, role):
        daemon_settings = settings.Settings(role=role, **{role: role_settings})
        settings_path = self.directory / f"{name}.json"
        settings_path.write_bytes(msgspec.json.encode(daemon_settings))
        self.settings_by_name[name] = role_settings
        return self._start_process(
            name, [sys.executable, "-m", "bench.daemon",
                   str(settings_path)])

    def start_control_group(self, count, failure_domains=("a",)):
        """Starts a control group and waits until it has a leader."""
        address_by_instance = {
            f"control-{i}": find_free_address() for i in range(count)
        }
        self.control_addresses = list(address_by_instance.values())
        for index, (instance,
                    address) in enumerate(address_by_instance.items()):
            self._start_daemon(
                instance,
                settings.Control(
                    instance=instance,
                    failure_domain=failure_domains[index %
                                                   len(failure_domains)],
                    rpc=address,
                    admin=find_free_address(),
                    data=str(self.directory / instance),
                    fleet_secret=FLEET_SECRET,
                    members=address_by_instance), "control")
        rpc.wait_for_leader(self.control_addresses, FLEET_SECRET,
                            _START_TIMEOUT_S)

    def start_node(self,
                   name,
                   failure_domain="a",
                   control_addresses=None,
                   **limits):
        """Starts a node; returns its settings."""
        node_settings = settings.Node(instance=name,
                                      failure_domain=failure_domain,
                                      caller=find_free_address(),
                                      peer=find_free_address(),
                                      local=find_free_address(),
                                      admin=find_free_address(),
                                      control=control_addresses or
                                      self.control_addresses,
                                      fleet_secret=FLEET_SECRET,
                                      limits=settings.Limits(**limits))
        self._start_daemon(name, node_settings, "node")
        return node_settings

    def start_module(self, name, module, **arguments):
        """Runs a module of this package with its arguments as a JSON object."""
        return self._start_process(
            name, [sys.executable, "-m", module,
                   json.dumps(arguments)])

    def start_entry_and_upstream(self):
        """Starts an entry node and a second node with a local upstream.

        Returns:
            The settings of the entry node and the address of the upstream.
        """
        self.start_control_group(1)
        entry_settings = self.start_node("entry")
        upstream_node_settings = self.start_node("beside")
        upstream_address = find_free_address()
        self.start_module("upstream",
                          "bench.upstream",
                          service="stock",
                          port=upstream_address.port,
                          node=[
                              upstream_node_settings.local.host,
                              upstream_node_settings.local.port
                          ])
        route = lists.Route(service="stock", path_prefix="/stock")
        self.apply(build_document(1, {"o": "p"}, {"p": build_plan([route])}))
        self.wait_for_upstreams(["entry", "beside"], 1)
        return entry_settings, upstream_address

    def apply(self, document, wait_s=20.0):
        """Applies lists and waits up to `wait_s` until every node has them."""
        return rpc.apply(self.control_addresses, FLEET_SECRET, document, wait_s)

    def wait_for_dump(self, name, is_ready, timeout_s=_START_TIMEOUT_S):
        """Waits until the dump of a process fulfils a condition; returns it."""
        address = self.settings_by_name[name].admin
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            dump = rpc.fetch_dump(address)
            if dump is not None and is_ready(dump):
                return dump
            time.sleep(0.1)
        raise RuntimeError(
            f"{name} did not become ready: {rpc.fetch_dump(address)}")

    def wait_for_upstreams(self, node_names, count):
        """Waits until each node has lists, rate owners and enough upstreams."""

        def is_ready(dump):
            usable = sum(
                not upstream["draining"] for upstream in dump["upstreams"])
            return (usable >= count and not dump["stale"] and
                    dump["revision"] > 0 and dump["rates"]["owners"])

        for name in node_names:
            self.wait_for_dump(name, is_ready)


def build_plan(routes, rate_per_s=1e6, burst=1e6, **fields):
    """Builds a plan whose default rate is too high to limit."""
    return lists.Plan(rate_per_s=rate_per_s,
                      burst=burst,
                      routes=routes,
                      **fields)


def build_document(version, plan_by_organisation, plans):
    """Builds both lists; the key of an organisation is "key-" plus its name."""
    return lists.Document(organisations=lists.Organisations(
        version=version,
        organisations={
            name:
                lists.Organisation(plan=plan_name,
                                   key_hashes=[keys.hash_key(f"key-{name}")])
            for name, plan_name in plan_by_organisation.items()
        }),
                          plans=lists.Plans(version=version, plans=plans))
