"""Communication between routers: links, heartbeats and shared state."""
