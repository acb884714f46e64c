"""A fleet of nodes in one process, with scripted upstreams."""

import asyncio

from apricothinge import lists
from apricothinge.node import process
from apricothinge.overload import claims
from apricothinge.overload import routing
from apricothinge.rates import limiter
from tests import builders

KEY = "k1-a-key-that-nobody-may-see"


class ScriptedUpstream:
    """Upstream that responds, or fails, as its script says.

    Attributes:
        script: Name of its behaviour; see `_serve_request` and `_respond`.
        runs: Number of requests that were received in full.
        received: All bytes received.
    """

    def __init__(self, script="answer"):
        self.script = script
        self.runs = 0
        self.received = b""
        self.port = 0
        self._server = None
        self._open_writers = set()

    async def start(self, port=0):
        """Starts to listen and returns the port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1",
                                                  port)
        self.port = self._server.sockets[0].getsockname()[1]
        return self.port

    def stop(self):
        """Closes all connections abruptly, like a killed process."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._open_writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._open_writers.add(writer)
        try:
            while await self._serve_request(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            self._open_writers.discard(writer)
            writer.transport.abort()

    async def _serve_request(self, reader, writer):
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
        return await self._respond(writer)

    async def _respond(self, writer):
        response = (b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n0123456789")
        if self.script == "answer":
            writer.write(response)
            return True
        if self.script == "reset_after_request":
            return False
        if self.script == "stall":
            await asyncio.sleep(60)
            return False
        responses = {
            "reset_in_head": response[:12],
            "reset_in_content": response[:-4],
            "close_without_length": b"HTTP/1.1 200 OK\r\n\r\n0123",
            "not_http": b"what?\r\n\r\n",
            "error": response.replace(b"200 OK", b"500 No"),
            "twice": response + response,
        }
        writer.write(responses[self.script])
        await writer.drain()
        if self.script in ("error", "twice"):
            return True
        if self.script.startswith("close"):
            writer.close()
            await asyncio.sleep(0.05)
        return False


class Fleet:
    """Nodes that know each other without a control group."""

    def __init__(self):
        self.nodes = []
        self.upstreams = []

    async def start(self,
                    count=2,
                    *,
                    document=None,
                    failure_domains=None,
                    **limits):
        """Starts nodes that have a document in force."""
        loop = asyncio.get_running_loop()
        # Debug mode, which the test case enables, slows the nodes down a lot.
        loop.set_debug(False)
        document = document or builders.document(
            organisations={"o": ("p", [KEY])})
        for index in range(count):
            node = process.Node(builders.node_settings(f"n{index}",
                                                       (failure_domains or
                                                        "aaaa")[index],
                                                       **limits),
                                rate_limiter=limiter.LocalRateLimiter(),
                                claim_store=claims.LocalClaimStore(loop.time))
            await node.start()
            node.state.install(loop.time(), lists.CompiledLists(1, document))
            node.state.confirmed_at = loop.time() + 1e9
            self.nodes.append(node)
        claim_store = self.nodes[0].state.claim_store
        for node in self.nodes:
            node.state.claim_store = claim_store
        return self

    async def attach(self, index, script="answer", service="stock"):
        """Starts an upstream beside a node and adds it to all routers."""
        upstream = ScriptedUpstream(script)
        port = await upstream.start()
        self.upstreams.append(upstream)
        node = self.nodes[index]
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
        """Stops all upstreams and nodes immediately."""
        for upstream in self.upstreams:
            upstream.stop()
        for node in self.nodes:
            node.abort()
        await asyncio.sleep(0)


class Reply:
    """A response as parsed by a caller."""

    def __init__(self, raw):
        self.raw = raw
        self.head, _, self.content = raw.partition(b"\r\n\r\n")
        status_line = self.head.split(b" ", 2)
        self.status = int(status_line[1]) if len(status_line) > 1 else 0
        self.headers = {}
        for line in self.head.split(b"\r\n")[1:]:
            name, _, value = line.partition(b":")
            self.headers[name.strip().lower().decode()] = value.strip().decode()

    @property
    def complete(self):
        """Whether the content has the declared length."""
        length = self.headers.get("content-length")
        return length is not None and int(length) == len(self.content)

    @property
    def error(self):
        """The error code of the node, or None."""
        return self.headers.get("apricothinge-error")

    @property
    def not_run(self):
        """Whether the response says that the request did not run."""
        return self.headers.get("apricothinge-not-run") == "true"


async def send(address, data, *, half_close=False):
    """Sends bytes and reads the response until the connection closes."""
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(data)
    if half_close:
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
    """Returns a request with an API key and `Connection: close`."""
    lines = [
        f"{method} {target} HTTP/{version}", "Host: h", f"X-Api-Key: {KEY}",
        "Connection: close"
    ]
    lines += headers
    if method == "POST":
        lines.append(f"Content-Length: {len(content)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + content
