"""Processor time of mesh nodes for each call, as whole processes."""

import asyncio
import json
import os
import pathlib
import statistics
import subprocess
import sys
import tempfile

from bench import fleet

_CALLS = 2000
_ROUNDS = 7
# As at one node of a large fleet, few calls arrive in one turn of the loop.
_CONNECTIONS = 4
_RESPONSE_BYTES = 5000
_HOST = "mesh.example"
_KEY = "key-of-o"
_START_TIMEOUT_S = 20.0
# The leader of control has handed out tokens by then.
_SETTLING_S = 2.0
_CHECK_IN_INTERVAL_S = 1.0
_COMMAND = "from apricothinge.platform import process; process.main()"


def run(options):
    """Measures calls that pass an entry node and a node beside the upstream.

    Returns:
        Milliseconds of processor time a call at both nodes, as the median of
        some rounds, and milliseconds a second while idle.
    """
    del options
    return asyncio.run(_measure())


class _Upstream(asyncio.Protocol):
    """Answers each request at once, with its identifier."""

    def __init__(self):
        self._transport = None
        self._buffer = b""

    def connection_made(self, transport):
        self._transport = transport

    def data_received(self, data):
        self._buffer += data
        while b"\r\n\r\n" in self._buffer:
            head, _, self._buffer = self._buffer.partition(b"\r\n\r\n")
            request_id = next((line.partition(b":")[2].strip()
                               for line in head.split(b"\r\n")
                               if line.lower().startswith(b"attempt-id:")), b"")
            self._transport.write(b"HTTP/1.1 200 OK\r\nAttempt-Id: " +
                                  request_id +
                                  b"\r\nContent-Length: %d\r\n\r\n" %
                                  _RESPONSE_BYTES + b"x" * _RESPONSE_BYTES)


def _settings(folder, role, name, **fields):
    path = pathlib.Path(folder) / f"{name}.json"
    path.write_text(json.dumps({"role": role, role: fields}), encoding="utf-8")
    return path


def _start(folder, path):
    environment = dict(os.environ, APRICOTHINGE_NODE_FILE=str(path))
    with open(pathlib.Path(folder) / f"{path.stem}.log", "ab") as output:
        return subprocess.Popen(  # pylint: disable=consider-using-with
            [sys.executable, "-c", _COMMAND],
            env=environment,
            stdout=output,
            stderr=output)


def _cpu_s(process):
    fields = pathlib.Path(f"/proc/{process.pid}/stat").read_text(
        encoding="ascii").rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def _post(address, path, body, headers=()):
    reader, writer = await asyncio.open_connection(address.host, address.port)
    lines = [
        f"POST {path} HTTP/1.1", f"Host: {address}",
        f"Content-Length: {len(body)}", *headers
    ]
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
    status = int((await reader.readline()).split()[1])
    writer.close()
    return status


def _document():
    return json.dumps({
        "version": "r1",
        "routes": {
            "columns": [
                "name", "hostname", "pathPrefix", "routeType", "timeoutS",
                "sloLatencyS", "priority", "maxAttempts", "service"
            ],
            "rows": [["r", _HOST, "/a/", "idempotent", 5, 1, 1, 2, "s"]]
        },
        "services": {
            "columns": ["name", "maxConns"],
            "rows": [["s", 200], ["t", 200]]
        },
        "tenants": {
            "columns": ["name", "apiKeys", "priority", "ratePerS", "burst"],
            "rows": [["o", [_KEY], 1, 100000, 100000]]
        }
    }).encode()


async def _until_ready(attempt):
    """Repeats a coroutine function until it returns True."""
    for _ in range(int(_START_TIMEOUT_S / 0.1)):
        try:
            if await attempt():
                return
        except (OSError, IndexError, asyncio.IncompleteReadError):
            pass
        await asyncio.sleep(0.1)
    raise TimeoutError("the mesh was not ready in time")


class _Client:
    """Sends requests on kept connections, one at a time on each."""

    def __init__(self, address):
        self._address = address
        self._sent = 0

    async def send(self, count):
        """Sends requests until `count` have been answered with 200."""
        self._sent = 0
        await asyncio.gather(
            *(self._send_on_connection(count) for _ in range(_CONNECTIONS)))

    async def _send_on_connection(self, count):
        reader, writer = await asyncio.open_connection(self._address.host,
                                                       self._address.port)
        try:
            while self._sent < count:
                self._sent += 1
                writer.write((f"GET /a/{self._sent} HTTP/1.1\r\nHost: {_HOST}"
                              f"\r\nAttempt-Id: {self._sent:016x}\r\n"
                              f"Deadline-Ms: 5000\r\nCredential: {_KEY}\r\n"
                              "\r\n").encode())
                head = await reader.readuntil(b"\r\n\r\n")
                if not head.startswith(b"HTTP/1.1 200"):
                    raise ConnectionError(head.decode())
                await reader.readexactly(_RESPONSE_BYTES)
        finally:
            writer.close()


async def _check_in(addresses):
    """Sends the check-ins of the upstreams until cancelled."""
    sequence = 0
    while True:
        sequence += 1
        for service, address in addresses.items():
            body = json.dumps({
                "service": service,
                "slots": 64,
                "state": "ready",
                "seq": sequence,
                "born": 1000
            }).encode()
            try:
                await _post(address, f"/v1/Instances.Heartbeat/i-{service}",
                            body)
            except OSError:
                pass  # The node has not started yet.
        await asyncio.sleep(_CHECK_IN_INTERVAL_S)


async def _measure():
    loop = asyncio.get_running_loop()
    upstream = fleet.find_free_address()
    server = await loop.create_server(_Upstream, upstream.host, upstream.port)
    operator = fleet.find_free_address()
    control_link = fleet.find_free_address()
    shared = {
        "failure_domain": "a",
        "seeds": [str(operator)],
        "control_link_port": control_link.port
    }
    processes = {}
    check_in_by_service = {}
    caller = None
    with tempfile.TemporaryDirectory() as folder:
        try:
            processes["control"] = _start(
                folder,
                _settings(folder,
                          "mesh_control",
                          "control",
                          instance="c",
                          link=str(control_link),
                          operator=str(operator),
                          admin=str(fleet.find_free_address()),
                          data=f"{folder}/data",
                          bootstrap=True,
                          **shared))
            for service, name in (("t", "entry"), ("s", "serving")):
                check_in_by_service[service] = fleet.find_free_address()
                caller = caller or fleet.find_free_address()
                processes[name] = _start(
                    folder,
                    _settings(
                        folder,
                        "mesh_node",
                        name,
                        instance=name,
                        service=service,
                        upstream=str(upstream),
                        caller=str(caller if name ==
                                   "entry" else fleet.find_free_address()),
                        link=str(fleet.find_free_address()),
                        check_in=str(check_in_by_service[service]),
                        readiness=str(fleet.find_free_address()),
                        admin=str(fleet.find_free_address()),
                        **shared))
            checking_in = asyncio.ensure_future(_check_in(check_in_by_service))

            async def put_document():
                return await _post(operator, "/v1/Config.Replace", _document(),
                                   ("Base-Version: 0",)) == 200

            async def send_one():
                await _Client(caller).send(1)
                return True

            await _until_ready(put_document)
            await _until_ready(send_one)
            await asyncio.sleep(_SETTLING_S)
            figures = await _measure_nodes(_Client(caller), processes)
            checking_in.cancel()
            return figures
        finally:
            server.close()
            for process in processes.values():
                process.kill()
                process.wait()


async def _measure_nodes(client, processes):
    nodes = ("entry", "serving")
    await client.send(_CALLS // 4)
    cost_ms_by_node = {name: [] for name in nodes}
    for _ in range(_ROUNDS):
        before_s = {name: _cpu_s(processes[name]) for name in nodes}
        await client.send(_CALLS)
        for name in nodes:
            cost_ms_by_node[name].append(
                (_cpu_s(processes[name]) - before_s[name]) / _CALLS * 1000)
    before_s = {name: _cpu_s(processes[name]) for name in nodes}
    await asyncio.sleep(4.0)
    figures = {}
    for name in nodes:
        figures[f"{name}_ms_a_call"] = round(
            statistics.median(cost_ms_by_node[name]), 4)
        figures[f"{name}_ms_a_call_least"] = round(min(cost_ms_by_node[name]),
                                                   4)
        figures[f"{name}_idle_ms_a_second"] = round(
            (_cpu_s(processes[name]) - before_s[name]) / 4.0 * 1000, 2)
    return figures
