"""All processes are killed while a server that has left still serves."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # pylint: disable=wrong-import-position

_SETTLE_S = standins.STABLE_WINDOW_S + 1.0
# After a final fault machines are in touch after twice the stable window.
_IN_TOUCH_S = 2 * standins.STABLE_WINDOW_S
_KILL_AFTER_S = 0.3
_DOWN_S = 0.5
# A check-in from before the deregistration arrives this long after it.
_LATE_BEAT_S = 3.0
_SERVES_S = 11.0
_BETWEEN_REQUESTS_S = 0.1
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


async def _deliver_late(server, content, delay_s):
    """Delivers a check-in that was sent before the deregistration."""
    await asyncio.sleep(delay_s)
    status = await standins.call(
        server.node.fields["check_in"], "POST",
        f"/v1/Instances.Heartbeat/{server.upstream_id}", content,
        [("Content-Type", "application/json")], 1.0)
    server.record(f"late check-in of {server.upstream_id} arrives: {status}")


async def _kill_all(mesh):
    """Kills all processes and starts them again."""
    processes = mesh.controls + mesh.nodes
    for process in processes:
        process.signal(signal.SIGKILL)
    for process in processes:
        await process.wait()
    await asyncio.sleep(_DOWN_S)
    for process in processes:
        process.fields.pop("bootstrap", None)
        process.start()


async def _case(record, folder, started):
    mesh = standins.Mesh(folder, record, ["front", "orders", "orders"])
    started(mesh)
    await mesh.start()
    await mesh.replace_state(1, 0, _ROUTES, _SERVICES)
    await mesh.wait_until_ready()
    other = standins.Server(record, mesh.nodes[2], "orders", "orders-b")
    await other.start()
    leaving = standins.Server(record, mesh.nodes[1], "orders", "orders-a")
    await leaving.start()
    await asyncio.sleep(_SETTLE_S)
    client = standins.Client(record, mesh.nodes[0])
    await asyncio.gather(
        *(client.send("POST", "/orders/0.1", content=b"x") for _ in range(20)))
    runs_before = len(leaving.runs)
    late_beat = leaving.stop_beats()
    late = asyncio.ensure_future(
        _deliver_late(leaving, late_beat, _LATE_BEAT_S))
    if await leaving.deregister() != 200:
        raise standins.NotRun("the deregistration was not acknowledged")
    left_at = record.now()
    await asyncio.sleep(_KILL_AFTER_S)
    if standins.with_trouble():
        await _kill_all(mesh)
        await mesh.wait_until_ready()
    back_at = record.now()
    await late
    await asyncio.sleep(back_at + _IN_TOUCH_S - record.now())
    tasks = []
    while record.now() < left_at + _SERVES_S:
        tasks.append(
            asyncio.ensure_future(
                client.send("POST", "/orders/0.4", limit_s=4.0, content=b"x")))
        await asyncio.sleep(_BETWEEN_REQUESTS_S)
    await leaving.stop()
    answers = await asyncio.gather(*tasks)
    await other.stop()
    if not runs_before or not other.runs or not tasks:
        raise standins.NotRun("a server got no requests")
    late_runs = [
        run for run in leaving.runs
        if run.arrived_at > left_at + standins.DRAIN_S
    ]
    record(f"{len(late_runs)} of {len(tasks)} requests have reached the server"
           f" later than {standins.DRAIN_S:g} s after the ack of its"
           f" deregistration, which came at {left_at:.3f} s;"
           f" {sum(answer.status == 502 for answer in answers)} got 502")
    return not late_runs


standins.run_case(FOLDER, _case)
