"""A mesh in one process: control, nodes and scripted upstreams."""

import asyncio
import hashlib
import random
import socket
import tempfile
import time

from apricothinge import settings
from apricothinge.mesh import control
from apricothinge.mesh import names
from apricothinge.mesh import node
from tests import fleet
from tests import mesh_builders

NAMES = names.HeaderNames()


def free_port():
    """A port that nobody listens on."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Upstream(fleet.ScriptedUpstream):
    """Answers with the request's id, unless a behaviour says otherwise.

    Attributes:
        behave: Coroutine function of (head, content, writer), which returns
            whether the connection is kept; None for plain answers.
        heads: Heads of the requests, as bytes.
        contents: Their contents.
        cut: Requests whose connection ended while `behave` ran.
    """

    def __init__(self):
        super().__init__()
        self.behave = None
        self.heads = []
        self.contents = []
        self.cut = 0

    async def _serve_request(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        content = await _content(reader, head)
        self.heads.append(head)
        self.contents.append(content)
        if self.behave is None:
            writer.write(answer(head))
            await writer.drain()
            return True
        running = asyncio.ensure_future(self.behave(head, content, writer))
        ended = asyncio.ensure_future(reader.read(1))
        await asyncio.wait((running, ended),
                           return_when=asyncio.FIRST_COMPLETED)
        if not running.done():
            self.cut += 1
            running.cancel()
            return False
        ended.cancel()
        await asyncio.wait((ended,))
        return running.result()


async def _content(reader, head):
    lowered = head.lower()
    if b"transfer-encoding: chunked" in lowered:
        parts = []
        while True:
            size = int(await reader.readline(), 16)
            parts.append(await reader.readexactly(size))
            await reader.readline()
            if not size:
                return b"".join(parts)
    length = field(head, b"content-length")
    return await reader.readexactly(int(length or 0))


def field(head, name):
    """Value of a header in a raw head, None where it is missing."""
    for line in head.split(b"\r\n")[1:]:
        found, _, value = line.partition(b":")
        if found.strip().lower() == name.lower():
            return value.strip()
    return None


def answer(head, content=b"done", status=b"200 OK", request_id=None):
    """A whole answer to a request."""
    found = request_id or field(head, NAMES.request_id)
    return (b"HTTP/1.1 " + status + b"\r\n" + NAMES.request_id + b": " + found +
            b"\r\ncontent-length: %d\r\n\r\n" % len(content) + content)


class Mesh:
    """One control instance and some nodes, each with an upstream."""

    def __init__(self):
        self.nodes = []
        self.upstreams = []
        self.control = None
        self.folder = tempfile.TemporaryDirectory()
        self.revision = 0
        self._settings = None

    async def start(self, services=("s", "s"), document=None):
        """Starts everything, with a desired state in force."""
        asyncio.get_running_loop().set_debug(False)
        port = free_port()
        self._settings = settings.MeshControl(instance="c0",
                                              failure_domain="a",
                                              link=f"127.0.0.1:{port}",
                                              operator="127.0.0.1:1",
                                              admin="127.0.0.1:0",
                                              data=self.folder.name,
                                              seeds=["127.0.0.1:1"],
                                              control_link_port=port,
                                              bootstrap=True)
        await self.start_control()
        for place, service in enumerate(services):
            await self._start_node(place, service, port)
        await self.apply(document or mesh_builders.document())
        await self.until(lambda: all(row.ready for row in self.nodes))
        await self.until(lambda: all(
            len(row._router.by_instance) == len(self.nodes) and
            not any(found.draining for found in row._router.by_instance.values(
            )) for row in self.nodes))

    async def start_control(self):
        """Starts the control instance, also a second time."""
        self.control = control.MeshControl(self._settings,
                                           time.time_ns() // 1000)
        await self.control.start()
        await self.until(lambda: self.control.group.is_leader)

    async def _start_node(self, place, service, control_port):
        running = Upstream()
        await running.start()
        made = node.MeshNode(
            settings.MeshNode(instance=f"n{place}",
                              failure_domain="ab"[place % 2],
                              service=service,
                              upstream=f"127.0.0.1:{running.port}",
                              caller="127.0.0.1:0",
                              link="127.0.0.1:0",
                              check_in="127.0.0.1:0",
                              readiness="127.0.0.1:0",
                              admin="127.0.0.1:0",
                              seeds=["127.0.0.1:1"],
                              control_link_port=control_port,
                              grace_s=1.0), NAMES, random.Random(place))
        await made.start()
        made.upstream.check_in(
            mesh_builders.check_in(f"u{place}", service=service))
        self.nodes.append(made)
        self.upstreams.append(running)

    async def apply(self, document, base=None):
        """Puts a desired state in force."""
        text = b"version %d" % document.version
        await self.control.replace(
            hashlib.sha256(text + repr(document).encode()).digest(),
            self.control.machine.version if base is None else base, document,
            text)
        self.revision = self.control.machine.revision
        await self.until(lambda: all(
            row.state.revision >= self.revision for row in self.nodes))

    @staticmethod
    async def until(holds, within_s=10.0):
        """Waits for something to hold."""
        for _ in range(int(within_s / 0.01)):
            if holds():
                return
            await asyncio.sleep(0.01)
        raise AssertionError("it did not come to hold")

    async def stop(self):
        """Ends everything."""
        await asyncio.gather(*(row.stop() for row in self.nodes))
        await self.control.stop()
        for row in self.upstreams:
            row.stop()
        self.folder.cleanup()

    async def connect(self, place=0):
        """Opens a caller's connection to a node."""
        address = self.nodes[place].caller
        return await asyncio.open_connection(address.host, address.port)

    async def ask(self, place=0, path="/a/1", **more):
        """Sends one request; returns status, head and content."""
        reader, writer = await self.connect(place)
        try:
            writer.write(request(path, **more))
            return await read_answer(reader)
        finally:
            writer.close()


def request(path="/a/1",
            method="GET",
            content=b"",
            request_id=b"q1",
            headers=(),
            left_ms=3000):
    """A caller's request."""
    lines = [
        b"%s %s HTTP/1.1" % (method.encode(), path.encode()), b"Host: h",
        NAMES.request_id + b": " + request_id,
        NAMES.deadline_ms + b": %d" % left_ms
    ]
    lines += [name + b": " + value for name, value in headers]
    if content:
        lines.append(b"Content-Length: %d" % len(content))
    return b"\r\n".join(lines) + b"\r\n\r\n" + content


async def read_answer(reader):
    """Reads one answer; raises IncompleteReadError where it is cut."""
    head = await reader.readuntil(b"\r\n\r\n")
    content = await _content(reader, head)
    return int(head.split()[1]), head, content
