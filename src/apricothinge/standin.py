"""Stand-in upstream for the demo, tests and benchmarks.

It runs a limited number of requests concurrently, slows down under overload
and while it warms up, announces itself to its node, and makes nested calls on
request.
"""

import asyncio
import json
from typing import Final
import urllib.parse

from apricothinge import settings
from apricothinge.web import client
from apricothinge.web import messages
from apricothinge.web import server

__all__ = ["Behaviour", "STATS", "StandIn"]

_OVERLOAD_SLOWDOWN: Final = 0.5
_COLD_SLOWDOWN: Final = 2.0
_ANNOUNCE_INTERVAL_S: Final = 1.0

STATS: Final = "/standin/stats"


class Behaviour:
    """Behaviour of a stand-in upstream.

    Attributes:
        service: Name of the service that it provides.
        slots: Number of calls that it runs concurrently.
        work_s: Seconds of work for each call.
        cold_s: Seconds of warm-up after its start, during which it is slow.
        nested: Chain of services that each call calls.
        slowness: Factor applied to `work_s`; can be changed at runtime.
        response_bytes: Minimum size of a response in bytes.
    """

    __slots__ = ("service", "slots", "work_s", "cold_s", "nested", "slowness",
                 "response_bytes")

    def __init__(self,
                 service: str,
                 *,
                 slots: int = 100,
                 work_s: float = 0.0,
                 cold_s: float = 0.0,
                 nested: tuple[str, ...] = (),
                 response_bytes: int = 0) -> None:
        self.service = service
        self.slots = slots
        self.work_s = work_s
        self.cold_s = cold_s
        self.nested = nested
        self.slowness = 1.0
        self.response_bytes = response_bytes


class StandIn(server.Handler):
    """A stand-in upstream instance.

    Attributes:
        behaviour: How it behaves.
        runs: Number of executions by request, which is named by its query
            parameter "r", else its content, else its target.
        worked_s: Seconds of work by request.
        seen_headers: Headers of the last request received.
        on_crash: Called if a request has "crash" in its query.
        port: Port that it listens on, once started.
    """

    __slots__ = ("behaviour", "runs", "worked_s", "seen_headers", "on_crash",
                 "_slots", "_waiting", "_server", "_pool", "_node",
                 "_started_at", "_announcer", "port")

    def __init__(self, behaviour: Behaviour,
                 node: settings.Address | None) -> None:
        self.behaviour = behaviour
        self.runs: dict[str, int] = {}
        self.seen_headers: messages.Headers = []
        self.worked_s: dict[str, float] = {}
        self.on_crash = self.kill
        self.port = 0
        self._slots = asyncio.Semaphore(behaviour.slots)
        self._waiting = 0
        self._node = node
        self._pool = client.ConnectionPool(1 << 20)
        self._server = server.Server(self, settings.Limits(connections=10000))
        self._started_at = 0.0
        self._announcer: asyncio.Task[None] | None = None

    async def start(self, port: int = 0) -> int:
        """Listens on the loopback address; returns the port."""
        bound = await self._server.start(settings.Address("127.0.0.1", port))
        self.port = bound.port
        self._started_at = asyncio.get_running_loop().time()
        if self._node is not None:
            self._announcer = asyncio.ensure_future(self._announce())
        return self.port

    async def _announce(self) -> None:
        content = json.dumps({
            "service": self.behaviour.service,
            "port": self.port
        }).encode()
        while True:
            await self._notify_node("/apricothinge/announce", content)
            await asyncio.sleep(_ANNOUNCE_INTERVAL_S)

    async def _notify_node(self, path: str, content: bytes) -> None:
        assert self._node is not None
        body = messages.Body(len(content), None, content)
        try:
            await self._pool.exchange(self._node, "POST", path, [], body)
        except (client.RequestNotSent, client.ExchangeFailed):
            # The node may not have started yet.
            return

    async def drain(self) -> None:
        """Tells the node that it accepts no new requests."""
        if self._announcer is not None:
            self._announcer.cancel()
        await self._notify_node("/apricothinge/drain", b"")

    def kill(self) -> None:
        """Simulates a crash by closing every connection at once."""
        if self._announcer is not None:
            self._announcer.cancel()
        self._server.abort()
        self._pool.close()

    async def handle(self, request: messages.Request) -> messages.Response:
        received = 0
        content = b""
        async for chunk in request.body.chunks():
            received += len(chunk)
            content = content or chunk[:256]
        self.seen_headers = request.headers
        query = dict(urllib.parse.parse_qsl(request.target.partition("?")[2]))
        if request.path == STATS:
            return self._stats(query)
        request_name = (query.get("r") or content.decode("latin-1") or
                        request.target)
        self.runs[request_name] = self.runs.get(request_name, 0) + 1
        if "crash" in query:
            self.on_crash()
        await self._work(request_name, float(query.get("work_ms", "0")) / 1000)
        status, text = await self._call_nested(request, query)
        size = int(query.get("bytes", self.behaviour.response_bytes))
        response_content = {
            "service": self.behaviour.service,
            "target": request.target,
            "received": received,
            "nested": text,
        }
        data = json.dumps(response_content).encode() + b"\n"
        data += b"x" * max(0, size - len(data))
        return messages.Response(status,
                                 [(b"content-type", b"application/json")], data)

    def _stats(self, query: dict[str, str]) -> messages.Response:
        """Returns the execution counts; sets `slowness` if the query has it."""
        self.behaviour.slowness = float(
            query.get("slowness", self.behaviour.slowness))
        return messages.Response(
            200, [],
            json.dumps({
                "runs": self.runs,
                "worked_s": self.worked_s
            }).encode())

    async def _work(self, request_name: str, extra_s: float) -> None:
        behaviour = self.behaviour
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        try:
            work_s = behaviour.work_s * self._slowdown_factor() + extra_s
            if work_s:
                self.worked_s[request_name] = self.worked_s.get(
                    request_name, 0.0) + work_s
                await asyncio.sleep(work_s)
        finally:
            self._slots.release()

    def _slowdown_factor(self) -> float:
        """Returns the factor on `work_s`, which grows with the queue length."""
        behaviour = self.behaviour
        factor = 1.0 + _OVERLOAD_SLOWDOWN * min(1.0,
                                                self._waiting / behaviour.slots)
        age = asyncio.get_running_loop().time() - self._started_at
        if age < behaviour.cold_s:
            factor *= _COLD_SLOWDOWN
        return factor * behaviour.slowness

    async def _call_nested(self, request: messages.Request,
                           query: dict[str, str]) -> tuple[int, str]:
        nested = query.get("nested", "")
        services = tuple(nested.split(",")) if nested else self.behaviour.nested
        if not services or self._node is None:
            return 200, ""
        token = messages.header(request.headers, b"apricothinge-call") or b""
        # Calls the first service, which calls the remaining ones in turn.
        nested_query = {"nested": ",".join(services[1:])} if nested else {}
        if "r" in query:
            nested_query["r"] = query["r"]
        target = "/nested?" + urllib.parse.urlencode(nested_query)
        try:
            response = await self._pool.exchange(
                self._node, "GET", target,
                [(b"apricothinge-call", token),
                 (b"apricothinge-service", services[0].encode())],
                messages.Body(0, None))
        except (client.RequestNotSent, client.ExchangeFailed) as error:
            return 502, str(error)
        if response.status >= 400:
            return 503, response.data.decode("latin-1")
        return 200, response.data.decode("latin-1").strip()
