"""Whether and when failed and refused requests come back."""
