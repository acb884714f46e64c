"""Entry point of a node or control instance of a mesh."""

import importlib
import os
import pathlib
import sys
from typing import Final

from apricothinge import errors
from apricothinge import log
from apricothinge import runtime
from apricothinge.platform import host
from apricothinge.platform import wire

__all__ = ["main"]

_CONTROL_MODULE: Final = "apricothinge.platform.control_process"
_NODE_MODULE: Final = "apricothinge.platform.node_process"


def main() -> None:
    """Runs the role given in the settings file until SIGTERM or SIGINT.

    Exit codes: 0 stopped, 2 settings invalid, 3 storage failed.
    """
    log.start_nonblocking()
    settings_file = host.SettingsFile(
        pathlib.Path(os.environ.get(wire.SETTINGS_PATH_VARIABLE, "")))
    try:
        loaded = settings_file.read()
    except (errors.ApricothingeError, OSError) as error:
        print(str(error), file=sys.stderr)
        sys.exit(runtime.EXIT_SETTINGS_INVALID)
    role_settings = loaded.mesh_control or loaded.mesh_node
    # A node needs none of the modules of control, which take memory and time.
    module = importlib.import_module(
        _CONTROL_MODULE if loaded.mesh_control is not None else _NODE_MODULE)
    try:
        runtime.run(module.run(settings_file, role_settings))
    except errors.ApricothingeError as error:
        print(str(error), file=sys.stderr)
        sys.exit(runtime.EXIT_STORAGE_FAILED)


if __name__ == "__main__":
    main()
