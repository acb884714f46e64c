"""Naive node: forwards calls, with three immediate retries at each layer."""

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
_ATTEMPT_TIMEOUT_S = 1.0


class _ForwardingHandler(server.Handler):

    def __init__(self, addresses_by_service, service_by_prefix, pool):
        self._addresses_by_service = addresses_by_service
        self._service_by_prefix = service_by_prefix
        self._pool = pool

    async def handle(self, request):
        service_header = messages.header(request.headers,
                                         b"apricothinge-service")
        service = (service_header.decode() if service_header else
                   self._service_by_prefix["/" + request.path.split("/")[1]])
        await request.body.buffer(1 << 20)
        headers = messages.end_to_end(request.headers)
        answer = None
        for _ in range(_RETRIES + 1):
            address = settings.Address(
                *random.choice(self._addresses_by_service[service]))
            try:
                async with asyncio.timeout(_ATTEMPT_TIMEOUT_S):
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
    handler = _ForwardingHandler(arguments["services"], arguments["prefixes"],
                                 pool)
    for listener in ("caller", "local"):
        http_server = server.Server(handler, settings.Limits(connections=20000))
        await http_server.start(settings.Address(*arguments[listener]))
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(_run(json.loads(sys.argv[1])))
