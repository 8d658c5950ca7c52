"""Forward calls unchanged to the endpoints of the configured services."""
