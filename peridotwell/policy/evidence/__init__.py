"""Whether a response is complete, from how it and others ended."""
