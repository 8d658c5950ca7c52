"""Translate between the product and the users' platform.

Only this package uses the names of the platform's wire format, settings and
objects.  It decodes them once into the product's types and decides nothing.
"""
