"""Nodes that forward requests by host and path, and their control."""
