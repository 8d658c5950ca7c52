"""Form, order and repair groups of instances."""
