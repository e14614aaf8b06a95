"""Each router's copy of the store: reading it, and sharing it with others."""
