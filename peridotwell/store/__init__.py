"""Clients of the platform's key-value service, and the data stored there."""
