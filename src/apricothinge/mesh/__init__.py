"""Nodes that route requests by host and path, and their control plane."""
