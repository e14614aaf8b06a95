"""Updates between forwarding routers, directly or through relays."""
