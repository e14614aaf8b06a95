"""A demonstration of the main features with real processes."""
