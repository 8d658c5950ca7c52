"""Serve and call HTTP/1.1: callers, endpoints, the platform and peers."""
