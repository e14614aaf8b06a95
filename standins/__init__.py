"""Small stand-ins for the outside systems, each run as its own process."""
