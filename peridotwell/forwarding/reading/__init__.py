"""Reading of callers' requests and their header fields."""
