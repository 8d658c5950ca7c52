"""Decide under load: where a request goes, who goes first, and what it costs.

The modules decide without a network and get the present time as an argument.
They import neither sockets nor `sycamoredale.forwarding`, which feeds them.
"""
