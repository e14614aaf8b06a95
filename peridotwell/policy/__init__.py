"""Decisions: placement, load bound, admission, retries and quarantine."""
