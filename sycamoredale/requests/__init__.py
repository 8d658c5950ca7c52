"""Run a request to its complete response or to a refusal.

A refusal states correctly whether the request may have run.
"""
