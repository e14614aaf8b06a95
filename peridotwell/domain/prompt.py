"""Prompts as engines cache them: a sequence of parts that requests share."""

from dataclasses import dataclass

__all__ = ('PromptPart', 'Prompt')


@dataclass(frozen=True)
class PromptPart:
    """One part of a prompt, with its length in tokens."""

    name: str
    tokens: int


@dataclass(frozen=True)
class Prompt:
    """The parts of a prompt in order.

    The last part belongs to the request itself or to its chat; the parts
    before it are shared with other requests. `output_tokens` is the maximum
    number of tokens to generate.
    """

    model: str
    parts: tuple[PromptPart, ...]
    input_tokens: int = 0
    output_tokens: int = 0

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """The parts that other requests may have in common with this one."""
        return self.parts[:-1]

    @property
    def own_tokens(self) -> int:
        """The number of tokens in the part that is not shared."""
        return self.parts[-1].tokens if self.parts else self.input_tokens

    @property
    def placement_key(self) -> str:
        """The name of the part whose cached copy decides the placement."""
        if not self.parts:
            return ''
        return (self.shared_parts or self.parts)[-1].name
