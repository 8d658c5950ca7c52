"""Adapt the services behind the product's own interface, one module each."""
