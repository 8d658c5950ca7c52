"""Stand in for the platform and for endpoints in tests and demos."""
