"""Maintain fleet membership and spread shared state among daemons."""
