"""Retry budget for idempotent requests.

Without a budget, retries multiply the load while workers fail, up to more retries than
requests. Each request adds a fraction of a token, each retry takes a whole one.
"""

from __future__ import annotations

from zincwell.document import Retries

MAX_TOKENS = 10.0


class RetryBudget:
    """Token bucket for the retries of one pool."""

    def __init__(self) -> None:
        self._tokens = MAX_TOKENS

    def note_request(self, rules: Retries) -> None:
        """Add the share of a token that an idempotent request earns."""
        self._tokens = min(MAX_TOKENS, self._tokens + rules.budget)

    def take(self) -> bool:
        """Take a token for a retry; return whether one was available."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
