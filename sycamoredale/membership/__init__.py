"""Keep daemons informed about each other."""
