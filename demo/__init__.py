"""Demonstrate routers and a controller on simulated endpoints."""
