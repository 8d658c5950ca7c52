"""Assemble the library into daemon processes."""
