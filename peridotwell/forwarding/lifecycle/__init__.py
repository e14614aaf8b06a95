"""What a router does from its start to its planned stop, beside requests."""
