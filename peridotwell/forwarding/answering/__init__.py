"""Responses to callers: those of targets, refusals, and their records."""
