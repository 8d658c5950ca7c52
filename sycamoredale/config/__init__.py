"""Read, check, compare and distribute the operators' file."""
