"""Speak HTTP/1.1 to callers, endpoints, the platform and peers."""
