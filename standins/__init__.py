"""Simulated platform, engine and service; each runs as its own process."""
