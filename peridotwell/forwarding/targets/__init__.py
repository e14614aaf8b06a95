"""What this router knows of each target, and how it learns it."""
