"""Launcher of a node or control instance on the platform.

Python searches the folder of the script first, so the package is imported from
the copy next to this file.
"""

from apricothinge.platform import process

process.main()
