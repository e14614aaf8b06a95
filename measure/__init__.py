"""Measurements of decisions and costs: `make measure`."""
