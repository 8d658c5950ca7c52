"""Translate between the product and the users' platform.

Names of the platform's wire format, settings and objects stand in this
package alone.  They are decoded once, into types whose fields say what
they hold; decisions are made elsewhere.
"""
