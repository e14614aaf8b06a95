"""Measurements of routing decisions, costs and claims: `make measure`."""
