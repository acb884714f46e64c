"""A minimal HTTP client and open-loop load generation."""

import asyncio
import time


class _Connection(asyncio.Protocol):
    """A connection that carries one call at a time."""

    def __init__(self):
        self.transport = None
        self.buffer = b""
        self.waiter = None
        self.closed = False

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.buffer += data
        head, separator, body = self.buffer.partition(b"\r\n\r\n")
        if not separator:
            return
        length = 0
        for line in head.lower().split(b"\r\n")[1:]:
            if line.startswith(b"content-length:"):
                length = int(line[15:])
        if len(body) >= length:
            self.buffer = b""
            if self.waiter is not None and not self.waiter.done():
                self.waiter.set_result((head, body))

    def connection_lost(self, exc):
        self.closed = True
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_exception(ConnectionResetError())


class HttpClient:
    """An HTTP client with a pool of kept-alive connections to one address."""

    def __init__(self, address):
        self._address = address
        self._idle_connections = []

    async def call(self, request, timeout_s=10.0):
        """Sends a request and waits for the response.

        Args:
            request: The encoded request, head and content.
            timeout_s: Seconds after which the connection is aborted.

        Returns:
            Status, head and content; status 0 without a response.
        """
        connection = None
        while self._idle_connections:
            connection = self._idle_connections.pop()
            if not connection.closed:
                break
            connection = None
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                if connection is None:
                    _, connection = await loop.create_connection(
                        _Connection, self._address.host, self._address.port)
                connection.waiter = loop.create_future()
                connection.transport.write(request)
                head, content = await connection.waiter
        except (OSError, TimeoutError):
            if connection is not None and connection.transport is not None:
                connection.transport.abort()
            return 0, b"", b""
        except asyncio.CancelledError:
            if connection is not None and connection.transport is not None:
                connection.transport.abort()
            raise
        connection.waiter = None
        self._idle_connections.append(connection)
        return int(head[9:12]), head, content

    def close(self):
        """Closes the idle connections."""
        for connection in self._idle_connections:
            connection.transport.abort()
        self._idle_connections.clear()


def build_request(method, target, api_key=None, headers=(), content=b""):
    """Encodes a request."""
    lines = [f"{method} {target} HTTP/1.1", "Host: bench"]
    if api_key is not None:
        lines.append(f"X-Api-Key: {api_key}")
    lines += [f"{name}: {value}" for name, value in headers]
    if content or method == "POST":
        lines.append(f"Content-Length: {len(content)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + content


async def start_arrivals(rng, rate_per_s, duration_s, start_call):
    """Starts calls as a Poisson process, regardless of how many are open.

    Args:
        rng: Seeded random number generator.
        rate_per_s: Mean number of calls per second.
        duration_s: Seconds during which calls are started.
        start_call: Called without arguments; returns a coroutine.

    Returns:
        The tasks that run the calls.
    """
    tasks = []
    started_at = time.perf_counter()
    due_s = 0.0
    while True:
        due_s += rng.expovariate(rate_per_s)
        if due_s > duration_s:
            return tasks
        wait_s = started_at + due_s - time.perf_counter()
        if wait_s > 0:
            await asyncio.sleep(wait_s)
        tasks.append(asyncio.ensure_future(start_call()))


def quantile(values, fraction):
    """Returns the value below which a fraction of the values lies."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * fraction))]
