"""Decide which requests may run and which are refused."""
