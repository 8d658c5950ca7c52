"""Estimate the work of a call for an engine.

Answers prompts whose lengths differ by a factor of 40: a count of requests
says little of how long an endpoint reads prompts before the next first event,
and nothing of the memory that its requests need.
"""

import dataclasses
from typing import Final

# An endpoint over this share of its memory is used only without another one:
# load data are tenths of a second old.
FULL_MEMORY_SHARE: Final = 0.9


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """Hold the expected work of one call, in tokens.

    `capacity_tokens` is the memory of an endpoint, 0 if it is not limited.
    """

    prompt_tokens: int
    answer_tokens: int
    capacity_tokens: int = 0

    @property
    def memory_tokens(self) -> int:
        """Return the tokens that the engine has to hold."""
        return self.prompt_tokens + self.answer_tokens

    def fits(self, held_tokens: float, share: float = 1.0) -> bool:
        """Return whether the call fits into the memory of an endpoint.

        A call that exceeds the memory fits alone: its header may be wrong,
        and it must not be refused for ever.
        """
        if not self.capacity_tokens or held_tokens < 1:
            return True
        return held_tokens + self.memory_tokens <= share * self.capacity_tokens


def estimate(
    prompt_tokens: int,
    max_answer_tokens: int,
    length_hint: int,
    usual_answer_tokens: float,
    capacity_tokens: int = 0,
) -> Work:
    """Return the work of a call; a limit, a hint or a mean of 0 is unknown.

    Without a hint an answer has the usual length, up to its limit.
    """
    answer_tokens = length_hint
    if not answer_tokens:
        usual = int(usual_answer_tokens) or max_answer_tokens
        answer_tokens = min(usual, max_answer_tokens or usual)
    return Work(prompt_tokens, answer_tokens, capacity_tokens)
