"""How fast the engines of a service read prompts, learned from answers."""

__all__ = ('PrefillSpeed',)

FIRST_GUESS_TOKENS_PER_SECOND = 80_000.0
# Shorter prompts tell more about the fixed costs than about the speed.
LEAST_TOKENS = 3000
WEIGHT_OF_NEWEST = 0.1
SLOWEST, FASTEST = 1000.0, 10_000_000.0


class PrefillSpeed:
    """A moving average of tokens read a second."""

    def __init__(self) -> None:
        self.tokens_per_second = FIRST_GUESS_TOKENS_PER_SECOND

    def record_prefill(self, tokens: int, seconds: float) -> None:
        """Learn from a first token that came after reading `tokens`."""
        if tokens < LEAST_TOKENS or seconds <= 0:
            return
        seen = min(max(tokens / seconds, SLOWEST), FASTEST)
        change = seen - self.tokens_per_second
        self.tokens_per_second += change * WEIGHT_OF_NEWEST
