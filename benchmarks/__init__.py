"""Measure the system; each script prints one JSON line a figure."""
