"""Limits on requests per second, divided among routers, and cold targets."""
