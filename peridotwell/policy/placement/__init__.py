"""Where requests go: the order of targets, caches and regions."""
