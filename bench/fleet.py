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
    """Returns an address on loopback that nobody listens on."""
    for port in _candidate_ports:
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            with contextlib.suppress(OSError):
                probe.bind((_LOOPBACK, port))
                return settings.Address(_LOOPBACK, port)
    raise RuntimeError("no free port")


class Process:
    """One started process."""

    def __init__(self, arguments, log_path):
        self.arguments = arguments
        self.log_path = log_path
        self.popen = None
        self.start()

    def start(self):
        """Starts it, also again after it was killed."""
        with open(self.log_path, "ab") as output:
            self.popen = subprocess.Popen(  # pylint: disable=consider-using-with
                self.arguments,
                stdout=output,
                stderr=output)

    def cpu_s(self):
        """Processor time in seconds since the start."""
        fields = pathlib.Path(f"/proc/{self.popen.pid}/stat").read_text(
            encoding="ascii").rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S

    def rss_mb(self):
        """Resident memory in MiB."""
        pages = pathlib.Path(f"/proc/{self.popen.pid}/statm").read_text(
            encoding="ascii").split()[1]
        return int(pages) * _PAGE_BYTES / 2**20

    def kill(self):
        """Ends it like a power failure would."""
        self.popen.kill()
        self.popen.wait()

    def signal(self, signal_number):
        """Sends a signal."""
        self.popen.send_signal(signal_number)

    def stop(self):
        """Asks it to stop, twice if it takes long."""
        if self.popen.poll() is not None:
            return
        self.popen.send_signal(signal.SIGCONT)
        self.popen.terminate()
        try:
            self.popen.wait(1.0)
        except subprocess.TimeoutExpired:
            self.kill()


class Fleet:
    """All processes of one measurement, ended with it."""

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
        """Starts a module of this package with its arguments as JSON."""
        return self._start_process(
            name, [sys.executable, "-m", module,
                   json.dumps(arguments)])

    def start_entry_and_upstream(self):
        """Starts an entry node and a node with an upstream beside it.

        Returns:
            The settings of the entry node, and the upstream's address.
        """
        self.start_control_group(1)
        entry_settings = self.start_node("entry")
        upstream_node = self.start_node("beside")
        upstream_address = find_free_address()
        self.start_module(
            "upstream",
            "bench.upstream",
            service="stock",
            port=upstream_address.port,
            node=[upstream_node.local.host, upstream_node.local.port])
        route = lists.Route(service="stock", path_prefix="/stock")
        self.apply(build_document(1, {"o": "p"}, {"p": build_plan([route])}))
        self.wait_for_upstreams(["entry", "beside"], 1)
        return entry_settings, upstream_address

    def apply(self, document, wait_s=20.0):
        """Puts lists in force and waits until every node has them."""
        return rpc.apply(self.control_addresses, FLEET_SECRET, document, wait_s)

    def wait_for_dump(self, name, is_ready, timeout_s=_START_TIMEOUT_S):
        """Waits until the dump of a process passes a check."""
        address = self.settings_by_name[name].admin
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            dump = rpc.fetch_dump(address)
            if dump is not None and is_ready(dump):
                return dump
            time.sleep(0.1)
        raise RuntimeError(
            f"{name} did not get ready: {rpc.fetch_dump(address)}")

    def wait_for_upstreams(self, node_names, count):
        """Waits until nodes know upstreams, lists and owners of rates."""

        def is_ready(dump):
            usable = sum(
                not upstream["draining"] for upstream in dump["upstreams"])
            return (usable >= count and not dump["stale"] and
                    dump["revision"] > 0 and dump["rates"]["owners"])

        for name in node_names:
            self.wait_for_dump(name, is_ready)


def build_plan(routes, rate_per_s=1e6, burst=1e6, **fields):
    """A plan for measurements."""
    return lists.Plan(rate_per_s=rate_per_s,
                      burst=burst,
                      routes=routes,
                      **fields)


def build_document(version, plan_by_organisation, plans):
    """Both lists; each organisation has the key "key-" and its name."""
    return lists.Document(organisations=lists.Organisations(
        version=version,
        organisations={
            name:
                lists.Organisation(plan=plan_name,
                                   key_hashes=[keys.hash_key(f"key-{name}")])
            for name, plan_name in plan_by_organisation.items()
        }),
                          plans=lists.Plans(version=version, plans=plans))
