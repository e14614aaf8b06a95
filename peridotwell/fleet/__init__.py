"""Routers of the fleet: links, heartbeats, membership and shared state."""
