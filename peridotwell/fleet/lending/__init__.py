"""Credits that routers lend each other, so that no target is overloaded."""
