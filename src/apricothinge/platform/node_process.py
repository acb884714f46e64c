"""The process of a node on the platform."""

import asyncio

from apricothinge import runtime
from apricothinge import settings
from apricothinge.mesh import node
from apricothinge.platform import handlers
from apricothinge.platform import host
from apricothinge.platform import wire

__all__ = ["run"]


async def run(settings_file: host.SettingsFile,
              node_settings: settings.MeshNode) -> None:
    """Runs a node until it is told to stop."""
    signals = host.Signals()
    mesh_node = node.MeshNode(node_settings, wire.HEADER_NAMES)
    await mesh_node.start()
    servers = [
        await host.start_server(handlers.CheckInHandler(mesh_node),
                                node_settings.check_in), await
        host.start_server(handlers.ReadinessHandler(mesh_node),
                          node_settings.readiness)
    ]
    runtime.tune_gc()

    def apply_settings(changed: settings.Settings) -> None:
        if changed.mesh_node is not None:
            mesh_node.apply_settings(changed.mesh_node)

    never_fails: asyncio.Future[None] = asyncio.get_running_loop(
    ).create_future()
    await host.reload_until_stopped(signals, settings_file, apply_settings,
                                    never_fails)
    await mesh_node.stop(signals.stopped_at)
    for http_server in servers:
        http_server.abort()
    signals.ignore()
