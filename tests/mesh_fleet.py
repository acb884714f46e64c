"""Runs a mesh in one process: control, nodes and fake upstreams."""

import asyncio
import hashlib
import random
import socket
import tempfile
import time

import msgspec

from apricothinge import settings
from apricothinge.mesh import control
from apricothinge.mesh import names
from apricothinge.mesh import node
from tests import fleet
from tests import mesh_builders

NAMES = names.HeaderNames()


def free_port():
    """Returns a port on which nothing listens."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class HandlerUpstream(fleet.ScriptedUpstream):
    """Fake upstream that answers 200 by default.

    Attributes:
        handler: Coroutine function of (head, content, writer) that answers a
            request and returns whether to keep the connection; None for the
            default answer.
        request_heads: Heads of the requests, as bytes.
        request_contents: Contents of the requests.
        aborted: Number of requests whose connection was closed by the client
            while `handler` ran.
    """

    def __init__(self):
        super().__init__()
        self.handler = None
        self.request_heads = []
        self.request_contents = []
        self.aborted = 0

    async def _serve_request(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        content = await _read_content(reader, head)
        self.request_heads.append(head)
        self.request_contents.append(content)
        if self.handler is None:
            writer.write(make_answer(head))
            await writer.drain()
            return True
        handling = asyncio.ensure_future(self.handler(head, content, writer))
        disconnected = asyncio.ensure_future(reader.read(1))
        await asyncio.wait((handling, disconnected),
                           return_when=asyncio.FIRST_COMPLETED)
        if not handling.done():
            self.aborted += 1
            handling.cancel()
            return False
        disconnected.cancel()
        await asyncio.wait((disconnected,))
        return handling.result()


async def _read_content(reader, head):
    lowered = head.lower()
    if b"transfer-encoding: chunked" in lowered:
        chunks = []
        while True:
            size = int((await reader.readuntil(b"\r\n")), 16)
            chunks.append(await reader.readexactly(size))
            await reader.readline()
            if not size:
                return b"".join(chunks)
    length = header_value(head, b"content-length")
    return await reader.readexactly(int(length or 0))


def header_value(head, name):
    """Returns the value of a header in a raw head, None if missing."""
    for line in head.split(b"\r\n")[1:]:
        line_name, _, value = line.partition(b":")
        if line_name.strip().lower() == name.lower():
            return value.strip()
    return None


def make_answer(head,
                content=b"done",
                status=b"200 OK",
                request_id=None,
                header_names=NAMES):
    """Builds a complete answer to a request, with the request's ID."""
    answer_id = request_id or header_value(head, header_names.request_id)
    return (b"HTTP/1.1 " + status + b"\r\n" + header_names.request_id + b": " +
            answer_id + b"\r\ncontent-length: %d\r\n\r\n" % len(content) +
            content)


class Mesh:
    """One control instance and some nodes, each with an upstream.

    Attributes:
        nodes: The mesh nodes.
        upstreams: Their upstreams, in the same order.
        control: The control instance.
    """

    def __init__(self):
        self.nodes = []
        self.upstreams = []
        self.control = None
        self._folder = tempfile.TemporaryDirectory()
        self._revision = 0
        self._settings = None

    async def start(self, services=("s", "s"), document=None, **node_settings):
        """Starts everything and waits until the nodes can call each other.

        Args:
            services: Service of each node; their failure domains alternate.
            document: The desired state; a default one if None.
            **node_settings: Settings of the nodes that are not defaults.
        """
        asyncio.get_running_loop().set_debug(False)
        port = free_port()
        self._settings = settings.MeshControl(instance="c0",
                                              failure_domain="a",
                                              link=f"127.0.0.1:{port}",
                                              operator="127.0.0.1:1",
                                              admin="127.0.0.1:0",
                                              data=self._folder.name,
                                              seeds=["127.0.0.1:1"],
                                              control_link_port=port,
                                              bootstrap=True)
        await self.start_control()
        for index, service in enumerate(services):
            await self._start_node(index, service, port, node_settings)
        await self.apply(document or mesh_builders.document())
        await self.wait_until(
            lambda: all(mesh_node.ready for mesh_node in self.nodes))
        await self.wait_until(
            lambda: all(
                self._is_connected(mesh_node) for mesh_node in self.nodes),
            30.0)

    def _is_connected(self, mesh_node):
        """Tells whether a node knows all others and can call those it chose."""
        known = mesh_node._peer_table.by_instance
        chosen = [peer for peer in known.values() if peer.chosen]
        router = mesh_node._router.by_instance
        # A node that starts uses its upstream once it has heard from control.
        all_usable = all(
            peer.row.upstream is not None and peer.row.upstream.usable
            for peer in known.values())
        return (all_usable and not mesh_node._peer_table._choice_due and
                len(known) == len(self.nodes) - 1 and
                len(router) == len(chosen) + 1 and
                (len(chosen) == len(known) or len(chosen) > 12) and
                not any(upstream.draining for upstream in router.values()))

    async def start_control(self):
        """Starts or restarts the control instance; waits until it leads."""
        self.control = control.MeshControl(self._settings,
                                           time.time_ns() // 1000)
        await self.control.start()
        await self.wait_until(lambda: self.control.group_member.is_leader)

    async def _start_node(self, index, service, control_port, node_settings):
        upstream = HandlerUpstream()
        await upstream.start()
        mesh_node = node.MeshNode(
            settings.MeshNode(instance=f"n{index}",
                              failure_domain="ab"[index % 2],
                              service=service,
                              upstream=f"127.0.0.1:{upstream.port}",
                              caller="127.0.0.1:0",
                              link="127.0.0.1:0",
                              check_in="127.0.0.1:0",
                              readiness="127.0.0.1:0",
                              admin="127.0.0.1:0",
                              seeds=["127.0.0.1:1"],
                              control_link_port=control_port,
                              grace_s=1.0,
                              **node_settings), NAMES, random.Random(index))
        await mesh_node.start()
        mesh_node.upstream.check_in(
            mesh_builders.check_in(f"u{index}", service=service))
        self.nodes.append(mesh_node)
        self.upstreams.append(upstream)

    async def restart_node(self, index):
        """Replaces the process of a node by a new one at its addresses."""
        await self.nodes[index].stop()
        await self._start_successor(index)

    async def restart_all(self):
        """Replaces all processes at once; only the disk of control is kept."""
        await asyncio.gather(*(mesh_node.stop() for mesh_node in self.nodes))
        await self.control.stop()
        for index in range(len(self.nodes)):
            await self._start_successor(index)
        await self.start_control()
        await self.wait_until(
            lambda: all(mesh_node.ready for mesh_node in self.nodes))

    async def _start_successor(self, index):
        """Starts a node after its end; its upstream checks in at once."""
        old = self.nodes[index]
        restarted = node.MeshNode(
            msgspec.structs.replace(old._settings,
                                    caller=str(old.caller),
                                    link=str(old.link)), NAMES,
            random.Random(100 + index))
        await restarted.start()
        restarted.upstream.check_in(
            mesh_builders.check_in(f"u{index}",
                                   sequence=9,
                                   service=restarted.state.service))
        self.nodes[index] = restarted

    async def apply(self, document, base=None):
        """Applies a desired state and waits until all nodes have it."""
        text = b"version %d" % document.version
        await self.control.replace(
            hashlib.sha256(text + repr(document).encode()).digest(),
            self.control.state_machine.version if base is None else base,
            document, text)
        self._revision = self.control.state_machine.revision
        await self.wait_until(
            lambda: all(mesh_node.state.revision >= self._revision
                        for mesh_node in self.nodes))

    @staticmethod
    async def wait_until(condition, timeout_s=10.0):
        """Waits until a condition holds."""
        for _ in range(int(timeout_s / 0.01)):
            if condition():
                return
            await asyncio.sleep(0.01)
        raise AssertionError("the condition did not hold in time")

    async def stop(self):
        """Stops everything."""
        await asyncio.gather(*(mesh_node.stop() for mesh_node in self.nodes))
        await self.control.stop()
        for upstream in self.upstreams:
            upstream.stop()
        self._folder.cleanup()

    async def connect(self, index=0):
        """Opens a connection to the caller port of a node."""
        address = self.nodes[index].caller
        return await asyncio.open_connection(address.host, address.port)

    async def send_request(self, index=0, path="/a/1", **fields):
        """Sends a request; returns status, head and content of the answer."""
        reader, writer = await self.connect(index)
        try:
            writer.write(make_request(path, **fields))
            return await read_answer(reader)
        finally:
            writer.close()


def make_request(path="/a/1",
                 method="GET",
                 content=b"",
                 request_id=b"q1",
                 headers=(),
                 deadline_ms=3000,
                 header_names=NAMES):
    """Builds a request of a caller."""
    lines = [
        b"%s %s HTTP/1.1" % (method.encode(), path.encode()), b"Host: h",
        header_names.request_id + b": " + request_id,
        header_names.deadline_ms + b": %d" % deadline_ms
    ]
    lines += [name + b": " + value for name, value in headers]
    if content:
        lines.append(b"Content-Length: %d" % len(content))
    return b"\r\n".join(lines) + b"\r\n\r\n" + content


async def read_answer(reader):
    """Reads one answer; raises IncompleteReadError if it is truncated."""
    head = await reader.readuntil(b"\r\n\r\n")
    content = await _read_content(reader, head)
    return int(head.split()[1]), head, content
