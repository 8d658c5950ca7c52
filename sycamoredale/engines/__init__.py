"""Adapt model engines and plain services, one thin module each."""
