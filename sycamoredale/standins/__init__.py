"""Simulated platform and endpoints (stand-ins) for tests and the demo."""
