"""Tests of apricothinge."""
