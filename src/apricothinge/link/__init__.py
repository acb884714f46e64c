"""Framed connections between the processes of a fleet."""
