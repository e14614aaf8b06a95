"""Which targets fail, are silent or unreachable, or are about to leave."""
