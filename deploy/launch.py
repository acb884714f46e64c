"""Starts the product on the platform; Python looks beside this file first."""

from apricothinge.platform import process

process.main()
