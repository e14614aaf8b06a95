"""Routers of a fleet as each other see them, and the messages between them."""
