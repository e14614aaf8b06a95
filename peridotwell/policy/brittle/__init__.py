"""Targets that fall over when they have to reject too many requests."""
