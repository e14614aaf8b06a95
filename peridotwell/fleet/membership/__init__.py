"""Which routers and targets are live, as routers tell each other."""
