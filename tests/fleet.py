"""A few nodes in one process, with upstreams that follow a script."""

import asyncio

from apricothinge import lists
from apricothinge.node import process
from apricothinge.overload import claims
from apricothinge.overload import routing
from apricothinge.rates import limiter
from tests import builders

KEY = "k1-a-key-that-nobody-may-see"


class ScriptedUpstream:
    """Reads a request and does what its script says.

    Attributes:
        script: What happens, by name; see `_play`.
        runs: Requests that were read to their end.
        received: All bytes that arrived.
    """

    def __init__(self, script="answer"):
        self.script = script
        self.runs = 0
        self.received = b""
        self.port = 0
        self._server = None
        self._open = set()

    async def start(self, port=0):
        """Listens; returns the port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1",
                                                  port)
        self.port = self._server.sockets[0].getsockname()[1]
        return self.port

    def stop(self):
        """Ends like a killed process."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._open):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._open.add(writer)
        try:
            while await self._one(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            self._open.discard(writer)
            writer.transport.abort()

    async def _one(self, reader, writer):
        if self.script == "reset_before_request":
            return False
        head = await reader.readuntil(b"\r\n\r\n")
        self.received += head
        if self.script == "reset_in_request":
            return False
        length = 0
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                length = int(line.split(b":")[1])
        self.received += await reader.readexactly(length)
        self.runs += 1
        return await self._play(writer)

    async def _play(self, writer):
        whole = (b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n0123456789")
        if self.script == "answer":
            writer.write(whole)
            return True
        if self.script == "reset_after_request":
            return False
        if self.script == "stall":
            await asyncio.sleep(60)
            return False
        parts = {
            "reset_in_head": whole[:12],
            "reset_in_content": whole[:-4],
            "close_without_length": b"HTTP/1.1 200 OK\r\n\r\n0123",
            "not_http": b"what?\r\n\r\n",
            "error": whole.replace(b"200 OK", b"500 No"),
            "twice": whole + whole,
        }
        writer.write(parts[self.script])
        await writer.drain()
        if self.script in ("error", "twice"):
            return True
        if self.script.startswith("close"):
            writer.close()
            await asyncio.sleep(0.05)
        return False


class Fleet:
    """Nodes that know each other without control."""

    def __init__(self):
        self.nodes = []
        self.upstreams = []

    async def start(self, count=2, *, document=None, domains=None, **limits):
        """Starts nodes with the lists in force."""
        loop = asyncio.get_running_loop()
        # The debug mode of the test case slows the nodes down a lot.
        loop.set_debug(False)
        document = document or builders.document(
            organisations={"o": ("p", [KEY])})
        for place in range(count):
            node = process.Node(builders.node_settings(f"n{place}",
                                                       (domains or
                                                        "aaaa")[place],
                                                       **limits),
                                node_gate=limiter.LocalRateLimiter(),
                                node_claims=claims.LocalClaimStore(loop.time))
            await node.start()
            node.state.install(loop.time(), lists.CompiledLists(1, document))
            node.state.confirmed_at = loop.time() + 1e9
            self.nodes.append(node)
        shared = self.nodes[0].state.claims
        for node in self.nodes:
            node.state.claims = shared
        return self

    async def attach(self, place, script="answer", service="stock"):
        """Puts an upstream beside a node and tells all nodes of it."""
        upstream = ScriptedUpstream(script)
        port = await upstream.start()
        self.upstreams.append(upstream)
        node = self.nodes[place]
        local = node.state.local
        local.service, local.up = service, True
        local.address = type(local.address)("127.0.0.1", port)
        now = asyncio.get_running_loop().time()
        for other in self.nodes:
            other.state.router.upsert(
                routing.Upstream(node.state.settings.instance, service,
                                 node.state.settings.failure_domain, "default",
                                 node.peer, False, 1, now))
        return upstream

    async def stop(self):
        """Ends everything at once."""
        for upstream in self.upstreams:
            upstream.stop()
        for node in self.nodes:
            node.abort()
        await asyncio.sleep(0)


class Reply:
    """An answer as a caller reads it."""

    def __init__(self, raw):
        self.raw = raw
        self.head, _, self.content = raw.partition(b"\r\n\r\n")
        line = self.head.split(b" ", 2)
        self.status = int(line[1]) if len(line) > 1 else 0
        self.headers = {}
        for row in self.head.split(b"\r\n")[1:]:
            name, _, value = row.partition(b":")
            self.headers[name.strip().lower().decode()] = value.strip().decode()

    @property
    def whole(self):
        """Whether the content is as long as the head says."""
        length = self.headers.get("content-length")
        return length is not None and int(length) == len(self.content)

    @property
    def error(self):
        """The error code, or None."""
        return self.headers.get("apricothinge-error")

    @property
    def not_run(self):
        """Whether the answer says that nothing ran."""
        return self.headers.get("apricothinge-not-run") == "true"


async def send(address, data, *, end=False):
    """Sends bytes and reads until the other side closes."""
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(data)
    if end:
        writer.write_eof()
    try:
        raw = await reader.read()
    except ConnectionError:
        raw = b""
    writer.close()
    return Reply(raw)


def request(method="GET",
            target="/stock/1",
            content=b"",
            version="1.1",
            headers=()):
    """A request that asks for the connection to be closed after it."""
    lines = [
        f"{method} {target} HTTP/{version}", "Host: h", f"X-Api-Key: {KEY}",
        "Connection: close"
    ]
    lines += headers
    if method == "POST":
        lines.append(f"Content-Length: {len(content)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + content
