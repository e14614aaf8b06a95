"""How loaded targets are, from counts and reports, and how long work takes."""
