"""The path of a request from the HTTP server to the target's client."""
