"""A tour of the main job with real processes."""
