"""Stand-ins for scripts of the second review: store, replicas and clients."""
