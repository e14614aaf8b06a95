"""Selection of the target of a request, and the wait for one with room."""
