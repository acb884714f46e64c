"""The naive node: passes through, three immediate retries at each layer."""

import asyncio
import json
import random
import sys

from apricothinge import errors
from apricothinge import settings
from apricothinge.web import client
from apricothinge.web import messages
from apricothinge.web import server

_RETRIES = 3
_TIMEOUT_S = 1.0


class _Handler(server.Handler):

    def __init__(self, services, prefixes, pool):
        self._services = services
        self._prefixes = prefixes
        self._pool = pool

    async def handle(self, request):
        name = messages.header(request.headers, b"apricothinge-service")
        service = (name.decode() if name else
                   self._prefixes["/" + request.path.split("/")[1]])
        await request.body.buffer(1 << 20)
        headers = messages.end_to_end(request.headers)
        answer = None
        for _ in range(_RETRIES + 1):
            address = settings.Address(*random.choice(self._services[service]))
            try:
                async with asyncio.timeout(_TIMEOUT_S):
                    answer = await self._pool.exchange(address, request.method,
                                                       request.target, headers,
                                                       request.body)
            except (client.RequestNotSent, client.ExchangeFailed, TimeoutError):
                continue
            if answer.status < 500:
                return answer
        if answer is not None:
            return answer
        raise errors.CallError(errors.Kind.UPSTREAM_FAILED)


async def _run(arguments):
    pool = client.ConnectionPool(1 << 20)
    handler = _Handler(arguments["services"], arguments["prefixes"], pool)
    for name in ("caller", "local"):
        running = server.Server(handler, settings.Limits(connections=20000))
        await running.start(settings.Address(*arguments[name]))
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(_run(json.loads(sys.argv[1])))
