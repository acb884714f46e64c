"""Demo that runs a whole fleet in one process, for use with curl."""

import asyncio
import pathlib
import tempfile

import typer

from apricothinge import keys
from apricothinge import lists
from apricothinge import settings
from apricothinge import standin
from apricothinge.control import process as control_process
from apricothinge.control import rpc_messages
from apricothinge.control import wire
from apricothinge.node import process as node_process

__all__ = ["run"]

_SECRET = "the demo has no secrets"
_KEY = "demo-key"
_FIRST_PORT = 18080


def _address(port: int = 0) -> settings.Address:
    return settings.Address("127.0.0.1", port)


def _document() -> lists.Document:
    """Returns lists with one organisation, one plan and one open route."""
    plan = lists.Plan(rate_per_s=50,
                      burst=20,
                      weight=1,
                      routes=[
                          lists.Route(service="stock",
                                      path_prefix="/stock",
                                      methods=("GET",)),
                          lists.Route(service="stock",
                                      path_prefix="/bookings",
                                      methods=("POST",),
                                      importance="critical")
                      ])
    return lists.Document(organisations=lists.Organisations(
        version=1,
        organisations={
            "padaria-sol":
                lists.Organisation(plan="small",
                                   key_hashes=[keys.hash_key(_KEY)])
        }),
                          plans=lists.Plans(version=1,
                                            plans={"small": plan},
                                            open_routes=[
                                                lists.OpenRoute(
                                                    service="stock",
                                                    path_prefix="/open",
                                                    rate_per_s=10,
                                                    burst=5)
                                            ]))


def _node_settings(number: int, control: settings.Address) -> settings.Node:
    port = _FIRST_PORT + 10 * number
    return settings.Node(instance=f"node-{number}",
                         failure_domain="sul-a",
                         caller=_address(port),
                         peer=_address(),
                         local=_address(),
                         admin=_address(port + 1),
                         control=[control],
                         fleet_secret=_SECRET)


async def _apply_lists(control: settings.Address) -> None:
    message_codec = wire.Codec(_SECRET)
    channel = wire.channel(control)
    reply: object = None
    while not isinstance(reply, rpc_messages.Applied):
        # Retries, as the control group may not have elected a leader yet.
        sealed = await wire.stub(channel).Ask(message_codec.seal(
            rpc_messages.Apply(_document(), 5.0)),
                                              timeout=10.0)
        reply = message_codec.open(sealed, rpc_messages.Reply)
        await asyncio.sleep(0.1)
    await channel.close()


def _print_instructions(nodes: list[node_process.Node],
                        control: control_process.ControlInstance,
                        secret: str) -> None:
    first, second = (f"http://{node.caller}" for node in nodes)
    typer.echo(f"""\
apricothinge demo: one control instance, two nodes, one stand-in upstream.

Request to the first node, forwarded to the upstream next to the second:
  curl -i -H 'X-Api-Key: {_KEY}' {first}/stock/42
Request over HTTP/1.0 with the key in the query string:
  curl -i --http1.0 '{second}/stock/42?key={_KEY}'
Booking that is executed at most once, however often it is sent:
  curl -i -H 'X-Api-Key: {_KEY}' -H 'Idempotency-Key: b-1' \
-d 'crank 7' {first}/bookings
Nested calls, three levels deep:
  curl -i -H 'X-Api-Key: {_KEY}' '{first}/stock/42?nested=stock,stock'
Request without a key, and an open route that needs none:
  curl -i {first}/stock/42
  curl -i {first}/open/hours
State and metrics of a node, and state of the control instance:
  curl -s http://{nodes[0].admin}/dump
  curl -s http://{nodes[0].admin}/metrics
  curl -s http://{control.admin}/dump
Command line tool for operators:
  APRICOTHINGE_CONTROL={control.rpc} APRICOTHINGE_SECRET='{secret}' \
.venv/bin/apricothinge status

Press Ctrl-C to stop.""")


async def run() -> None:
    """Runs the demo until it is interrupted."""
    with tempfile.TemporaryDirectory(prefix="apricothinge-demo-") as folder:
        control = control_process.ControlInstance(
            settings.Control(instance="control-0",
                             failure_domain="sul-a",
                             rpc=_address(_FIRST_PORT + 20),
                             admin=_address(_FIRST_PORT + 21),
                             data=str(pathlib.Path(folder) / "control"),
                             fleet_secret=_SECRET))
        await control.start()
        nodes = [
            node_process.Node(_node_settings(number, control.rpc))
            for number in range(2)
        ]
        for node in nodes:
            await node.start()
        upstream = standin.StandIn(standin.Behaviour("stock"), nodes[1].local)
        await upstream.start()
        await _apply_lists(control.rpc)
        await _wait_until_ready(nodes)
        _print_instructions(nodes, control, _SECRET)
        await asyncio.Event().wait()


async def _wait_until_ready(nodes: list[node_process.Node]) -> None:
    """Waits until the first node knows the upstream and the rate owners."""
    while not (nodes[0].state.router.has_service("stock") and
               nodes[0].has_owners("padaria-sol")):
        await asyncio.sleep(0.05)
