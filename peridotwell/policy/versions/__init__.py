"""Which software version began each stream, and what is known of that."""
