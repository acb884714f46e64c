"""A server that starts again under its id reports a planned stop."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # pylint: disable=wrong-import-position

_SETTLE_S = standins.STABLE_WINDOW_S + 1.0
_BETWEEN_REQUESTS_S = 0.05
# Servers go on for `drainS` after the ack and a little longer.
_LONGER_S = 1.0
_ROUTES = [{
    "name": "orders",
    "hostname": "shop.example",
    "pathPrefix": "/orders/",
    "routeType": "non_idempotent",
    "timeoutS": 5,
    "sloLatencyS": 2,
    "priority": 0,
    "maxAttempts": 2,
    "service": "orders"
}]
_SERVICES = [{
    "name": name,
    "healthPath": "/health",
    "maxConns": 200,
    "protocol": "h1",
    "tls": False
} for name in ("orders", "front")]


async def _planned_stop(server):
    """Stops a server as the protocol says; returns the time of the ack."""
    await server.drain()
    acked_at = server.record.now()
    await asyncio.sleep(standins.DRAIN_S + _LONGER_S)
    await server.deregister()
    await server.stop()
    return acked_at


async def _send_requests(client, answers):
    """Sends orders one after the other, without waiting for the answers."""
    sending = set()
    try:
        while True:
            task = asyncio.ensure_future(
                client.send("POST", "/orders/0.4", limit_s=4.0, content=b"x"))
            sending.add(task)
            task.add_done_callback(lambda done: answers.append(done.result()))
            await asyncio.sleep(_BETWEEN_REQUESTS_S)
    except asyncio.CancelledError:
        await asyncio.wait(sending)


async def _case(record, folder, started):
    mesh = standins.Mesh(folder, record, ["front", "orders", "orders"])
    started(mesh)
    await mesh.start()
    await mesh.replace_state(1, 0, _ROUTES, _SERVICES)
    await mesh.wait_until_ready()
    other = standins.Server(record, mesh.nodes[2], "orders", "orders-b")
    await other.start()
    first = standins.Server(record, mesh.nodes[1], "orders", "orders-a")
    await first.start()
    await asyncio.sleep(_SETTLE_S)
    client = standins.Client(record, mesh.nodes[0])
    answers = []
    traffic = asyncio.ensure_future(_send_requests(client, answers))
    await asyncio.sleep(1.0)
    await _planned_stop(first)
    await asyncio.sleep(1.0)
    second = standins.Server(
        record, mesh.nodes[1], "orders",
        "orders-a" if standins.with_trouble() else "orders-c")
    await second.start()
    await asyncio.sleep(_SETTLE_S)
    acked_at = await _planned_stop(second)
    await asyncio.sleep(1.0)
    traffic.cancel()
    await traffic
    await other.stop()
    if not first.runs or not second.runs or not other.runs:
        raise standins.NotRun("a server got no requests")
    late = [
        run for run in second.runs if run.arrived_at > acked_at +
        standins.DRAIN_S
    ]
    cut = [run for run in second.runs if run.ended == "cut by the exit"]
    status_by_id = {answer.request_id: answer.status for answer in answers}
    record(f"second lifetime: 'draining' acknowledged at {acked_at:.3f} s,"
           f" {len(second.runs)} requests, {len(late)} of them later than"
           f" {standins.DRAIN_S:g} s after the ack, {len(cut)} cut by the exit")
    for run in cut:
        record(f"{run.request_id} was cut and got"
               f" {status_by_id.get(run.request_id)}")
    return not late


standins.run_case(FOLDER, _case)
