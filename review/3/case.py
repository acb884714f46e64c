"""A check-in of another writer names a service that does not exist."""

import asyncio
import json
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # pylint: disable=wrong-import-position

_SETTLE_S = standins.STABLE_WINDOW_S + 1.0
_REQUESTS = 20


def _route(name):
    return {
        "name": name,
        "hostname": "shop.example",
        "pathPrefix": f"/{name}/",
        "routeType": "non_idempotent",
        "timeoutS": 5,
        "sloLatencyS": 2,
        "priority": 0,
        "maxAttempts": 2,
        "service": name
    }


_SERVICES = [{
    "name": name,
    "healthPath": "/health",
    "maxConns": 200,
    "protocol": "h1",
    "tls": False
} for name in ("orders", "photos")]


class _RecordingServer(standins.Server):
    """Records the Caller-Service of each request that it runs."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.callers = []

    async def respond(self, head, content, writer):
        self.callers.append(head.get("caller-service"))
        await super().respond(head, content, writer)


async def _check_in_as_other(record, node, born, sequence, state):
    """Sends a check-in as a program that serves nothing of the routes."""
    content = json.dumps({
        "service": "print-spooler",
        "address": f"{node.fields['upstream'].rpartition(':')[0]}:9100",
        "zone": node.fields["failure_domain"],
        "version": "v1",
        "slots": 4,
        "state": state,
        "coldLeftS": 0,
        "seq": sequence,
        "born": born
    }).encode()
    status = await standins.call(node.fields["check_in"], "POST",
                                 "/v1/Instances.Heartbeat/spooler-1", content,
                                 [("Content-Type", "application/json")], 1.0)
    record(f"check-in of another writer at {node.name}, '{state}': {status}")


async def _case(record, folder, started):
    mesh = standins.Mesh(folder, record, ["orders", "photos", "photos"])
    started(mesh)
    await mesh.start()
    await mesh.replace_state(1, 0, [_route("orders"), _route("photos")],
                             _SERVICES)
    await mesh.wait_until_ready()
    orders = standins.Server(record, mesh.nodes[0], "orders", "orders-a")
    photos = [
        _RecordingServer(record, node, "photos", f"photos-{node.name}")
        for node in mesh.nodes[1:]
    ]
    for server in [orders, *photos]:
        await server.start()
    await asyncio.sleep(_SETTLE_S)
    client = standins.Client(record, mesh.nodes[0])
    customer = standins.Client(record, mesh.nodes[1])
    if standins.with_trouble():
        born = time.time_ns() // 1_000_000
        await _check_in_as_other(record, mesh.nodes[0], born, 1, "ready")
        await asyncio.sleep(1.0)
        await _check_in_as_other(record, mesh.nodes[0], born, 2, "draining")
    await asyncio.sleep(2.0)
    for _ in range(_REQUESTS):
        await client.send("POST", "/photos/0.05", content=b"x")
        await customer.send("POST", "/orders/0.05", content=b"x")
    callers = [caller for server in photos for caller in server.callers]
    if not callers:
        raise standins.NotRun("the servers of photos got no requests")
    wrong = [caller for caller in callers if caller != "orders"]
    served = sum(answer.status == 200 for answer in customer.answers)
    record(f"{len(wrong)} of {len(callers)} requests that began on the machine"
           f" of 'orders' had another Caller-Service: {sorted(set(wrong))};"
           f" {served} of {len(customer.answers)} orders were served")
    return not wrong


standins.run_case(FOLDER, _case)
