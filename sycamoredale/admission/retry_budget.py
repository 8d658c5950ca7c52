"""Limit the retries of each service to a share of its calls.

Each call deposits a fraction of a token and each retry withdraws a whole
one, so that retries cannot amplify an overload.  A stream that the caller
has begun to read is resumed without a token, since its caller must get the
complete answer.
"""

import dataclasses
from typing import Final

from sycamoredale import ids

TOKENS_PER_CALL: Final = 0.1
MAX_TOKENS: Final = 100.0


@dataclasses.dataclass
class RetryBudget:
    """Account for the retry tokens of each service."""

    tokens_by_service: dict[ids.ServiceName, float] = dataclasses.field(
        default_factory=dict
    )

    def deposit(self, service: ids.ServiceName) -> None:
        """Deposit the fraction of a token that a call adds."""
        tokens = self.tokens_by_service.get(service, MAX_TOKENS)
        self.tokens_by_service[service] = min(
            MAX_TOKENS, tokens + TOKENS_PER_CALL
        )

    def try_withdraw(self, service: ids.ServiceName) -> bool:
        """Withdraw a token for a retry; return whether there was one."""
        tokens = self.tokens_by_service.get(service, MAX_TOKENS)
        if tokens < 1.0:
            return False
        self.tokens_by_service[service] = tokens - 1.0
        return True
