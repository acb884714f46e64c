"""Runs a stand-in upstream; the argument is a JSON object of settings."""

import asyncio
import json
import os
import sys

from apricothinge import settings
from apricothinge import standin


async def _run(arguments):
    node = arguments.pop("node", None)
    port = arguments.pop("port", 0)
    nested = tuple(arguments.pop("nested", ()))
    node_address = settings.Address(*node) if node else None
    upstream = standin.StandIn(standin.Behaviour(nested=nested, **arguments),
                               node_address)
    upstream.on_crash = lambda: os._exit(1)
    await upstream.start(port)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(_run(json.loads(sys.argv[1])))
