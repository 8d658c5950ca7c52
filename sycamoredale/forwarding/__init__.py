"""Forward calls unchanged to the endpoints of routed services."""
