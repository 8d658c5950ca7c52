"""Serve language models whose replicas span several instances.

The package is a library of coordination parts with two thin daemons on
top of it.  Each subpackage holds one aggregate of the domain together with
the rules that keep it consistent.
"""

from typing import Final

VERSION: Final = "0.1.0"
