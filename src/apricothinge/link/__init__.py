"""Framed TCP connections between the processes of a fleet."""
