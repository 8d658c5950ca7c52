"""Bound the retries of each service to a share of its calls.

Each call adds a part of a token and each retry takes a whole one, so that
retries cannot amplify an overload.  A stream that the caller has begun to
read resumes without a token, since its caller must get the whole answer.
"""

import dataclasses
from typing import Final

from sycamoredale import ids

TOKENS_PER_CALL: Final = 0.1
MAX_TOKENS: Final = 100.0


@dataclasses.dataclass
class RetryBudget:
    """Hold the tokens of each service."""

    tokens_by_service: dict[ids.ServiceName, float] = dataclasses.field(
        default_factory=dict
    )

    def deposit(self, service: ids.ServiceName) -> None:
        """Note a call of the service."""
        tokens = self.tokens_by_service.get(service, MAX_TOKENS)
        self.tokens_by_service[service] = min(
            MAX_TOKENS, tokens + TOKENS_PER_CALL
        )

    def try_withdraw(self, service: ids.ServiceName) -> bool:
        """Take a token for a retry; tell if there was one."""
        tokens = self.tokens_by_service.get(service, MAX_TOKENS)
        if tokens < 1.0:
            return False
        self.tokens_by_service[service] = tokens - 1.0
        return True
