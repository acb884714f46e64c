"""Benchmarks of a fleet of processes on loopback; run from the work tree."""
