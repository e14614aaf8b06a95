"""Routing decisions: placement, load, admission, retries and quarantine."""
