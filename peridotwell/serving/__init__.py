"""The request path from the callers' side to the targets' side."""
