"""Conclude which links of this daemon work, and go round those that fail."""
