"""Serve language models whose replicas span several instances.

The package is a library of coordination components with thin daemons on top
of it.  Each subpackage implements one aggregate of the domain and enforces
its invariants.
"""

from typing import Final

VERSION: Final = "0.1.0"
