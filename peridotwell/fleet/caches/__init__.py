"""Lists of the engines' prompt caches, as routers send them to each other."""
