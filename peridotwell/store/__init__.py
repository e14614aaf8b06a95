"""The platform key-value service and what the fleet keeps in it."""
