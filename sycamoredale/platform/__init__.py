"""Adapt the services of the platform, one thin module each."""
