"""Overload control: logic without IO that takes the time as an argument."""
