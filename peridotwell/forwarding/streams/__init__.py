"""Forwarding of event streams: their order, ends and resumption."""
