"""Read, validate, compare, store and distribute the configuration."""
