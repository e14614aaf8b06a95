"""The prefill speed of a service's engines, measured from responses."""

__all__ = ('PrefillSpeed',)

INITIAL_TOKENS_PER_SECOND = 80_000.0
# Shorter prompts are ignored, because fixed costs dominate their time.
MIN_PROMPT_TOKENS = 3000
NEWEST_WEIGHT = 0.1
MIN_TOKENS_PER_SECOND, MAX_TOKENS_PER_SECOND = 1000.0, 10_000_000.0


class PrefillSpeed:
    """An exponential moving average of prefilled tokens per second."""

    def __init__(self) -> None:
        self.tokens_per_second = INITIAL_TOKENS_PER_SECOND

    def record_prefill(self, tokens: int, seconds: float) -> None:
        """Update the average with the time that prefilling `tokens` took."""
        if tokens < MIN_PROMPT_TOKENS or seconds <= 0:
            return
        measured = min(
            max(tokens / seconds, MIN_TOKENS_PER_SECOND), MAX_TOKENS_PER_SECOND
        )
        change = measured - self.tokens_per_second
        self.tokens_per_second += change * NEWEST_WEIGHT
