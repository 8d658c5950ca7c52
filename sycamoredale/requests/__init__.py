"""Carry one request to its whole answer or truthful refusal."""
