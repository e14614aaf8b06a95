"""Requests forwarded as they came, by host and path, to services' targets."""
