"""Requests that another router takes over, and the choice of that way."""
