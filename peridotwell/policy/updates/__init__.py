"""What routers tell each other, when, and through which relays."""
