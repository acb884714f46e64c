"""Adapter to the platform on which a mesh is deployed.

Maps the platform's headers, paths and JSON bodies to the types of
`apricothinge.mesh` and runs its processes.
"""
