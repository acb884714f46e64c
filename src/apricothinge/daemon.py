"""Daemon that runs a node or a control instance, or a demo fleet."""

import asyncio
import os
import pathlib
import signal
import sys

import typer

from apricothinge import demo
from apricothinge import errors
from apricothinge import log
from apricothinge import runtime
from apricothinge import settings
from apricothinge.control import process as control_process
from apricothinge.node import process as node_process

__all__ = ["app", "main"]

EXIT_SECOND_SIGNAL = 4

app = typer.Typer(add_completion=False,
                  pretty_exceptions_enable=False,
                  help=__doc__)


async def _run_role(loaded: settings.Settings) -> int:
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    node: node_process.Node | None = None

    def request_stop() -> None:
        if stop.is_set():
            # A second signal skips the graceful stop.
            log.event("process:second_signal")
            if node is not None:
                node.log_cut()
            os._exit(EXIT_SECOND_SIGNAL)
        stop.set()

    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, request_stop)
    if loaded.control is not None and loaded.role == "control":
        return await _run_control(loaded.control, stop)
    assert loaded.node is not None
    node = node_process.Node(loaded.node)
    await node.start()
    runtime.tune_gc()
    await stop.wait()
    await node.stop()
    return 0


async def _run_control(control: settings.Control, stop: asyncio.Event) -> int:
    instance = control_process.ControlInstance(control)
    await instance.start()
    runtime.tune_gc()
    stopped = asyncio.ensure_future(stop.wait())
    await asyncio.wait((stopped, instance.group_member.failed),
                       return_when=asyncio.FIRST_COMPLETED)
    if instance.group_member.failed.done():
        raise instance.group_member.failed.result()
    await instance.stop()
    return 0


@app.command(context_settings={"help_option_names": ["-h", "--help"]})
def run(what: str = typer.Argument(
    ...,
    metavar="SETTINGS.json|demo",
    help="Path of a settings file, or 'demo'.")) -> None:
    """Runs a process until SIGTERM or SIGINT, which stops it gracefully.

    A second signal stops it immediately. Exit codes: 0 stopped, 2 settings
    invalid or address in use, 3 storage damaged, 4 stopped by a second
    signal.
    """
    try:
        if what == "demo":
            asyncio.run(demo.run())
            return
        loaded = settings.read(pathlib.Path(what))
        log.start()
        sys.exit(asyncio.run(_run_role(loaded)))
    except errors.ApricothingeError as error:
        typer.echo(str(error), err=True)
        storage_damaged = error.kind is errors.Kind.STORAGE_DAMAGED
        sys.exit(runtime.EXIT_STORAGE_FAILED if storage_damaged else runtime.
                 EXIT_SETTINGS_INVALID)
    except OSError as error:
        typer.echo(f"settings_invalid: {error}", err=True)
        sys.exit(runtime.EXIT_SETTINGS_INVALID)


def main() -> None:
    """Entry point of the `apricothinged` script."""
    app()
